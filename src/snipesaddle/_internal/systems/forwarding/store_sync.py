"""Store sync: keeps copies of the store's ranges by lists and watches.

A range is listed page by page, then watched from the revision of its first
page. Pages are no snapshot, but every change after that revision follows.
"""

from snipesaddle._internal.systems.forwarding import fleet
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

# A waiting watch may be cut by the store without the store being lost.
_FAILURES_UNTIL_LOST = 2
_MAX_DOUBLINGS = 6


class StoreSyncSystem(TickSystem[ForwardWorld]):
    """Keeps the range caches in step with the store, and tells its health."""

    def start(self, world: ForwardWorld, now_ns: int) -> None:
        for mirror in world.range_caches.values():
            world.timers.set(TimerKind.STORE_SYNC, mirror.range, now_ns)

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        for listed in world.inbox.take(RangeListed):
            self._listed(world, listed, now_ns)
        for changed in world.inbox.take(RangeChanged):
            self._changed(world, changed, now_ns)
        for failed in world.inbox.take(RangeFailed):
            self._failed(world, failed, now_ns)
        for key in world.timers.pop_due(TimerKind.STORE_SYNC, now_ns):
            assert isinstance(key, Range)
            self._call(world, world.range_caches[key])

    def _listed(
        self, world: ForwardWorld, event: RangeListed, now_ns: int
    ) -> None:
        mirror = world.range_caches[event.range]
        self._answered(world, mirror, now_ns)
        if not mirror.after_key:
            mirror.list_revision = event.revision
            mirror.listed_revision = 0
        mirror.listed.update(event.items)
        mirror.listed_revision = max(
            mirror.listed_revision, event.item_revision
        )
        if event.has_more:
            mirror.after_key = event.last_key
            self._schedule(world, mirror, now_ns)
            return
        # Later pages may hold later changes than the first ones.
        complete = min(mirror.list_revision, mirror.listed_revision)
        self._note_items(mirror, complete)
        items, mirror.listed = mirror.listed, {}
        mirror.after_key = ""
        mirror.stage = SyncStage.WATCH
        mirror.revision = mirror.list_revision
        world.lists[mirror.range] = items
        world.changes[mirror.range].clear()
        for key, item in items.items():
            self._take_in(world, key, item)
        world.log(
            "range_listed",
            range=mirror.range.value,
            items=len(items),
            revision=mirror.revision,
        )
        self._schedule(world, mirror, now_ns)

    def _changed(
        self, world: ForwardWorld, event: RangeChanged, now_ns: int
    ) -> None:
        mirror = world.range_caches[event.range]
        self._answered(world, mirror, now_ns)
        mirror.revision = max(mirror.revision, event.revision)
        world.changes[mirror.range].extend(event.changes)
        for change in event.changes:
            self._note_items(mirror, change.revision)
            self._take_in(world, change.key, change.item)
        gap_ns = self._gap_ns(world, mirror) if event.changes else 0
        self._schedule(world, mirror, now_ns + gap_ns)

    def _gap_ns(self, world: ForwardWorld, mirror: RangeCache) -> int:
        settings = world.settings.store
        needs_all = mirror.range is Range.CONFIG or fleet.is_active(world)
        gap_ms = settings.watch_gap_ms if needs_all else settings.idle_gap_ms
        return gap_ms * NS_PER_MS

    def _failed(
        self, world: ForwardWorld, event: RangeFailed, now_ns: int
    ) -> None:
        mirror = world.range_caches[event.range]
        mirror.calling = False
        mirror.listed = {}
        mirror.after_key = ""
        if event.history_lost:
            self._answered(world, mirror, now_ns)
            mirror.stage = SyncStage.LIST
            world.log("history_lost", range=mirror.range.value)
            self._schedule(world, mirror, now_ns)
            return
        mirror.failures += 1
        world.counters.store_failures += 1
        if mirror.failures >= _FAILURES_UNTIL_LOST and world.store.is_ok:
            world.store.lost_ns = now_ns
            world.log(
                "store_lost", range=mirror.range.value, detail=event.detail
            )
        delay_ns = self._backoff_ns(world, mirror)
        self._schedule(world, mirror, now_ns + delay_ns)

    def _answered(
        self, world: ForwardWorld, mirror: RangeCache, now_ns: int
    ) -> None:
        mirror.calling = False
        if mirror.failures and world.store.is_ok:
            # One cut watch may have been the start of a short outage.
            world.store.regained_ns = now_ns
        mirror.failures = 0
        mirror.synced_ns = now_ns
        if not world.store.is_ok:
            lost_ms = (now_ns - world.store.lost_ns) // NS_PER_MS
            world.store.lost_ns = 0
            world.store.regained_ns = now_ns
            world.log("store_regained", lost_ms=lost_ms)

    def _note_items(self, mirror: RangeCache, revision: int) -> None:
        mirror.item_revision = max(mirror.item_revision, revision)

    def _take_in(
        self, world: ForwardWorld, key: str, item: Item | None
    ) -> None:
        if isinstance(item, RouteConfig):
            world.offered.append(item)
        elif isinstance(item, UnreadableItem):
            world.log("item_unreadable", key=key, detail=item.detail)

    def _schedule(
        self, world: ForwardWorld, mirror: RangeCache, due_ns: int
    ) -> None:
        world.timers.set(TimerKind.STORE_SYNC, mirror.range, due_ns)

    def _backoff_ns(self, world: ForwardWorld, mirror: RangeCache) -> int:
        settings = world.settings.store
        doublings = min(mirror.failures, _MAX_DOUBLINGS)
        # A node that knows nothing yet serves nobody until it does.
        is_new = mirror.synced_ns == 0
        most_ms = settings.start_retry_ms if is_new else settings.retry_max_ms
        delay_ms = min(settings.retry_min_ms * 2**doublings, most_ms)
        return int(delay_ms * NS_PER_MS * (0.5 + world.rng.random() / 2))

    def _call(self, world: ForwardWorld, mirror: RangeCache) -> None:
        if mirror.calling:
            return
        mirror.calling = True
        world.counters.store_calls += 1
        settings = world.settings.store
        if mirror.stage is SyncStage.LIST:
            world.emit(
                ListRange(
                    mirror.range, mirror.after_key, settings.call_timeout_ms
                )
            )
            return
        timeout_ms = settings.watch_wait_ms + settings.call_timeout_ms
        world.emit(
            WatchRange(
                mirror.range,
                mirror.revision,
                settings.watch_wait_ms,
                timeout_ms,
            )
        )
