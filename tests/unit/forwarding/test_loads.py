"""Load patterns replayed: where work is placed when endpoints misbehave."""

from standins.forwarding import ForwardTicks, entry, merge_route

from snipesaddle._internal.tables.forwarding import commands

REQUESTS = 60


def two_endpoints() -> ForwardTicks:
    """One shard with an endpoint in this zone and one in another."""
    return ForwardTicks(
        [merge_route(1, min_coverage=1.0)],
        [entry("near", "s0"), entry("far", "s0", zone="b")],
    )


def learn(ticks: ForwardTicks) -> None:
    """Lets the route's usual latency become known."""
    for _ in range(10):
        ticks.ask(b"/sweep/x")
        ticks.now_ms += 10
        for attempt in ticks.taken(commands.SendAttempt):
            ticks.answer(attempt)
    ticks.taken(commands.SendMergedAnswer)


def test_an_endpoint_that_refuses_half_is_left_aside() -> None:
    ticks = two_endpoints()
    learn(ticks)
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


def test_a_pausing_endpoint_gets_no_more_while_it_owes_answers() -> None:
    ticks = two_endpoints()
    learn(ticks)
    ticks.ask(b"/sweep/x")
    (owed,) = ticks.taken(commands.SendAttempt)
    assert owed.endpoint_id == "near"
    ticks.advance(30)
    ticks.open_all()
    ticks.taken(commands.SendAttempt)
    for _ in range(5):
        ticks.ask(b"/sweep/x")
        (attempt,) = ticks.taken(commands.SendAttempt)
        assert attempt.endpoint_id == "far"
        ticks.answer(attempt)
        ticks.advance(5)


def test_a_slow_endpoint_is_left_aside_and_tried_again() -> None:
    ticks = two_endpoints()
    learn(ticks)
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


def test_a_dead_shard_costs_no_waiting() -> None:
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
