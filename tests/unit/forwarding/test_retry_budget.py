"""The retry budget: what each node may spend, and what all of them spend."""

from standins.forwarding import ForwardTicks, entry, merge_route

from snipesaddle._internal.models.forwarding import RetrySettings
from snipesaddle._internal.systems.forwarding import retries
from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.budgets import ExtraCharge

CONNECT_MS = 4_000
WINDOW_MS = 10_000


def test_the_log_tells_what_limits_the_budget() -> None:
    ticks = ForwardTicks([merge_route(1)], [entry("s0", "s0")])
    retries.count_request(ticks.world, "s0", ticks.now_ns)
    charge = retries.reserve_retry(ticks.world, "s0", ticks.now_ns)
    assert charge is ExtraCharge.SLACK
    retries.count_sent(ticks.world, "s0", charge, ticks.now_ns)
    retries.log_use(ticks.world, ticks.now_ns)
    ticks.tick()
    (line,) = (
        line.fields
        for line in ticks.taken(commands.LogDecision)
        if line.event == "retry_budget"
    )
    assert (line["service"], line["requests"]) == ("s0", 1)
    assert (line["slack_sends"], line["tokens"]) == (1, 0.2)
    assert line["fleet_size"] == 1


def ticks_with_a_retry_that_waits() -> tuple[
    ForwardTicks, commands.OpenConnection
]:
    """Returns a node whose retry waits for a connection to open."""
    ticks = ForwardTicks(
        [merge_route(1, timeout_ms=20_000)],
        [entry("s0a", "s0"), entry("s0b", "s0")],
        retries=RetrySettings(ratio=0.0, slack=3.0, window_s=10),
    )
    ticks.ask(b"/sweep/x", time_limit_ms=20_000)
    (first,) = ticks.taken(commands.SendAttempt)
    ticks.lose(first)
    (opening,) = ticks.taken(commands.OpenConnection)
    return ticks, opening


# A retry counted from its choice, and arrived seconds later.
def test_a_retry_counts_for_a_whole_window_after_it_was_sent() -> None:
    ticks, opening = ticks_with_a_retry_that_waits()
    ticks.advance(CONNECT_MS, step_ms=100)
    ticks.tick(events.ConnectionOpened(opening.connection_id))
    assert ticks.taken(commands.SendAttempt)
    ticks.advance(WINDOW_MS - 1, step_ms=100)
    budget = ticks.world.retry_budget("s0")
    budget.advance(ticks.now_ns)
    assert budget.slack_left(3.0) == 2.0


def test_a_retry_that_was_never_sent_costs_no_budget() -> None:
    ticks, opening = ticks_with_a_retry_that_waits()
    budget = ticks.world.retry_budget("s0")
    assert budget.slack_left(3.0) == 2.0
    refused = events.ConnectionEnded(opening.connection_id, False, "refused")
    ticks.tick(refused)
    assert budget.slack_left(3.0) == 3.0
