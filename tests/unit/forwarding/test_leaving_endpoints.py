"""Endpoints that say that they shut down, in an answer or a registration."""

from standins.forwarding import (
    ForwardTicks,
    entry,
    pass_route,
    relaying_node,
)

from snipesaddle._internal.tables.forwarding import commands
from snipesaddle._internal.tables.forwarding.endpoints import (
    EndpointEntry,
    Registration,
)
from snipesaddle._internal.tables.forwarding.messages import (
    RelayAsk,
    RelayReply,
)
from snipesaddle._internal.tables.forwarding.store_ranges import Range

MANY = 10
MORE_THAN_CONNECTIONS = 30
FORGOTTEN_MS = 700_000


def file_entry(endpoint_id: str, **changes: object) -> EndpointEntry:
    return entry(endpoint_id, "file", **changes)


def one_node(*entries: EndpointEntry) -> ForwardTicks:
    return ForwardTicks([pass_route()], list(entries))


def tell_leaving(ticks: ForwardTicks, endpoint_id: str) -> None:
    """Has an endpoint say in an answer that it leaves."""
    ticks.ask(b"/file/7")
    (attempt,) = ticks.taken(commands.SendAttempt)
    assert attempt.endpoint_id == endpoint_id
    ticks.answer(attempt, leaving=True)
    ticks.commands.clear()


def used_endpoints(ticks: ForwardTicks) -> set[str]:
    """Returns the endpoints that some requests are sent to."""
    used = set()
    for _ in range(MANY):
        ticks.ask(b"/file/7")
        for attempt in ticks.taken(commands.SendAttempt):
            used.add(attempt.endpoint_id)
            ticks.answer(attempt)
        ticks.advance(10)
    return used


# Only registrations were read, so a ready one outweighed every answer.
def test_an_endpoint_whose_answer_says_that_it_leaves_gets_no_request() -> None:
    ticks = one_node(file_entry("f1"), file_entry("f2", zone="b"))
    tell_leaving(ticks, "f1")
    assert used_endpoints(ticks) == {"f2"}


def test_a_hedge_that_lost_tells_that_its_endpoint_leaves() -> None:
    ticks = one_node(file_entry("f1"), file_entry("f2", zone="b"))
    ticks.ask(b"/file/7")
    ticks.advance(100)
    ticks.open_all()
    first, hedge = ticks.taken(commands.SendAttempt)
    ticks.answer(hedge)
    ticks.answer(first, leaving=True)
    assert used_endpoints(ticks) == {"f2"}


def test_a_request_for_a_leaving_endpoint_alone_is_refused_at_once() -> None:
    ticks = one_node(file_entry("f1"))
    tell_leaving(ticks, "f1")
    ticks.ask(b"/file/7")
    (error,) = ticks.taken(commands.SendError)
    assert error.error_kind is commands.ErrorKind.NOT_RUN


def with_waiting_parts() -> tuple[ForwardTicks, commands.SendAttempt]:
    """Returns a node whose parts wait for a connection, and an attempt."""
    ticks = one_node(file_entry("f1"))
    for _ in range(MORE_THAN_CONNECTIONS):
        ticks.ask(b"/file/7")
    attempt = ticks.taken(commands.SendAttempt)[0]
    assert ticks.world.pool("file").waiting
    ticks.commands.clear()
    return ticks, attempt


def assert_waiting_parts_are_refused(ticks: ForwardTicks) -> None:
    assert not ticks.world.pool("file").waiting
    errors = ticks.taken(commands.SendError)
    assert errors
    assert {error.error_kind for error in errors} == {
        commands.ErrorKind.NOT_RUN
    }


# A part that waited for a connection was not looked at again.
def test_a_part_that_waits_for_a_draining_endpoint_is_refused_at_once() -> None:
    ticks, _ = with_waiting_parts()
    draining = file_entry("f1", registration=Registration.DRAINING)
    ticks.change(Range.ENDPOINTS, "f1", draining)
    assert_waiting_parts_are_refused(ticks)


def test_a_part_that_waits_for_a_leaving_endpoint_is_refused_at_once() -> None:
    ticks, attempt = with_waiting_parts()
    ticks.answer(attempt, leaving=True)
    assert_waiting_parts_are_refused(ticks)


# The list of a store or a peer that is behind still says that it is ready.
def test_an_older_list_does_not_bring_a_leaving_endpoint_back() -> None:
    ticks = one_node(file_entry("f1"), file_entry("f2", zone="b"))
    tell_leaving(ticks, "f1")
    ready = file_entry("f1", warmup_left_ms=1)
    ticks.change(Range.ENDPOINTS, "f1", ready, revision=12)
    assert used_endpoints(ticks) == {"f2"}
    ticks.change(Range.ENDPOINTS, "f1", None, revision=13)
    ticks.change(Range.ENDPOINTS, "f1", ready, revision=14)
    assert used_endpoints(ticks) == {"f2"}


# Its registration expired while the answer was on its way.
def test_an_unlisted_endpoint_that_said_it_leaves_stays_out_of_use() -> None:
    ticks = one_node(file_entry("f1"), file_entry("f2", zone="b"))
    ticks.ask(b"/file/7")
    (attempt,) = ticks.taken(commands.SendAttempt)
    ticks.change(Range.ENDPOINTS, "f1", None)
    ticks.answer(attempt, leaving=True)
    ticks.change(Range.ENDPOINTS, "f1", file_entry("f1"), revision=12)
    assert used_endpoints(ticks) == {"f2"}


def test_an_endpoint_that_starts_again_is_used_again() -> None:
    ticks = one_node(file_entry("f1"), file_entry("f2", zone="b"))
    tell_leaving(ticks, "f1")
    restarted = file_entry("f1", born_unix_ms=2)
    ticks.change(Range.ENDPOINTS, "f1", restarted)
    assert "f1" in used_endpoints(ticks)


# The answer came on a connection to the run before.
def test_a_late_answer_does_not_stop_the_use_of_a_restarted_endpoint() -> None:
    ticks = one_node(file_entry("f1"))
    ticks.ask(b"/file/7")
    (late,) = ticks.taken(commands.SendAttempt)
    restarted = file_entry("f1", born_unix_ms=2)
    ticks.change(Range.ENDPOINTS, "f1", restarted)
    ticks.answer(late, leaving=True)
    ticks.commands.clear()
    assert used_endpoints(ticks) == {"f1"}


def test_what_endpoints_said_is_forgotten_after_they_are_gone() -> None:
    ticks = one_node(file_entry("f1"), file_entry("f2", zone="b"))
    tell_leaving(ticks, "f1")
    ticks.advance(FORGOTTEN_MS, step_ms=10_000)
    assert used_endpoints(ticks) == {"f2"}
    ticks.change(Range.ENDPOINTS, "f1", None)
    ticks.advance(FORGOTTEN_MS, step_ms=10_000)
    assert not ticks.world.leaving_entries


def relayed(ticks: ForwardTicks) -> RelayAsk:
    ticks.ask(b"/sweep/x")
    (ask,) = ticks.sent_to_nodes(RelayAsk)
    return ask


# The asking node passes on the answer, but another node has got it.
def test_the_node_that_passes_a_relayed_answer_on_stops_as_well() -> None:
    ticks = relaying_node()
    ask = relayed(ticks)
    leaving = entry("s1b", "s1", zone="b")
    reply = RelayReply(
        ask.relay_id, b"", (b"x", b"y", b"z"), leaving=(leaving,)
    )
    ticks.tick(reply)
    ticks.commands.clear()
    ticks.ask(b"/sweep/x")
    assert "s1b" not in {
        attempt.endpoint_id for attempt in ticks.taken(commands.SendAttempt)
    }
    asks = ticks.sent_to_nodes(RelayAsk)
    assert not any("s1" in ask.services for ask in asks)


def test_a_node_tells_in_a_relay_reply_which_endpoints_leave() -> None:
    ticks = relaying_node()
    ask = relayed(ticks)
    gathering = ForwardTicks(
        [], [entry("s1b", "s1", zone="b"), entry("s2b", "s2", zone="b")]
    )
    gathering.beat("e2", zone="b")
    gathering.tick(ask)
    gathering.open_all()
    for attempt in gathering.taken(commands.SendAttempt):
        gathering.answer(attempt, leaving=attempt.endpoint_id == "s1b")
    gathering.advance(200)
    replies = gathering.sent_to_nodes(RelayReply)
    (told,) = {found for reply in replies for found in reply.leaving}
    assert told.endpoint_id == "s1b"


# The counts of the new instance went below zero, and after a failure it was
# never used again.
def test_work_of_an_earlier_instance_does_not_count_at_the_restarted_one() -> (
    None
):
    ticks = one_node(file_entry("f1"))
    ticks.ask(b"/file/7")
    (late,) = ticks.taken(commands.SendAttempt)
    ticks.change(Range.ENDPOINTS, "f1", file_entry("f1", born_unix_ms=2))
    ticks.answer(late)
    endpoint = ticks.world.endpoints["f1"]
    assert endpoint.in_flight == 0
    assert endpoint.connection_count == 0
