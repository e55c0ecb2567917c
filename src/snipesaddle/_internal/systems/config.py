"""Configuration: a few nodes watch the store, the others learn from peers.

A node takes only a higher generation, whoever offers it.
"""

from snipesaddle._internal.systems import membership, rendezvous
from snipesaddle._internal.systems.base import NS_PER_MS, System, align_to_grid
from snipesaddle._internal.tables.commands import (
    FetchBlobs,
    SendPeer,
    WatchHead,
)
from snipesaddle._internal.tables.config import Head
from snipesaddle._internal.tables.events import BlobsRead, HeadRead
from snipesaddle._internal.tables.messages import HeadReply, HeadRequest
from snipesaddle._internal.tables.nodes import NodeState
from snipesaddle._internal.tables.timers import TimerKind
from snipesaddle._internal.tables.world import World

_WATCH_CHECK_NS = 1_000 * NS_PER_MS
_REWATCH_MS = 10
_RETRY_MIN_MS = 100
_RETRY_MAX_MS = 2_000
_PENDING_RETRY_MS = 300
_CHECK = "check"
_WATCH = "watch"
_PENDING = "pending"


def is_store_watcher(world: World) -> bool:
    """Tells whether this node is among those that watch the store.

    A node that knows of no live peer counts itself alone and so watches.
    """
    if world.config.generation == 0:
        return True
    peers = membership.live_peers(world)
    reaching = [peer.node_id for peer in peers if peer.store_ok]
    if world.this_node.store_ok:
        reaching.append(world.this_node.node_id)
    if not reaching:
        reaching = [peer.node_id for peer in peers] + [world.this_node.node_id]
    count = world.settings.membership.watchers
    return world.this_node.node_id in rendezvous.ranked(
        reaching, "watch", count
    )


class ConfigSystem(System):
    """Brings the newest generation into force."""

    def start(self, world: World, now_ns: int) -> None:
        world.timers.set(TimerKind.STORE_WATCH, _CHECK, now_ns)

    def run(self, world: World, now_ns: int) -> None:
        for request in world.inbox.take(HeadRequest):
            self._answer_peer(world, request)
        for read in world.inbox.take(HeadRead):
            self._apply_head_read(world, read, now_ns)
        for blobs in world.inbox.take(BlobsRead):
            world.config.fetching = False
            world.config.blobs.update(blobs.blobs)
            self._adopt_pending(world, now_ns)
        for reply in world.inbox.take(HeadReply):
            world.config.blobs.update(reply.blobs)
            self._offer(world, reply.head, now_ns)
        self._follow_peers(world, now_ns)
        if world.timers.pop_due(TimerKind.FETCH, now_ns):
            self._fetch_pending(world, now_ns, is_retry=True)
        due = world.timers.pop_due(TimerKind.STORE_WATCH, now_ns)
        if due:
            self._watch(world, now_ns)
        if _CHECK in due:
            due_ns = align_to_grid(now_ns + _WATCH_CHECK_NS, _WATCH_CHECK_NS)
            world.timers.set(TimerKind.STORE_WATCH, _CHECK, due_ns)

    def _watch(self, world: World, now_ns: int) -> None:
        config = world.config
        if config.watching or now_ns < config.watch_due_ns:
            return
        if not is_store_watcher(world):
            return
        config.watching = True
        wait_ms = world.settings.platform.watch_wait_ms
        world.emit(WatchHead(_newest_known(world), wait_ms))

    def _apply_head_read(
        self, world: World, read: HeadRead, now_ns: int
    ) -> None:
        config = world.config
        config.watching = False
        reached = read.head is not None
        if reached != world.this_node.store_ok:
            world.this_node.store_ok = reached
            membership.announce(world)
        if read.head is None:
            self._retry_watch(world, now_ns)
            return
        if read.head.generation < config.generation:
            self._retry_watch(world, now_ns)
            return
        config.watch_failures = 0
        config.store_confirmed_ns = now_ns
        self._offer(world, read.head, now_ns)
        due_ns = now_ns + _REWATCH_MS * NS_PER_MS
        world.timers.set(TimerKind.STORE_WATCH, _WATCH, due_ns)

    def _retry_watch(self, world: World, now_ns: int) -> None:
        failures = min(world.config.watch_failures, 8)
        world.config.watch_failures += 1
        delay_ms = min(_RETRY_MAX_MS, _RETRY_MIN_MS * 2**failures)
        jitter = 0.5 + world.rng.random() / 2
        due_ns = now_ns + int(delay_ms * jitter * NS_PER_MS)
        world.config.watch_due_ns = due_ns
        world.timers.set(TimerKind.STORE_WATCH, _WATCH, due_ns)

    def _follow_peers(self, world: World, now_ns: int) -> None:
        known = _newest_known(world)
        for peer in world.peers.take_dirty():
            if peer.live and peer.generation > known:
                self._ask_peer(world, peer.peer_address, now_ns)
                return

    def _ask_peer(self, world: World, peer_address: str, now_ns: int) -> None:
        config = world.config
        if now_ns < config.peer_request_due_ns:
            return
        config.peer_request_due_ns = now_ns + _PENDING_RETRY_MS * NS_PER_MS
        world.timers.set(TimerKind.FETCH, _PENDING, config.peer_request_due_ns)
        have = tuple(config.head.services.values())
        request = HeadRequest(world.this_node.peer_address, have)
        world.emit(SendPeer(peer_address, request))

    def _answer_peer(self, world: World, request: HeadRequest) -> None:
        config = world.config
        have = set(request.have)
        blobs = {
            digest: config.blobs[digest]
            for digest in config.head.services.values()
            if digest not in have
        }
        reply = HeadReply(config.head, blobs)
        world.emit(SendPeer(request.reply_address, reply))

    def _offer(self, world: World, head: Head, now_ns: int) -> None:
        config = world.config
        if head.generation > _newest_known(world):
            config.pending = head
        elif config.pending is None or head != config.pending:
            return
        if not self._adopt_pending(world, now_ns):
            self._fetch_pending(world, now_ns, is_retry=False)

    def _fetch_pending(
        self, world: World, now_ns: int, *, is_retry: bool
    ) -> None:
        config = world.config
        if config.pending is None:
            self._ask_newest_peer(world, now_ns)
            return
        due_ns = now_ns + _PENDING_RETRY_MS * NS_PER_MS
        world.timers.set(TimerKind.FETCH, _PENDING, due_ns)
        asked = self._ask_newest_peer(world, now_ns)
        if config.fetching or (asked and not is_retry):
            return
        config.fetching = True
        world.emit(FetchBlobs(_lacking(world, config.pending)))

    def _ask_newest_peer(self, world: World, now_ns: int) -> bool:
        newest = max(
            membership.live_peers(world),
            key=lambda peer: peer.generation,
            default=None,
        )
        if newest is None or newest.generation < _newest_known(world):
            return False
        if newest.generation <= world.config.generation:
            return False
        self._ask_peer(world, newest.peer_address, now_ns)
        return True

    def _adopt_pending(self, world: World, now_ns: int) -> bool:
        config = world.config
        head = config.pending
        if head is None or _lacking(world, head):
            return False
        config.pending = None
        if head.generation <= config.generation:
            return True
        config.head = head
        config.services = {
            name: config.blobs[digest] for name, digest in head.services.items()
        }
        used = set(head.services.values())
        config.blobs = {d: s for d, s in config.blobs.items() if d in used}
        config.services_by_workload = _workloads(world)
        config.in_force_since_ns = now_ns
        if world.this_node.state is NodeState.STARTING:
            world.this_node.state = NodeState.SERVING
        world.config_changed = True
        membership.announce(world)
        return True


def _newest_known(world: World) -> int:
    pending = world.config.pending
    return max(world.config.generation, pending.generation if pending else 0)


def _lacking(world: World, head: Head) -> tuple[str, ...]:
    blobs = world.config.blobs
    return tuple(d for d in head.services.values() if d not in blobs)


def _workloads(world: World) -> dict[str, tuple[str, ...]]:
    names: dict[str, list[str]] = {}
    for spec in world.config.services.values():
        names.setdefault(spec.workload, []).append(spec.name)
    return {workload: tuple(sorted(found)) for workload, found in names.items()}
