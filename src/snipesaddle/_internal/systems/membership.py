"""Membership: candidates from the VM list, liveness from heartbeats.

Each node exchanges heartbeats with a bounded set of neighbours on a ring of
hashed names. Changes of state travel over the same graph as rumours.
"""

from snipesaddle._internal.systems import rendezvous
from snipesaddle._internal.systems.base import NS_PER_MS, System, align_to_grid
from snipesaddle._internal.tables.commands import (
    DisconnectPeer,
    ReadVmList,
    SendPeer,
)
from snipesaddle._internal.tables.events import VmEntry, VmListRead
from snipesaddle._internal.tables.messages import (
    Heartbeat,
    NodeRecord,
    NodeRumour,
    PeerMessage,
    ViewSync,
)
from snipesaddle._internal.tables.nodes import NodeState, Peer
from snipesaddle._internal.tables.timers import TimerKind
from snipesaddle._internal.tables.world import World

_FORGET_AFTER_NS = 60_000 * NS_PER_MS
_VM_LIST_SPREAD_MS_PER_NODE = 5
# Views differ for a moment after each change; only a lasting gap is mended.
_SYNC_AFTER_BEATS = 3
_BEAT = "beat"
_VM_LIST = "vm_list"


def live_peers(world: World) -> list[Peer]:
    """Returns the peers heard of lately."""
    return [peer for peer in world.peers if peer.live]


def serving_ids(world: World) -> list[str]:
    """Returns the ids of the live nodes that serve, this one included."""
    ids = [p.node_id for p in live_peers(world) if p.state is NodeState.SERVING]
    if world.this_node.state is NodeState.SERVING:
        ids.append(world.this_node.node_id)
    return ids


def neighbours(world: World) -> list[Peer]:
    """Returns the peers with which this node exchanges heartbeats."""
    count = world.settings.membership.neighbours
    peers = [peer for peer in world.peers if peer.listed or peer.live]
    if len(peers) <= count:
        return peers
    own_weight = rendezvous.weight(world.this_node.node_id, "ring")
    ring = sorted(
        peers,
        key=lambda peer: (
            (rendezvous.weight(peer.node_id, "ring") - own_weight) % 2**64
        ),
    )
    after = ring[: count // 2]
    before = ring[-(count - count // 2) :]
    return after + before


def this_node_record(world: World) -> NodeRecord:
    """Returns what this node says of itself now."""
    this_node = world.this_node
    this_node.sequence += 1
    return NodeRecord(
        node_id=this_node.node_id,
        incarnation=this_node.incarnation,
        http_address=this_node.http_address,
        peer_address=this_node.peer_address,
        zone=this_node.zone,
        state=this_node.state,
        generation=world.config.generation,
        store_ok=this_node.store_ok,
        sequence=this_node.sequence,
    )


def view_digest(world: World) -> int:
    """Returns a digest of the live nodes, this one included, 64 bits."""
    if world.peers_digest is None:
        digest = 0
        for peer in live_peers(world):
            digest ^= _digest(peer.node_id, peer.incarnation, peer.state)
        world.peers_digest = digest
    this_node = world.this_node
    return world.peers_digest ^ _digest(
        this_node.node_id, this_node.incarnation, this_node.state
    )


def heartbeat(world: World) -> Heartbeat:
    """Returns a heartbeat of this node."""
    return Heartbeat(this_node_record(world), view_digest(world))


def announce(world: World) -> None:
    """Sends a heartbeat to all neighbours at once."""
    flood(world, heartbeat(world))


def _digest(node_id: str, incarnation: str, state: NodeState) -> int:
    return rendezvous.weight(node_id, f"{incarnation}/{state.value}")


def flood(world: World, message: PeerMessage, skip: str = "") -> None:
    """Sends a message to all neighbours but one."""
    for peer in neighbours(world):
        if peer.node_id != skip:
            world.emit(SendPeer(peer.peer_address, message))


class MembershipSystem(System):
    """Keeps the table of peers."""

    def start(self, world: World, now_ns: int) -> None:
        world.timers.set(TimerKind.HEARTBEAT, _VM_LIST, now_ns)
        world.timers.set(TimerKind.HEARTBEAT, _BEAT, now_ns)

    def run(self, world: World, now_ns: int) -> None:
        for read in world.inbox.take(VmListRead):
            self._apply_vm_list(world, read, now_ns)
        for beat in world.inbox.take(Heartbeat):
            self._apply_record(world, beat.node, True, now_ns, direct=True)
            self._compare_views(world, beat)
        for sync in world.inbox.take(ViewSync):
            for record in sync.nodes:
                self._apply_record(world, record, True, now_ns, direct=False)
        for rumour in world.inbox.take(NodeRumour):
            self._apply_record(
                world, rumour.node, rumour.live, now_ns, direct=False
            )
        due = world.timers.pop_due(TimerKind.HEARTBEAT, now_ns)
        if _VM_LIST in due:
            self._read_vm_list(world, now_ns)
        if _BEAT in due:
            self._beat(world, now_ns)

    def _compare_views(self, world: World, beat: Heartbeat) -> None:
        """Sends the whole view to a neighbour whose view stays different.

        A rumour is sent once and may be lost; this makes up for it.
        """
        peer = world.peers.get(beat.node.node_id)
        if peer is None or not self._mesh_is_partial(world):
            return
        same = beat.view == view_digest(world)
        peer.view_mismatches = 0 if same else peer.view_mismatches + 1
        if peer.view_mismatches >= _SYNC_AFTER_BEATS:
            peer.view_mismatches = 0
            live = live_peers(world)
            records = tuple(_record_of_peer(other) for other in live)
            world.emit(SendPeer(peer.peer_address, ViewSync(records)))

    def _read_vm_list(self, world: World, now_ns: int) -> None:
        world.emit(ReadVmList())
        spread_ms = len(world.peers) * _VM_LIST_SPREAD_MS_PER_NODE
        interval_ms = world.settings.platform.vm_list_interval_ms
        interval_ns = max(interval_ms, spread_ms) * NS_PER_MS
        due_ns = align_to_grid(now_ns + interval_ns, interval_ns)
        world.timers.set(TimerKind.HEARTBEAT, _VM_LIST, due_ns)

    def _beat(self, world: World, now_ns: int) -> None:
        announce(world)
        self._suspect_silent(world, now_ns)
        interval_ns = (
            world.settings.membership.heartbeat_interval_ms * NS_PER_MS
        )
        due_ns = align_to_grid(now_ns + interval_ns, interval_ns)
        world.timers.set(TimerKind.HEARTBEAT, _BEAT, due_ns)

    def _suspect_silent(self, world: World, now_ns: int) -> None:
        suspect_ms = world.settings.membership.suspect_after_ms
        silent_since_ns = now_ns - suspect_ms * NS_PER_MS
        near = neighbours(world)
        for peer in near:
            # A new neighbour was no sender of heartbeats until now.
            if peer.node_id not in world.neighbour_ids:
                peer.last_heard_ns = max(peer.last_heard_ns, now_ns)
        world.neighbour_ids = {peer.node_id for peer in near}
        for peer in near:
            if peer.live and peer.last_heard_ns < silent_since_ns:
                self._mark_dead(world, peer)

    def _forget_gone(self, world: World, now_ns: int) -> None:
        for peer in world.peers:
            silent_ns = now_ns - peer.last_heard_ns
            if peer.live or peer.listed or silent_ns < _FORGET_AFTER_NS:
                continue
            world.peers.remove(peer.node_id)
            world.peers_digest = None
            world.emit(DisconnectPeer(peer.peer_address))

    def _mark_dead(self, world: World, peer: Peer) -> None:
        peer.live = False
        world.peers_digest = None
        world.peers.mark_dirty(peer.node_id)
        if self._mesh_is_partial(world):
            rumour = NodeRumour(_record_of_peer(peer), live=False)
            flood(world, rumour, skip=peer.node_id)

    def _mesh_is_partial(self, world: World) -> bool:
        return len(world.peers) > world.settings.membership.neighbours

    def _apply_vm_list(
        self, world: World, read: VmListRead, now_ns: int
    ) -> None:
        if read.nodes is None:
            return
        world.leaving_leaves = frozenset(read.leaving_leaves)
        listed = {entry.node_id: entry for entry in read.nodes}
        for peer in world.peers:
            peer.listed = peer.node_id in listed
        for entry in read.nodes:
            if entry.node_id != world.this_node.node_id:
                self._apply_entry(world, entry, now_ns)
        self._forget_gone(world, now_ns)

    def _apply_entry(self, world: World, entry: VmEntry, now_ns: int) -> None:
        if entry.node_id in world.peers:
            return
        peer = Peer(
            node_id=entry.node_id,
            incarnation="",
            http_address=entry.http_address,
            peer_address=entry.peer_address,
            zone=entry.zone,
            listed=True,
            last_heard_ns=now_ns,
        )
        world.peers.put(entry.node_id, peer)
        world.emit(SendPeer(peer.peer_address, heartbeat(world)))

    def _apply_record(
        self,
        world: World,
        record: NodeRecord,
        live: bool,
        now_ns: int,
        *,
        direct: bool,
    ) -> None:
        if record.node_id == world.this_node.node_id:
            return
        peer = world.peers.get(record.node_id)
        if peer is not None and not _is_newer(record, peer, live):
            return
        if peer is None:
            peer = world.peers.put(record.node_id, _peer_of(record))
        before = (peer.incarnation, peer.state, peer.live)
        _update_peer(peer, record, live, now_ns)
        world.peers.mark_dirty(peer.node_id)
        if before[0] != peer.incarnation:
            world.joined_peer_ids.append(peer.node_id)
        changed = before != (peer.incarnation, peer.state, peer.live)
        if changed:
            world.peers_digest = None
        if changed and direct:
            world.emit(SendPeer(peer.peer_address, heartbeat(world)))
        if changed and self._mesh_is_partial(world):
            flood(world, NodeRumour(record, live), skip=record.node_id)


def _is_newer(record: NodeRecord, peer: Peer, live: bool) -> bool:
    if record.incarnation != peer.incarnation:
        return record.incarnation > peer.incarnation
    if record.sequence == peer.sequence:
        return peer.live and not live
    return record.sequence > peer.sequence


def _peer_of(record: NodeRecord) -> Peer:
    return Peer(
        node_id=record.node_id,
        incarnation="",
        http_address=record.http_address,
        peer_address=record.peer_address,
        zone=record.zone,
    )


def _record_of_peer(peer: Peer) -> NodeRecord:
    return NodeRecord(
        node_id=peer.node_id,
        incarnation=peer.incarnation,
        http_address=peer.http_address,
        peer_address=peer.peer_address,
        zone=peer.zone,
        state=peer.state,
        generation=peer.generation,
        store_ok=peer.store_ok,
        sequence=peer.sequence,
    )


def _update_peer(
    peer: Peer, record: NodeRecord, live: bool, now_ns: int
) -> None:
    peer.incarnation = record.incarnation
    peer.http_address = record.http_address
    peer.peer_address = record.peer_address
    peer.zone = record.zone
    peer.state = record.state
    peer.generation = max(peer.generation, record.generation)
    peer.store_ok = record.store_ok
    peer.sequence = record.sequence
    peer.live = live and record.state is not NodeState.STOPPED
    peer.last_heard_ns = now_ns
