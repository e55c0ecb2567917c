"""Nodes that restart after their clock was set back.

The id of a run begins with the time of its start, so that of the new run
sorted below the earlier one, and the others passed over all that it sent.
"""

import pytest
from standins.forwarding import ForwardTicks, entry, merge_route, pass_route
from standins.simulated_fleet import SimulatedFleet, started_fleet

from snipesaddle._internal import incarnations
from snipesaddle._internal.tables.forwarding.fleet import (
    NodePhase,
    NodeRecord,
)
from snipesaddle._internal.tables.forwarding.messages import NodeBeat

NODES = {"e1": "a", "e2": "b", "e3": "a", "e4": "b"}


def stepped_fleet(*stepped: str) -> SimulatedFleet:
    """Returns a fleet in which nodes restart, with their clocks set back."""
    fleet = started_fleet(merge_route(2), NODES, NODES, 40, 1)
    fleet.set_clocks_back()
    for name in stepped:
        fleet.restart(name, 300)
    return fleet


def assert_all_are_known(fleet: SimulatedFleet) -> None:
    for run in fleet.running.values():
        assert run.is_ready
        assert run.world.fleet.active_node_ids == NODES.keys(), run.name


@pytest.mark.parametrize("stepped", [("e3",), ("e1", "e2"), tuple(NODES)])
def test_a_node_whose_clock_was_set_back_is_used_again(
    stepped: tuple[str, ...],
) -> None:
    fleet = stepped_fleet(*stepped)
    fleet.advance(2_500)
    assert_all_are_known(fleet)


def test_a_node_whose_clock_was_set_back_is_used_without_the_store() -> None:
    fleet = started_fleet(merge_route(2), NODES, NODES, 40, 1)
    fleet.set_clocks_back()
    fleet.faults.without_store = frozenset({"e3"})
    fleet.restart("e3", 300)
    fleet.advance(6_000)
    assert_all_are_known(fleet)


def test_a_clock_that_was_set_back_twice_does_no_harm() -> None:
    fleet = stepped_fleet("e3")
    fleet.advance(2_500)
    fleet.set_clocks_back()
    fleet.restart("e3", 300)
    fleet.advance(2_500)
    assert_all_are_known(fleet)


# Else the two would outbid each other without end.
def test_a_run_that_was_replaced_stays_the_earlier_one() -> None:
    ticks = ForwardTicks([pass_route()], [entry("f1", "file")])
    ticks.beat("e2")
    (heard,) = ticks.world.fleet.nodes.values()
    own = ticks.world.this_node.incarnation
    later = NodeRecord("e1", "0002", "e1:1", "e1:2", "a", NodePhase.SERVING)
    ticks.tick(NodeBeat(heard.record, (later,)))
    assert ticks.world.this_node.incarnation == own


@pytest.mark.parametrize(
    "earlier", ["000000000007-aa", "0000000000ff-aa", "0001", "00000000000a-"]
)
def test_a_later_id_sorts_higher(earlier: str) -> None:
    later = incarnations.later(earlier, "000000000001-bb")
    assert later > earlier
    assert later.endswith("-bb")


@pytest.mark.parametrize("earlier", ["", "zz", "f" * 1_000, "é-1"])
def test_an_id_that_cannot_be_read_changes_nothing(earlier: str) -> None:
    assert incarnations.later(earlier, "0001-bb") == "0001-bb"
