"""Changes beside outages of the store in which no call ends.

A watch that is sent while the store is silent is never answered. All nodes
send theirs soon after a change, so that none had news for the others, and they
kept what they had until the watch timed out after 31 s.
"""

import random

import pytest
from standins.forwarding import entry, merge_route
from standins.simulated_fleet import SimulatedFleet, started_fleet

from snipesaddle._internal.tables.forwarding.endpoints import Registration
from snipesaddle._internal.tables.forwarding.store_ranges import Range

NODES = ("n1", "n2", "n3", "n4")
# From the users' bounds: a node counts as in touch so long after an outage.
STABLE_MS = 4_000
# A change is in force everywhere so long after its acknowledgement.
APPLY_MS = 3_000
DRAINING = entry("s0a", "s0", registration=Registration.DRAINING)


def small_fleet(
    seed: int = 1, nodes: tuple[str, ...] = NODES
) -> SimulatedFleet:
    zones = {name: "ab"[number % 2] for number, name in enumerate(nodes)}
    return started_fleet(merge_route(2), zones, nodes, 20, seed)


def versions(fleet: SimulatedFleet) -> set[int]:
    return {run.world.active_config.version for run in fleet.running.values()}


def uses_endpoint(fleet: SimulatedFleet, endpoint_id: str) -> bool:
    return any(
        endpoint.accepts_work()
        for run in fleet.running.values()
        if (endpoint := run.world.endpoints.get(endpoint_id)) is not None
    )


# Seen with changes 5 to 400 ms before an outage of 1.0 to 4.5 s.
@pytest.mark.parametrize("silent_ms", [600, 1_000, 2_200, 3_300, 4_500])
@pytest.mark.parametrize("before_ms", [2, 6, 100, 290, 310, 600])
def test_changes_just_before_a_silent_outage_are_in_force_after_it(
    before_ms: int, silent_ms: int
) -> None:
    fleet = small_fleet()
    fleet.publish(2)
    fleet.store.put(Range.ENDPOINTS, "s0a", DRAINING)
    fleet.advance(before_ms)
    fleet.store.fall_silent(silent_ms)
    fleet.advance(silent_ms + STABLE_MS)
    assert versions(fleet) == {2}
    assert not uses_endpoint(fleet, "s0a")


@pytest.mark.parametrize("silent_ms", [600, 1_000, 2_200, 4_500])
@pytest.mark.parametrize("after_ms", [0, 900, 4_000])
def test_changes_after_a_silent_outage_are_in_force_in_time(
    after_ms: int, silent_ms: int
) -> None:
    fleet = small_fleet()
    # The watches are sent again 300 ms after a change, in the outage.
    fleet.publish(2)
    fleet.store.put(Range.ENDPOINTS, "s1a", entry("s1a", "s1", slots=3))
    fleet.advance(200)
    fleet.store.fall_silent(silent_ms)
    fleet.advance(silent_ms + after_ms)
    fleet.publish(3)
    fleet.store.put(Range.ENDPOINTS, "s0a", DRAINING)
    fleet.advance(max(APPLY_MS, STABLE_MS - after_ms))
    assert versions(fleet) == {3}
    assert not uses_endpoint(fleet, "s0a")


# All nodes renew a watch of 30 s together when nothing has changed for long.
def test_an_outage_in_which_long_watches_are_renewed_hides_no_change() -> None:
    for at_ms in range(0, 32_000, 800):
        fleet = small_fleet()
        fleet.advance(at_ms)
        fleet.store.fall_silent(1_000)
        fleet.advance(1_000 + STABLE_MS)
        fleet.publish(2)
        fleet.advance(APPLY_MS)
        assert versions(fleet) == {2}, at_ms


@pytest.mark.parametrize("seed", range(40))
def test_series_of_outages_and_changes_leave_no_node_behind(seed: int) -> None:
    rng = random.Random(seed)
    fleet = small_fleet(seed, NODES[: rng.randint(1, 4)])
    version = 1
    for _ in range(rng.randint(2, 4)):
        for _ in range(rng.randint(1, 4)):
            version += 1
            fleet.publish(version)
            fleet.advance(rng.choice([1, 5, 50, 250, 400, 1_500]))
        if rng.random() < 0.3:
            fleet.restart(rng.choice(NODES[: len(fleet.running)]), 200)
        fleet.store.fall_silent(rng.uniform(300, 6_000))
        fleet.advance(rng.uniform(0, 8_000))
        while fleet.store.is_silent:
            fleet.advance(50)
    fleet.advance(STABLE_MS)
    version += 1
    fleet.publish(version)
    fleet.advance(APPLY_MS)
    assert versions(fleet) == {version}


def test_only_a_few_nodes_confirm_that_nothing_has_changed() -> None:
    calls = {}
    for size in (4, 30):
        fleet = small_fleet(1, tuple(f"n{number}" for number in range(size)))
        fleet.advance(10_000)
        before = fleet.store.calls
        fleet.advance(30_000)
        calls[size] = fleet.store.calls - before
    # Two ranges at one node, and one long watch of the nodes at each.
    assert calls[4] <= 2 * 30 / 1.5 + 3 * 4
    assert calls[30] <= 2 * 30 / 1.5 + 3 * 30


def test_the_next_node_confirms_when_the_confirming_one_ends() -> None:
    for victim in NODES:
        fleet = small_fleet()
        fleet.kill(victim)
        fleet.advance(3_000)
        fleet.store.fall_silent(1_000)
        fleet.advance(1_000 + STABLE_MS)
        fleet.publish(2)
        fleet.advance(APPLY_MS)
        assert versions(fleet) == {2}
