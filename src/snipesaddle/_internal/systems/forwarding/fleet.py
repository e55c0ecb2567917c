"""Fleet: candidates from the store, liveness from heartbeats.

Each node exchanges heartbeats with a bounded set of neighbours on a ring of
hashed names. A heartbeat says what its sender knows; who lacks a newer
configuration, or cannot reach the store, is given it.
"""

from collections.abc import Mapping

from snipesaddle._internal.systems import rendezvous
from snipesaddle._internal.systems.forwarding.presence import record_of_self
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.commands import (
    DropNode,
    SendToNode,
)
from snipesaddle._internal.tables.forwarding.fleet import (
    FleetNode,
    NodePhase,
    NodeRecord,
)
from snipesaddle._internal.tables.forwarding.messages import (
    ConfigShare,
    EndpointsShare,
    NodeBeat,
)
from snipesaddle._internal.tables.forwarding.mirrors import Range
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

_BEAT = "beat"
_SHARE_GAP_NS = 500 * NS_PER_MS
# A watch that says nothing for so long, while others see changes, is stuck.
_BEHIND_NS = 1_200 * NS_PER_MS
_FORGET_NS = 30_000 * NS_PER_MS
_SIZE_MEMORY_NS = 30_000 * NS_PER_MS


def is_live(world: ForwardWorld, node: FleetNode, now_ns: int) -> bool:
    """Tells whether a node is held to be up.

    A neighbour is up while its heartbeats come; any other node while the
    store holds its record. A new neighbour gets time for its first heartbeat.
    """
    suspect_ns = world.settings.fleet.suspect_after_ms * NS_PER_MS
    if now_ns - node.heard_ns <= suspect_ns and node.heard_ns:
        return True
    if not node.registered:
        return False
    if node.heard_ns == 0 and not _is_neighbour(world, node):
        return True
    return now_ns - node.added_ns <= suspect_ns


def live_nodes(world: ForwardWorld, now_ns: int) -> list[NodeRecord]:
    """Returns the records of the other nodes that are up and serve."""
    return [
        node.record
        for node in world.fleet.nodes.values()
        if node.record.phase is NodePhase.SERVING
        and is_live(world, node, now_ns)
    ]


def neighbours(world: ForwardWorld) -> list[FleetNode]:
    """Returns the nodes with which this one exchanges heartbeats."""
    nodes = list(world.fleet.nodes.values())
    count = world.settings.fleet.neighbours
    if len(nodes) <= count:
        return nodes
    me = rendezvous.weight(world.me.node_id, "ring")
    nodes.sort(
        key=lambda node: (
            (rendezvous.weight(node.record.node_id, "ring") - me) % 2**64
        )
    )
    return nodes[: count // 2] + nodes[-(count - count // 2) :]


def announce(world: ForwardWorld) -> None:
    """Sends a heartbeat to all neighbours at once."""
    beat = NodeBeat(record_of_self(world))
    for node in neighbours(world):
        world.emit(SendToNode(node.record.peer_address, beat))


class FleetSystem(TickSystem[ForwardWorld]):
    """Keeps the table of the other nodes."""

    def start(self, world: ForwardWorld, now_ns: int) -> None:
        world.timers.set(TimerKind.BEAT, _BEAT, now_ns)

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
        for _ in world.timers.pop_due(TimerKind.BEAT, now_ns):
            announce(world)
            self._forget(world, now_ns)
            self._note_size(world, now_ns)
            interval_ns = world.settings.fleet.heartbeat_ms * NS_PER_MS
            world.timers.set(TimerKind.BEAT, _BEAT, now_ns + interval_ns)

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
            if item.node_id != world.me.node_id:
                self._upsert(world, item, now_ns).registered = True
            elif item.incarnation != world.me.incarnation:
                world.presence.stale = True
            return
        node = world.fleet.nodes.get(key)
        if node is not None:
            node.registered = False

    def _upsert(
        self, world: ForwardWorld, record: NodeRecord, now_ns: int
    ) -> FleetNode:
        node = world.fleet.nodes.get(record.node_id)
        if node is None:
            node = FleetNode(record, added_ns=now_ns)
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
            world.log(
                "node_phase", peer=record.node_id, phase=record.phase.value
            )
        if record.peer_address != old.peer_address:
            world.emit(DropNode(old.peer_address))
        node.record = record
        return node

    def _heard(
        self, world: ForwardWorld, record: NodeRecord, now_ns: int
    ) -> None:
        node = self._upsert(world, record, now_ns)
        if node.record.incarnation == record.incarnation:
            node.heard_ns = now_ns
        if now_ns - node.shared_ns < _SHARE_GAP_NS:
            return
        if self._share(world, node, record, now_ns):
            node.shared_ns = now_ns

    def _lacks_endpoints(
        self, world: ForwardWorld, node: FleetNode, now_ns: int
    ) -> bool:
        record = node.record
        if record.endpoints_revision >= world.endpoints_revision:
            node.behind_since_ns = 0
            return False
        if not record.store_ok or not record.endpoints_revision:
            return True
        node.behind_since_ns = node.behind_since_ns or now_ns
        return now_ns - node.behind_since_ns > _BEHIND_NS

    def _share(
        self,
        world: ForwardWorld,
        node: FleetNode,
        record: NodeRecord,
        now_ns: int,
    ) -> bool:
        shared = False
        config = world.active.config
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
            last_ns = max(node.heard_ns, node.added_ns)
            if not node.registered and now_ns - last_ns > _FORGET_NS:
                del world.fleet.nodes[node_id]
                world.emit(DropNode(node.record.peer_address))
                world.log("node_removed", peer=node_id)

    def _note_size(self, world: ForwardWorld, now_ns: int) -> None:
        fleet = world.fleet
        size = 1 + sum(
            node.registered or now_ns - node.heard_ns < _SIZE_MEMORY_NS
            for node in fleet.nodes.values()
        )
        expired = now_ns - fleet.size_seen_ns > _SIZE_MEMORY_NS
        if size >= fleet.size_seen or expired:
            fleet.size_seen = size
            fleet.size_seen_ns = now_ns


def _is_neighbour(world: ForwardWorld, node: FleetNode) -> bool:
    if len(world.fleet.nodes) <= world.settings.fleet.neighbours:
        return True
    return any(other is node for other in neighbours(world))
