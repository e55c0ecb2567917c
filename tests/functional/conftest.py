from collections.abc import Iterator

import pytest

from tests.standins.fleet import Fleet, FleetOptions


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    with Fleet(FleetOptions()) as fleet:
        fleet.start()
        yield fleet
