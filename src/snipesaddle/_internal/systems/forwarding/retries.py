"""Retries: this node's share of the fleet's retry budget.

Answers the load pattern of many endpoints that lose answers or fail at once:
hedges, which may turn out needless, leave a part of the budget to the retries
of parts that have failed.
"""

from snipesaddle._internal.systems.forwarding import fleet_shares
from snipesaddle._internal.systems.tick import NS_PER_S
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# The rest is a reserve for nodes that join, and for time windows that begin
# elsewhere than those counted here.
_USED_BUDGET_RATIO = 0.85
# Hedges use at most this part of the budget.
_HEDGE_BUDGET_RATIO = 0.75


def may_retry(world: ForwardWorld, service: str, now_ns: int) -> bool:
    """Returns whether the budget allows one more retry of a failed part."""
    return _is_within(world, service, now_ns, _USED_BUDGET_RATIO)


def may_hedge(world: ForwardWorld, service: str, now_ns: int) -> bool:
    """Returns whether the budget allows one more hedge of a late part."""
    used_ratio = _USED_BUDGET_RATIO * _HEDGE_BUDGET_RATIO
    return _is_within(world, service, now_ns, used_ratio)


def log_use(world: ForwardWorld, now_ns: int) -> None:
    """Logs the service with the most extra sends, and what limits them."""
    if not world.retry_budgets:
        return
    service, budget = max(
        world.retry_budgets.items(), key=lambda item: item[1].extra_sum
    )
    if not budget.extra_sum:
        return
    slack = _slack(world, now_ns, _USED_BUDGET_RATIO)
    remaining = budget.remaining(
        now_ns, world.settings.retries.ratio * _USED_BUDGET_RATIO, slack
    )
    world.log(
        "retry_budget",
        service=service,
        requests=budget.request_sum,
        extras=budget.extra_sum,
        remaining=round(remaining, 1),
        slack=round(slack, 1),
        fleet_size=world.fleet.recent_max_size,
        active_share=round(world.fleet.active_share, 3),
        denials=world.counters.budget_denials,
    )


def _slack(world: ForwardWorld, now_ns: int, used_ratio: float) -> float:
    settings = world.settings.retries
    # The previous run of this node may have spent its share until the end, and
    # each window counts what both runs send.
    if now_ns - world.this_node.started_ns < settings.window_s * NS_PER_S:
        return 0.0
    return fleet_shares.share_of(world, settings.slack * used_ratio)


def _is_within(
    world: ForwardWorld, service: str, now_ns: int, used_ratio: float
) -> bool:
    settings = world.settings.retries
    slack = _slack(world, now_ns, used_ratio)
    ratio = settings.ratio * used_ratio
    return world.retry_budget(service).remaining(now_ns, ratio, slack) >= 1
