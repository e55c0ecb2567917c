"""Presence: keeps this node's record in the store, under a lease."""

from snipesaddle._internal.systems.forwarding import (
    capacity,
    confirmation,
    fleet_reach,
    store_eras,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.commands import (
    RemovePresence,
    RenewPresence,
    WritePresence,
)
from snipesaddle._internal.tables.forwarding.events import (
    PresenceFailed,
    PresenceWritten,
)
from snipesaddle._internal.tables.forwarding.fleet import (
    NodeRecord,
)
from snipesaddle._internal.tables.forwarding.store_ranges import Range
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

_RENEWALS_PER_TTL = 3
# The same for an idle node of a large fleet. A renewal that fails is repeated
# twice before the lease ends.
_IDLE_RENEWALS_PER_TTL = 2
_RETRY_DELAY_NS = 500 * NS_PER_MS
# The same for such a node, whose liveness is known from heartbeats: in an
# outage, their calls would be most of what the store has to refuse.
_IDLE_RETRY_DELAY_NS = 2_000 * NS_PER_MS
_MAX_FIRST_DELAY_NS = 100 * NS_PER_MS
_PRESENCE = "presence"


def this_node_record(world: ForwardWorld, now_ns: int) -> NodeRecord:
    """Returns the current record of this node, with the next sequence."""
    this_node = world.this_node
    this_node.sequence += 1
    return NodeRecord(
        node_id=this_node.node_id,
        incarnation=this_node.incarnation,
        front_address=this_node.front_address,
        peer_address=this_node.peer_address,
        zone=this_node.zone,
        phase=this_node.phase,
        config_version=world.active_config.version,
        store_ok=world.store.is_ok,
        endpoints_revision=world.endpoints_revision,
        sequence=this_node.sequence,
        attempts_per_s=world.fleet.attempts_per_s,
        fleet_size=world.fleet.size,
        confirmed_ago_ms=confirmation.confirmed_ago_ms(world, now_ns),
        shares=world.fleet.shares,
        store_overdue=any(
            cache.overdue for cache in world.range_caches.values()
        ),
        capacity_per_s=capacity.attempts_per_s(world.settings.capacity),
        zone_nodes_heard=fleet_reach.zone_nodes_heard(world, now_ns),
        loop_delay_ms=int(world.process.loop_delay_ns) // NS_PER_MS,
        processor_percent=round(100 * world.process.processor_use),
        evacuated_zones=tuple(sorted(world.evacuations.stored)),
        evacuations_revision=world.evacuations.revision,
        connection_share=world.fleet.held_share,
        store_era=world.store.era,
    )


class PresenceSystem(TickSystem[ForwardWorld]):
    """Writes the record, renews its lease, and removes it on shutdown."""

    def start(self, world: ForwardWorld, now_ns: int) -> None:
        # By then the record of an earlier run has been read, which the new one
        # replaces.
        due_ns = now_ns + _MAX_FIRST_DELAY_NS
        world.timers.set(TimerKind.PRESENCE, _PRESENCE, due_ns)

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        presence = world.presence
        for written in world.inbox.take(PresenceWritten):
            is_current = store_eras.observe(world, written.era, "lease", now_ns)
            self._follow_era(world, now_ns)
            presence.call_in_flight = False
            if not is_current or presence.call_outdated:
                presence.writes = False
                presence.stale = True
                self._schedule(world, now_ns)
                continue
            presence.lease_id = written.lease_id
            presence.kept_until_ns = presence.call_started_ns + _ttl_ns(world)
            presence.writes = False
            # A watch of the nodes delivers the record that was just written.
            if not world.fleet.own_record_seen:
                world.timers.set(TimerKind.STORE_SYNC, Range.NODES, now_ns)
            # The record may have changed while it was written.
            is_due = presence.stale or presence.ended
            delay_ns = 0 if is_due else renewal_interval_ns(world)
            self._schedule(world, now_ns + delay_ns)
        for failed in world.inbox.take(PresenceFailed):
            self._on_failure(world, failed, now_ns)
        self._follow_era(world, now_ns)
        for _ in world.timers.pop_due(TimerKind.PRESENCE, now_ns):
            self._update_record(world, now_ns)

    def _follow_era(self, world: ForwardWorld, now_ns: int) -> None:
        """Gives up a lease from before a restore of the store."""
        presence = world.presence
        if presence.era == world.store.era:
            return
        presence.era = world.store.era
        if presence.lease_id:
            presence.call_outdated = presence.call_in_flight
            presence.lease_id = 0
            presence.kept_until_ns = 0
            world.log("lease_lost", detail="the store was restored")
            self._schedule(world, now_ns)
        presence.stale = True

    def _on_failure(
        self, world: ForwardWorld, event: PresenceFailed, now_ns: int
    ) -> None:
        presence = world.presence
        store_eras.observe(world, event.era, "lease", now_ns)
        presence.call_in_flight = False
        presence.stale = presence.stale or presence.writes
        presence.writes = False
        if event.lease_lost:
            presence.lease_id = 0
            presence.kept_until_ns = 0
            presence.stale = True
            world.log("lease_lost", detail=event.detail)
        delay_ns = _RETRY_DELAY_NS
        if _is_idle_in_large_fleet(world) and world.fleet.own_record_seen:
            delay_ns = _IDLE_RETRY_DELAY_NS
        self._schedule(world, now_ns + delay_ns)

    def _schedule(self, world: ForwardWorld, due_ns: int) -> None:
        world.timers.set(TimerKind.PRESENCE, _PRESENCE, due_ns)

    def _update_record(self, world: ForwardWorld, now_ns: int) -> None:
        presence = world.presence
        timeout_ms = world.settings.store.call_timeout_ms
        if presence.call_in_flight:
            return
        if presence.ended:
            if presence.lease_id:
                world.emit(RemovePresence(presence.lease_id, timeout_ms))
                presence.lease_id = 0
            return
        presence.call_in_flight = True
        presence.call_outdated = False
        presence.call_started_ns = now_ns
        world.counters.store_calls += 1
        if presence.stale or not presence.lease_id:
            presence.stale = False
            presence.writes = True
            ttl_ms = world.settings.store.presence_ttl_ms
            world.emit(
                WritePresence(
                    this_node_record(world, now_ns),
                    presence.lease_id,
                    ttl_ms,
                    timeout_ms,
                )
            )
            return
        world.emit(RenewPresence(presence.lease_id, timeout_ms))


def renewal_interval_ns(world: ForwardWorld) -> int:
    """Returns the time between two renewals of the record's lease."""
    renewals = _RENEWALS_PER_TTL
    if _is_idle_in_large_fleet(world) and world.store.is_ok:
        renewals = _IDLE_RENEWALS_PER_TTL
    return _ttl_ns(world) // renewals


def _ttl_ns(world: ForwardWorld) -> int:
    return world.settings.store.presence_ttl_ms * NS_PER_MS


def _is_idle_in_large_fleet(world: ForwardWorld) -> bool:
    """Returns whether this is one of many idle nodes of a large fleet."""
    is_large = len(world.fleet.nodes) >= world.settings.store.large_fleet_nodes
    return is_large and (
        world.this_node.node_id not in world.fleet.active_node_ids
    )


def write_first(world: ForwardWorld, now_ns: int) -> None:
    """Makes the first write due, now that the records have been read."""
    presence = world.presence
    if not presence.lease_id and not presence.call_in_flight:
        update_now(world, now_ns)


def update_now(world: ForwardWorld, now_ns: int) -> None:
    """Makes the next call for the record due now.

    The call writes a stale record, renews the lease of a current one, or
    removes the record when this node's process ends.
    """
    world.timers.set(TimerKind.PRESENCE, _PRESENCE, now_ns)


def end(world: ForwardWorld, now_ns: int) -> bool:
    """Has the record removed; returns whether that was asked for before.

    Until then a node that leaves is in the store, so that those that start
    count its connections.
    """
    was_ended = world.presence.ended
    world.presence.ended = True
    if not was_ended:
        update_now(world, now_ns)
    return was_ended
