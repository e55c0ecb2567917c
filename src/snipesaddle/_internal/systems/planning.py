"""Planning: pins the snapshot of a query and lists the shards it needs."""

from snipesaddle._internal.systems import health, snapshots
from snipesaddle._internal.systems.base import NS_PER_MS, System
from snipesaddle._internal.tables.leaves import Leaf
from snipesaddle._internal.tables.queries import Query, ShardTask
from snipesaddle._internal.tables.timers import TimerKind
from snipesaddle._internal.tables.world import World

# A query waits this long for fresh health reports when what is known of the
# leaves covers no snapshot in whole.
_MAX_WAIT_NS = 100 * NS_PER_MS
_MAX_WAIT_SHARE = 0.25
_RETRY_NS = 5 * NS_PER_MS
# A leaf that was asked within this time is not asked again for a query.
_REFRESH_NS = 1_000 * NS_PER_MS


def begin(world: World, query: Query, now_ns: int) -> None:
    """Plans a query now, or as soon as the leaves have told more."""
    remaining_ns = query.deadline_ns - now_ns
    wait_ns = min(_MAX_WAIT_NS, int(remaining_ns * _MAX_WAIT_SHARE))
    query.plan_deadline_ns = now_ns + wait_ns
    query.tasks = {}
    query.open_tasks = 0
    query.snapshot_lost = False
    query.planned = False
    _try_plan(world, query, now_ns)


class PlanningSystem(System):
    """Plans the queries that wait for fresh health reports."""

    def run(self, world: World, now_ns: int) -> None:
        for query_id in world.timers.pop_due(TimerKind.PLAN, now_ns):
            query = world.queries.get(query_id)  # type: ignore[arg-type]
            if query is not None and not query.planned:
                _try_plan(world, query, now_ns)


def _try_plan(world: World, query: Query, now_ns: int) -> None:
    query.snapshot = snapshots.pin(world, query.services)
    stale = _stale_leaves(world, query)
    for leaf in stale:
        if now_ns - leaf.refresh_requested_ns > _REFRESH_NS:
            leaf.refresh_requested_ns = now_ns
            health.probe_soon(world, leaf, now_ns)
    refreshing = any(
        leaf.probing or leaf.refresh_requested_ns > now_ns - _RETRY_NS
        for leaf in stale
    )
    if refreshing and now_ns < query.plan_deadline_ns:
        due_ns = now_ns + _RETRY_NS
        world.timers.set(TimerKind.PLAN, query.query_id, due_ns)
        return
    _plan(world, query)


def _plan(world: World, query: Query) -> None:
    weights = snapshots.weigh(world, query.services, query.snapshot)
    query.planned = True
    query.tasks = {
        key: ShardTask(key, weight) for key, weight in weights.items()
    }
    query.open_tasks = len(query.tasks)
    world.pending_shards.extend((query.query_id, key) for key in query.tasks)
    world.queries.mark_dirty(query.query_id)


def _stale_leaves(world: World, query: Query) -> list[Leaf]:
    """Returns leaves in good order that may hold the snapshot unheard."""
    if query.snapshot and world.fully_covered.get(query.services):
        return []
    return [
        leaf
        for service in query.services
        if not snapshots.is_covered(world, service, query.snapshot)
        for leaf in world.leaves_by_service.get(service, [])
        if leaf.accepts_work() and leaf.consecutive_failures == 0
    ]
