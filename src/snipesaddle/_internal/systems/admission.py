"""Admission control: accepts or refuses a search before any work."""

from snipesaddle._internal.systems import planning
from snipesaddle._internal.systems.base import NS_PER_MS, System
from snipesaddle._internal.tables.commands import RefuseRequest
from snipesaddle._internal.tables.config import (
    ServiceKind,
    ServiceSpec,
    WhenLate,
)
from snipesaddle._internal.tables.events import SearchArrived
from snipesaddle._internal.tables.queries import (
    Query,
    SearchRequest,
)
from snipesaddle._internal.tables.timers import TimerKind
from snipesaddle._internal.tables.world import PRIORITY_COUNT, World

_RETRY_AFTER_MS = 200
_ADJUST_INTERVAL_NS = 100 * NS_PER_MS
_DECREASE_FACTOR = 0.8
_INCREASE_STEP = 1.0


def query_limit(world: World, priority: int) -> int:
    """Returns how many queries of a priority may be open."""
    return int(world.load.limits[priority])


def is_full(world: World, priority: int) -> bool:
    """Returns whether no further query of a priority may be opened."""
    if len(world.queries) >= world.settings.admission.max_queries:
        return True
    open_count = world.load.open_queries[priority]
    return open_count >= query_limit(world, priority)


class AdmissionSystem(System):
    """Turns arrived searches into queries, or refuses them.

    Each priority has a limit of open queries. While the mean lag of the event
    loop is above max_lag_ms, the least urgent priority with open queries whose
    limit can be lowered gets a new one: a factor times the old limit or the
    number of its open queries, whichever is smaller. Otherwise the limit of
    the most urgent priority below its maximum grows by a step (additive
    increase, multiplicative decrease: Chiu and Jain, 1989).
    """

    def start(self, world: World, now_ns: int) -> None:
        max_queries = float(world.settings.admission.max_queries)
        world.load.limits = [max_queries] * PRIORITY_COUNT
        world.load.adjusted_ns = now_ns

    def run(self, world: World, now_ns: int) -> None:
        self._adjust_limits(world, now_ns)
        arrived = world.inbox.take(SearchArrived)
        admitted = [
            (specs[0].priority, event.request, specs)
            for event in arrived
            if (specs := self._resolve_services(world, event.request))
        ]
        admitted.sort(key=lambda entry: entry[0])
        for _, request, specs in admitted:
            self._admit(world, request, specs, now_ns)

    def _adjust_limits(self, world: World, now_ns: int) -> None:
        load = world.load
        if now_ns - load.adjusted_ns < _ADJUST_INTERVAL_NS:
            return
        load.adjusted_ns = now_ns
        count = max(1, load.lag_count)
        target_ns = world.settings.admission.max_lag_ms * NS_PER_MS
        if load.lag_sum_ns / count > target_ns:
            self._lower_limit(world)
        else:
            self._raise_limit(world)
        load.lag_sum_ns = 0
        load.lag_count = 0

    def _lower_limit(self, world: World) -> None:
        load = world.load
        for priority in reversed(range(PRIORITY_COUNT)):
            floor = world.settings.admission.min_queries if not priority else 1
            open_count = load.open_queries[priority]
            if open_count == 0 or load.limits[priority] <= floor:
                continue
            lowered = min(load.limits[priority], open_count) * _DECREASE_FACTOR
            load.limits[priority] = max(lowered, floor)
            return

    def _raise_limit(self, world: World) -> None:
        load = world.load
        max_queries = world.settings.admission.max_queries
        for priority in range(PRIORITY_COUNT):
            if load.limits[priority] < max_queries:
                load.limits[priority] += _INCREASE_STEP
                return

    def _resolve_services(
        self, world: World, request: SearchRequest
    ) -> list[ServiceSpec]:
        if world.config.generation == 0:
            _refuse(world, request, "not_ready", "no configuration yet")
            return []
        names = world.config.services_by_workload.get(
            request.target, (request.target,)
        )
        unknown = [n for n in names if n not in world.config.services]
        unknown += [n for n in request.services if n not in names]
        if unknown:
            detail = f"no such service: {', '.join(unknown)}"
            _refuse(world, request, "unknown_service", detail)
            return []
        requested = request.services or names
        specs = [world.config.services[n] for n in dict.fromkeys(requested)]
        if any(spec.kind is not ServiceKind.SEARCH for spec in specs):
            detail = f"{request.target} does not answer searches"
            _refuse(world, request, "wrong_kind", detail)
            return []
        return specs

    def _admit(
        self,
        world: World,
        request: SearchRequest,
        specs: list[ServiceSpec],
        now_ns: int,
    ) -> None:
        if is_full(world, specs[0].priority):
            detail = "the node has as many queries as it can answer in time"
            _refuse(world, request, "overload", detail, _RETRY_AFTER_MS)
            return
        query = self._build_query(world, request, specs, now_ns)
        world.queries.put(query.query_id, query)
        world.load.open_queries[query.priority] += 1
        world.query_id_by_request[request.request_id] = query.query_id
        planning.begin(world, query, now_ns)
        world.timers.set(
            TimerKind.QUERY_DEADLINE, query.query_id, query.final_deadline_ns
        )

    def _build_query(
        self,
        world: World,
        request: SearchRequest,
        specs: list[ServiceSpec],
        now_ns: int,
    ) -> Query:
        settings = world.settings.admission
        budget_ms = request.deadline_ms or specs[0].latency_budget_ms
        budget_ms = min(budget_ms, settings.max_deadline_ms)
        usable_ms = max(1, budget_ms - settings.return_trip_ms)
        deadline_ns = now_ns + usable_ms * NS_PER_MS
        return Query(
            query_id=world.next_id(),
            request=request,
            services=tuple(spec.name for spec in specs),
            class_name=specs[0].class_name,
            priority=specs[0].priority,
            arrived_ns=now_ns,
            deadline_ns=deadline_ns,
            final_deadline_ns=deadline_ns + _grace_ms(specs) * NS_PER_MS,
        )


def _grace_ms(specs: list[ServiceSpec]) -> int:
    waiting = [s.grace_ms for s in specs if s.when_late is WhenLate.WAIT]
    return max(waiting, default=0)


def _refuse(
    world: World,
    request: SearchRequest,
    reason: str,
    detail: str,
    retry_after_ms: int = 0,
) -> None:
    world.counters.refused += 1
    world.emit(
        RefuseRequest(request.request_id, reason, detail, retry_after_ms)
    )
