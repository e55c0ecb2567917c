"""Unit tests of deadlines, latency estimates and retry budgets."""

import random

import pytest
from standins.forwarding import ForwardTicks, entry, merge_route

from snipesaddle._internal.models.forwarding import RetrySettings
from snipesaddle._internal.systems.forwarding import deadlines, retries
from snipesaddle._internal.tables.forwarding.budgets import (
    ExtraCharge,
    RetryBudget,
)
from snipesaddle._internal.tables.forwarding.latencies import (
    LongestTimeLimit,
    RouteLatency,
)
from snipesaddle._internal.tables.forwarding.requests import (
    ArrivedRequest,
    Part,
    Request,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

MS = 1_000_000
S = 1_000 * MS


def request_of(shards: int) -> Request:
    route = merge_route(shards)
    arrived = ArrivedRequest(1, b"r", b"GET", b"h", b"/", (), b"", 600)
    return Request(
        request_id=1,
        arrived=arrived,
        route=route,
        config_version=1,
        arrived_ns=0,
        soft_deadline_ns=deadlines.soft_deadline_ns(route, 0, 0),
        deadline_ns=600 * MS,
        parts=[Part(name) for name in route.shards],
        open_parts=shards,
    )


def test_the_soft_deadline_leaves_time_to_reach_the_client() -> None:
    request = request_of(20)
    target_ns = request.route.target_latency_ms * MS
    assert target_ns - request.soft_deadline_ns >= 12 * MS


@pytest.mark.parametrize("total", [5, 20, 90])
def test_more_missing_parts_are_awaited_longer(total: int) -> None:
    request = request_of(total)
    times = [
        deadlines.earliest_partial_ns(request, m, total)
        for m in range(total + 1)
    ]
    assert times == sorted(times)
    assert times[-1] == request.soft_deadline_ns


def test_one_part_of_many_is_not_worth_a_late_answer() -> None:
    request = request_of(90)
    few = deadlines.earliest_partial_ns(request, 1, 20)
    many = deadlines.earliest_partial_ns(request, 1, 90)
    assert many < few <= request.soft_deadline_ns


def test_time_a_client_spent_shortens_the_soft_deadline() -> None:
    ticks = ForwardTicks([merge_route(1)], [entry("s0", "s0")])
    for limit_ms, spent_ms in ((600, 0), (575, 25), (600, 0), (300, 0)):
        client_id = ticks.ask(b"/sweep/x", time_limit_ms=limit_ms)
        request = ticks.world.requests[
            ticks.world.request_id_by_client[client_id]
        ]
        full_ns = deadlines.soft_deadline_ns(
            request.route, request.arrived_ns, 0
        )
        assert full_ns - request.soft_deadline_ns == spent_ms * MS


def test_longer_time_limits_are_forgotten() -> None:
    longest = LongestTimeLimit()
    assert longest.record(600, 0) == 600
    assert longest.record(500, 20 * S) == 600
    assert longest.record(500, 40 * S) == 600
    assert longest.record(500, 80 * S) == 500


def test_estimates_find_the_quantiles_of_latencies() -> None:
    rng = random.Random(1)
    latency = RouteLatency()
    values = [int(rng.uniform(10, 30) * MS) for _ in range(3_000)]
    for value in values:
        latency.record(value)
    values.sort()
    assert latency.median_ns == pytest.approx(values[1_500], rel=0.2)
    high_ns = values[int(3_000 * latency.high_quantile)]
    assert latency.high_ns == pytest.approx(high_ns, rel=0.2)


def test_a_pause_of_one_endpoint_moves_the_estimates_little() -> None:
    latency = RouteLatency()
    for _ in range(200):
        latency.record(10 * MS)
    before_ns = latency.median_ns
    for _ in range(3):
        latency.record(150 * MS)
    assert latency.median_ns < 1.2 * before_ns


def test_a_retry_budget_limits_extras_to_ratio_and_slack() -> None:
    retry_budget = RetryBudget(10 * S)
    spent = 0
    for turn in range(1_000):
        retry_budget.advance(turn * 10 * MS)
        retry_budget.count_request(ratio=0.2, max_tokens=2.0)
        charge = retry_budget.reserve(5.0)
        if charge is not None:
            retry_budget.count_sent(charge)
            spent += 1
    assert 0.2 * 1_000 - 2 <= spent <= 0.2 * 1_000 + 5


def test_a_retry_budget_forgets_old_extras() -> None:
    retry_budget = RetryBudget(10 * S)
    retry_budget.advance(1 * S)
    for _ in range(50):
        charge = retry_budget.reserve(50.0)
        assert charge is ExtraCharge.SLACK
        retry_budget.count_sent(charge)
    retry_budget.advance(2 * S)
    assert retry_budget.slack_left(10.0) < 0
    assert retry_budget.reserve(50.0) is None
    retry_budget.advance(12 * S)
    assert retry_budget.slack_left(10.0) == 10.0


def test_tokens_are_limited_however_long_it_is_calm() -> None:
    retry_budget = RetryBudget(10 * S)
    for turn in range(1_000):
        retry_budget.advance(turn * 10 * MS)
        retry_budget.count_request(ratio=0.2, max_tokens=3.0)
    reserved = [retry_budget.reserve(0.0) for _ in range(10)]
    assert reserved.count(ExtraCharge.TOKEN) == 3
    # Those that wait to be sent still count for the limit.
    for _ in range(100):
        retry_budget.count_request(ratio=0.2, max_tokens=3.0)
    assert retry_budget.reserve(0.0) is None


def send_retry(world: ForwardWorld, now_ns: int) -> bool:
    charge = retries.reserve_retry(world, "s0", now_ns)
    if charge is not None:
        retries.count_sent(world, "s0", charge, now_ns)
    return charge is not None


def test_no_span_of_a_window_exceeds_the_budget() -> None:
    rng = random.Random(7)
    world = ForwardTicks([], [], retries=RetrySettings(slack=5)).world
    now_ns = 0
    spent: list[int] = []
    asked: list[int] = []
    for _ in range(3_000):
        now_ns += int(rng.expovariate(40) * S)
        retries.count_request(world, "s0", now_ns)
        asked.append(now_ns)
        if rng.random() < 0.6 and send_retry(world, now_ns):
            spent.append(now_ns)
    for start_ns in spent:
        end_ns = start_ns + 10 * S
        inside = sum(start_ns <= at_ns < end_ns for at_ns in spent)
        # The requests of this span, or of one that began up to a span earlier.
        counts = [
            sum(low <= at_ns < low + 10 * S for at_ns in asked)
            for low in (start_ns, start_ns - 5 * S, start_ns - 10 * S)
        ]
        assert inside <= 0.2 * max(counts) + 5
