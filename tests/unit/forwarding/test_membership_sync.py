"""Nodes that do not learn of each other, or that do not hear each other.

Each of two nodes that did not know of the other took itself for the owner of a
quota, although all other nodes knew both.
"""

import itertools
import os
import random
from collections.abc import Iterable

import msgspec
import pytest
from standins.forwarding import (
    ForwardTicks,
    entry,
    merge_route,
    pass_route,
)
from standins.quota_rule import quota_overrun
from standins.simulated_fleet import (
    NS_PER_S,
    Faults,
    SimulatedFleet,
    started_fleet,
)

from snipesaddle._internal.systems.forwarding import activity, membership_sync
from snipesaddle._internal.tables.forwarding.fleet import PeerNode
from snipesaddle._internal.tables.forwarding.messages import NodeBeat
from snipesaddle._internal.tables.forwarding.tenants import Tenant, TenantIndex

# More seeds by hand: FLEET_SEEDS=50.
RANDOM_SEEDS = range(1, 1 + int(os.environ.get("FLEET_SEEDS", "3")))
RANDOM_STEPS = 10
CONNECTIONS = 2_000
NODES = ("e1", "e2", "e3", "e4")
ADDED = ("e5", "e6")
ZONES = {name: "ab"[n % 2] for n, name in enumerate(NODES + ADDED)}
# Many tenants, so that each pair of nodes owns one of them one after the other.
TENANTS = tuple(Tenant(f"t{n}", rate_per_s=20.0, burst=5.0) for n in range(8))
# From the last renewal of a lease to its end, less the time to the first
# renewal that fails.
LAPSE_MS = 6_300


def quota_fleet(seed: int, nodes: Iterable[str] = NODES) -> SimulatedFleet:
    index = TenantIndex((t, [t.name.encode()]) for t in TENANTS)
    route = pass_route(timeout_ms=2_000)
    return started_fleet(route, ZONES, nodes, CONNECTIONS, seed, index)


def load(fleet: SimulatedFleet, ms: float, rng: random.Random) -> None:
    """Sends twice what each tenant may, to all nodes that are ready."""
    end_ns = fleet.now_ns + int(ms * 1_000_000)
    per_s = 2 * sum(tenant.rate_per_s for tenant in TENANTS)
    while fleet.now_ns < end_ns:
        key = rng.choice(TENANTS).name.encode()
        fleet.ask(b"/file/1", 500, api_keys=(key,))
        fleet.advance(rng.expovariate(per_s) * 1_000)


def worst_overrun(fleet: SimulatedFleet) -> float:
    return max(quota_overrun(fleet.ran[t.name].values(), t) for t in TENANTS)


def known_ids(fleet: SimulatedFleet, name: str) -> set[str]:
    return {name, *fleet.running[name].world.fleet.nodes}


# A node that is turned away until its record has ended is found by none that
# starts, and cannot read of those itself.
@pytest.mark.parametrize(
    ("turned_away", "added"), list(itertools.product(NODES, ADDED))
)
def test_a_node_without_the_store_and_an_added_one_share_a_quota(
    turned_away: str, added: str
) -> None:
    fleet = quota_fleet(1)
    rng = random.Random(1)
    fleet.faults.without_store = frozenset({turned_away})
    load(fleet, LAPSE_MS, rng)
    fleet.store.expire(turned_away)
    fleet.advance(50)
    fleet.start(added)
    fleet.advance(100)
    assert turned_away in known_ids(fleet, added)
    assert added in known_ids(fleet, turned_away)
    load(fleet, 5_000, rng)
    assert worst_overrun(fleet) <= 0
    fleet.faults = Faults()
    load(fleet, 4_000, rng)
    assert worst_overrun(fleet) <= 0


# The first message to a node, lost as it opens the connection, was the one that
# tells of a node that starts; so its answers came with the next heartbeats, and
# it took its share without them.
def test_what_a_node_tells_at_its_start_reaches_nodes_not_connected_yet() -> (
    None
):
    fleet = quota_fleet(3)
    fleet.faults.connect_nodes_ms = 2.0
    fleet.store.expire("e1")
    fleet.start("e5")
    fleet.advance(60)
    assert fleet.running["e5"].world.fleet.has_shares
    for name in NODES:
        assert "e5" in known_ids(fleet, name)
        assert name in known_ids(fleet, "e5")


# No node that knows both is asked at the start, as the answers are lost.
def test_nodes_learn_of_each_other_when_the_first_messages_are_lost() -> None:
    fleet = quota_fleet(2)
    fleet.faults.without_store = frozenset({"e1"})
    fleet.advance(LAPSE_MS)
    fleet.store.expire("e1")
    fleet.faults.message_loss_ratio = 1.0
    fleet.start("e5")
    fleet.advance(400)
    assert "e1" not in known_ids(fleet, "e5")
    fleet.faults.message_loss_ratio = 0.0
    fleet.advance(1_700)
    assert "e1" in known_ids(fleet, "e5")
    assert "e5" in known_ids(fleet, "e1")


# Groups that overlap each heard most of the fleet, and granted most of a limit.
@pytest.mark.parametrize(
    "links",
    [
        [("e1", "e2")],
        [("e1", "e3"), ("e2", "e4")],
        [("e1", "e3"), ("e1", "e4"), ("e2", "e4")],
    ],
    ids=["pair", "two pairs", "chain"],
)
def test_nodes_that_do_not_all_hear_each_other_keep_to_a_quota(
    links: list[tuple[str, str]],
) -> None:
    for seed in (1, 2):
        fleet = quota_fleet(seed)
        rng = random.Random(seed)
        load(fleet, 1_000, rng)
        fleet.faults.cut_links = frozenset(map(frozenset, links))
        load(fleet, 8_000, rng)
        fleet.faults = Faults()
        load(fleet, 4_000, rng)
        assert worst_overrun(fleet) <= 0, seed


def disturb(fleet: SimulatedFleet, rng: random.Random) -> str:
    """Applies a random failure of membership, or ends all; names it."""
    name = rng.choice(NODES + ADDED)
    match rng.randrange(7):
        case 0:
            fleet.faults.without_store |= {name}
            return f"{name} without store"
        case 1 if name in fleet.faults.without_store:
            fleet.store.expire(name)
            return f"{name} expires"
        case 2 if name not in fleet.running:
            fleet.start(name)
            return f"{name} starts"
        case 3:
            fleet.restart(name, rng.uniform(50, 1_500))
            return f"{name} restarts"
        case 4:
            pairs = itertools.combinations(NODES + ADDED, 2)
            cut = rng.sample(sorted(pairs), rng.randint(1, 4))
            fleet.faults.cut_links = frozenset(map(frozenset, cut))
            return f"cut {cut}"
        case 5:
            fleet.kill(name)
            return f"{name} is killed"
        case _:
            fleet.faults = Faults()
            return "calm"


@pytest.mark.parametrize("seed", RANDOM_SEEDS)
def test_no_order_of_failures_makes_two_owners(seed: int) -> None:
    rng = random.Random(seed)
    fleet = quota_fleet(seed)
    steps = []
    for _ in range(RANDOM_STEPS):
        steps.append(disturb(fleet, rng))
        load(fleet, rng.uniform(200, 4_000), rng)
    assert worst_overrun(fleet) <= 0, steps


def large_fleet(prefix: str) -> ForwardTicks:
    """Returns node e1 of zone a; only nodes of its zone send it heartbeats."""
    ticks = ForwardTicks([merge_route(1)], [entry("s0", "s0")])
    names = {f"{prefix}{number}": "abc"[number % 3] for number in range(30)}
    for name, zone in names.items():
        ticks.beat(name, zone=zone)
    ticks.advance(1_000, 100)
    for _ in range(6):
        active = [
            msgspec.structs.replace(node.record, sequence=int(ticks.now_ms))
            for node in ticks.world.fleet.nodes.values()
            if node.record.node_id in ticks.world.fleet.active_node_ids
        ]
        others = tuple(r for r in active if r.zone != "a")
        for record in active:
            if record.zone == "a":
                ticks.tick(NodeBeat(record, others))
        ticks.advance(1_000, 100)
    return ticks


# Active nodes of other zones send idle nodes no heartbeats, so that these would
# miss them without end and relay nothing to their zones.
def test_an_idle_node_misses_no_heartbeats_of_other_zones() -> None:
    ticks = large_fleet("n")
    fleet = ticks.world.fleet
    assert not activity.is_active(ticks.world)
    assert {
        fleet.nodes[name].record.zone for name in fleet.active_node_ids
    } == {*"abc"}
    unheard = membership_sync.unheard_ids(ticks.world, ticks.now_ns)
    assert not fleet.active_node_ids.intersection(unheard)
    # One that becomes active gets their heartbeats from now on.
    fleet.active_node_ids |= {"e1"}
    fleet.active_since_ns = ticks.now_ns
    unheard = membership_sync.unheard_ids(ticks.world, ticks.now_ns)
    assert not fleet.active_node_ids.intersection(unheard)
    later_ns = ticks.now_ns + 2 * NS_PER_S
    unheard = membership_sync.unheard_ids(ticks.world, later_ns)
    assert fleet.active_node_ids.intersection(unheard)


# In a large fleet that starts at once, every node sent the records of all to
# each of the others.
def test_one_node_of_a_large_fleet_sends_all_records_to_one_that_starts() -> (
    None
):
    zones = {f"e{number}": "abc"[number % 3] for number in range(1, 22)}
    *names, last = zones
    fleet = started_fleet(pass_route(), zones, names, CONNECTIONS, 1)
    known = fleet.running[names[0]].world.fleet.nodes[names[1]].record
    started = PeerNode(
        msgspec.structs.replace(
            known, node_id=last, zone=zones[last], fleet_size=5
        )
    )
    senders = [
        run.name
        for run in fleet.running.values()
        if membership_sync.records_for_started(run.world, started, fleet.now_ns)
    ]
    assert len(senders) == 1


# Nobody is left who knows both the node that the store turns away and those
# that started meanwhile. It heard half of its fleet of two, and granted half of
# a limit, while the others granted all.
@pytest.mark.parametrize("turned_away", ["e1", "e2"])
def test_a_node_that_can_learn_of_no_other_grants_no_quota(
    turned_away: str,
) -> None:
    nodes = ("e1", "e2")
    fleet = quota_fleet(1, nodes)
    rng = random.Random(1)
    fleet.faults.without_store = frozenset({turned_away})
    load(fleet, 9_000, rng)
    for name in nodes:
        fleet.store.expire(name)
        if name != turned_away:
            fleet.kill(name)
    for name in ADDED:
        fleet.start(name)
    load(fleet, 8_000, rng)
    fleet.faults = Faults()
    load(fleet, 4_000, rng)
    assert worst_overrun(fleet) <= 0


# As long as the records of the nodes stand, none can have started unknown.
def test_an_outage_of_the_store_leaves_the_quotas_usable() -> None:
    fleet = quota_fleet(2)
    rng = random.Random(2)
    fleet.faults.store_is_down = True
    load(fleet, 1_000, rng)
    start_ns = fleet.now_ns
    load(fleet, 4_500, rng)
    for tenant in TENANTS:
        ran_ns = fleet.ran[tenant.name].values()
        used_per_s = sum(at_ns >= start_ns for at_ns in ran_ns) / 4.5
        assert used_per_s >= 0.9 * tenant.rate_per_s
