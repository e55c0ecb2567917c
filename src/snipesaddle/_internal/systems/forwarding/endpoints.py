"""Endpoints: maintains the endpoint table from registrations.

Registrations come from the store, or from a peer while the store is out of
reach. A registration that expired during a store outage stays in use for a
grace period after the store is back, since its endpoint may only have been
unable to renew it.
"""

from snipesaddle._internal.systems.forwarding import (
    connections,
    departures,
    restored_endpoints,
    retention,
    store_eras,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.endpoints import (
    Endpoint,
    EndpointEntry,
)
from snipesaddle._internal.tables.forwarding.messages import EndpointsShare
from snipesaddle._internal.tables.forwarding.store_ranges import (
    Change,
    Item,
    Range,
    SyncStage,
    UnreadableItem,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind


class EndpointsSystem(TickSystem[ForwardWorld]):
    """Maintains the rows of the endpoints and the pools of the services."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        listed = world.listed_ranges.pop(Range.ENDPOINTS, None)
        cache = world.range_caches[Range.ENDPOINTS]
        if (
            listed is not None
            and cache.first_page_revision >= world.peer_list_revision
        ):
            self._apply_list(world, listed, now_ns)
        changes = world.range_changes[Range.ENDPOINTS]
        if changes:
            world.range_changes[Range.ENDPOINTS] = []
            for change in changes:
                if change.revision > world.peer_list_revision:
                    self._apply_change(world, change, now_ns)
            self._advance_revision(world)
        for share in world.inbox.take(EndpointsShare):
            self._apply_peer_list(world, share, now_ns)
        for key in world.timers.pop_due(TimerKind.ENDPOINT, now_ns):
            self._remove_after_grace(world, str(key), now_ns)
        for entry in restored_endpoints.take_due(world, now_ns):
            self._upsert(world, entry, now_ns)
        departures.forget_due(world, now_ns)
        retention.forget_due(world, now_ns)

    def _apply_list(
        self, world: ForwardWorld, items: dict[str, Item], now_ns: int
    ) -> None:
        readable = set()
        # The line of the list itself counts them; one each would use up the
        # lines that a starting node may write in a second.
        is_first = not world.endpoints
        for item in items.values():
            if isinstance(item, EndpointEntry) and self._take(
                world, item, now_ns, log_added=not is_first
            ):
                readable.add(item.endpoint_id)
        restored_endpoints.keep_listed(world, items)
        for endpoint_id in world.endpoints.keys() - readable:
            self._expire(world, world.endpoints[endpoint_id], now_ns)
        self._advance_revision(world)

    def _advance_revision(self, world: ForwardWorld) -> None:
        revision = world.range_caches[Range.ENDPOINTS].item_revision
        world.endpoints_revision = max(world.endpoints_revision, revision)

    def _apply_change(
        self, world: ForwardWorld, change: Change, now_ns: int
    ) -> None:
        # Until the range is listed, changes are from before a restore.
        if world.range_caches[Range.ENDPOINTS].stage is SyncStage.WATCH:
            restored_endpoints.note_change(world, change.key)
        if isinstance(change.item, EndpointEntry):
            self._upsert(world, change.item, now_ns)
            return
        endpoint = world.endpoints.get(change.key)
        if endpoint is None:
            return
        if isinstance(change.item, UnreadableItem):
            self._remove(world, endpoint, "unreadable", now_ns)
        else:
            self._expire(world, endpoint, now_ns)

    def _apply_peer_list(
        self, world: ForwardWorld, share: EndpointsShare, now_ns: int
    ) -> None:
        if not store_eras.observe(world, share.store_era, "peer", now_ns):
            return
        if share.revision <= self._known_revision(world):
            return
        world.endpoints_revision = share.revision
        world.peer_list_revision = share.revision
        world.store.record_peer_recovery(share.recovered_ago_ms, now_ns)
        known = set()
        for entry in share.entries:
            if self._take(world, entry, now_ns):
                known.add(entry.endpoint_id)
        for endpoint_id in world.endpoints.keys() - known:
            self._expire(world, world.endpoints[endpoint_id], now_ns)
        world.log(
            "endpoints_from_peer",
            revision=share.revision,
            endpoints=len(share.entries),
        )

    def _known_revision(self, world: ForwardWorld) -> int:
        """Returns the revision up to which all changes are known.

        A list from the store shows no removals, so the newest change that this
        node has seen can be older than the list itself.
        """
        cache = world.range_caches[Range.ENDPOINTS]
        if cache.stage is SyncStage.WATCH:
            return max(world.endpoints_revision, cache.revision)
        return world.endpoints_revision

    def _take(
        self,
        world: ForwardWorld,
        entry: EndpointEntry,
        now_ns: int,
        *,
        log_added: bool = True,
    ) -> bool:
        """Takes an entry of a list; returns whether its endpoint is listed."""
        if not restored_endpoints.set_aside(world, entry):
            self._upsert(world, entry, now_ns, log_added=log_added)
            return True
        endpoint = world.endpoints.get(entry.endpoint_id)
        # Its row says more than the list, for example that it drains. A later
        # run of it is not listed.
        return endpoint is not None and not departures.is_new_instance(
            endpoint.entry, entry
        )

    def _upsert(
        self,
        world: ForwardWorld,
        entry: EndpointEntry,
        now_ns: int,
        *,
        log_added: bool = True,
    ) -> None:
        endpoint = world.endpoints.get(entry.endpoint_id)
        if endpoint is not None and departures.is_new_instance(
            endpoint.entry, entry
        ):
            self._remove(world, endpoint, "endpoint restarted", now_ns)
            endpoint = None
        if endpoint is None:
            endpoint = self._add(world, entry)
            if log_added:
                self._log_added(world, entry)
        elif endpoint.entry.registration is not entry.registration:
            world.log(
                "endpoint_changed",
                endpoint=entry.endpoint_id,
                service=entry.service,
                registration=entry.registration.value,
            )
        endpoint.entry = entry
        endpoint.registered = True
        endpoint.expires_at_ns = 0
        endpoint.warm_from_ns = now_ns + entry.warmup_left_ms * NS_PER_MS
        world.timers.cancel(TimerKind.ENDPOINT, entry.endpoint_id)
        endpoint.leaving = departures.is_leaving(world, entry)
        endpoint.evacuated = entry.zone in world.evacuations.zones
        if not endpoint.accepts_work():
            connections.close_idle(world, endpoint)
        # Parts may wait for a connection to it, also in vain from now on.
        world.freed_services[entry.service] = None

    def _add(self, world: ForwardWorld, entry: EndpointEntry) -> Endpoint:
        endpoint = Endpoint(entry, row_id=world.next_id())
        retention.restore(world, endpoint)
        world.endpoints[entry.endpoint_id] = endpoint
        world.pool(entry.service).endpoints.append(endpoint)
        return endpoint

    def _log_added(self, world: ForwardWorld, entry: EndpointEntry) -> None:
        world.log(
            "endpoint_added",
            endpoint=entry.endpoint_id,
            service=entry.service,
            zone=entry.zone,
            registration=entry.registration.value,
        )

    def _expire(
        self, world: ForwardWorld, endpoint: Endpoint, now_ns: int
    ) -> None:
        if not endpoint.registered:
            return
        endpoint.registered = False
        grace_ns = world.settings.store.grace_ms * NS_PER_MS
        expires_at_ns = world.store.recovered_ns + grace_ns
        in_outage_grace = (
            world.store.recovered_ns > 0 and expires_at_ns > now_ns
        )
        if not in_outage_grace or not endpoint.accepts_work():
            self._remove(world, endpoint, "lapsed", now_ns)
            return
        endpoint.expires_at_ns = expires_at_ns
        world.timers.set(
            TimerKind.ENDPOINT, endpoint.endpoint_id, expires_at_ns
        )

    def _remove_after_grace(
        self, world: ForwardWorld, endpoint_id: str, now_ns: int
    ) -> None:
        endpoint = world.endpoints.get(endpoint_id)
        if endpoint is not None and 0 < endpoint.expires_at_ns <= now_ns:
            self._remove(
                world,
                endpoint,
                "not registered again after the store outage",
                now_ns,
            )

    def _remove(
        self, world: ForwardWorld, endpoint: Endpoint, why: str, now_ns: int
    ) -> None:
        connections.close_idle(world, endpoint)
        departures.forget_later(world, endpoint.endpoint_id, now_ns)
        retention.retain(world, endpoint, now_ns)
        del world.endpoints[endpoint.endpoint_id]
        pool = world.pool(endpoint.entry.service)
        pool.endpoints.remove(endpoint)
        world.freed_services[endpoint.entry.service] = None
        world.log(
            "endpoint_removed",
            endpoint=endpoint.endpoint_id,
            service=endpoint.entry.service,
            why=why,
        )
