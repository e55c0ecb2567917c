"""Handover: how a node that starts gets its share of the connections.

Answers the load pattern of a fleet that grows under load: the shares of the
nodes that are there shrink at once, but requests still run on the connections
above them. So a node that starts opens no connection until the others have
been told of it and have none left above their shares; one whose last request
of this kind has ended tells the nodes that wait. The records of the nodes are
written before they are read, so each node knows those that started before it,
and the sum of the connections stays within the limit. A node that restarts
while its record still stands in the store is counted already, and waits for
one node only, which tells how many there are.

A node that does not answer soon is not waited for: a restart of many nodes must
not keep the first ones from serving. It may be frozen, so what its record says
that it holds is left to it (`connection_shares`).
"""

from snipesaddle._internal.systems.forwarding import (
    activity,
    connection_shares,
    connections,
    fleet_shares,
    heartbeats,
    membership_sync,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.fleet import (
    PeerNode,
    ShareState,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

_HANDOVER = "handover"
# A node that is up answers sooner, also from another region.
_MAX_ANSWER_NS = 250 * NS_PER_MS
# After this time without the size of the fleet, nobody can tell it.
_MAX_UNKNOWN_SIZE_NS = 2_000 * NS_PER_MS


class HandoverSystem(TickSystem[ForwardWorld]):
    """Takes this node's share when it is free, and frees those of others."""

    def start(self, world: ForwardWorld, now_ns: int) -> None:
        due_ns = now_ns + _MAX_UNKNOWN_SIZE_NS
        world.timers.set(TimerKind.SHARE_HANDOVER, _HANDOVER, due_ns)

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        world.timers.pop_due(TimerKind.SHARE_HANDOVER, now_ns)
        if not world.fleet.has_shares:
            _take_when_free(world, now_ns)
        elif world.fleet.excess_endpoint_ids:
            _free_excess(world, now_ns)
        _answer_started_nodes(world, now_ns)


def _take_when_free(world: ForwardWorld, now_ns: int) -> None:
    this_fleet = world.fleet
    if this_fleet.recent_max_size and not this_fleet.announced_ns:
        heartbeats.announce(world, now_ns)
        this_fleet.announced_ns = now_ns
    waited_ns = now_ns - world.this_node.started_ns
    if not _is_free(world, waited_ns, now_ns):
        due_ns = this_fleet.announced_ns + _MAX_ANSWER_NS
        if this_fleet.announced_ns and due_ns > now_ns:
            world.timers.set(TimerKind.SHARE_HANDOVER, _HANDOVER, due_ns)
        return
    connection_shares.update(world, now_ns, may_grow=True)
    this_fleet.has_shares = True
    connections.wake_waiting(world)
    world.log(
        "shares_taken",
        fleet_size=this_fleet.recent_max_size,
        was_counted=this_fleet.is_counted,
        connection_share=round(this_fleet.connection_share, 3),
        waited_ms=waited_ns // NS_PER_MS,
    )


def _is_free(world: ForwardWorld, waited_ns: int, now_ns: int) -> bool:
    """Returns whether this node's share is free, as far as is known."""
    this_fleet = world.fleet
    if not this_fleet.announced_ns:
        return waited_ns >= _MAX_UNKNOWN_SIZE_NS
    if this_fleet.is_counted and _has_heard_any(world):
        return True
    return not any(
        _blocks(world, node, now_ns) for node in this_fleet.nodes.values()
    )


def _has_heard_any(world: ForwardWorld) -> bool:
    """Returns whether another node has told of the size of the fleet."""
    announced_ns = world.fleet.announced_ns
    return any(
        node.heard_directly_ns >= announced_ns
        for node in world.fleet.nodes.values()
    )


def _blocks(world: ForwardWorld, node: PeerNode, now_ns: int) -> bool:
    """Returns whether a node may still use a part of this one's share."""
    announced_ns = world.fleet.announced_ns
    if node.heard_directly_ns < announced_ns:
        return now_ns - announced_ns < _MAX_ANSWER_NS
    return node.record.shares is ShareState.EXCEEDED and activity.is_live(
        world, node, now_ns
    )


def _free_excess(world: ForwardWorld, now_ns: int) -> None:
    """Tells the nodes that wait once no connection is above the share."""
    this_fleet = world.fleet
    for endpoint_id in list(this_fleet.excess_endpoint_ids):
        if not connections.exceeds_quota(world, endpoint_id):
            del this_fleet.excess_endpoint_ids[endpoint_id]
    if this_fleet.excess_endpoint_ids:
        return
    if fleet_shares.is_divided_equally(world):
        # The record may still tell of the larger share.
        world.presence.stale = True
    for node in this_fleet.nodes.values():
        if node.record.shares is ShareState.NONE:
            heartbeats.tell(world, node.record.peer_address, now_ns)


def _answer_started_nodes(world: ForwardWorld, now_ns: int) -> None:
    """Answers each node that has told of itself and waits for its share."""
    for node in world.fleet.unanswered_nodes:
        if node.answered_incarnation != node.record.incarnation:
            node.answered_incarnation = node.record.incarnation
            others = membership_sync.records_for_started(world, node, now_ns)
            heartbeats.tell(world, node.record.peer_address, now_ns, others)
    world.fleet.unanswered_nodes.clear()
