"""Messages between nodes that a run of a node has asked for before a restart.

A node that restarted numbered its messages as its earlier run had, and took the
replies to those of the earlier run for its own.
"""

import os
import random

import msgspec
import pytest
from standins.forwarding import (
    ForwardTicks,
    entry,
    merge_route,
    pass_route,
    record_bytes,
    relaying_node,
)
from standins.simulated_fleet import Faults, started_fleet

from snipesaddle._internal.systems.forwarding import quota_owners
from snipesaddle._internal.tables.forwarding import commands
from snipesaddle._internal.tables.forwarding.messages import (
    QuotaAsk,
    QuotaReply,
    RelayAsk,
    RelayCancel,
    RelayReply,
)
from snipesaddle._internal.tables.forwarding.tenants import Tenant, TenantIndex

# More seeds by hand: FLEET_SEEDS=50.
RANDOM_SEEDS = range(1, 1 + int(os.environ.get("FLEET_SEEDS", "3")))
ZONES = {"e1": "a", "e2": "b", "e3": "a", "e4": "b"}
SHARDS = 4
EARLIER = "000000000001-aaaaaaaa"
LATER = "000000000002-bbbbbbbb"
KEY = b"key-of-alfa"
ROUTE = pass_route()


def relay_of(ticks: ForwardTicks) -> RelayAsk:
    ticks.ask(b"/sweep/x")
    (ask,) = ticks.sent_to_nodes(RelayAsk)
    return ask


def test_a_reply_to_a_relay_of_an_earlier_run_is_no_part() -> None:
    earlier, later = relaying_node(EARLIER), relaying_node(LATER)
    late = relay_of(earlier)
    asked = relay_of(later)
    for attempt in later.taken(commands.SendAttempt):
        later.answer(attempt, record_bytes(1))
    foreign = (b"x", b"y", b"z")
    later.tick(RelayReply(late.relay_id, record_bytes(9) * 3, foreign))
    assert not later.taken(commands.SendMergedAnswer)
    assert later.world.counters.replies_to_earlier_runs == 1
    own = (b"s1", b"s2", b"s3")
    later.tick(RelayReply(asked.relay_id, record_bytes(2) * 3, own))
    (merged,) = later.taken(commands.SendMergedAnswer)
    assert merged.missing == 0
    assert set(own) < set(merged.signatures)
    assert record_bytes(9) not in merged.body


def gathering_node() -> ForwardTicks:
    entries = [entry(f"s{number}a", f"s{number}") for number in range(SHARDS)]
    return ForwardTicks([merge_route(SHARDS)], entries)


# The relay of the later run replaced that of the earlier one, which could then
# not be cancelled, or was cancelled in its place.
@pytest.mark.parametrize("cancels_earlier", [False, True])
def test_a_cancel_ends_the_relay_of_its_own_run(cancels_earlier: bool) -> None:
    asks = [
        msgspec.structs.replace(
            relay_of(relaying_node(run)), client_request_id=run.encode()
        )
        for run in (EARLIER, LATER)
    ]
    ticks = gathering_node()
    for ask in asks:
        ticks.tick(ask)
    assert len(ticks.world.requests) == 2
    cancelled, kept = asks if cancels_earlier else reversed(asks)
    ticks.tick(RelayCancel(cancelled.relay_id, cancelled.reply_address))
    (request,) = ticks.world.requests.values()
    assert request.arrived.client_request_id == kept.client_request_id


def asking_node(incarnation: str) -> ForwardTicks:
    """Returns a node that is not the owner of the only tenant's quota."""
    for number in range(20):
        ticks = ForwardTicks(
            [ROUTE], [entry("f1", "file")], incarnation=incarnation
        )
        tenant = Tenant(f"t{number}", rate_per_s=10.0, burst=5.0)
        ticks.publish(2, [ROUTE], tenants=TenantIndex([(tenant, [KEY])]))
        ticks.beat("e2", config_version=2)
        found = quota_owners.candidates(ticks.world, ticks.now_ns)
        if quota_owners.owner_of(found, tenant.name) == "e2":
            return ticks
    raise AssertionError("no tenant is owned by the peer")


def question_of(ticks: ForwardTicks) -> QuotaAsk:
    ticks.ask(b"/file/1", api_keys=(KEY,))
    (asked,) = ticks.sent_to_nodes(QuotaAsk)
    return asked


def test_a_grant_to_an_earlier_run_starts_no_request() -> None:
    earlier, later = asking_node(EARLIER), asking_node(LATER)
    late = question_of(earlier)
    asked = question_of(later)
    later.tick(QuotaReply(late.ask_id, granted=True))
    later.open_all()
    assert not later.taken(commands.SendAttempt)
    assert later.world.counters.replies_to_earlier_runs == 1
    later.tick(QuotaReply(asked.ask_id, granted=True))
    later.open_all()
    assert len(later.taken(commands.SendAttempt)) == 1


@pytest.mark.parametrize("seed", RANDOM_SEEDS)
def test_no_order_of_restarts_mixes_the_parts_of_requests(seed: int) -> None:
    rng = random.Random(seed)
    # Endpoints in zone b only, and slow: all parts are relayed by the nodes of
    # zone a, and many replies are due after a restart.
    route = merge_route(SHARDS, target_latency_ms=600, timeout_ms=1_500)
    fleet = started_fleet(route, ZONES, ZONES, 200, seed, endpoint_zones=("b",))
    fleet.faults = Faults(slow_ratio=0.7, max_hold_ms=60.0)
    for _ in range(12):
        for _ in range(25):
            fleet.ask(b"/sweep/x", 1_500, names=("e1", "e3"))
            fleet.advance(rng.uniform(0.0, 10.0))
        fleet.restart(rng.choice(["e1", "e2", "e3"]), rng.uniform(1.0, 80.0))
        fleet.advance(rng.uniform(0.0, 300.0))
    fleet.advance(2_000)
    assert fleet.answers["whole"] > 50
    assert fleet.mixed_requests == []
