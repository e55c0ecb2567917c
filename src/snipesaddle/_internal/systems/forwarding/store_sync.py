"""Store sync: caches the ranges of the store by list and watch.

A range is listed page by page and then watched from the revision of its
first page. The pages together are not a consistent snapshot, but the watch
delivers every change after that revision.
"""

from snipesaddle._internal.systems.forwarding import (
    activity,
    confirmation,
    containment,
    following,
    heartbeats,
    lapses,
    store_eras,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.commands import (
    ListRange,
    WatchRange,
)
from snipesaddle._internal.tables.forwarding.events import (
    RangeChanged,
    RangeFailed,
    RangeListed,
)
from snipesaddle._internal.tables.forwarding.fleet import NodePhase
from snipesaddle._internal.tables.forwarding.freshness import (
    ConfigProof,
    ProofSource,
)
from snipesaddle._internal.tables.forwarding.routes import RouteConfig
from snipesaddle._internal.tables.forwarding.store_ranges import (
    Item,
    Range,
    RangeCache,
    SyncStage,
    UnreadableItem,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

# The store may close a waiting watch while it is up, so a single failure
# does not count as an outage.
_FAILURES_UNTIL_LOST = 2
_MAX_DOUBLINGS = 6
# A waiting watch of the endpoints is stalled when it has delivered nothing for
# this long although other nodes know newer endpoints. A connection can drop
# silently, and a store can keep a watch that it no longer serves. The time
# doubles with each watch in a row, in case the store itself is slow.
_STALLED_WATCH_NS = 700 * NS_PER_MS
# How often a node that follows others checks whether it still should.
_FOLLOW_CHECK_NS = 400 * NS_PER_MS
_CONFIRMATION = "confirmation"
# The pause of an idle node between two watches of the nodes, for each node of
# the fleet, after a watch with changes and after one without. Nodes that start
# or leave tell all others themselves.
_NODE_GAP_MS_PER_NODE = 200
_QUIET_NODE_GAP_MS_PER_NODE = 500
_MAX_NODE_GAP_MS = 60_000


class StoreSyncSystem(TickSystem[ForwardWorld]):
    """Keeps the cached ranges current and tracks the store's health."""

    def start(self, world: ForwardWorld, now_ns: int) -> None:
        for cache in world.range_caches.values():
            world.timers.set(TimerKind.STORE_SYNC, cache.range, now_ns)
        world.timers.set(TimerKind.STORE_CONFIRMATION, _CONFIRMATION, now_ns)

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        following.update_lag(world, now_ns)
        take = world.inbox.take
        run_each = containment.run_each
        run_each(world, take(RangeListed), self._on_page, now_ns)
        run_each(world, take(RangeChanged), self._on_changes, now_ns)
        run_each(world, take(RangeFailed), self._on_failure, now_ns)
        for key in world.timers.pop_due(TimerKind.STORE_SYNC, now_ns):
            assert isinstance(key, Range)
            cache = world.range_caches[key]
            if cache.call_in_flight:
                continue
            if following.is_following(world, cache, now_ns):
                self._schedule(world, cache, now_ns + _FOLLOW_CHECK_NS)
            else:
                self._start_call(world, cache, now_ns)
        self._replace_stalled_watch(world, now_ns)
        for key in world.timers.pop_due(TimerKind.STORE_CONFIRMATION, now_ns):
            overdue = confirmation.mark_overdue(world, now_ns)
            for cache in overdue:
                self._start_call(world, cache, now_ns)
            if overdue:
                # The others' watches may have been waiting all the time.
                heartbeats.send_regular(world, now_ns)
            due_ns = confirmation.next_check_ns(world, now_ns)
            world.timers.set(TimerKind.STORE_CONFIRMATION, key, due_ns)

    def _replace_stalled_watch(self, world: ForwardWorld, now_ns: int) -> None:
        fleet = world.fleet
        cache = world.range_caches[Range.ENDPOINTS]
        if fleet.endpoints_revision <= world.endpoints_revision:
            return
        if cache.stage is not SyncStage.WATCH or not cache.call_in_flight:
            return
        since_ns = max(fleet.behind_since_ns, cache.call_started_ns)
        doublings = min(cache.stalled_calls, _MAX_DOUBLINGS)
        if now_ns - since_ns < _STALLED_WATCH_NS * 2**doublings:
            return
        cache.stalled_calls += 1
        world.log(
            "watch_stalled",
            range=cache.range.value,
            revision=world.endpoints_revision,
            peer_revision=fleet.endpoints_revision,
            waited_ms=(now_ns - cache.call_started_ns) // NS_PER_MS,
        )
        self._start_call(world, cache, now_ns)

    def _on_page(
        self, world: ForwardWorld, event: RangeListed, now_ns: int
    ) -> None:
        cache = world.range_caches[event.range]
        is_first = not cache.after_key
        if not self._is_usable(world, event, is_first, now_ns):
            return
        self._on_reply(world, cache, now_ns)
        if is_first:
            cache.first_page_revision = event.revision
            cache.max_listed_revision = 0
        cache.listed_items.update(event.items)
        for item in event.items.values():
            if isinstance(item, RouteConfig):
                world.freshness.new_proofs.append(
                    ConfigProof(
                        item.version, cache.call_started_ns, ProofSource.LIST
                    )
                )
        cache.max_listed_revision = max(
            cache.max_listed_revision, event.item_revision
        )
        if event.has_more:
            cache.after_key = event.last_key
            self._schedule(world, cache, now_ns)
            return
        # Later pages may hold newer changes than the first page, so all
        # changes are known only up to the revision of the first page.
        complete_revision = min(
            cache.first_page_revision, cache.max_listed_revision
        )
        cache.item_revision = max(cache.item_revision, complete_revision)
        items, cache.listed_items = cache.listed_items, {}
        cache.after_key = ""
        cache.stage = SyncStage.WATCH
        cache.confirmed_ns = now_ns
        cache.revision = cache.first_page_revision
        store_eras.log_listed(world, cache)
        world.listed_ranges[cache.range] = items
        world.range_changes[cache.range].clear()
        for key, item in items.items():
            self._handle_item(world, key, item)
        world.log(
            "range_listed",
            range=cache.range.value,
            items=len(items),
            revision=cache.revision,
        )
        delay_ns = self._first_watch_delay_ns(world, cache)
        self._schedule(world, cache, now_ns + delay_ns)

    def _is_usable(
        self,
        world: ForwardWorld,
        event: RangeListed | RangeChanged,
        is_first_page: bool,
        now_ns: int,
    ) -> bool:
        """Returns whether an answer may be used beside the data held.

        It continues what was known when its call started, unless it is the
        first page of a list.
        """
        cache = world.range_caches[event.range]
        detail = cache.range.value
        if not store_eras.observe(world, event.era, detail, now_ns):
            failed = RangeFailed(event.range, False, "answer of an older era")
            self._on_failure(world, failed, now_ns)
            return False
        if is_first_page or cache.call_era == event.era:
            return True
        self._on_reply(world, cache, now_ns)
        cache.forget()
        self._schedule(world, cache, now_ns)
        return False

    def _first_watch_delay_ns(
        self, world: ForwardWorld, cache: RangeCache
    ) -> int:
        """Returns how long to wait for the heartbeats of nodes to follow."""
        config_known = world.active_config.version or world.received_configs
        if cache.range is Range.CONFIG and not config_known:
            return 0
        # The watch delivers this node's own record, if the list did not.
        if cache.range is Range.NODES and world.presence.lease_id:
            return 0
        if len(world.fleet.nodes) < world.settings.fleet.min_active:
            return 0
        return world.settings.store.idle_gap_ms * NS_PER_MS

    def _on_changes(
        self, world: ForwardWorld, event: RangeChanged, now_ns: int
    ) -> None:
        cache = world.range_caches[event.range]
        if not self._is_usable(world, event, False, now_ns):
            return
        self._on_reply(world, cache, now_ns)
        cache.confirmed_ns = now_ns
        if event.range is Range.ENDPOINTS:
            # Before the changes are passed on, with the time of the recovery.
            lapses.notice(world, event.changes, now_ns)
        following.pass_on_changes(world, event, cache.revision, now_ns)
        for change in following.queue_changes(
            world, cache, event.changes, event.revision
        ):
            self._handle_item(world, change.key, change.item)
        if event.changes:
            pause_ns = self._watch_pause_ns(world, cache)
        else:
            pause_ns = self._quiet_pause_ns(world, cache)
        self._schedule(world, cache, now_ns + pause_ns)

    def _watch_pause_ns(self, world: ForwardWorld, cache: RangeCache) -> int:
        settings = world.settings.store
        is_active = activity.is_active(world)
        # Clients may be sent to a node that starts before the pause ends.
        is_starting = world.this_node.phase is NodePhase.STARTING
        if cache.range is Range.NODES and is_active:
            gap_ms = settings.node_gap_ms
        elif cache.range is Range.NODES:
            gap_ms = max(
                settings.idle_node_gap_ms,
                _node_gap_ms(world, _NODE_GAP_MS_PER_NODE),
            )
        elif cache.range is Range.CONFIG or is_active or is_starting:
            gap_ms = settings.watch_gap_ms
        else:
            gap_ms = settings.idle_gap_ms
        return gap_ms * NS_PER_MS

    def _quiet_pause_ns(self, world: ForwardWorld, cache: RangeCache) -> int:
        """Returns how long to wait after a watch that returned no changes."""
        if cache.range is not Range.NODES or activity.is_active(world):
            return 0
        return _node_gap_ms(world, _QUIET_NODE_GAP_MS_PER_NODE) * NS_PER_MS

    def _on_failure(
        self, world: ForwardWorld, event: RangeFailed, now_ns: int
    ) -> None:
        cache = world.range_caches[event.range]
        store_eras.observe(world, event.era, cache.range.value, now_ns)
        cache.waits = False
        world.log(
            "store_call_failed",
            range=cache.range.value,
            stage=cache.stage.value,
            waited_ms=(now_ns - cache.call_started_ns) // NS_PER_MS,
            detail=event.detail,
        )
        cache.call_in_flight = False
        cache.listed_items = {}
        cache.after_key = ""
        if event.history_lost:
            self._on_reply(world, cache, now_ns)
            cache.stage = SyncStage.LIST
            world.log("history_lost", range=cache.range.value)
            self._schedule(world, cache, now_ns)
            return
        cache.consecutive_failures += 1
        world.counters.store_failures += 1
        if (
            cache.consecutive_failures >= _FAILURES_UNTIL_LOST
            and world.store.is_ok
        ):
            world.store.lost_since_ns = now_ns
            world.log(
                "store_lost", range=cache.range.value, detail=event.detail
            )
        delay_ns = self._backoff_ns(world, cache)
        self._schedule(world, cache, now_ns + delay_ns)

    def _on_reply(
        self, world: ForwardWorld, cache: RangeCache, now_ns: int
    ) -> None:
        cache.call_in_flight = False
        cache.waits = False
        cache.stalled_calls = 0
        is_recovery = (
            cache.consecutive_failures
            or cache.overdue
            or confirmation.take_overdue_notice(world, now_ns)
        )
        if is_recovery and world.store.is_ok:
            # One failed or lost watch may have been a short outage, so the
            # grace period for expired registrations starts here, too.
            world.store.recovered_ns = now_ns
        cache.consecutive_failures = 0
        cache.overdue = False
        cache.last_reply_ns = now_ns
        if not world.store.is_ok:
            lost_ms = (now_ns - world.store.lost_since_ns) // NS_PER_MS
            world.store.lost_since_ns = 0
            world.store.recovered_ns = now_ns
            world.log("store_regained", lost_ms=lost_ms)

    def _handle_item(
        self, world: ForwardWorld, key: str, item: Item | None
    ) -> None:
        if isinstance(item, RouteConfig):
            world.received_configs.append(item)
        elif isinstance(item, UnreadableItem):
            world.log("item_unreadable", key=key, detail=item.detail)

    def _schedule(
        self, world: ForwardWorld, cache: RangeCache, due_ns: int
    ) -> None:
        world.timers.set(TimerKind.STORE_SYNC, cache.range, due_ns)

    def _backoff_ns(self, world: ForwardWorld, cache: RangeCache) -> int:
        settings = world.settings.store
        doublings = min(cache.consecutive_failures, _MAX_DOUBLINGS)
        # A node that has not read the range yet cannot serve, so it retries
        # with a shorter maximum delay.
        never_synced = cache.last_reply_ns == 0
        max_delay_ms = (
            settings.start_retry_ms if never_synced else settings.retry_max_ms
        )
        delay_ms = min(settings.retry_min_ms * 2**doublings, max_delay_ms)
        return int(delay_ms * NS_PER_MS * (0.5 + world.rng.random() / 2))

    def _start_call(
        self, world: ForwardWorld, cache: RangeCache, now_ns: int
    ) -> None:
        cache.call_in_flight = True
        cache.call_started_ns = now_ns
        cache.call_era = world.store.era
        cache.waits = False
        world.counters.store_calls += 1
        settings = world.settings.store
        if cache.stage is SyncStage.LIST:
            world.emit(
                ListRange(
                    cache.range, cache.after_key, settings.call_timeout_ms
                )
            )
            return
        wait_ms = confirmation.watch_wait_ms(world, cache, now_ns)
        cache.waits = wait_ms > confirmation.NO_WAIT_MS
        cache.answer_due_ns = confirmation.answer_due_ns(wait_ms, now_ns)
        timeout_ms = wait_ms + settings.call_timeout_ms
        world.emit(WatchRange(cache.range, cache.revision, wait_ms, timeout_ms))


def _node_gap_ms(world: ForwardWorld, ms_per_node: int) -> int:
    """Returns the pause of an idle node, so that the fleet's calls stay few."""
    count = len(world.fleet.nodes)
    if (
        count < world.settings.store.large_fleet_nodes
        or world.this_node.phase is not NodePhase.SERVING
    ):
        return 0
    return min(count * ms_per_node, _MAX_NODE_GAP_MS)
