"""Fleet: candidates from the store, liveness from heartbeats.

Clients are sent to the active nodes: as many as the load needs, some in each
zone. Active nodes send heartbeats to all others. A heartbeat says what its
sender knows; who lacks a newer configuration, or cannot reach the store, is
given it.
"""

from collections.abc import Mapping

from snipesaddle._internal.systems import rendezvous
from snipesaddle._internal.systems.forwarding.presence import this_node_record
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.commands import (
    DisconnectPeer,
    SendToNode,
)
from snipesaddle._internal.tables.forwarding.fleet import (
    NodePhase,
    NodeRecord,
    PeerNode,
)
from snipesaddle._internal.tables.forwarding.messages import (
    ConfigShare,
    EndpointsShare,
    NodeBeat,
)
from snipesaddle._internal.tables.forwarding.store_ranges import Range
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

_BEAT = "beat"
_NS_PER_S = 1_000_000_000
_SHARE_GAP_NS = 900 * NS_PER_MS
# A watch that says nothing for so long, while others see changes, is stuck.
_BEHIND_NS = 2_500 * NS_PER_MS
# After this, any node helps, and not only the one whose turn it is.
_LONG_BEHIND_NS = 5_000 * NS_PER_MS
_FORGET_NS = 30_000 * NS_PER_MS
_SIZE_MEMORY_NS = 30_000 * NS_PER_MS


def heartbeat_interval_ns(world: ForwardWorld) -> int:
    """Returns the time between two heartbeats of this node."""
    settings = world.settings.fleet
    factor = 1 if len(world.fleet.nodes) < settings.small else 2
    return settings.heartbeat_ms * factor * NS_PER_MS


def is_live(world: ForwardWorld, node: PeerNode, now_ns: int) -> bool:
    """Tells whether a node is held to be up.

    A node that sends heartbeats is up while they come. One that is not heard
    is up while the store holds its record, unless it is active and so has to
    be heard.
    """
    interval_ns = heartbeat_interval_ns(world)
    suspect_ns = int(interval_ns * world.settings.fleet.missed_beats)
    if node.last_heard_ns and now_ns - node.last_heard_ns <= suspect_ns:
        return True
    if not node.registered or node.last_heard_ns:
        return False
    since_ns = max(node.active_since_ns, node.added_ns)
    return node.active_since_ns == 0 or now_ns - since_ns <= suspect_ns


def live_active_peers(world: ForwardWorld, now_ns: int) -> list[PeerNode]:
    """Returns the other active nodes that are up."""
    return [
        node
        for node_id, node in world.fleet.nodes.items()
        if node_id in world.fleet.active_node_ids
        and node.record.phase is NodePhase.SERVING
        and is_live(world, node, now_ns)
    ]


def is_active(world: ForwardWorld) -> bool:
    """Tells whether clients are sent to this node."""
    return world.this_node.node_id in world.fleet.active_node_ids


def choose_active(world: ForwardWorld, now_ns: int) -> frozenset[str]:
    """Returns the nodes that clients are to use, by the load of all.

    Few nodes with warm connections serve better than many with cold ones. All
    nodes rank the fleet in the same way, zone by zone.
    """
    by_zone: dict[str, list[str]] = {}
    load = world.fleet.attempts_per_s
    if world.this_node.phase is NodePhase.SERVING:
        by_zone[world.this_node.zone] = [world.this_node.node_id]
    for node_id, node in world.fleet.nodes.items():
        is_up = is_live(world, node, now_ns)
        if is_up and node.record.phase is NodePhase.SERVING:
            by_zone.setdefault(node.record.zone, []).append(node_id)
            load += node.record.attempts_per_s
    settings = world.settings.fleet
    wanted = max(settings.min_active, load // settings.attempts_per_node + 1)
    zones = max(1, len(by_zone))
    active: list[str] = []
    for node_ids in by_zone.values():
        count = -(-wanted // zones)
        active += rendezvous.ranked(node_ids, "active", count)
    return frozenset(active)


def listeners(world: ForwardWorld) -> list[PeerNode]:
    """Returns the nodes that this one sends its heartbeats to.

    An active node tells all; any other node tells the active ones of its own
    zone, since bytes between zones are dear.
    """
    fleet = world.fleet
    nodes = list(fleet.nodes.values())
    small = len(nodes) < world.settings.fleet.small
    if small or not fleet.active_node_ids or is_active(world):
        return nodes[: world.settings.fleet.reach]
    return [
        node
        for node_id, node in fleet.nodes.items()
        if node_id in fleet.active_node_ids
        and node.record.zone == world.this_node.zone
    ]


def announce(world: ForwardWorld) -> None:
    """Sends a heartbeat to all nodes that listen to this one."""
    beat = NodeBeat(this_node_record(world))
    for node in listeners(world):
        world.emit(SendToNode(node.record.peer_address, beat))


def _is_helper(world: ForwardWorld, needy: NodeRecord) -> bool:
    """Tells whether this node is the one that helps a node that lacks data.

    One of the same zone helps, where there is one: lists are long.
    """
    zones = {
        node_id: node.record.zone
        for node_id, node in world.fleet.nodes.items()
        if node_id in world.fleet.active_node_ids
    }
    zones[world.this_node.node_id] = world.this_node.zone
    zones.pop(needy.node_id, None)
    near = [name for name, zone in zones.items() if zone == needy.zone]
    helpers = near or list(zones)
    return world.this_node.node_id in rendezvous.ranked(
        helpers, needy.node_id, 1
    )


def refresh_active(world: ForwardWorld, now_ns: int) -> None:
    """Chooses the active nodes anew, and logs a change."""
    world.fleet.active_is_stale = False
    active = choose_active(world, now_ns)
    if active == world.fleet.active_node_ids:
        return
    for node_id, node in world.fleet.nodes.items():
        if node_id not in active:
            node.active_since_ns = 0
        elif not node.active_since_ns:
            node.active_since_ns = now_ns
    world.fleet.active_node_ids = active
    world.log("active_nodes", nodes=sorted(active))


class FleetSystem(TickSystem[ForwardWorld]):
    """Keeps the table of the other nodes."""

    def start(self, world: ForwardWorld, now_ns: int) -> None:
        world.timers.set(TimerKind.FLEET_HEARTBEAT, _BEAT, now_ns)

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        listed = world.lists.pop(Range.NODES, None)
        if listed is not None:
            self._apply_list(world, listed, now_ns)
        changes = world.changes[Range.NODES]
        if changes:
            world.changes[Range.NODES] = []
            for change in changes:
                self._apply(world, change.key, change.item, now_ns)
        for beat in world.inbox.take(NodeBeat):
            self._heard(world, beat.node, now_ns)
        for _ in world.timers.pop_due(TimerKind.FLEET_HEARTBEAT, now_ns):
            self._beat(world, now_ns)
        if world.fleet.active_is_stale:
            refresh_active(world, now_ns)

    def _beat(self, world: ForwardWorld, now_ns: int) -> None:
        self._measure(world, now_ns)
        refresh_active(world, now_ns)
        announce(world)
        self._forget(world, now_ns)
        self._note_size(world, now_ns)
        due_ns = now_ns + heartbeat_interval_ns(world)
        world.timers.set(TimerKind.FLEET_HEARTBEAT, _BEAT, due_ns)

    def _measure(self, world: ForwardWorld, now_ns: int) -> None:
        fleet = world.fleet
        span_ns = now_ns - fleet.last_heartbeat_ns
        if span_ns <= 0:
            return
        made = world.counters.attempts - fleet.attempts_counted
        fleet.attempts_per_s = made * _NS_PER_S // span_ns
        fleet.attempts_counted = world.counters.attempts
        fleet.last_heartbeat_ns = now_ns

    def _apply_list(
        self, world: ForwardWorld, items: Mapping[str, object], now_ns: int
    ) -> None:
        for key, item in items.items():
            self._apply(world, key, item, now_ns)
        for node_id in world.fleet.nodes.keys() - items.keys():
            world.fleet.nodes[node_id].registered = False

    def _apply(
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

    def _heard(
        self, world: ForwardWorld, record: NodeRecord, now_ns: int
    ) -> None:
        node = self._upsert(world, record, now_ns)
        if not is_live(world, node, now_ns):
            world.fleet.active_is_stale = True
        if node.record.incarnation == record.incarnation:
            node.last_heard_ns = now_ns
        if now_ns - node.shared_ns < _SHARE_GAP_NS:
            return
        if self._share(world, node, record, now_ns):
            node.shared_ns = now_ns

    def _lacks_endpoints(
        self, world: ForwardWorld, node: PeerNode, now_ns: int
    ) -> bool:
        record = node.record
        if record.endpoints_revision >= world.endpoints_revision:
            node.behind_revision = 0
            return False
        if record.endpoints_revision >= node.behind_revision:
            # It has caught up with what it lacked before: it is not stuck.
            node.behind_since_ns = now_ns
            node.behind_revision = world.endpoints_revision
        behind_ns = now_ns - node.behind_since_ns
        if behind_ns > _LONG_BEHIND_NS:
            return True
        patience_ns = _BEHIND_NS if record.store_ok else 0
        return behind_ns >= patience_ns and _is_helper(world, record)

    def _share(
        self,
        world: ForwardWorld,
        node: PeerNode,
        record: NodeRecord,
        now_ns: int,
    ) -> bool:
        shared = False
        config = world.active_config.config
        if 0 < config.version > record.config_version and config.source:
            share = ConfigShare(config.version, config.source)
            world.emit(SendToNode(record.peer_address, share))
            shared = True
        if self._lacks_endpoints(world, node, now_ns):
            entries = tuple(
                endpoint.entry for endpoint in world.endpoints.values()
            )
            revision = world.endpoints_revision
            world.emit(
                SendToNode(
                    record.peer_address, EndpointsShare(revision, entries)
                )
            )
            shared = True
        return shared

    def _forget(self, world: ForwardWorld, now_ns: int) -> None:
        for node_id, node in list(world.fleet.nodes.items()):
            last_ns = max(node.last_heard_ns, node.added_ns)
            if not node.registered and now_ns - last_ns > _FORGET_NS:
                del world.fleet.nodes[node_id]
                world.emit(DisconnectPeer(node.record.peer_address))
                world.log("node_removed", peer=node_id)

    def _note_size(self, world: ForwardWorld, now_ns: int) -> None:
        fleet = world.fleet
        size = 1 + sum(
            node.registered or now_ns - node.last_heard_ns < _SIZE_MEMORY_NS
            for node in fleet.nodes.values()
        )
        expired = now_ns - fleet.recent_max_seen_ns > _SIZE_MEMORY_NS
        if size >= fleet.recent_max_size or expired:
            fleet.recent_max_size = size
            fleet.recent_max_seen_ns = now_ns
