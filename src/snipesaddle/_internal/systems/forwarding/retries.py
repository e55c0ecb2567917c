"""Retries: this node's share of the fleet's retry budget.

Answers the load pattern of many endpoints that lose answers or fail at once:
hedges, which may turn out needless, leave a part of the budget to the retries
of parts that have failed.

A window may contain sends of several runs of a node, and a run does not know
what the one before it sent. So no run uses the slack in its first window, and
what the first sends allow is spent soon after them or not at all: the sum over
all runs follows the requests, except for the few tokens that a run may save.
"""

from snipesaddle._internal.systems.forwarding import fleet_shares
from snipesaddle._internal.systems.tick import NS_PER_S
from snipesaddle._internal.tables.forwarding.budgets import (
    ExtraCharge,
    RetryBudget,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# The part of the budget that is spent. Of the rest, _SAVED_BUDGET_RATIO may be
# saved as tokens, and the last part is a reserve for nodes that join.
_USED_BUDGET_RATIO = 0.85
_SAVED_BUDGET_RATIO = 0.1
# Hedges use at most this part of the slack, and of the tokens.
_HEDGE_BUDGET_RATIO = 0.75


def count_request(world: ForwardWorld, service: str, now_ns: int) -> None:
    """Counts the first send of a part, which allows part of a retry."""
    budget = _current_budget(world, service, now_ns)
    ratio = world.settings.retries.ratio * _USED_BUDGET_RATIO
    budget.count_request(ratio, _max_tokens(world, budget))


def reserve_retry(
    world: ForwardWorld, service: str, now_ns: int
) -> ExtraCharge | None:
    """Reserves a retry of a failed part; None if the budget is exhausted."""
    budget = _current_budget(world, service, now_ns)
    return budget.reserve(_slack(world, now_ns))


def reserve_hedge(
    world: ForwardWorld, service: str, now_ns: int
) -> ExtraCharge | None:
    """Reserves a hedge of a late part; None if the budget is exhausted."""
    budget = _current_budget(world, service, now_ns)
    max_tokens = _max_tokens(world, budget)
    left_to_retries = max_tokens * (1 - _HEDGE_BUDGET_RATIO)
    min_tokens = min(max_tokens, 1 + left_to_retries)
    slack = _slack(world, now_ns) * _HEDGE_BUDGET_RATIO
    return budget.reserve(slack, min_tokens)


def count_sent(
    world: ForwardWorld, service: str, charge: ExtraCharge, now_ns: int
) -> None:
    """Counts a reserved retry or hedge when it is sent."""
    _current_budget(world, service, now_ns).count_sent(charge)


def release(world: ForwardWorld, service: str, charge: ExtraCharge) -> None:
    """Gives back a reserved retry or hedge, which is never sent."""
    world.retry_budget(service).release(charge)


def log_use(world: ForwardWorld, now_ns: int) -> None:
    """Logs the service that has used most slack, and what limits it."""
    if not world.retry_budgets:
        return
    service = max(
        world.retry_budgets,
        key=lambda name: world.retry_budgets[name].slack_sum,
    )
    budget = _current_budget(world, service, now_ns)
    if not budget.slack_sum:
        return
    world.log(
        "retry_budget",
        service=service,
        requests=budget.request_sum,
        tokens=round(budget.tokens, 1),
        max_tokens=round(_max_tokens(world, budget), 1),
        slack_sends=budget.slack_sum,
        slack=round(_slack(world, now_ns), 1),
        fleet_size=world.fleet.recent_max_size,
        active_share=round(world.fleet.active_share, 3),
        denials=world.counters.budget_denials,
    )


def _current_budget(
    world: ForwardWorld, service: str, now_ns: int
) -> RetryBudget:
    budget = world.retry_budget(service)
    budget.advance(now_ns)
    return budget


def _max_tokens(world: ForwardWorld, budget: RetryBudget) -> float:
    settings = world.settings.retries
    slack = fleet_shares.share_of(world, settings.slack)
    allowed = settings.ratio * budget.request_sum + slack
    return max(1.0, _SAVED_BUDGET_RATIO * allowed)


def _slack(world: ForwardWorld, now_ns: int) -> float:
    """Returns this node's part of the slack; none in its first window."""
    settings = world.settings.retries
    if now_ns - world.this_node.started_ns < settings.window_s * NS_PER_S:
        return 0.0
    return fleet_shares.share_of(world, settings.slack) * _USED_BUDGET_RATIO
