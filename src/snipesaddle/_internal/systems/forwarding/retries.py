"""Retries: this node's share of the fleet's retry budget."""

from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# The rest is a reserve for nodes that join, and for time windows that begin
# elsewhere than those counted here.
_USED_BUDGET_RATIO = 0.85


def is_within_budget(world: ForwardWorld, service: str, now_ns: int) -> bool:
    """Returns whether the budget allows one more retry or hedge."""
    settings = world.settings.retries
    slack = settings.slack * _USED_BUDGET_RATIO / world.fleet.recent_max_size
    ratio = settings.ratio * _USED_BUDGET_RATIO
    return world.retry_budget(service).remaining(now_ns, ratio, slack) >= 1
