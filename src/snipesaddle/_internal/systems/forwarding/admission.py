"""Admission: refuses a request that cannot get enough answers, before any work.

Answers the load pattern of many endpoints that name rate limits or want no
requests for a time. If each shard admitted requests by itself, hardly any
request would get the answers of enough shards, and what the others had run for
it would be wasted.
"""

import math

from snipesaddle._internal.systems.forwarding import (
    load_balancing,
    rate_limits,
)
from snipesaddle._internal.tables.forwarding.endpoints import Endpoint
from snipesaddle._internal.tables.forwarding.requests import Request
from snipesaddle._internal.tables.forwarding.routes import Route
from snipesaddle._internal.tables.forwarding.world import ForwardWorld


def min_answered_parts(route: Route, total: int) -> int:
    """Returns of how many parts a request needs an answer."""
    if not route.shards:
        return total
    return max(1, math.ceil(route.min_coverage * total - 1e-9))


def wait_ns(world: ForwardWorld, request: Request, now_ns: int) -> float:
    """Returns how long until enough parts of a new request can be sent.

    Returns:
      0 if they can be sent now; infinity if too few parts have an endpoint.
    """
    if not world.limited_endpoint_ids and now_ns >= world.backoff_until_ns:
        return 0.0
    waits_ns = sorted(
        _service_wait_ns(world, part.service, now_ns) for part in request.parts
    )
    needed = min_answered_parts(request.route, len(request.parts))
    return waits_ns[needed - 1]


def admit(world: ForwardWorld, request: Request) -> None:
    """Counts the parts of an admitted request until they are placed."""
    if not world.limited_endpoint_ids:
        return
    for part in request.parts:
        admitted = world.admitted_parts.get(part.service, 0)
        world.admitted_parts[part.service] = admitted + 1


def _service_wait_ns(world: ForwardWorld, service: str, now_ns: int) -> float:
    """Returns how long until a part of a service can be sent."""
    pool = world.pools.get(service)
    endpoints = [
        endpoint
        for endpoint in (pool.endpoints if pool else ())
        if endpoint.accepts_work()
    ]
    room = sum(
        rate_limits.spare_attempts(world, endpoint, now_ns)
        for endpoint in endpoints
        if load_balancing.is_usable(endpoint, now_ns)
    )
    if room > world.admitted_parts.get(service, 0):
        return 0.0
    waits_ns = [
        _endpoint_wait_ns(world, endpoint, now_ns) for endpoint in endpoints
    ]
    # What room there is may be promised to parts that are not placed yet.
    return max(1.0, min(waits_ns, default=math.inf))


def _endpoint_wait_ns(
    world: ForwardWorld, endpoint: Endpoint, now_ns: int
) -> float:
    return max(
        endpoint.backoff_until_ns - now_ns,
        endpoint.ejected_until_ns - now_ns,
        rate_limits.wait_ns(world, endpoint, now_ns),
    )
