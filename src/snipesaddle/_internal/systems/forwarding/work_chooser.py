"""Endpoint choice by expected work and outstanding work."""

import math

from snipesaddle._internal.systems.forwarding import (
    outstanding_work,
    work_estimates,
)
from snipesaddle._internal.systems.forwarding.load_balancing import (
    CONNECT_COST_NS,
    CROSS_ZONE_COST_RATIO,
    ERROR_COST_FACTOR,
    JITTER_RATIO,
    MAX_STALL_NS,
    STALL_FACTOR,
    WARMUP_FACTOR,
    EndpointChooser,
    error_rate,
    latency_ratio,
)
from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.endpoints import Endpoint
from snipesaddle._internal.tables.forwarding.requests import Request
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# The names of the components of a cost, in the order of `components_ns`.
COMPONENTS = (
    "expected_work",
    "outstanding_work",
    "others_work",
    "errors",
    "warmup",
    "stall",
    "overload",
    "connect",
    "zone",
)


class WorkChooser(EndpointChooser):
    """Chooses the endpoint from which an answer is expected first.

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
        best = endpoints[0]
        if len(endpoints) == 1:
            return best
        expected_ns = work_estimates.expected_ns(world, request, now_ns)
        random = world.rng.random
        lowest_ns = math.inf
        for endpoint in endpoints:
            cost_ns = sum(
                components_ns(world, endpoint, request, expected_ns, now_ns)
            )
            cost_ns *= 1 + JITTER_RATIO * random()
            if cost_ns < lowest_ns:
                lowest_ns = cost_ns
                best = endpoint
        return best


def components_ns(
    world: ForwardWorld,
    endpoint: Endpoint,
    request: Request,
    expected_ns: float,
    now_ns: int,
) -> tuple[float, ...]:
    """Returns the components of an endpoint's cost, as COMPONENTS names them.

    This runs several times for each call, so that what is rarely present is
    computed only where it is.
    """
    ratio = latency_ratio(endpoint, now_ns)
    outstanding_ns = others_ns = errors_ns = warmup_ns = stall_ns = 0.0
    overload_ns = zone_ns = 0.0
    if endpoint.stated_load is not None:
        ratio = outstanding_work.speed_ratio(endpoint, ratio, now_ns)
        usual_ns = request.work.route_ns if request.work else expected_ns
        others = outstanding_work.others_per_slot(endpoint, now_ns)
        others_ns = others * usual_ns * ratio
    service_ns = expected_ns * ratio
    if endpoint.in_flight:
        left_ns = outstanding_work.own_left_ns(endpoint, now_ns) * ratio
        outstanding_ns = left_ns / outstanding_work.slots_of(endpoint)
    if endpoint.error_rate:
        rate = error_rate(endpoint, now_ns)
        errors_ns = expected_ns * ERROR_COST_FACTOR * rate
    if now_ns < endpoint.warm_from_ns:
        work_ns = service_ns + outstanding_ns + others_ns + errors_ns
        warmup_ns = (WARMUP_FACTOR - 1) * work_ns
    if endpoint.no_answer_since_ns:
        stall_ns = _stall_ns(endpoint, service_ns, ratio, now_ns)
    if now_ns < endpoint.overloaded_until_ns:
        overload_ns = float(endpoint.overloaded_until_ns - now_ns)
    if endpoint.entry.zone != world.this_node.zone:
        target_ns = request.route.target_latency_ms * NS_PER_MS
        zone_ns = target_ns * CROSS_ZONE_COST_RATIO
    return (
        service_ns,
        outstanding_ns,
        others_ns,
        errors_ns,
        warmup_ns,
        stall_ns,
        overload_ns,
        0.0 if endpoint.idle_connection_ids else CONNECT_COST_NS,
        zone_ns,
    )


def _stall_ns(
    endpoint: Endpoint, service_ns: float, ratio: float, now_ns: int
) -> float:
    """Returns the cost of answers that are outstanding for too long.

    An answer to an expensive request may take longer than this request.
    """
    unanswered_ns = now_ns - endpoint.no_answer_since_ns
    running_ns = outstanding_work.mean_expected_ns(endpoint) * ratio
    if unanswered_ns <= STALL_FACTOR * max(service_ns, running_ns):
        return 0.0
    return min(unanswered_ns, MAX_STALL_NS) * STALL_FACTOR
