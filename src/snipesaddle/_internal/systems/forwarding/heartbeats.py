"""Heartbeats: tells other nodes of this one, at regular times and at once."""

from snipesaddle._internal.systems.forwarding import activity, membership_sync
from snipesaddle._internal.systems.forwarding.presence import this_node_record
from snipesaddle._internal.tables.forwarding.commands import SendToNode
from snipesaddle._internal.tables.forwarding.fleet import NodeRecord, PeerNode
from snipesaddle._internal.tables.forwarding.messages import NodeBeat
from snipesaddle._internal.tables.forwarding.world import ForwardWorld


def targets(world: ForwardWorld) -> list[PeerNode]:
    """Returns the nodes that this one regularly sends heartbeats to.

    In a small fleet, and while no node is known to be active, heartbeats go to
    all nodes, up to the setting `reach`. Otherwise traffic between zones, which
    is expensive, is left to the active nodes: they send heartbeats to each
    other, to all nodes of their zone, and to zones without an active node.
    Idle nodes send them to the active nodes of their zone.
    """
    fleet = world.fleet
    nodes = list(fleet.nodes.values())
    small = len(nodes) < world.settings.fleet.small
    if small or not fleet.active_node_ids:
        return nodes[: world.settings.fleet.reach]
    is_active = activity.is_active(world)
    active_zones = {
        node.record.zone
        for node in nodes
        if node.record.node_id in fleet.active_node_ids
    }
    found = []
    for node in nodes:
        is_same_zone = node.record.zone == world.this_node.zone
        if node.record.node_id in fleet.active_node_ids:
            is_target = is_active or is_same_zone
        else:
            is_target = is_active and (
                is_same_zone or node.record.zone not in active_zones
            )
        if is_target:
            found.append(node)
    return found


def send_regular(world: ForwardWorld, now_ns: int) -> None:
    """Sends a heartbeat to each node that gets them regularly."""
    record = this_node_record(world, now_ns)
    view = world.fleet.active_view
    unheard = membership_sync.unheard_ids(world, now_ns)
    others = _other_active_records(world, now_ns)
    short = NodeBeat(record, (), view, unheard)
    full = NodeBeat(record, others, view, unheard)
    for node in targets(world):
        is_idle = node.record.node_id not in world.fleet.active_node_ids
        heartbeat = full if is_idle else short
        world.emit(SendToNode(node.record.peer_address, heartbeat))


def announce(world: ForwardWorld, now_ns: int) -> None:
    """Tells all nodes at once of this node and its phase."""
    heartbeat = NodeBeat(this_node_record(world, now_ns))
    for node in world.fleet.nodes.values():
        world.emit(SendToNode(node.record.peer_address, heartbeat, resend=True))


def tell(
    world: ForwardWorld,
    peer_address: str,
    now_ns: int,
    others: tuple[NodeRecord, ...] = (),
) -> None:
    """Tells one node at once of this one, and of other records."""
    heartbeat = NodeBeat(this_node_record(world, now_ns), others)
    world.emit(SendToNode(peer_address, heartbeat, resend=True))


def _other_active_records(
    world: ForwardWorld, now_ns: int
) -> tuple[NodeRecord, ...]:
    if not activity.is_active(world):
        return ()
    return tuple(
        node.record
        for node in activity.live_active_peers(world, now_ns)
        if node.record.zone != world.this_node.zone and node.last_heard_ns
    )
