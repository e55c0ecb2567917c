"""The ports of tests that run beside each other on one machine."""

import subprocess
import sys

from tests.standins.ports import free_ports

_PRINT_PORT = (
    "from tests.standins.ports import free_ports;"
    "print(free_ports(60), flush=True); input()"
)


# A test was answered by a server of another one, whose fleet had chosen the
# same ports before either had bound them.
def test_tests_beside_each_other_have_different_ports() -> None:
    others = [
        subprocess.Popen(
            [sys.executable, "-c", _PRINT_PORT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        for _ in range(3)
    ]
    firsts = [int(other.stdout.readline()) for other in others if other.stdout]
    # While the others still run.
    firsts += [free_ports(60), free_ports(60)]
    for other in others:
        other.communicate(b"\n")
    firsts.sort()
    for first, following in zip(firsts, firsts[1:], strict=False):
        assert first + 60 <= following
    regions = {first // 2_000 for first in firsts}
    assert len(regions) == 4
