from collections.abc import Iterator

import pytest

from tests.standins.fleet import Fleet, FleetOptions


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    with Fleet(FleetOptions()) as fleet:
        for name in fleet.nodes:
            fleet.start_node(name)
        fleet.publish(fleet.service_files())
        fleet.wait_ready()
        yield fleet
