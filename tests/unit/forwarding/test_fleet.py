"""Which nodes the directory lists, and how a node shuts down."""

import msgspec
import pytest
from standins.forwarding import (
    HOST,
    NS_PER_MS,
    ForwardTicks,
    entry,
    merge_route,
    pass_route,
)

from snipesaddle._internal.systems.forwarding import (
    activity,
    connections,
    heartbeats,
)
from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.fleet import NodePhase
from snipesaddle._internal.tables.forwarding.messages import NodeBeat


@pytest.fixture
def ticks() -> ForwardTicks:
    entries = [
        entry(f"s{number}{zone}", f"s{number}", zone=zone)
        for number in range(4)
        for zone in "ab"
    ]
    return ForwardTicks([merge_route(4)], entries)


def named(ticks: ForwardTicks) -> set[str]:
    ticks.tick(events.DirectoryRequested(77, HOST, "a"))
    (answer,) = ticks.taken(commands.AnswerDirectory)
    return set(answer.addresses)


def test_names_the_nodes_that_are_heard(ticks: ForwardTicks) -> None:
    ticks.beat("e2")
    assert named(ticks) == {"127.0.0.1:1", "e2:1"}
    ticks.advance(2_000, 100)
    assert named(ticks) == {"127.0.0.1:1"}


def test_does_not_name_a_node_that_leaves(ticks: ForwardTicks) -> None:
    ticks.beat("e2")
    ticks.now_ms += 10
    ticks.beat("e2", phase=NodePhase.LEAVING)
    assert named(ticks) == {"127.0.0.1:1"}


def test_names_the_nodes_near_the_shards(ticks: ForwardTicks) -> None:
    ticks.beat("e2", zone="b")
    ticks.beat("e3", zone="c")
    assert named(ticks) == {"127.0.0.1:1", "e2:1"}


def test_names_all_nodes_when_few_near_ones_are_up(
    ticks: ForwardTicks,
) -> None:
    ticks.beat("e3", zone="c")
    assert named(ticks) == {"127.0.0.1:1", "e3:1"}


def test_a_leaving_node_serves_on_and_ends_within_its_grace(
    ticks: ForwardTicks,
) -> None:
    ticks.tick(events.DrainRequested())
    assert ticks.taken(commands.SetReadiness)[-1].ready is False
    ticks.ask(b"/sweep/x")
    for attempt in ticks.taken(commands.SendAttempt):
        ticks.answer(attempt)
    (merged,) = ticks.taken(commands.SendMergedAnswer)
    assert merged.close_connection
    ticks.advance(5_500, 100)
    assert ticks.taken(commands.CloseIdleClients)
    assert ticks.taken(commands.StopProcess)


def leaving(ticks: ForwardTicks, left_ms: float) -> None:
    """Stops a node, and advances until its exit is due in `left_ms`."""
    ticks.tick(events.DrainRequested())
    exit_ns = ticks.world.this_node.exit_deadline_ns
    running = ticks.ask(b"/sweep/x", time_limit_ms=60_000)
    ticks.advance(exit_ns / NS_PER_MS - left_ms - ticks.now_ms, 50)
    assert running
    ticks.commands.clear()


@pytest.fixture
def long_ticks() -> ForwardTicks:
    routes = [
        merge_route(4, timeout_ms=60_000, min_coverage=0.5),
        pass_route(idempotent=False, timeout_ms=5_000),
    ]
    entries = [entry(f"s{number}", f"s{number}") for number in range(4)]
    return ForwardTicks(routes, [*entries, entry("f", "file")])


# A request that may not be repeated was taken late in the grace and cut.
def test_a_leaving_node_refuses_what_it_may_not_finish(
    long_ticks: ForwardTicks,
) -> None:
    ticks = long_ticks
    leaving(ticks, left_ms=900)
    ticks.ask(b"/file/x", time_limit_ms=5_000)
    assert not ticks.taken(commands.SendAttempt)
    (refusal,) = ticks.taken(commands.SendError)
    assert refusal.error_kind is commands.ErrorKind.NOT_RUN
    assert refusal.close_connection
    assert refusal.retry_after_ms == 0


def test_a_leaving_node_serves_what_it_can_finish(
    long_ticks: ForwardTicks,
) -> None:
    ticks = long_ticks
    leaving(ticks, left_ms=900)
    ticks.ask(b"/file/x", time_limit_ms=800)
    ticks.ask(b"/sweep/x", time_limit_ms=5_000)
    assert len(ticks.taken(commands.SendAttempt)) == 5


def test_a_node_passes_nothing_on_after_its_decision_to_stop(
    long_ticks: ForwardTicks,
) -> None:
    ticks = long_ticks
    ticks.tick(events.DrainRequested())
    ticks.advance(5_500, 50)
    assert ticks.taken(commands.StopProcess)
    ticks.ask(b"/sweep/x")
    assert not ticks.taken(commands.SendAttempt)
    (refusal,) = ticks.taken(commands.SendError)
    assert refusal.error_kind is commands.ErrorKind.NOT_RUN


# The parts that had come in were dropped at the end of the grace.
def test_a_node_that_exits_sends_the_parts_that_are_in(
    long_ticks: ForwardTicks,
) -> None:
    ticks = long_ticks
    ticks.ask(b"/sweep/x", time_limit_ms=60_000)
    for attempt in ticks.taken(commands.SendAttempt)[:2]:
        ticks.answer(attempt, b"r" * 16)
    for part in next(iter(ticks.world.requests.values())).parts:
        part.hedge_at_ns = 0
    ticks.world.requests[next(iter(ticks.world.requests))].soft_deadline_ns *= 9
    ticks.tick(events.DrainRequested())
    ticks.advance(5_500, 50)
    (merged,) = ticks.taken(commands.SendMergedAnswer)
    assert merged.missing == 2
    assert ticks.taken(commands.StopProcess)


def test_connections_are_shared_among_the_nodes(ticks: ForwardTicks) -> None:
    endpoint = ticks.world.endpoints["s0a"]
    alone = connections.connection_quota(ticks.world, endpoint)
    for number in range(2, 6):
        ticks.beat(f"e{number}")
    ticks.advance(500, 100)
    shared = connections.connection_quota(ticks.world, endpoint)
    assert shared * 5 <= 20 < alone * 5


def large_fleet() -> ForwardTicks:
    """Returns node e1 of a fleet of three zones with few active nodes."""
    ticks = ForwardTicks([merge_route(1)], [entry("s0", "s0")])
    for _ in range(8):
        for number in range(30):
            ticks.beat(f"n{number}", zone="abc"[number % 3])
        ticks.advance(500, 100)
    return ticks


def regular_beats(ticks: ForwardTicks) -> dict[str, NodeBeat]:
    ticks.taken(commands.SendToNode)
    ticks.advance(1_000, 100)
    return {
        sent.peer_address: sent.message
        for sent in ticks.taken(commands.SendToNode)
        if isinstance(sent.message, NodeBeat)
    }


def test_heartbeats_between_zones_are_left_to_active_nodes() -> None:
    ticks = large_fleet()
    fleet = ticks.world.fleet
    for is_active in (False, True):
        if activity.is_active(ticks.world) != is_active:
            ids = fleet.active_node_ids ^ {ticks.world.this_node.node_id}
            fleet.active_node_ids = frozenset(ids)
        targets = heartbeats.targets(ticks.world)
        zones = {
            node.record.zone
            for node in targets
            if node.record.node_id not in fleet.active_node_ids
        }
        assert zones == ({"a"} if is_active else set())
        assert len(targets) < 25


def test_an_idle_node_learns_of_the_active_nodes_of_other_zones() -> None:
    ticks = large_fleet()
    beat = next(iter(regular_beats(ticks).values()))
    known = ticks.world.fleet.nodes["n1"].record
    later = msgspec.structs.replace(
        known, sequence=known.sequence + 1, phase=NodePhase.LEAVING
    )
    teller = ticks.world.fleet.nodes["n0"].record
    ticks.tick(NodeBeat(teller, (later, beat.node)))
    assert ticks.world.fleet.nodes["n1"].record.phase is NodePhase.LEAVING
    assert ticks.world.this_node.node_id not in ticks.world.fleet.nodes


def test_an_old_record_that_is_passed_on_is_no_sign_of_life() -> None:
    ticks = large_fleet()
    node = ticks.world.fleet.nodes["n1"]
    heard_ns = node.last_heard_ns
    ticks.advance(5_000, 100)
    teller = ticks.world.fleet.nodes["n0"].record
    ticks.tick(NodeBeat(teller, (node.record,)))
    assert node.last_heard_ns == heard_ns


def test_a_node_that_leaves_tells_all_nodes_at_once() -> None:
    ticks = large_fleet()
    ticks.taken(commands.SendToNode)
    ticks.tick(events.DrainRequested())
    told = {sent.peer_address for sent in ticks.taken(commands.SendToNode)}
    assert told >= {f"n{number}:2" for number in range(30)}
