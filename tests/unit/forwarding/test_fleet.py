"""Which nodes clients are told to use, and how a node leaves."""

import pytest
from standins.forwarding import HOST, ForwardTicks, entry, merge_route

from snipesaddle._internal.systems.forwarding import connections
from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.fleet import NodePhase


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


def test_connections_are_shared_among_the_nodes(ticks: ForwardTicks) -> None:
    endpoint = ticks.world.endpoints["s0a"]
    alone = connections.share_of(ticks.world, endpoint)
    for number in range(2, 6):
        ticks.beat(f"e{number}")
    ticks.advance(500, 100)
    shared = connections.share_of(ticks.world, endpoint)
    assert shared * 5 <= 20 < alone * 5
