"""Load balancing: endpoint statistics, outlier ejection and endpoint choice.

Handles endpoints that pause (answers are outstanding for longer than usual),
are slow for seconds, refuse requests for lack of capacity, are down or
unresponsive, or fail a part of their requests.
"""

import abc

from snipesaddle._internal.systems.forwarding import work_estimates
from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.endpoints import Endpoint
from snipesaddle._internal.tables.forwarding.requests import Request
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# Weight of a new sample in the exponentially weighted moving average.
_LATENCY_EWMA_WEIGHT = 0.3
# Half-life of the averages, which decay to neutral without new samples.
_DECAY_HALF_LIFE_NS = 2_000 * NS_PER_MS
# The half-life of the latency ratio is so many times the time between samples,
# within bounds: where samples come often, a recovery is soon noticed.
_HALF_LIFE_SAMPLES = 32.0
_MIN_HALF_LIFE_NS = 250 * NS_PER_MS
_INTERVAL_EWMA_WEIGHT = 0.1
_MAX_LATENCY_RATIO = 20.0
# An endpoint is unresponsive when its answers are outstanding for longer than
# both the minimum and this multiple of the route's median latency.
_MIN_UNRESPONSIVE_NS = 400 * NS_PER_MS
_UNRESPONSIVE_FACTOR = 5.0
# Bounds of the ejection time, which doubles with each consecutive failure.
_MIN_EJECTION_NS = 250 * NS_PER_MS
_MAX_EJECTION_NS = 2_000 * NS_PER_MS
_MAX_DOUBLINGS = 4
_ERROR_EWMA_WEIGHT = 0.25
# Cost of an error rate of 1, in median latencies of the route.
ERROR_COST_FACTOR = 8.0
# How long a refusal for lack of capacity raises the cost of an endpoint.
_OVERLOAD_NS = 40 * NS_PER_MS
# An endpoint stalls when its answers are outstanding for longer than this
# multiple of its expected latency. The same factor weights the outstanding
# time in the cost.
STALL_FACTOR = 2.0
MAX_STALL_NS = 150 * NS_PER_MS
# Extra cost of a call to another zone, as a fraction of the target latency.
CROSS_ZONE_COST_RATIO = 0.3
# Extra cost when a connection has to be opened first.
CONNECT_COST_NS = 6.0 * NS_PER_MS
# Cost factor of an endpoint that is still warming up.
WARMUP_FACTOR = 1.6
# Random extra cost, which spreads requests over similar endpoints.
JITTER_RATIO = 0.05


def record_sent(endpoint: Endpoint, now_ns: int) -> None:
    """Records that an attempt was written to an endpoint."""
    if endpoint.no_answer_since_ns == 0:
        endpoint.no_answer_since_ns = now_ns


def record_answer(endpoint: Endpoint, now_ns: int) -> None:
    """Records an answer of any status, which ends an ejection."""
    endpoint.consecutive_failures = 0
    endpoint.ejected_until_ns = 0
    endpoint.no_answer_since_ns = now_ns if endpoint.in_flight > 0 else 0


def record_latency(
    endpoint: Endpoint, expected_ns: float, latency_ns: int, now_ns: int
) -> None:
    """Records the latency of a successful answer in the latency ratio.

    Nothing is recorded while the expected work is unknown, which is 0.
    """
    if not expected_ns:
        return
    ratio = latency_ns / expected_ns
    if ratio > _MAX_LATENCY_RATIO:
        ratio = _MAX_LATENCY_RATIO
    previous = latency_ratio(endpoint, now_ns)
    endpoint.latency_ratio = previous + _LATENCY_EWMA_WEIGHT * (
        ratio - previous
    )
    interval_ns = now_ns - endpoint.latency_ratio_updated_ns
    if interval_ns > _DECAY_HALF_LIFE_NS:
        interval_ns = _DECAY_HALF_LIFE_NS
    endpoint.latency_interval_ns += _INTERVAL_EWMA_WEIGHT * (
        interval_ns - endpoint.latency_interval_ns
    )
    endpoint.latency_ratio_updated_ns = now_ns


def record_result(endpoint: Endpoint, failed: bool, now_ns: int) -> None:
    """Records in the error rate whether the endpoint failed an attempt."""
    previous = error_rate(endpoint, now_ns)
    endpoint.error_rate = previous + _ERROR_EWMA_WEIGHT * (
        float(failed) - previous
    )
    endpoint.error_rate_updated_ns = now_ns


def record_overload(endpoint: Endpoint, now_ns: int) -> None:
    """Records that an endpoint refused an attempt for lack of capacity."""
    endpoint.overloaded_until_ns = now_ns + _OVERLOAD_NS


def record_backoff(
    world: ForwardWorld, endpoint: Endpoint, retry_after_ms: int, now_ns: int
) -> None:
    """Records that an endpoint wants no requests for a time."""
    until_ns = now_ns + retry_after_ms * NS_PER_MS
    endpoint.backoff_until_ns = max(endpoint.backoff_until_ns, until_ns)
    world.backoff_until_ns = max(world.backoff_until_ns, until_ns)
    # Parts may wait for a connection to it.
    world.freed_services[endpoint.entry.service] = None
    world.log(
        "endpoint_backoff",
        endpoint=endpoint.endpoint_id,
        service=endpoint.entry.service,
        in_flight=endpoint.in_flight,
        for_ms=retry_after_ms,
    )


def record_failure(
    world: ForwardWorld, endpoint: Endpoint, now_ns: int, detail: str
) -> None:
    """Records a failure and ejects the endpoint.

    The ejection time grows exponentially with consecutive failures.
    """
    endpoint.consecutive_failures += 1
    doublings = min(endpoint.consecutive_failures - 1, _MAX_DOUBLINGS)
    ejection_ns = min(_MIN_EJECTION_NS * 2**doublings, _MAX_EJECTION_NS)
    endpoint.ejected_until_ns = now_ns + ejection_ns
    world.log(
        "endpoint_ejected",
        endpoint=endpoint.endpoint_id,
        service=endpoint.entry.service,
        failures=endpoint.consecutive_failures,
        in_flight=endpoint.in_flight,
        listed=endpoint.registered,
        for_ms=ejection_ns // NS_PER_MS,
        detail=detail,
    )


def eject_if_unresponsive(
    world: ForwardWorld, endpoint: Endpoint, route_name: str, now_ns: int
) -> None:
    """Ejects an endpoint whose answers are outstanding for too long."""
    since_ns = endpoint.no_answer_since_ns
    usual_ns = world.latency(route_name).median_ns * _UNRESPONSIVE_FACTOR
    if since_ns and now_ns - since_ns > max(_MIN_UNRESPONSIVE_NS, usual_ns):
        endpoint.no_answer_since_ns = now_ns if endpoint.in_flight > 0 else 0
        record_failure(world, endpoint, now_ns, "silent")


def latency_ratio(endpoint: Endpoint, now_ns: int) -> float:
    """Returns the latency ratio, decayed towards 1.0 since its last sample."""
    excess = endpoint.latency_ratio - 1.0
    age_ns = now_ns - endpoint.latency_ratio_updated_ns
    if not age_ns or not excess:
        return endpoint.latency_ratio
    half_life_ns = _HALF_LIFE_SAMPLES * endpoint.latency_interval_ns
    if half_life_ns < _MIN_HALF_LIFE_NS:
        half_life_ns = _MIN_HALF_LIFE_NS
    elif half_life_ns > _DECAY_HALF_LIFE_NS:
        half_life_ns = _DECAY_HALF_LIFE_NS
    decay: float = 0.5 ** (age_ns / half_life_ns)
    return 1.0 + excess * decay


def error_rate(endpoint: Endpoint, now_ns: int) -> float:
    """Returns the error rate, decayed towards 0.0 since its last sample."""
    if not endpoint.error_rate:
        return 0.0
    age_ns = now_ns - endpoint.error_rate_updated_ns
    decay: float = 0.5 ** (age_ns / _DECAY_HALF_LIFE_NS)
    return endpoint.error_rate * decay


def is_usable(endpoint: Endpoint, now_ns: int) -> bool:
    """Returns whether an endpoint may be sent an attempt now.

    After its ejection, an endpoint gets one attempt at a time until it has
    answered one (the half-open state of a circuit breaker).
    """
    if endpoint.consecutive_failures and endpoint.in_flight:
        return False
    return wants_work(endpoint, now_ns) and now_ns >= endpoint.ejected_until_ns


def wants_work(endpoint: Endpoint, now_ns: int) -> bool:
    """Returns whether an endpoint takes new work at this time."""
    return endpoint.accepts_work() and now_ns >= endpoint.backoff_until_ns


class EndpointChooser(abc.ABC):
    """Chooses one endpoint of a service."""

    @abc.abstractmethod
    def choose(
        self,
        world: ForwardWorld,
        endpoints: list[Endpoint],
        request: Request,
        now_ns: int,
    ) -> Endpoint:
        """Returns one of a non-empty list of usable endpoints."""


class LatencyChooser(EndpointChooser):
    """Chooses the endpoint with the lowest cost, mainly expected latency.

    A call to another zone is charged extra latency, because traffic between
    zones is expensive.
    """

    def choose(
        self,
        world: ForwardWorld,
        endpoints: list[Endpoint],
        request: Request,
        now_ns: int,
    ) -> Endpoint:
        if len(endpoints) == 1:
            return endpoints[0]
        route = request.route
        median_ns = (
            world.latency(route.name).median_ns
            or work_estimates.DEFAULT_WORK_NS
        )
        cross_zone_ns = (
            route.target_latency_ms * NS_PER_MS * CROSS_ZONE_COST_RATIO
        )
        return min(
            endpoints,
            key=lambda endpoint: self._cost_ns(
                world, endpoint, median_ns, cross_zone_ns, now_ns
            ),
        )

    def _cost_ns(
        self,
        world: ForwardWorld,
        endpoint: Endpoint,
        median_ns: float,
        cross_zone_ns: float,
        now_ns: int,
    ) -> float:
        expected_ns = median_ns * latency_ratio(endpoint, now_ns)
        load = endpoint.in_flight / max(1, endpoint.entry.slots)
        cost_ns = expected_ns * (1 + load)
        cost_ns += median_ns * ERROR_COST_FACTOR * error_rate(endpoint, now_ns)
        if now_ns < endpoint.warm_from_ns:
            cost_ns *= WARMUP_FACTOR
        if endpoint.no_answer_since_ns:
            unanswered_ns = now_ns - endpoint.no_answer_since_ns
            if unanswered_ns > STALL_FACTOR * expected_ns:
                cost_ns += min(unanswered_ns, MAX_STALL_NS) * STALL_FACTOR
        if now_ns < endpoint.overloaded_until_ns:
            cost_ns += endpoint.overloaded_until_ns - now_ns
        if not endpoint.idle_connection_ids:
            cost_ns += CONNECT_COST_NS
        if endpoint.entry.zone != world.this_node.zone:
            cost_ns += cross_zone_ns
        return cost_ns * (1 + JITTER_RATIO * world.rng.random())
