"""Quota owners: which node decides on a tenant, and for how much of a limit.

Nodes that cannot reach each other each have an owner for the same tenant. So an
owner grants only a part of the limit, which follows from the part of the fleet
that it hears. The parts of two or more groups of nodes never exceed the whole.
"""

from snipesaddle._internal.systems import rendezvous
from snipesaddle._internal.systems.forwarding import (
    activity,
    fleet_reach,
    quota_limits,
)
from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.fleet import NodePhase
from snipesaddle._internal.tables.forwarding.quotas import OwnerCandidates
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

_KEEP_NS = 50 * NS_PER_MS
# An owner that hears half of the fleet may grant half of a limit; one that
# misses a sixth, all; one that hears a sixth, nothing. The function is convex
# up to 1, so the parts of separate groups add up to at most 1.
_RATIO_SLOPE = 1.5
_RATIO_OFFSET = 0.25


def candidates(world: ForwardWorld, now_ns: int) -> OwnerCandidates:
    """Returns the nodes that may own quotas."""
    known = world.quotas.candidates
    active = world.fleet.active_node_ids
    if known.active_node_ids is active and now_ns - known.found_ns < _KEEP_NS:
        return known
    addresses = {
        node.record.node_id: node.record.peer_address
        for node in activity.live_active_peers(world, now_ns)
    }
    if _may_own(world):
        addresses[world.this_node.node_id] = ""
    window_ns = quota_limits.rule(world).window_ns
    heard = fleet_reach.heard_ratio(world, window_ns, now_ns)
    ratio = min(1.0, max(0.0, _RATIO_SLOPE * heard - _RATIO_OFFSET))
    if ratio != known.rate_ratio:
        world.log(
            "quota_rate_ratio",
            rate_ratio=round(ratio, 3),
            heard_ratio=round(heard, 3),
            may_miss_nodes=fleet_reach.may_miss_nodes(world, now_ns),
        )
    found = OwnerCandidates(addresses, ratio, active, now_ns)
    world.quotas.candidates = found
    return found


def owner_of(found: OwnerCandidates, tenant: str) -> str | None:
    """Returns the id of the node that owns a quota; None without nodes."""
    ranked = rendezvous.ranked(found.addresses, f"quota {tenant}", 1)
    return ranked[0] if ranked else None


def _may_own(world: ForwardWorld) -> bool:
    is_serving = world.this_node.phase is NodePhase.SERVING
    return is_serving and activity.is_active(world)
