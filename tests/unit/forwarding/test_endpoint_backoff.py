"""Endpoints that refuse a request and say when to come back (Retry-After)."""

from collections import Counter

from standins.forwarding import ForwardTicks, entry, merge_route, pass_route

from snipesaddle._internal.tables.forwarding import commands
from snipesaddle._internal.tables.forwarding.endpoints import EndpointEntry

BACKOFF_MS = 2_000
GAP_MS = 20


def file_entry(endpoint_id: str, **changes: object) -> EndpointEntry:
    return entry(endpoint_id, "file", **changes)


def refuse(ticks: ForwardTicks, attempt: commands.SendAttempt) -> None:
    ticks.answer(
        attempt,
        status=503,
        signature=b"",
        not_run=True,
        retry_after_ms=BACKOFF_MS,
    )


def refused_once(*entries: EndpointEntry) -> ForwardTicks:
    """Returns a node whose endpoint f1 has asked for a pause."""
    ticks = ForwardTicks([pass_route()], list(entries))
    ticks.ask(b"/file/7")
    (attempt,) = ticks.taken(commands.SendAttempt)
    assert attempt.endpoint_id == "f1"
    refuse(ticks, attempt)
    ticks.open_all()
    for retry in ticks.taken(commands.SendAttempt):
        ticks.answer(retry)
    ticks.commands.clear()
    return ticks


def ask_for(ticks: ForwardTicks, ms: float) -> Counter[str]:
    """Counts where requests are sent within a time."""
    sent: Counter[str] = Counter()
    for _ in range(int(ms / GAP_MS)):
        ticks.ask(b"/file/7")
        for attempt in ticks.taken(commands.SendAttempt):
            sent[attempt.endpoint_id] += 1
            ticks.answer(attempt)
        ticks.advance(GAP_MS)
    return sent


# A refusal raised the cost of its endpoint for 40 ms, whatever it asked for.
def test_an_endpoint_gets_no_request_before_its_retry_after_ends() -> None:
    ticks = refused_once(file_entry("f1"), file_entry("f2", zone="b"))
    assert not ask_for(ticks, BACKOFF_MS - 2 * GAP_MS)["f1"]
    ticks.advance(2 * GAP_MS)
    assert ask_for(ticks, 1_000)["f1"]


def test_requests_for_endpoints_that_all_back_off_are_refused_at_once() -> None:
    ticks = refused_once(file_entry("f1"))
    ticks.advance(1_500)
    ticks.commands.clear()
    ticks.ask(b"/file/7")
    assert not ticks.taken(commands.SendAttempt)
    (error,) = ticks.taken(commands.SendError)
    assert error.error_kind is commands.ErrorKind.NOT_RUN
    assert 400 <= error.retry_after_ms <= 500


def test_a_connection_that_opens_after_the_refusal_carries_no_request() -> None:
    ticks = ForwardTicks([pass_route()], [file_entry("f1")])
    ticks.ask(b"/file/7")
    (first,) = ticks.taken(commands.SendAttempt)
    ticks.request(b"/file/7")
    refuse(ticks, first)
    ticks.open_all()
    assert not ticks.taken(commands.SendAttempt)


# The parts of the other shards were sent, and then the request failed.
def test_no_part_is_sent_if_too_few_shards_take_any() -> None:
    ticks = ForwardTicks(
        [merge_route(4)], [entry(f"s{n}a", f"s{n}") for n in range(4)]
    )
    ticks.ask(b"/sweep/x")
    for attempt in ticks.taken(commands.SendAttempt):
        if attempt.endpoint_id in ("s0a", "s1a"):
            refuse(ticks, attempt)
        else:
            ticks.answer(attempt)
    ticks.advance(700)
    ticks.commands.clear()
    ticks.ask(b"/sweep/x")
    assert not ticks.taken(commands.SendAttempt)
    (error,) = ticks.taken(commands.SendError)
    assert error.error_kind is commands.ErrorKind.NOT_RUN
