"""Retries: the share of the fleet's budget that this node may spend."""

from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# A part stays unspent, for nodes that join and for counts cut differently.
_USED_BUDGET_RATIO = 0.85


def is_within_budget(world: ForwardWorld, service: str, now_ns: int) -> bool:
    """Tells whether one more arrival beyond the first is within budget."""
    settings = world.settings.retries
    slack = settings.slack * _USED_BUDGET_RATIO / world.fleet.size_seen
    ratio = settings.ratio * _USED_BUDGET_RATIO
    return world.window(service).room(now_ns, ratio, slack) >= 1
