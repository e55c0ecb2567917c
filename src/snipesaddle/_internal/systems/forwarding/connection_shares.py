"""Connection shares: what a node may hold while others cannot shrink theirs.

Answers the load pattern of nodes that join a small fleet while another one is
frozen: that one hands nothing over, and its connections stay open at the
endpoints. A node that is down looks the same, so no time limit helps. Instead,
the record of each node tells which part of the connections it may hold. A
node that takes or grows its share leaves to each other node what its last
record says, and divides the rest with those that have less than an equal part.
It gets its equal part when the other node runs again and says that it holds
less, or when that node's record has ended.

A node that was frozen for so long that its record may have ended gives its
share up, and takes it again like one that starts.

In a large fleet the shares of the nodes that join are small, and those of the
active nodes grow slowly, so the unused margin of the limit covers them.
"""

from snipesaddle._internal.systems.forwarding import (
    connections,
    fleet_shares,
    presence,
)
from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.fleet import (
    UNKNOWN_SHARE,
    NodeRecord,
    ShareState,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld


def update(world: ForwardWorld, now_ns: int, *, may_grow: bool) -> None:
    """Updates the part of the connections that this node may hold."""
    this_fleet = world.fleet
    if not this_fleet.recent_max_size:
        return
    old_share = this_fleet.connection_share
    equal_share = 1 / this_fleet.recent_max_size
    if not fleet_shares.is_divided_equally(world):
        this_fleet.connection_share = equal_share
        return
    share = min(old_share, equal_share)
    if may_grow and share < equal_share:
        free_share = _free_share(world, share, equal_share, now_ns)
        share = min(equal_share, share + free_share)
    if share == old_share:
        return
    if not this_fleet.excess_endpoint_ids:
        this_fleet.exceeded_share = old_share
    this_fleet.connection_share = share
    world.presence.stale = True
    if share > old_share:
        # Nodes that start read from the store what this one may hold.
        presence.update_now(world, now_ns)
        connections.wake_waiting(world)


def _free_share(
    world: ForwardWorld, share: float, equal_share: float, now_ns: int
) -> float:
    """Returns this node's part of what no node holds."""
    others = [
        _held_share(node.record, equal_share)
        for node in fleet_shares.counted_nodes(world, now_ns)
    ]
    unknown = max(0, world.fleet.recent_max_size - 1 - len(others))
    free = 1.0 - share - sum(others) - unknown * equal_share
    waiting = 1 + sum(other < equal_share for other in others)
    return max(0.0, free / waiting)


def _held_share(record: NodeRecord, equal_share: float) -> float:
    if record.connection_share == UNKNOWN_SHARE:
        return 0.0 if record.shares is ShareState.NONE else equal_share
    return record.connection_share


def give_up_if_frozen(world: ForwardWorld, now_ns: int) -> None:
    """Gives this node's share up if its record may have ended meanwhile."""
    this_fleet = world.fleet
    max_pause_ns = world.settings.store.presence_ttl_ms * NS_PER_MS
    max_pause_ns -= presence.renewal_interval_ns(world)
    pause_ns = now_ns - this_fleet.last_heartbeat_ns
    if not this_fleet.has_shares or pause_ns < max_pause_ns:
        return
    this_fleet.has_shares = False
    this_fleet.is_counted = False
    this_fleet.announced_ns = 0
    if not this_fleet.excess_endpoint_ids:
        this_fleet.exceeded_share = this_fleet.connection_share
    this_fleet.connection_share = 0.0
    connections.close_excess(world)
    world.log("shares_given_up", paused_ms=pause_ns // NS_PER_MS)
