"""Limits of the whole fleet, shared while few of many nodes are active."""

import random

from standins.forwarding import ForwardTicks, entry, merge_route

from snipesaddle._internal.models.forwarding import RetrySettings
from snipesaddle._internal.systems.forwarding import (
    connections,
    fleet_shares,
    retries,
)
from snipesaddle._internal.tables.forwarding import commands
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
SIZE = 40
SLACK = 200.0


def node(name: str) -> ForwardWorld:
    """Returns the tables of one node of a large fleet."""
    ticks = ForwardTicks(
        [merge_route(1)],
        [entry("s0", "s0")],
        retries=RetrySettings(slack=SLACK),
    )
    ticks.world.this_node.node_id = name
    ticks.world.fleet.recent_max_size = SIZE
    ticks.world.fleet.last_active_ns.clear()
    return ticks.world


def set_active(
    world: ForwardWorld, active: frozenset[str], now_ns: int
) -> None:
    world.fleet.active_node_ids = active
    fleet_shares.update_active_share(world, now_ns)


def spend_all(world: ForwardWorld, now_ns: int) -> int:
    spent = 0
    while charge := retries.reserve_retry(world, "s0", now_ns):
        retries.count_sent(world, "s0", charge, now_ns)
        spent += 1
    return spent


def test_the_active_nodes_may_use_most_of_a_limit() -> None:
    world = node("e0")
    active = frozenset(f"e{number}" for number in range(8))
    for second in range(12):
        set_active(world, active, second * NS_PER_S)
    assert fleet_shares.share_of(world, SLACK) > 3 * SLACK / SIZE
    assert 8 * fleet_shares.share_of(world, SLACK) <= SLACK


def test_equal_shares_where_all_nodes_are_active() -> None:
    world = node("e0")
    everyone = frozenset(f"e{number}" for number in range(SIZE))
    for second in range(12):
        set_active(world, everyone, second * NS_PER_S)
    assert abs(fleet_shares.share_of(world, SLACK) - SLACK / SIZE) < 1e-9


def test_a_handover_under_failures_keeps_the_sum_within_the_budget() -> None:
    rng = random.Random(3)
    worlds = {f"e{number}": node(f"e{number}") for number in range(SIZE)}
    spent: list[tuple[int, int]] = []
    active = frozenset(list(worlds)[:8])
    for step in range(400):
        now_ns = NS_PER_S + step * 200 * NS_PER_MS
        if step % 60 == 59:
            active = frozenset(rng.sample(list(worlds), 8))
        for world in worlds.values():
            set_active(world, active, now_ns)
            spent.append((now_ns, spend_all(world, now_ns)))
    for start_ns, _ in spent:
        end_ns = start_ns + 10 * NS_PER_S
        in_window = sum(n for at, n in spent if start_ns <= at < end_ns)
        assert in_window <= SLACK


def test_connections_of_the_whole_fleet_stay_within_the_limit() -> None:
    for limit in (30, 60, 120):
        quotas = []
        for number in range(SIZE):
            world = node(f"e{number}")
            active = frozenset(f"e{other}" for other in range(8))
            for second in range(12):
                set_active(world, active, second * NS_PER_S)
            endpoint = world.endpoints["s0"]
            services = world.active_config.config.services
            services["s0"] = type(services["s0"])("s0", limit)
            quotas.append(connections.connection_quota(world, endpoint))
        assert sum(quotas) <= max(limit, SIZE)
        assert limit < 2 * SIZE or quotas[0] > limit // SIZE


def test_a_node_that_is_no_longer_active_closes_its_excess() -> None:
    ticks = ForwardTicks([merge_route(1)], [entry("s0", "s0")])
    asked = [ticks.ask(b"/sweep/x") for _ in range(4)]
    for attempt in ticks.taken(commands.SendAttempt):
        ticks.answer(attempt)
    endpoint = ticks.world.endpoints["s0"]
    held = endpoint.connection_count
    assert held > 1, asked
    ticks.world.fleet.recent_max_size = SIZE
    ticks.world.fleet.active_share = 0.0
    connections.close_excess(ticks.world)
    assert endpoint.connection_count == 1
    assert len(ticks.taken(commands.CloseConnection)) == 0
    ticks.tick()
    assert len(ticks.taken(commands.CloseConnection)) == held - 1


def test_hedges_leave_a_part_of_the_budget_to_retries() -> None:
    world = node("e0")
    now_ns = NS_PER_S
    hedges = 0
    for _ in range(100):
        retries.count_request(world, "s0", now_ns)
    while charge := retries.reserve_hedge(world, "s0", now_ns):
        retries.count_sent(world, "s0", charge, now_ns)
        hedges += 1
    assert spend_all(world, now_ns) >= hedges // 4
