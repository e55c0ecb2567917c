"""Retries: the share of the fleet's budget that this node may spend."""

from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# A part stays unspent, for nodes that join and for counts cut differently.
_USED_SHARE = 0.85


def may_spend(world: ForwardWorld, service: str, now_ns: int) -> bool:
    """Tells whether one more arrival beyond the first is within budget."""
    settings = world.settings.retries
    slack = settings.slack * _USED_SHARE / world.fleet.recent_max_size
    ratio = settings.ratio * _USED_SHARE
    return world.retry_budget(service).remaining(now_ns, ratio, slack) >= 1
