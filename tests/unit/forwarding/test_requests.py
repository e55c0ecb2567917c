"""What clients are told, and what endpoints are sent."""

import pytest
from standins.forwarding import (
    ForwardTicks,
    entry,
    merge_route,
    pass_route,
    record_bytes,
)

from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.commands import ErrorKind
from snipesaddle._internal.tables.forwarding.routes import WeightedService

SHARDS = 4


@pytest.fixture
def one() -> ForwardTicks:
    return ForwardTicks(
        [pass_route()], [entry("f1", "file"), entry("f2", "file", zone="b")]
    )


@pytest.fixture
def many() -> ForwardTicks:
    entries = [
        entry(f"s{number}{zone}", f"s{number}", zone=zone)
        for number in range(SHARDS)
        for zone in "ab"
    ]
    return ForwardTicks([merge_route(SHARDS)], entries)


def test_passes_an_answer_on_as_it_came(one: ForwardTicks) -> None:
    client = one.ask(b"/file/7")
    (attempt,) = one.taken(commands.SendAttempt)
    one.answer(attempt, b"content")
    (given,) = one.taken(commands.SendEndpointAnswer)
    assert given.client_id == client
    assert given.answer.body == b"content"
    assert given.answer.signature == b"sig-f1"


def test_stays_in_the_zone_while_an_endpoint_is_sound(
    one: ForwardTicks,
) -> None:
    for _ in range(5):
        one.ask(b"/file/7")
        (attempt,) = one.taken(commands.SendAttempt)
        assert attempt.endpoint_id == "f1"
        one.now_ms += 10
        one.answer(attempt)


def test_merges_the_greatest_records(many: ForwardTicks) -> None:
    many.ask(b"/sweep/x")
    for number, attempt in enumerate(many.taken(commands.SendAttempt)):
        body = record_bytes(number) + record_bytes(10 * number) + b"rest"
        many.answer(attempt, body)
    (merged,) = many.taken(commands.SendMergedAnswer)
    assert merged.body == b"".join(map(record_bytes, (30, 20, 10)))
    assert merged.missing == 0
    assert len(set(merged.signatures)) == SHARDS


def test_answers_with_enough_shards_at_the_target_latency(
    many: ForwardTicks,
) -> None:
    many.ask(b"/sweep/x")
    silent = "s3"
    for attempt in many.taken(commands.SendAttempt):
        if not attempt.endpoint_id.startswith(silent):
            many.answer(attempt)
    many.advance(100)
    assert not many.taken(commands.SendMergedAnswer)
    many.advance(20)
    (merged,) = many.taken(commands.SendMergedAnswer)
    assert merged.missing == 1


def test_hedges_a_silent_shard_once_on_its_other_endpoint(
    many: ForwardTicks,
) -> None:
    many.ask(b"/sweep/x")
    first = many.taken(commands.SendAttempt)
    for attempt in first[1:]:
        many.answer(attempt)
    many.advance(60)
    many.open_all()
    (hedge,) = many.taken(commands.SendAttempt)
    assert hedge.endpoint_id[:2] == first[0].endpoint_id[:2]
    assert hedge.endpoint_id != first[0].endpoint_id
    many.answer(hedge, record_bytes(5))
    (merged,) = many.taken(commands.SendMergedAnswer)
    assert merged.missing == 0


def test_gives_up_at_once_when_too_few_shards_can_answer(
    many: ForwardTicks,
) -> None:
    many.list_entries([entry("s0a", "s0"), entry("s1a", "s1")])
    many.ask(b"/sweep/x")
    (refused,) = many.taken(commands.SendError)
    assert not many.taken(commands.SendAttempt) or refused.retry_after_ms == 0


def test_says_not_run_when_no_endpoint_is_known(one: ForwardTicks) -> None:
    one.list_entries([])
    one.ask(b"/file/7")
    (refused,) = one.taken(commands.SendError)
    assert refused.error_kind == ErrorKind.NOT_RUN
    assert refused.retry_after_ms > 0


def test_sends_what_must_run_once_only_once() -> None:
    ticks = ForwardTicks(
        [pass_route(idempotent=False)],
        [entry("f1", "file"), entry("f2", "file")],
    )
    ticks.ask(b"/file/7", method=b"POST", body=b"order")
    (attempt,) = ticks.taken(commands.SendAttempt)
    ticks.lose(attempt)
    ticks.advance(300)
    ticks.open_all()
    assert not ticks.taken(commands.SendAttempt)
    (refused,) = ticks.taken(commands.SendError)
    assert refused.error_kind == ErrorKind.FAILED


def test_tries_another_endpoint_after_a_refusal() -> None:
    ticks = ForwardTicks(
        [pass_route(idempotent=False)],
        [entry("f1", "file"), entry("f2", "file")],
    )
    ticks.ask(b"/file/7", method=b"POST")
    (first,) = ticks.taken(commands.SendAttempt)
    ticks.answer(first, status=503, not_run=True, signature=b"")
    ticks.open_all()
    (second,) = ticks.taken(commands.SendAttempt)
    assert second.endpoint_id != first.endpoint_id
    ticks.answer(second, b"done")
    assert ticks.taken(commands.SendEndpointAnswer)


def test_does_not_pass_a_promise_of_an_endpoint_that_ran(
    one: ForwardTicks,
) -> None:
    one.ask(b"/file/7")
    (attempt,) = one.taken(commands.SendAttempt)
    one.answer(attempt, status=429)
    (refused,) = one.taken(commands.SendError)
    assert refused.error_kind == ErrorKind.FAILED


def test_takes_no_success_without_a_signature(one: ForwardTicks) -> None:
    one.ask(b"/file/7")
    (attempt,) = one.taken(commands.SendAttempt)
    one.answer(attempt, b"content", signature=b"")
    one.open_all()
    assert not one.taken(commands.SendEndpointAnswer)


def test_closes_the_calls_of_a_client_that_left(one: ForwardTicks) -> None:
    client = one.ask(b"/file/7")
    (attempt,) = one.taken(commands.SendAttempt)
    one.tick(events.ClientDisconnected(client))
    (closed,) = one.taken(commands.CloseConnection)
    assert closed.connection_id == attempt.connection_id


def test_answers_at_the_route_timeout() -> None:
    ticks = ForwardTicks(
        [pass_route(timeout_ms=300, max_attempts=1)], [entry("f1", "file")]
    )
    ticks.ask(b"/file/7", time_limit_ms=5_000)
    ticks.taken(commands.SendAttempt)
    ticks.advance(299)
    assert not ticks.taken(commands.SendError)
    ticks.advance(2)
    (refused,) = ticks.taken(commands.SendError)
    assert refused.error_kind == ErrorKind.TIMEOUT


def test_hands_on_no_more_time_than_is_left(one: ForwardTicks) -> None:
    one.ask(b"/file/7", time_limit_ms=250)
    (attempt,) = one.taken(commands.SendAttempt)
    assert 0 < attempt.time_left_ms <= 250


def test_takes_the_longest_prefix() -> None:
    ticks = ForwardTicks(
        [
            pass_route(name="short", prefix=b"/f/"),
            pass_route(name="long", prefix=b"/f/x/"),
        ],
        [entry("f1", "file")],
    )
    ticks.ask(b"/f/x/1?q")
    (request,) = ticks.world.requests.values()
    assert request.route.name == "long"


def test_unknown_paths_have_no_route(one: ForwardTicks) -> None:
    one.ask(b"/other/7")
    (refused,) = one.taken(commands.SendError)
    assert refused.error_kind == ErrorKind.NO_ROUTE


def test_splits_hold_their_weights() -> None:
    targets = (WeightedService("x", 3.0), WeightedService("y", 1.0))
    ticks = ForwardTicks(
        [pass_route(targets=targets)], [entry("x1", "x"), entry("y1", "y")]
    )
    for _ in range(40):
        ticks.ask(b"/file/1")
        for attempt in ticks.taken(commands.SendAttempt):
            ticks.answer(attempt)
    counts = {
        name: ticks.world.retry_budget(name).request_sum for name in ("x", "y")
    }
    assert counts == {"x": 30, "y": 10}


def test_hedges_stay_within_the_budget() -> None:
    ticks = ForwardTicks(
        [merge_route(1, min_coverage=1.0)],
        [entry("s0a", "s0"), entry("s0b", "s0")],
    )
    arrivals = 0
    for _ in range(100):
        ticks.ask(b"/sweep/x")
        ticks.advance(60)
        ticks.open_all()
        for attempt in ticks.taken(commands.SendAttempt):
            arrivals += 1
            ticks.answer(attempt)
        ticks.advance(40)
    settings = ticks.world.settings.retries
    assert arrivals - 100 <= settings.ratio * 100 + settings.slack
