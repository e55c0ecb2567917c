"""Coverage: ends queries with an answer that tells what it covers."""

from snipesaddle._internal.systems import planning, results
from snipesaddle._internal.systems.base import NS_PER_MS, System
from snipesaddle._internal.tables.commands import (
    AnswerSearch,
    MissingShard,
    SearchAnswer,
)
from snipesaddle._internal.tables.config import ServiceSpec
from snipesaddle._internal.tables.events import CallerDisconnected
from snipesaddle._internal.tables.queries import (
    MissingReason,
    Query,
    TaskState,
)
from snipesaddle._internal.tables.timers import TimerKind
from snipesaddle._internal.tables.world import World

_MAX_RESTARTS = 1
_MIN_RESTART_NS = 5 * NS_PER_MS


class CoverageSystem(System):
    """Answers the queries that are complete, late or abandoned."""

    def run(self, world: World, now_ns: int) -> None:
        for gone in world.inbox.take(CallerDisconnected):
            query_id = world.query_id_by_request.get(gone.request_id)
            if query_id is not None:
                self._end(world, world.queries[query_id], now_ns)
        for key in world.timers.pop_due(TimerKind.QUERY_DEADLINE, now_ns):
            query = world.queries.get(key)  # type: ignore[arg-type]
            if query is not None:
                self._answer(world, query, now_ns)
        for query in world.queries.take_dirty():
            if query.planned and query.open_tasks == 0:
                self._complete(world, query, now_ns)

    def _complete(self, world: World, query: Query, now_ns: int) -> None:
        if query.snapshot_lost and self._restart(world, query, now_ns):
            return
        self._answer(world, query, now_ns)

    def _restart(self, world: World, query: Query, now_ns: int) -> bool:
        enough_time = query.deadline_ns - now_ns >= _MIN_RESTART_NS
        if query.restarts >= _MAX_RESTARTS or not enough_time:
            return False
        query.restarts += 1
        planning.begin(world, query, now_ns)
        return True

    def _answer(self, world: World, query: Query, now_ns: int) -> None:
        missing = tuple(
            MissingShard(
                task.key, task.weight, _reason(task.state, task.reason)
            )
            for task in query.tasks.values()
            if task.state is not TaskState.DONE
        )
        done = [t for t in query.tasks.values() if t.state is TaskState.DONE]
        coverage = sum(task.weight for task in done) if missing else 1.0
        answer = SearchAnswer(
            request_id=query.request.request_id,
            hits=[hit for task in done for hit in task.hits],
            snapshot=query.snapshot,
            coverage=coverage,
            shards_total=len(query.tasks),
            missing=missing,
            meets_min_coverage=coverage >= _min_coverage(world, query),
        )
        latency_ns = now_ns - query.arrived_ns
        tenant = query.request.tenant
        world.emit(AnswerSearch(answer, query.class_name, tenant, latency_ns))
        self._end(world, query, now_ns)

    def _end(self, world: World, query: Query, now_ns: int) -> None:
        for task in query.tasks.values():
            results.cancel_calls(world, task, now_ns)
        world.queries.remove(query.query_id)
        world.load.open_queries[query.priority] -= 1
        world.timers.cancel(TimerKind.QUERY_DEADLINE, query.query_id)
        world.query_id_by_request.pop(query.request.request_id, None)


def _reason(state: TaskState, reason: MissingReason) -> MissingReason:
    return reason if state is TaskState.MISSING else MissingReason.TIMEOUT


def _specs(world: World, query: Query) -> list[ServiceSpec]:
    services = world.config.services
    return [services[name] for name in query.services if name in services]


def _min_coverage(world: World, query: Query) -> float:
    return max(
        (spec.min_coverage for spec in _specs(world, query)), default=1.0
    )
