"""Load balancing: what attempts tell of an endpoint, and which one is best.

Load patterns answered: an endpoint that pauses (it owes answers for longer
than usual), one that is slow for seconds, one that refuses for want of room,
one that is dead or silent, and one that fails a part of its requests.
"""

import abc

from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.endpoints import Endpoint
from snipesaddle._internal.tables.forwarding.latencies import RouteLatency
from snipesaddle._internal.tables.forwarding.routes import Route
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

_SLOWNESS_WEIGHT = 0.3
_HALF_LIFE_NS = 2_000 * NS_PER_MS
_SLOWNESS_MAX = 20.0
_SILENT_NS = 400 * NS_PER_MS
_SILENT_FACTOR = 5.0
_EJECT_FIRST_NS = 250 * NS_PER_MS
_EJECT_MAX_NS = 2_000 * NS_PER_MS
_MAX_DOUBLINGS = 4
_ERROR_WEIGHT = 0.25
_ERROR_COST = 8.0
_SHED_NS = 40 * NS_PER_MS
_UNKNOWN_LATENCY_NS = 20.0 * NS_PER_MS
_STALL_FACTOR = 2.0
_STALL_MAX_NS = 150 * NS_PER_MS
# What a call to another zone counts for, as a share of the target latency.
_ZONE_COST = 0.3
_OPENING_COST_NS = 6.0 * NS_PER_MS
_COLD_FACTOR = 1.6
_JITTER = 0.05


def record_sent(endpoint: Endpoint, now_ns: int) -> None:
    """Notes an attempt that is written to an endpoint."""
    endpoint.last_sent_ns = now_ns
    if endpoint.silent_since_ns == 0:
        endpoint.silent_since_ns = now_ns


def record_answer(endpoint: Endpoint, now_ns: int) -> None:
    """Notes that an endpoint answered, whatever it said."""
    endpoint.consecutive_failures = 0
    endpoint.ejected_until_ns = 0
    endpoint.silent_since_ns = now_ns if endpoint.in_flight > 0 else 0


def record_latency(
    endpoint: Endpoint, latency: RouteLatency, latency_ns: int, now_ns: int
) -> None:
    """Notes how long an answer took."""
    if latency.samples:
        ratio = min(latency_ns / latency.median_ns, _SLOWNESS_MAX)
        old = latency_ratio(endpoint, now_ns)
        endpoint.latency_ratio = old + _SLOWNESS_WEIGHT * (ratio - old)
        endpoint.latency_ratio_updated_ns = now_ns
    latency.record(latency_ns)


def record_result(endpoint: Endpoint, failed: bool, now_ns: int) -> None:
    """Notes whether an answer was a failure of the endpoint's own."""
    old = error_rate(endpoint, now_ns)
    endpoint.error_rate = old + _ERROR_WEIGHT * (float(failed) - old)
    endpoint.error_rate_updated_ns = now_ns


def record_overload(endpoint: Endpoint, now_ns: int) -> None:
    """Notes that an endpoint had no room."""
    endpoint.shed_until_ns = now_ns + _SHED_NS


def record_failure(
    world: ForwardWorld, endpoint: Endpoint, now_ns: int, detail: str
) -> None:
    """Notes a transport failure; failures in a row eject the endpoint."""
    endpoint.consecutive_failures += 1
    doublings = min(endpoint.consecutive_failures - 1, _MAX_DOUBLINGS)
    span_ns = min(_EJECT_FIRST_NS * 2**doublings, _EJECT_MAX_NS)
    endpoint.ejected_until_ns = now_ns + span_ns
    world.log(
        "endpoint_ejected",
        endpoint=endpoint.endpoint_id,
        service=endpoint.entry.service,
        failures=endpoint.consecutive_failures,
        in_flight=endpoint.in_flight,
        listed=endpoint.listed,
        for_ms=span_ns // NS_PER_MS,
        detail=detail,
    )


def eject_if_unresponsive(
    world: ForwardWorld, endpoint: Endpoint, route_name: str, now_ns: int
) -> None:
    """Ejects an endpoint that has owed answers for too long."""
    since_ns = endpoint.silent_since_ns
    usual_ns = world.latency(route_name).median_ns * _SILENT_FACTOR
    if since_ns and now_ns - since_ns > max(_SILENT_NS, usual_ns):
        endpoint.silent_since_ns = now_ns if endpoint.in_flight > 0 else 0
        record_failure(world, endpoint, now_ns, "silent")


def latency_ratio(endpoint: Endpoint, now_ns: int) -> float:
    """Returns the latency ratio as far as it is still believed."""
    left = _left_after(now_ns - endpoint.latency_ratio_updated_ns)
    return 1.0 + (endpoint.latency_ratio - 1.0) * left


def error_rate(endpoint: Endpoint, now_ns: int) -> float:
    """Returns the share of failed answers as far as it is still believed."""
    return endpoint.error_rate * _left_after(
        now_ns - endpoint.error_rate_updated_ns
    )


def _left_after(age_ns: int) -> float:
    """Returns the share of an observation that is still believed."""
    left: float = 0.5 ** (age_ns / _HALF_LIFE_NS)
    return left


def is_usable(endpoint: Endpoint, now_ns: int) -> bool:
    """Tells whether an endpoint may be tried at all now.

    An ejected endpoint is tried again when its time is over, by one attempt
    at a time until it has answered one.
    """
    if endpoint.consecutive_failures and endpoint.in_flight:
        return False
    return endpoint.accepts_work() and now_ns >= endpoint.ejected_until_ns


class EndpointChooser(abc.ABC):
    """Chooses one endpoint of a service."""

    @abc.abstractmethod
    def choose(
        self,
        world: ForwardWorld,
        endpoints: list[Endpoint],
        route: Route,
        now_ns: int,
    ) -> Endpoint:
        """Returns one of a non-empty list of usable endpoints."""


class LatencyChooser(EndpointChooser):
    """Takes the endpoint from which an answer is expected first.

    A call to another zone counts as slower than it is, for the bytes between
    zones that it costs.
    """

    def choose(
        self,
        world: ForwardWorld,
        endpoints: list[Endpoint],
        route: Route,
        now_ns: int,
    ) -> Endpoint:
        if len(endpoints) == 1:
            return endpoints[0]
        median_ns = world.latency(route.name).median_ns or _UNKNOWN_LATENCY_NS
        zone_ns = route.target_latency_ms * NS_PER_MS * _ZONE_COST
        return min(
            endpoints,
            key=lambda endpoint: self._cost_ns(
                world, endpoint, median_ns, zone_ns, now_ns
            ),
        )

    def _cost_ns(
        self,
        world: ForwardWorld,
        endpoint: Endpoint,
        median_ns: float,
        zone_ns: float,
        now_ns: int,
    ) -> float:
        expected_ns = median_ns * latency_ratio(endpoint, now_ns)
        load = endpoint.in_flight / max(1, endpoint.entry.slots)
        cost_ns = expected_ns * (1 + load)
        cost_ns += median_ns * _ERROR_COST * error_rate(endpoint, now_ns)
        if now_ns < endpoint.warm_at_ns:
            cost_ns *= _COLD_FACTOR
        if endpoint.silent_since_ns:
            owed_ns = now_ns - endpoint.silent_since_ns
            if owed_ns > _STALL_FACTOR * expected_ns:
                cost_ns += min(owed_ns, _STALL_MAX_NS) * _STALL_FACTOR
        if now_ns < endpoint.shed_until_ns:
            cost_ns += endpoint.shed_until_ns - now_ns
        if not endpoint.idle:
            cost_ns += _OPENING_COST_NS
        if endpoint.entry.zone != world.this_node.zone:
            cost_ns += zone_ns
        return cost_ns * (1 + _JITTER * world.rng.random())
