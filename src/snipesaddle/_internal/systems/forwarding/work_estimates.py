"""Work estimates: what a request is likely to cost an endpoint.

Requests of one route may cost very different amounts of work. The cost is
learned by route, tenant and what the request shows: its method, the shape of
its path and the size of its body. Estimates move the choice of an endpoint and
the time of a hedge, but no deadline and no budget.
"""

import bisect

from snipesaddle._internal.systems.tick import NS_PER_MS, NS_PER_S
from snipesaddle._internal.tables.forwarding.latencies import RouteLatency
from snipesaddle._internal.tables.forwarding.requests import (
    ArrivedRequest,
    Request,
)
from snipesaddle._internal.tables.forwarding.work import (
    RequestWork,
    WorkEstimate,
    WorkKey,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# Assumed median latency of a route without samples.
DEFAULT_WORK_NS = 20.0 * NS_PER_MS
# With fewer samples, an estimate is not used.
_MIN_SAMPLES = 8
# Bound of an estimate relative to the route's, so that a wrong one is harmless.
_MAX_RATIO = 16.0
# After a longer pause, new samples of an estimate count as much as early ones.
_MAX_UNUSED_NS = 60 * NS_PER_S
# Upper bounds of the size classes.
_QUERY_BYTES = (0, 32, 256)
_BODY_BYTES = (0, 1_024, 16_384, 131_072)
_MAX_DEPTH = 5
_READING = frozenset({b"GET", b"HEAD"})
_DIGITS = frozenset(b"0123456789")


def work_of(world: ForwardWorld, request: Request, now_ns: int) -> RequestWork:
    """Returns the expected work of a request, which is looked up once."""
    work = request.work
    if work is None:
        work = request.work = _look_up(world, request, now_ns)
    return work


def expected_ns(world: ForwardWorld, request: Request, now_ns: int) -> float:
    """Returns how long an endpoint of usual speed takes for a request."""
    return work_of(world, request, now_ns).expected_ns


def known_ns(work: RequestWork) -> float:
    """Returns the present estimate for a kind of requests; 0 if unknown."""
    return _estimated_ns(work.route_latency, work.estimates)


def record(work: RequestWork, latency_ns: int) -> None:
    """Records the latency of a successful answer."""
    work.route_latency.record(latency_ns)
    for estimate in work.estimates:
        estimate.latency.record(latency_ns)


def high_ns(work: RequestWork) -> float:
    """Returns the high quantile of the latency; 0 if unknown.

    It is that of the kind of the request where its expected work is known.
    """
    route_ns = work.route_latency.high_ns
    for estimate in work.estimates:
        if estimate.latency.samples >= _MIN_SAMPLES:
            return _clamp(estimate.latency.high_ns, route_ns)
    return route_ns


def shape(arrived: ArrivedRequest) -> int:
    """Returns the class of the visible properties of a request."""
    path, _, query = arrived.target.partition(b"?")
    depth = path.count(b"/")
    if depth > _MAX_DEPTH:
        depth = _MAX_DEPTH
    has_digits = not _DIGITS.isdisjoint(path[path.rfind(b"/") + 1 :])
    method = arrived.method
    kind = 0 if method in _READING else 1 if method == b"POST" else 2
    number = (kind * (_MAX_DEPTH + 1) + depth) * 2 + has_digits
    query_class = bisect.bisect_left(_QUERY_BYTES, len(query))
    body_class = bisect.bisect_left(_BODY_BYTES, len(arrived.body))
    number = number * (len(_QUERY_BYTES) + 1) + query_class
    return number * (len(_BODY_BYTES) + 1) + body_class


def log_use(world: ForwardWorld) -> None:
    """Logs the kinds of requests that are known to differ from their route."""
    table = world.work
    if not table.rows:
        return
    ratios = {
        key: row.latency.median_ns / world.latency(key.route_name).median_ns
        for key, row in table.rows.items()
        if row.latency.samples >= _MIN_SAMPLES
        and world.latency(key.route_name).median_ns
    }
    if not ratios:
        return
    costliest = max(ratios, key=lambda key: ratios[key])
    world.log(
        "work_estimates",
        rows=len(table.rows),
        known=len(ratios),
        evictions=table.evictions,
        route=costliest.route_name,
        tenant=costliest.tenant,
        shape=costliest.shape,
        ratio=round(ratios[costliest], 2),
        expected_ms=round(
            table.rows[costliest].latency.median_ns / NS_PER_MS, 1
        ),
    )


def _look_up(world: ForwardWorld, request: Request, now_ns: int) -> RequestWork:
    route = request.route
    latency = world.latency(route.name)
    number = shape(request.arrived)
    all_tenants = _use(world, WorkKey(route.name, "", number), now_ns)
    estimates: tuple[WorkEstimate, ...] = (all_tenants,)
    if request.tenant is not None:
        key = WorkKey(route.name, request.tenant.name, number)
        estimates = (_use(world, key, now_ns), all_tenants)
    expected = _estimated_ns(latency, estimates) or DEFAULT_WORK_NS
    route_ns = latency.median_ns or DEFAULT_WORK_NS
    return RequestWork(expected, route_ns, latency, estimates)


def _use(world: ForwardWorld, key: WorkKey, now_ns: int) -> WorkEstimate:
    estimate = world.work.use(key)
    if now_ns - estimate.used_ns > _MAX_UNUSED_NS:
        latency = estimate.latency
        latency.samples = min(latency.samples, _MIN_SAMPLES)
    estimate.used_ns = now_ns
    return estimate


def _estimated_ns(
    route_latency: RouteLatency, estimates: tuple[WorkEstimate, ...]
) -> float:
    route_ns = route_latency.median_ns
    for estimate in estimates:
        if estimate.latency.samples >= _MIN_SAMPLES:
            return _clamp(estimate.latency.median_ns, route_ns)
    return route_ns


def _clamp(value_ns: float, route_ns: float) -> float:
    if value_ns > route_ns * _MAX_RATIO:
        return route_ns * _MAX_RATIO
    if value_ns * _MAX_RATIO < route_ns:
        return route_ns / _MAX_RATIO
    return value_ns
