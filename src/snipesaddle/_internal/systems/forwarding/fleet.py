"""Fleet: membership from the store, liveness from heartbeats.

Active nodes send heartbeats to each other and to their zone. A heartbeat
carries the versions of the configuration and of the endpoint list that its
sender holds.
"""

from collections.abc import Mapping

from snipesaddle._internal import incarnations
from snipesaddle._internal.systems.forwarding import (
    activity,
    confirmation,
    connection_shares,
    connections,
    containment,
    evacuations,
    fleet_shares,
    heartbeats,
    membership_sync,
    peer_sync,
    presence,
    retries,
    store_eras,
    work_estimates,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, NS_PER_S, TickSystem
from snipesaddle._internal.tables.forwarding.commands import DisconnectPeer
from snipesaddle._internal.tables.forwarding.fleet import (
    NodeRecord,
    PeerNode,
    ShareState,
)
from snipesaddle._internal.tables.forwarding.messages import (
    NodeBeat,
)
from snipesaddle._internal.tables.forwarding.store_ranges import Range
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

_HEARTBEAT = "beat"
# Where a node was learnt of, in the log; otherwise the id of another node.
_STORE_SOURCE = "store"
_REMOVE_AFTER_NS = 30_000 * NS_PER_MS
# A run that is older is the one that was replaced.
_MAX_RENEWAL_AGE_NS = 30_000 * NS_PER_MS


class FleetSystem(TickSystem[ForwardWorld]):
    """Maintains the table of the other nodes and sends the heartbeats."""

    def start(self, world: ForwardWorld, now_ns: int) -> None:
        world.this_node.started_ns = now_ns
        world.timers.set(TimerKind.FLEET_HEARTBEAT, _HEARTBEAT, now_ns)

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        had_seen_own_record = world.fleet.own_record_seen
        listed = world.listed_ranges.pop(Range.NODES, None)
        if listed is not None:
            self._apply_list(world, listed, now_ns)
        changes = world.range_changes[Range.NODES]
        if changes:
            world.range_changes[Range.NODES] = []
            for change in changes:
                self._apply_item(world, change.key, change.item, now_ns)
        if world.fleet.own_record_seen and not had_seen_own_record:
            # Nodes that read the records before do not know of this one.
            heartbeats.announce(world, now_ns)
            world.fleet.announced_ns = now_ns
        beats = world.inbox.take(NodeBeat)
        containment.run_each(world, beats, self._on_beat, now_ns)
        for _ in world.timers.pop_due(TimerKind.FLEET_HEARTBEAT, now_ns):
            due_ns = now_ns + activity.heartbeat_interval_ns(world)
            world.timers.set(TimerKind.FLEET_HEARTBEAT, _HEARTBEAT, due_ns)
            self._run_heartbeat(world, now_ns)
        if world.fleet.active_is_stale:
            self._update_shares(world, now_ns)

    def _run_heartbeat(self, world: ForwardWorld, now_ns: int) -> None:
        connection_shares.give_up_if_frozen(world, now_ns)
        self._update_attempt_rate(world, now_ns)
        # Before the size of the fleet changes, which the budget depends on.
        retries.log_use(world, now_ns)
        work_estimates.log_use(world)
        self._update_shares(world, now_ns)
        # Once in a heartbeat, so that the others' growth is known by the next.
        may_grow = world.fleet.has_shares
        connection_shares.update(world, now_ns, may_grow=may_grow)
        heartbeats.send_regular(world, now_ns)
        self._remove_expired(world, now_ns)

    def _update_shares(self, world: ForwardWorld, now_ns: int) -> None:
        old_size = world.fleet.recent_max_size
        fleet_shares.update_size(world, now_ns)
        is_first = world.fleet.has_shares and not old_size
        connection_shares.update(world, now_ns, may_grow=is_first)
        activity.refresh_active(world, now_ns)
        if old_size and world.fleet.recent_max_size > old_size:
            connections.close_excess(world)

    def _update_attempt_rate(self, world: ForwardWorld, now_ns: int) -> None:
        fleet = world.fleet
        elapsed_ns = now_ns - fleet.last_heartbeat_ns
        if elapsed_ns <= 0:
            return
        new_attempts = world.counters.attempts - fleet.attempts_at_heartbeat
        fleet.attempts_per_s = new_attempts * NS_PER_S // elapsed_ns
        fleet.attempts_at_heartbeat = world.counters.attempts
        fleet.last_heartbeat_ns = now_ns

    def _apply_list(
        self, world: ForwardWorld, items: Mapping[str, object], now_ns: int
    ) -> None:
        world.fleet.listed = True
        world.fleet.active_is_stale = True
        for key, item in items.items():
            self._apply_item(world, key, item, now_ns)
        for node_id in world.fleet.nodes.keys() - items.keys():
            world.fleet.nodes[node_id].registered = False
        presence.write_first(world, now_ns)

    def _apply_item(
        self, world: ForwardWorld, key: str, item: object, now_ns: int
    ) -> None:
        if isinstance(item, NodeRecord):
            if item.node_id != world.this_node.node_id:
                node = self._upsert(world, item, _STORE_SOURCE, now_ns)
                node.registered = True
            else:
                self._on_own_record(world, item, now_ns)
            return
        removed = world.fleet.nodes.get(key)
        if removed is not None:
            removed.registered = False

    def _on_own_record(
        self, world: ForwardWorld, record: NodeRecord, now_ns: int
    ) -> None:
        fleet = world.fleet
        _renew_incarnation(world, record, now_ns)
        if record.incarnation != world.this_node.incarnation:
            world.presence.stale = True
            if record.shares is not ShareState.NONE:
                fleet.is_counted = True
        elif not fleet.own_record_seen:
            fleet.own_record_seen = True
            fleet.active_is_stale = True

    def _upsert(
        self, world: ForwardWorld, record: NodeRecord, source: str, now_ns: int
    ) -> PeerNode:
        node = world.fleet.nodes.get(record.node_id)
        if node is None:
            world.fleet.active_is_stale = True
            node = PeerNode(record, added_ns=now_ns)
            world.fleet.nodes[record.node_id] = node
            world.log(
                "node_added",
                peer=record.node_id,
                zone=record.zone,
                source=source,
            )
            return node
        old = node.record
        if not _is_newer(record, old):
            return node
        if record.incarnation != old.incarnation:
            node.added_ns = now_ns
            node.silent_since_ns = 0
        if record.phase is not old.phase:
            world.fleet.active_is_stale = True
            world.log(
                "node_phase", peer=record.node_id, phase=record.phase.value
            )
        if record.peer_address != old.peer_address:
            world.emit(DisconnectPeer(old.peer_address))
        node.record = record
        return node

    def _on_beat(
        self, world: ForwardWorld, beat: NodeBeat, now_ns: int
    ) -> None:
        source = beat.node.node_id
        self._on_record(world, beat.node, source, now_ns)
        fleet = world.fleet
        if beat.node.fleet_size > fleet.reported_size:
            fleet.reported_size = beat.node.fleet_size
            fleet.active_is_stale = True
        for record in beat.others:
            self._on_other(world, record, source, now_ns)
        confirmation.record_peer(world, beat.node, now_ns)
        node = fleet.nodes[source]
        if beat.node.incarnation == node.record.incarnation:
            node.heard_directly_ns = now_ns
        missing = membership_sync.missing_records(world, node, beat, now_ns)
        if beat.node.incarnation < node.record.incarnation:
            # Its clock has been set back since, or it has been replaced.
            missing += (node.record,)
        if missing:
            world.counters.membership_syncs += 1
            heartbeats.tell(world, beat.node.peer_address, now_ns, missing)
        if beat.node.shares is ShareState.NONE:
            fleet.unanswered_nodes.append(node)
        peer_sync.sync_if_behind(world, node, beat.node, now_ns)

    def _on_other(
        self, world: ForwardWorld, record: NodeRecord, source: str, now_ns: int
    ) -> None:
        """Processes the record of a node that another one has passed on."""
        if record.node_id == world.this_node.node_id:
            _renew_incarnation(world, record, now_ns)
            return
        known = world.fleet.nodes.get(record.node_id)
        # Several nodes pass on the same record; only a newer one shows that its
        # node is up.
        if known is None or _is_newer(record, known.record):
            self._on_record(world, record, source, now_ns)
        if known is None:
            # It may not know of this node either.
            heartbeats.tell(world, record.peer_address, now_ns)

    def _on_record(
        self, world: ForwardWorld, record: NodeRecord, source: str, now_ns: int
    ) -> None:
        node = self._upsert(world, record, source, now_ns)
        if not activity.is_live(world, node, now_ns):
            world.fleet.active_is_stale = True
        if node.record.incarnation == record.incarnation:
            node.last_heard_ns = now_ns
            node.silent_since_ns = 0
        fleet = world.fleet
        fleet.config_version = max(fleet.config_version, record.config_version)
        # Revisions of two eras cannot be compared.
        if store_eras.observe(world, record.store_era, record.node_id, now_ns):
            fleet.endpoints_revision = max(
                fleet.endpoints_revision, record.endpoints_revision
            )
            evacuations.record_peer(world, record)

    def _remove_expired(self, world: ForwardWorld, now_ns: int) -> None:
        for node_id, node in list(world.fleet.nodes.items()):
            last_ns = max(node.last_heard_ns, node.added_ns)
            if not node.registered and now_ns - last_ns > _REMOVE_AFTER_NS:
                del world.fleet.nodes[node_id]
                world.emit(DisconnectPeer(node.record.peer_address))
                world.log("node_removed", peer=node_id)


def _is_newer(record: NodeRecord, known: NodeRecord) -> bool:
    return (record.incarnation, record.sequence) > (
        known.incarnation,
        known.sequence,
    )


def _renew_incarnation(
    world: ForwardWorld, record: NodeRecord, now_ns: int
) -> None:
    """Makes this run sort higher than an earlier run of this node.

    The clock has been set back since the earlier run started; the others would
    pass over all that this one sends.
    """
    this_node = world.this_node
    age_ns = now_ns - this_node.started_ns
    if (
        record.incarnation <= this_node.incarnation
        or age_ns > _MAX_RENEWAL_AGE_NS
    ):
        return
    earlier = this_node.incarnation
    this_node.incarnation = incarnations.later(
        record.incarnation, this_node.incarnation
    )
    world.fleet.own_record_seen = False
    world.presence.stale = True
    presence.update_now(world, now_ns)
    heartbeats.announce(world, now_ns)
    world.log(
        "incarnation_renewed",
        earlier=earlier,
        later=this_node.incarnation,
        found=record.incarnation,
    )
