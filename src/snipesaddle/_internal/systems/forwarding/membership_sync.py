"""Membership sync: tells a node of others that it does not know or hear.

Nodes find each other in the store. A node that the store turns away until its
record has ended is found by none that starts, and cannot read of these; and
two nodes whose connection is cut still count for each other where a third one
hears both. So heartbeats say which active nodes their sender knows and from
which it expects heartbeats in vain, and whoever hears them sends the records
that are missing. Groups of nodes that overlap then agree on the active nodes,
and choose the same owner of a quota.
"""

from snipesaddle._internal.systems.forwarding import (
    activity,
    fleet_reach,
    peer_sync,
)
from snipesaddle._internal.tables.forwarding.fleet import (
    NodePhase,
    NodeRecord,
    PeerNode,
)
from snipesaddle._internal.tables.forwarding.messages import (
    UNKNOWN_VIEW,
    NodeBeat,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# A node is reported as unheard after one missed heartbeat. So the records that
# are sent in reply arrive before it counts as down.
_UNHEARD_AFTER_BEATS = 1.5
# Active nodes are chosen again after each change of the fleet, and for a moment
# the choices differ. A view that differs in two heartbeats lacks nodes.
_VIEW_DIFFERS_BEATS = 0.75


def unheard_ids(world: ForwardWorld, now_ns: int) -> tuple[str, ...]:
    """Returns the nodes whose heartbeats this one expects in vain."""
    return tuple(
        node_id
        for node_id, node in world.fleet.nodes.items()
        if is_unheard(world, node, now_ns)
    )


def is_unheard(world: ForwardWorld, node: PeerNode, now_ns: int) -> bool:
    """Returns whether the heartbeats of a node do not reach this one."""
    if node.record.phase is NodePhase.LEAVING:
        return False
    if not activity.is_live(world, node, now_ns) and not node.registered:
        return False
    expected_ns = _expected_directly_ns(world, node)
    if expected_ns is None:
        return False
    max_age_ns = activity.heartbeat_interval_ns(world) * _UNHEARD_AFTER_BEATS
    since_ns = max(expected_ns, node.added_ns, node.heard_directly_ns)
    return now_ns - since_ns > max_age_ns


def _expected_directly_ns(world: ForwardWorld, node: PeerNode) -> int | None:
    """Returns since when a node should send heartbeats to this very node.

    None if it sends none: those of active nodes are passed on to the idle nodes
    of other zones.
    """
    expected_ns = activity.heartbeats_expected_ns(world, node)
    if not expected_ns or node.record.zone == world.this_node.zone:
        return expected_ns
    if not activity.is_active(world):
        return None
    return max(expected_ns, world.fleet.active_since_ns)


def missing_records(
    world: ForwardWorld, node: PeerNode, beat: NodeBeat, now_ns: int
) -> tuple[NodeRecord, ...]:
    """Returns the records that a node lacks, by what its heartbeat tells.

    Args:
      world: the tables.
      node: the node that has sent the heartbeat.
      beat: the heartbeat.
      now_ns: the time of the tick.
    """
    wanted = set(beat.unheard)
    if _lacks_nodes(world, node, beat, now_ns):
        wanted |= world.fleet.active_node_ids
    wanted.discard(node.record.node_id)
    if not wanted:
        return ()
    return tuple(
        other.record
        for other_id, other in world.fleet.nodes.items()
        if other_id in wanted and fleet_reach.is_heard(world, other, now_ns)
    )


def records_for_started(
    world: ForwardWorld, started: PeerNode, now_ns: int
) -> tuple[NodeRecord, ...]:
    """Returns the nodes that one that starts may not have found in the store.

    One that knows fewer nodes than this one is sent all of them; in a large
    fleet, where many may start at once, by one node only.

    Args:
      world: the tables.
      started: the node that starts.
      now_ns: the time of the tick.
    """
    knows_fewer = started.record.fleet_size < world.fleet.size
    is_small = len(world.fleet.nodes) < world.settings.fleet.small
    is_source = activity.is_active(world) and peer_sync.is_sync_source(
        world, started.record
    )
    sends_all = knows_fewer and (is_small or is_source)
    return tuple(
        node.record
        for node in world.fleet.nodes.values()
        if node is not started
        and (sends_all or not node.registered or not node.record.store_ok)
        and fleet_reach.is_heard(world, node, now_ns)
    )


def _lacks_nodes(
    world: ForwardWorld, node: PeerNode, beat: NodeBeat, now_ns: int
) -> bool:
    if beat.view in (UNKNOWN_VIEW, world.fleet.active_view):
        node.view_differs_since_ns = 0
        return False
    if not node.view_differs_since_ns:
        node.view_differs_since_ns = now_ns
    min_ns = activity.heartbeat_interval_ns(world) * _VIEW_DIFFERS_BEATS
    return now_ns - node.view_differs_since_ns >= min_ns
