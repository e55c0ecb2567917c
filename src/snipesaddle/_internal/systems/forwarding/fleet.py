"""Fleet: membership from the store, liveness from heartbeats.

Active nodes send heartbeats to all other nodes. A heartbeat carries the
versions of the configuration and of the endpoint list that its sender holds.
"""

from collections.abc import Mapping

from snipesaddle._internal.systems.forwarding import (
    activity,
    containment,
    peer_sync,
)
from snipesaddle._internal.systems.forwarding.presence import this_node_record
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.commands import (
    DisconnectPeer,
    SendToNode,
)
from snipesaddle._internal.tables.forwarding.fleet import (
    NodeRecord,
    PeerNode,
)
from snipesaddle._internal.tables.forwarding.messages import (
    NodeBeat,
)
from snipesaddle._internal.tables.forwarding.store_ranges import Range
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

_HEARTBEAT = "beat"
_NS_PER_S = 1_000_000_000
_REMOVE_AFTER_NS = 30_000 * NS_PER_MS
_SIZE_WINDOW_NS = 30_000 * NS_PER_MS


def heartbeat_targets(world: ForwardWorld) -> list[PeerNode]:
    """Returns the nodes that this one sends its heartbeats to.

    In a small fleet, while no node is known to be active, and from an active
    node, heartbeats go to all nodes, up to the setting `reach`: first to the
    active nodes and those of the same zone. Other nodes send only to the active
    nodes of their own zone, because traffic between zones is expensive.
    """
    fleet = world.fleet
    nodes = list(fleet.nodes.values())
    small = len(nodes) < world.settings.fleet.small
    if small or not fleet.active_node_ids or activity.is_active(world):
        nodes.sort(key=lambda node: _heartbeat_rank(world, node))
        return nodes[: world.settings.fleet.reach]
    return [
        node
        for node_id, node in fleet.nodes.items()
        if node_id in fleet.active_node_ids
        and node.record.zone == world.this_node.zone
    ]


def _heartbeat_rank(world: ForwardWorld, node: PeerNode) -> int:
    if node.record.node_id in world.fleet.active_node_ids:
        return 0
    return 1 if node.record.zone == world.this_node.zone else 2


def send_heartbeats(world: ForwardWorld) -> None:
    """Sends a heartbeat to each of the heartbeat targets."""
    heartbeat = NodeBeat(this_node_record(world))
    for node in heartbeat_targets(world):
        world.emit(SendToNode(node.record.peer_address, heartbeat))


class FleetSystem(TickSystem[ForwardWorld]):
    """Maintains the table of the other nodes and sends the heartbeats."""

    def start(self, world: ForwardWorld, now_ns: int) -> None:
        world.timers.set(TimerKind.FLEET_HEARTBEAT, _HEARTBEAT, now_ns)

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        listed = world.listed_ranges.pop(Range.NODES, None)
        if listed is not None:
            self._apply_list(world, listed, now_ns)
        changes = world.range_changes[Range.NODES]
        if changes:
            world.range_changes[Range.NODES] = []
            for change in changes:
                self._apply_item(world, change.key, change.item, now_ns)
        records = [beat.node for beat in world.inbox.take(NodeBeat)]
        containment.run_each(world, records, self._on_heartbeat, now_ns)
        for _ in world.timers.pop_due(TimerKind.FLEET_HEARTBEAT, now_ns):
            due_ns = now_ns + activity.heartbeat_interval_ns(world)
            world.timers.set(TimerKind.FLEET_HEARTBEAT, _HEARTBEAT, due_ns)
            self._run_heartbeat(world, now_ns)
        if world.fleet.active_is_stale:
            activity.refresh_active(world, now_ns)

    def _run_heartbeat(self, world: ForwardWorld, now_ns: int) -> None:
        self._update_attempt_rate(world, now_ns)
        self._update_recent_max_size(world, now_ns)
        activity.refresh_active(world, now_ns)
        send_heartbeats(world)
        self._remove_expired(world, now_ns)

    def _update_attempt_rate(self, world: ForwardWorld, now_ns: int) -> None:
        fleet = world.fleet
        elapsed_ns = now_ns - fleet.last_heartbeat_ns
        if elapsed_ns <= 0:
            return
        new_attempts = world.counters.attempts - fleet.attempts_at_heartbeat
        fleet.attempts_per_s = new_attempts * _NS_PER_S // elapsed_ns
        fleet.attempts_at_heartbeat = world.counters.attempts
        fleet.last_heartbeat_ns = now_ns

    def _apply_list(
        self, world: ForwardWorld, items: Mapping[str, object], now_ns: int
    ) -> None:
        for key, item in items.items():
            self._apply_item(world, key, item, now_ns)
        for node_id in world.fleet.nodes.keys() - items.keys():
            world.fleet.nodes[node_id].registered = False

    def _apply_item(
        self, world: ForwardWorld, key: str, item: object, now_ns: int
    ) -> None:
        if isinstance(item, NodeRecord):
            if item.node_id != world.this_node.node_id:
                self._upsert(world, item, now_ns).registered = True
            elif item.incarnation != world.this_node.incarnation:
                world.presence.stale = True
            return
        node = world.fleet.nodes.get(key)
        if node is not None:
            node.registered = False

    def _upsert(
        self, world: ForwardWorld, record: NodeRecord, now_ns: int
    ) -> PeerNode:
        node = world.fleet.nodes.get(record.node_id)
        if node is None:
            world.fleet.active_is_stale = True
            node = PeerNode(record, added_ns=now_ns)
            world.fleet.nodes[record.node_id] = node
            world.log("node_added", peer=record.node_id, zone=record.zone)
            return node
        old = node.record
        newer = (record.incarnation, record.sequence) > (
            old.incarnation,
            old.sequence,
        )
        if not newer:
            return node
        if record.incarnation != old.incarnation:
            node.added_ns = now_ns
        if record.phase is not old.phase:
            world.fleet.active_is_stale = True
            world.log(
                "node_phase", peer=record.node_id, phase=record.phase.value
            )
        if record.peer_address != old.peer_address:
            world.emit(DisconnectPeer(old.peer_address))
        node.record = record
        return node

    def _on_heartbeat(
        self, world: ForwardWorld, record: NodeRecord, now_ns: int
    ) -> None:
        node = self._upsert(world, record, now_ns)
        if not activity.is_live(world, node, now_ns):
            world.fleet.active_is_stale = True
        if node.record.incarnation == record.incarnation:
            node.last_heard_ns = now_ns
        fleet = world.fleet
        fleet.endpoints_revision = max(
            fleet.endpoints_revision, record.endpoints_revision
        )
        fleet.config_version = max(fleet.config_version, record.config_version)
        peer_sync.sync_if_behind(world, node, record, now_ns)

    def _remove_expired(self, world: ForwardWorld, now_ns: int) -> None:
        for node_id, node in list(world.fleet.nodes.items()):
            last_ns = max(node.last_heard_ns, node.added_ns)
            if not node.registered and now_ns - last_ns > _REMOVE_AFTER_NS:
                del world.fleet.nodes[node_id]
                world.emit(DisconnectPeer(node.record.peer_address))
                world.log("node_removed", peer=node_id)

    def _update_recent_max_size(self, world: ForwardWorld, now_ns: int) -> None:
        fleet = world.fleet
        size = 1 + sum(
            node.registered or now_ns - node.last_heard_ns < _SIZE_WINDOW_NS
            for node in fleet.nodes.values()
        )
        expired = now_ns - fleet.recent_max_seen_ns > _SIZE_WINDOW_NS
        if size >= fleet.recent_max_size or expired:
            fleet.recent_max_size = size
            fleet.recent_max_seen_ns = now_ns
