"""Store eras: starts afresh when the store comes back from an older copy.

Each restore raises the era of the store, which its answers and the messages of
other nodes name. Revisions and leases mean something within one era only, so
at the first sign of a higher one this node forgets its revisions and lists all
ranges again. Data of a lower era are not used. The lease is left to `presence`.
"""

from snipesaddle._internal.systems.forwarding import (
    activity,
    evacuations,
    restored_endpoints,
)
from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.store_ranges import RangeCache
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

# The lists of the idle nodes of a large fleet are spread over this time.
_IDLE_SPREAD_NS = 300 * NS_PER_MS


def observe(world: ForwardWorld, era: int, source: str, now_ns: int) -> bool:
    """Notes the era of an answer or a message.

    Args:
      world: the tables.
      era: the era that it names; 0 for none.
      source: where it comes from, for the log.
      now_ns: the time of the tick.

    Returns:
      Whether its data may be used: the era is not lower than the known one.
    """
    store = world.store
    if era <= store.era:
        return era == store.era
    previous, store.era = store.era, era
    if not previous and not _has_data(world):
        return True
    world.log("store_era_raised", era=era, previous_era=previous, source=source)
    _start_afresh(world, now_ns)
    return True


def log_listed(world: ForwardWorld, cache: RangeCache) -> None:
    """Logs the first complete list of a range after a restore."""
    if cache.revision_before_restore is None:
        return
    world.log(
        "store_restored",
        era=world.store.era,
        range=cache.range.value,
        revision_before=cache.revision_before_restore,
        revision=cache.revision,
    )
    cache.revision_before_restore = None


def _has_data(world: ForwardWorld) -> bool:
    answered = any(cache.last_reply_ns for cache in world.range_caches.values())
    return answered or bool(world.endpoints)


def _start_afresh(world: ForwardWorld, now_ns: int) -> None:
    store = world.store
    store.restored_ns = now_ns
    # What the copy lacks stays in use for the grace period.
    store.recovered_ns = now_ns
    store.peer_confirmed_ns = 0
    restored_endpoints.note_restore(world, now_ns)
    delay_ns = 0
    if not activity.is_active(world):
        delay_ns = int(world.rng.random() * _IDLE_SPREAD_NS)
    for cache in world.range_caches.values():
        cache.forget()
        world.timers.set(TimerKind.STORE_SYNC, cache.range, now_ns + delay_ns)
    world.listed_ranges.clear()
    world.endpoints_revision = 0
    world.peer_list_revision = 0
    evacuations.note_restore(world, now_ns)
    world.fleet.endpoints_revision = 0
    world.fleet.behind_since_ns = 0
    for node in world.fleet.nodes.values():
        node.lag_revision = 0
