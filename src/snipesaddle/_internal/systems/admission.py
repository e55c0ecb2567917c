"""Admission: takes a search on, or refuses it before any work."""

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
from snipesaddle._internal.tables.world import World

_RETRY_AFTER_MS = 200
# Each step of priority halves the distance to the full limit less.
_SHARE_STEP = 0.5
_ADJUST_NS = 50 * NS_PER_MS
_DECREASE = 0.9
_INCREASE = 0.5


def query_limit(world: World, priority: int) -> int:
    """Returns how many queries may be open for one more to be taken on."""
    limit = world.load.query_limit
    return max(1, int(limit / (1 + _SHARE_STEP * priority)))


class AdmissionSystem(System):
    """Turns arrived searches into queries with their shards.

    The limit falls by a factor while the event loop runs late and grows by
    steps otherwise (additive increase, multiplicative decrease: Chiu and
    Jain, 1989). Lower classes have a smaller part of it, so that they are
    refused first.
    """

    def start(self, world: World, now_ns: int) -> None:
        world.load.query_limit = float(world.settings.admission.max_queries)
        world.load.adjusted_ns = now_ns

    def run(self, world: World, now_ns: int) -> None:
        self._adjust(world, now_ns)
        arrived = world.inbox.take(SearchArrived)
        admitted = [
            (specs[0].priority, event.request, specs)
            for event in arrived
            if (specs := self._resolve(world, event.request))
        ]
        admitted.sort(key=lambda entry: entry[0])
        for _, request, specs in admitted:
            self._admit(world, request, specs, now_ns)

    def _adjust(self, world: World, now_ns: int) -> None:
        load = world.load
        if now_ns - load.adjusted_ns < _ADJUST_NS:
            return
        load.adjusted_ns = now_ns
        settings = world.settings.admission
        if load.most_lag_ns > settings.max_lag_ms * NS_PER_MS:
            open_now = max(len(world.queries), settings.min_queries)
            lower = min(load.query_limit, open_now) * _DECREASE
            load.query_limit = max(lower, settings.min_queries)
        else:
            higher = load.query_limit + _INCREASE
            load.query_limit = min(higher, settings.max_queries)
        load.most_lag_ns = 0

    def _resolve(
        self, world: World, request: SearchRequest
    ) -> list[ServiceSpec]:
        if world.config.generation == 0:
            _refuse(world, request, "not_ready", "no configuration yet")
            return []
        names = world.config.workloads.get(request.target, (request.target,))
        unknown = [n for n in names if n not in world.config.services]
        unknown += [n for n in request.services if n not in names]
        if unknown:
            detail = f"no such service: {', '.join(unknown)}"
            _refuse(world, request, "unknown_service", detail)
            return []
        asked = request.services or names
        specs = [world.config.services[n] for n in dict.fromkeys(asked)]
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
        if len(world.queries) >= query_limit(world, specs[0].priority):
            detail = "the node has as many queries as it can answer in time"
            _refuse(world, request, "overload", detail, _RETRY_AFTER_MS)
            return
        query = self._build(world, request, specs, now_ns)
        world.queries.put(query.query_id, query)
        world.query_ids[request.request_id] = query.query_id
        planning.begin(world, query, now_ns)
        world.timers.set(
            TimerKind.QUERY_DEADLINE, query.query_id, query.give_up_ns
        )

    def _build(
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
            give_up_ns=deadline_ns + _grace_ms(specs) * NS_PER_MS,
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
