"""The soak of the forwarding tier, short, and the seeds that once failed."""

from pathlib import Path

import pytest

from tests import soak

pytestmark = pytest.mark.anyio

# 4 and 7: a signal to reload ended nodes that were starting.
# 138: the soak itself sent one before the interpreter had loaded.
SEEDS = (1, 4, 7, 138)
SECONDS = 6.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_hold_under_random_faults(
    seed: int, tmp_path: Path
) -> None:
    row, broken = await soak.run(seed, SECONDS, tmp_path)
    assert broken == []
    assert row["requests"] > 0
