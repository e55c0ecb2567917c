"""Endpoints whose registrations are removed beside outages and cuts.

A node that lagged behind got the list of a peer with endpoints in it that the
peer only kept for a grace period. It used them for good (review 4).
"""

import random

import pytest
from standins.forwarding import entry, merge_route
from standins.simulated_fleet import SimulatedFleet, started_fleet

from snipesaddle._internal.tables.forwarding.store_ranges import Range

NODES = ("n1", "n2", "n3", "n4")
# From the users' bounds: a node counts as in touch so long after a cut, and the
# store as stable so long after an outage.
STABLE_MS = 4_000
# An endpoint gets nothing more so long after its removal.
DRAIN_MS = 3_000


def small_fleet(seed: int = 1) -> SimulatedFleet:
    zones = dict(zip(NODES, "abab", strict=True))
    return started_fleet(merge_route(2), zones, NODES, 20, seed)


def users_of(fleet: SimulatedFleet, endpoint_id: str) -> list[str]:
    """Returns the nodes that send work to an endpoint."""
    return [
        name
        for name, run in fleet.running.items()
        if (endpoint := run.world.endpoints.get(endpoint_id)) is not None
        and endpoint.accepts_work()
    ]


@pytest.mark.parametrize("cut", NODES)
@pytest.mark.parametrize("leaves_after_ms", [0, 500, 1_000, 2_000, 4_500])
@pytest.mark.parametrize("quiet_ms", [500, 8_000, 20_000])
def test_a_node_that_was_cut_off_does_not_use_what_has_left(
    quiet_ms: int, leaves_after_ms: int, cut: str
) -> None:
    fleet = small_fleet()
    fleet.faults.store_is_down = True
    fleet.advance(1_000)
    fleet.faults.store_is_down = False
    fleet.advance(quiet_ms)
    fleet.faults.without_store = frozenset({cut})
    fleet.advance(leaves_after_ms)
    fleet.store.put(Range.ENDPOINTS, "s0a", None)
    fleet.advance(5_000 - leaves_after_ms)
    fleet.faults.without_store = frozenset()
    fleet.advance(STABLE_MS)
    assert not users_of(fleet, "s0a")


@pytest.mark.parametrize("seed", range(60))
def test_departures_among_outages_and_cuts_are_final(seed: int) -> None:
    rng = random.Random(seed)
    fleet = small_fleet(seed)
    for number in range(8):
        late = entry(f"s0x{number}", "s0", address=f"s0x{number}:1")
        fleet.add_endpoint(late)
    fleet.advance(1_000)
    gone = []
    for number in range(8):
        match rng.randrange(4):
            case 0:
                fleet.faults.store_is_down = not fleet.faults.store_is_down
            case 1:
                cut = rng.sample(NODES, rng.randrange(3))
                fleet.faults.without_store = frozenset(cut)
            case 2:
                fleet.store.fall_silent(rng.uniform(300, 5_000))
            case 3:
                fleet.faults.cut_off = frozenset(rng.sample(NODES, 1))
        fleet.advance(rng.choice([10, 200, 700, 2_500, 6_000]))
        gone.append(f"s0x{number}")
        fleet.store.put(Range.ENDPOINTS, gone[-1], None)
        fleet.advance(rng.choice([5, 100, 900, 3_000]))
    fleet.faults.store_is_down = False
    fleet.faults.without_store = frozenset()
    fleet.faults.cut_off = frozenset()
    while fleet.store.is_silent:
        fleet.advance(50)
    fleet.advance(STABLE_MS + DRAIN_MS)
    assert not [name for name in gone if users_of(fleet, name)]
    assert users_of(fleet, "s0a") == list(NODES)


# What lapses in an outage, and is back soon, stays in use everywhere.
def test_an_endpoint_that_lapsed_in_an_outage_is_kept_at_all_nodes() -> None:
    fleet = small_fleet()
    registration = entry("s0a", "s0", zone="a", address="s0a:1")
    fleet.faults.store_is_down = True
    fleet.advance(5_000)
    fleet.store.put(Range.ENDPOINTS, "s0a", None)
    fleet.faults.store_is_down = False
    for _ in range(15):
        fleet.advance(100)
        assert users_of(fleet, "s0a") == list(NODES)
    fleet.store.put(Range.ENDPOINTS, "s0a", registration)
    for _ in range(40):
        fleet.advance(100)
        assert users_of(fleet, "s0a") == list(NODES)
