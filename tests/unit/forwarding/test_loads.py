"""Tests where attempts are placed while endpoints are slow or fail."""

from standins.forwarding import (
    ForwardTicks,
    entry,
    merge_route,
    pass_route,
)

from snipesaddle._internal.tables.forwarding import commands

REQUESTS = 60


def two_endpoints() -> ForwardTicks:
    """Returns a node with one shard: one endpoint near, one in another zone."""
    return ForwardTicks(
        [merge_route(1, min_coverage=1.0)],
        [entry("near", "s0"), entry("far", "s0", zone="b")],
    )


def learn_usual_latency(ticks: ForwardTicks) -> None:
    """Answers ten requests after 10 ms each, to set the latency estimates."""
    for _ in range(10):
        ticks.ask(b"/sweep/x")
        ticks.now_ms += 10
        for attempt in ticks.taken(commands.SendAttempt):
            ticks.answer(attempt)
    ticks.taken(commands.SendMergedAnswer)


def test_an_endpoint_that_refuses_half_is_avoided() -> None:
    ticks = two_endpoints()
    learn_usual_latency(ticks)
    refused = 0
    for turn in range(REQUESTS):
        ticks.ask(b"/sweep/x")
        while sent := ticks.taken(commands.SendAttempt):
            ticks.now_ms += 10
            for attempt in sent:
                if attempt.endpoint_id == "near" and turn % 2:
                    refused += turn >= REQUESTS // 2
                    ticks.answer(
                        attempt, status=503, not_run=True, signature=b""
                    )
                else:
                    ticks.answer(attempt)
            ticks.open_all()
        ticks.advance(20)
    assert len(ticks.taken(commands.SendMergedAnswer)) == REQUESTS
    assert refused <= REQUESTS // 12


def test_a_pausing_endpoint_gets_no_more_while_an_answer_is_overdue() -> None:
    ticks = two_endpoints()
    learn_usual_latency(ticks)
    ticks.ask(b"/sweep/x")
    (outstanding,) = ticks.taken(commands.SendAttempt)
    assert outstanding.endpoint_id == "near"
    ticks.advance(30)
    ticks.open_all()
    ticks.taken(commands.SendAttempt)
    for _ in range(5):
        ticks.ask(b"/sweep/x")
        (attempt,) = ticks.taken(commands.SendAttempt)
        assert attempt.endpoint_id == "far"
        ticks.answer(attempt)
        ticks.advance(5)


def test_a_slow_endpoint_is_avoided_and_later_tried_again() -> None:
    ticks = two_endpoints()
    learn_usual_latency(ticks)
    for _ in range(6):
        ticks.ask(b"/sweep/x")
        while sent := ticks.taken(commands.SendAttempt):
            for attempt in sent:
                if attempt.endpoint_id == "far":
                    ticks.answer(attempt)
                    continue
                ticks.advance(90)
                ticks.answer(attempt)
            ticks.open_all()
    ticks.ask(b"/sweep/x")
    (attempt,) = ticks.taken(commands.SendAttempt)
    assert attempt.endpoint_id == "far"
    ticks.answer(attempt)
    ticks.advance(15_000, 500)
    ticks.ask(b"/sweep/x")
    (attempt,) = ticks.taken(commands.SendAttempt)
    assert attempt.endpoint_id == "near"


def test_requests_do_not_wait_for_a_dead_shard() -> None:
    ticks = ForwardTicks(
        [merge_route(4)], [entry(f"s{n}", f"s{n}") for n in range(4)]
    )
    for _ in range(3):
        ticks.ask(b"/sweep/x")
        for attempt in ticks.taken(commands.SendAttempt):
            if attempt.endpoint_id != "s3":
                ticks.answer(attempt)
        ticks.advance(450)
    ticks.taken(commands.SendMergedAnswer)
    trials = 0
    for _ in range(5):
        ticks.ask(b"/sweep/x")
        for attempt in ticks.taken(commands.SendAttempt):
            if attempt.endpoint_id == "s3":
                trials += 1
            else:
                ticks.answer(attempt)
    assert trials <= 1
    merged = ticks.taken(commands.SendMergedAnswer)
    assert len(merged) == 5 - trials
    assert all(answer.missing == 1 for answer in merged)


def test_answers_lost_by_both_endpoints_are_asked_for_again() -> None:
    ticks = two_endpoints()
    learn_usual_latency(ticks)
    ticks.ask(b"/sweep/x")
    for _ in range(2):
        for attempt in ticks.taken(commands.SendAttempt):
            ticks.lose(attempt)
        ticks.advance(25)
        ticks.open_all()
    for attempt in ticks.taken(commands.SendAttempt):
        ticks.answer(attempt)
    assert ticks.taken(commands.SendMergedAnswer)


def test_a_part_runs_on_no_more_endpoints_than_permitted() -> None:
    endpoints = [entry(f"f{n}", "s0") for n in range(4)]
    ticks = ForwardTicks([merge_route(1, max_attempts=2)], endpoints)
    for _ in range(REQUESTS):
        ticks.ask(b"/sweep/x")
        used = set()
        while sent := ticks.taken(commands.SendAttempt):
            used |= {attempt.endpoint_id for attempt in sent}
            for attempt in sent:
                ticks.lose(attempt)
            ticks.advance(25)
            ticks.open_all()
        assert 1 <= len(used) <= 2
        ticks.advance(700, 100)


# A third endpoint, which the route does not permit, made the pause be skipped.
def test_the_same_endpoint_is_asked_again_after_a_pause() -> None:
    endpoints = [entry(f"f{n}", "s0") for n in range(3)]
    ticks = ForwardTicks([merge_route(1, max_attempts=2)], endpoints)
    ticks.ask(b"/sweep/x")
    for _ in range(2):
        (attempt,) = ticks.taken(commands.SendAttempt)
        ticks.lose(attempt)
        ticks.open_all()
    assert not ticks.taken(commands.SendAttempt)
    ticks.advance(25)
    ticks.open_all()
    assert len(ticks.taken(commands.SendAttempt)) == 1


def test_an_answer_lost_by_a_unique_request_is_not_asked_for_again() -> None:
    ticks = ForwardTicks(
        [pass_route(idempotent=False)],
        [entry("f1", "file"), entry("f2", "file")],
    )
    ticks.ask(b"/file/x", method=b"POST")
    (attempt,) = ticks.taken(commands.SendAttempt)
    ticks.lose(attempt)
    ticks.advance(100)
    ticks.open_all()
    assert not ticks.taken(commands.SendAttempt)
    (failed,) = ticks.taken(commands.SendError)
    assert failed.error_kind is commands.ErrorKind.FAILED
