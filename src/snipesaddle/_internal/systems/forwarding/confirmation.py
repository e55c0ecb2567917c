"""Confirmation: notices that the store is silent, and that watches are lost.

Answers the load pattern of changes beside an outage that ends no call: a watch
that is sent in such an outage is never answered, which looks like a store
without changes. So the data of a node must be confirmed again and again. One
node of the fleet, the confirming node, lets its watches end after a short
wait, and its heartbeats tell how old its last answers are. A node whose data
nobody has confirmed for too long replaces its own watches, which may be lost,
by calls that are answered at once.
"""

from snipesaddle._internal.systems import rendezvous
from snipesaddle._internal.systems.forwarding import activity
from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.fleet import (
    NEVER_CONFIRMED,
    NodeRecord,
)
from snipesaddle._internal.tables.forwarding.store_ranges import (
    Range,
    RangeCache,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

_CONFIRMED_RANGES = (Range.CONFIG, Range.ENDPOINTS)
# A watch without a wait is answered at once, with the changes so far.
NO_WAIT_MS = 1
# The confirming node is the first to notice that its answers are overdue, then
# one node after another: the first that gets an answer spares the others.
_MARGIN_NS = 250 * NS_PER_MS
_STAGGER_NS = 250 * NS_PER_MS
_MAX_STAGGERS = 5
# The store answers sooner, also when it is slow.
_MAX_ANSWER_NS = 400 * NS_PER_MS
_OVERDUE_CHECK_NS = 250 * NS_PER_MS
# The same while no watch of these ranges waits, as on a node that follows.
_IDLE_CHECK_NS = 500 * NS_PER_MS


def watch_wait_ms(world: ForwardWorld, cache: RangeCache, now_ns: int) -> int:
    """Returns how long the next watch of a range may wait for changes."""
    if cache.consecutive_failures or cache.overdue:
        return NO_WAIT_MS
    settings = world.settings.store
    if cache.range in _CONFIRMED_RANGES and rank(world, now_ns) == 0:
        return min(settings.confirm_ms, settings.watch_wait_ms)
    return settings.watch_wait_ms


def confirmed_ago_ms(world: ForwardWorld, now_ns: int) -> int:
    """Returns the age of the older of the last answers for the ranges."""
    confirmed_ns = min(
        world.range_caches[kind].confirmed_ns for kind in _CONFIRMED_RANGES
    )
    if not confirmed_ns:
        return NEVER_CONFIRMED
    return (now_ns - confirmed_ns) // NS_PER_MS


def record_peer(world: ForwardWorld, record: NodeRecord, now_ns: int) -> None:
    """Records that a peer's data were confirmed, if these are no older."""
    if record.store_overdue:
        world.store.peer_overdue_ns = now_ns
    if record.confirmed_ago_ms == NEVER_CONFIRMED:
        return
    if record.store_era != world.store.era:
        return
    confirmed_ns = now_ns - record.confirmed_ago_ms * NS_PER_MS
    store = world.store
    store.peer_answered_ns = max(store.peer_answered_ns, confirmed_ns)
    if (
        record.config_version > world.active_config.version
        or record.endpoints_revision > world.endpoints_revision
    ):
        return
    store.peer_confirmed_ns = max(store.peer_confirmed_ns, confirmed_ns)


def answer_due_ns(wait_ms: int, now_ns: int) -> int:
    """Returns when a watch that is sent now is answered at the latest."""
    return now_ns + wait_ms * NS_PER_MS + _MAX_ANSWER_NS


def take_overdue_notice(world: ForwardWorld, now_ns: int) -> bool:
    """Ends the notice of a peer that the store is silent, at an answer.

    This node's own watches may have been waiting all the time; in a short
    silence none of its calls is overdue.

    Returns:
      Whether there was a recent one, so that the answer ends a silence.
    """
    store = world.store
    age_ns = now_ns - store.peer_overdue_ns
    noticed = store.peer_overdue_ns > 0 and age_ns <= _max_notice_ns(world)
    store.peer_overdue_ns = 0
    return noticed


def _max_notice_ns(world: ForwardWorld) -> int:
    return 2 * activity.heartbeat_interval_ns(world) + _MARGIN_NS


def next_check_ns(world: ForwardWorld, now_ns: int) -> int:
    """Returns when a range may be overdue at the earliest."""
    waiting = _waiting_ranges(world)
    if not waiting:
        return now_ns + _IDLE_CHECK_NS
    max_age_ns = _max_age_ns(world, now_ns)
    due_ns = min(_overdue_ns(world, cache, max_age_ns) for cache in waiting)
    return max(due_ns, now_ns + _OVERDUE_CHECK_NS)


def mark_overdue(world: ForwardWorld, now_ns: int) -> list[RangeCache]:
    """Marks the ranges that wait for changes and are not confirmed in time.

    Returns:
      The ranges marked. The one of the nodes is not confirmed by itself, and is
      marked with any other.
    """
    waiting = _waiting_ranges(world)
    if not waiting:
        return []
    max_age_ns = _max_age_ns(world, now_ns)
    overdue = [
        cache
        for cache in waiting
        if now_ns >= _overdue_ns(world, cache, max_age_ns)
    ]
    if not overdue:
        return []
    if world.range_caches[Range.NODES].waits:
        overdue.append(world.range_caches[Range.NODES])
    for cache in overdue:
        cache.overdue = True
        world.log(
            "watch_overdue",
            range=cache.range.value,
            waited_ms=(now_ns - cache.call_started_ns) // NS_PER_MS,
        )
    return overdue


def _waiting_ranges(world: ForwardWorld) -> list[RangeCache]:
    caches = (world.range_caches[kind] for kind in _CONFIRMED_RANGES)
    return [cache for cache in caches if cache.waits]


def _overdue_ns(world: ForwardWorld, cache: RangeCache, max_age_ns: int) -> int:
    """Returns from when on an answer for a range is overdue.

    The end of a watch's wait without an answer shows a silence before the age
    of the data does, unless a peer had answers meanwhile.
    """
    age_due_ns = _confirmed_ns(world, cache) + max_age_ns
    peer_due_ns = world.store.peer_answered_ns + _MAX_ANSWER_NS
    return min(age_due_ns, max(cache.answer_due_ns, peer_due_ns))


def _confirmed_ns(world: ForwardWorld, cache: RangeCache) -> int:
    return max(cache.confirmed_ns, world.store.peer_confirmed_ns)


def _max_age_ns(world: ForwardWorld, now_ns: int) -> int:
    staggers = min(2 * rank(world, now_ns), _MAX_STAGGERS)
    return (
        world.settings.store.confirm_ms * NS_PER_MS
        + activity.heartbeat_interval_ns(world)
        + _MARGIN_NS
        + staggers * _STAGGER_NS
    )


def ranked_node_ids(world: ForwardWorld, now_ns: int) -> list[str]:
    """Returns the nodes that confirm, the one that does so first at the front.

    Rendezvous hashing over the active nodes that reach the store gives the
    same order on all nodes.
    """
    node_ids = [
        peer.record.node_id
        for peer in activity.live_active_peers(world, now_ns)
        if peer.record.store_ok and peer.last_heard_ns
    ]
    if activity.is_active(world) and world.store.is_ok:
        node_ids.append(world.this_node.node_id)
    return rendezvous.ranked(node_ids, "confirm", len(node_ids))


def rank(world: ForwardWorld, now_ns: int) -> int:
    """Returns how many nodes are to confirm before this one."""
    ranked = ranked_node_ids(world, now_ns)
    node_id = world.this_node.node_id
    return ranked.index(node_id) if node_id in ranked else len(ranked)
