"""Rate limits that overloaded endpoints name in their answers.

A limit is meant for all nodes together, so each node uses its share of it, as a
token bucket. Answers the load pattern of endpoints that can take less than they
get: work above the limit goes to other copies, or is refused at once.
"""

import math
from collections.abc import Iterable
from http import HTTPStatus

from snipesaddle._internal.systems.forwarding import fleet_shares, retention
from snipesaddle._internal.systems.tick import NS_PER_MS, NS_PER_S
from snipesaddle._internal.tables.forwarding.endpoints import (
    Endpoint,
    RateLimit,
)
from snipesaddle._internal.tables.forwarding.messages import EndpointLimit
from snipesaddle._internal.tables.forwarding.requests import (
    Attempt,
    EndpointAnswer,
    Request,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# The most tokens that a node saves, as the time in which it gets them.
_BURST_S = 1.0
# Of a lower limit, so that an answer can tell of its end.
_MIN_REQUESTS_PER_S = 0.5


def allows(world: ForwardWorld, endpoint: Endpoint, now_ns: int) -> bool:
    """Returns whether the limit of an endpoint allows one more attempt."""
    limit = endpoint.rate_limit
    return limit is None or _refill(world, limit, now_ns) >= 1


def spare_attempts(
    world: ForwardWorld, endpoint: Endpoint, now_ns: int
) -> float:
    """Returns how many attempts the limit allows now; infinite without one."""
    limit = endpoint.rate_limit
    if limit is None:
        return math.inf
    return math.floor(_refill(world, limit, now_ns))


def wait_ns(world: ForwardWorld, endpoint: Endpoint, now_ns: int) -> float:
    """Returns how long until the limit allows one more attempt."""
    limit = endpoint.rate_limit
    if limit is None:
        return 0.0
    missing = 1 - _refill(world, limit, now_ns)
    if missing <= 0:
        return 0.0
    rate_per_s = _share_per_s(world, limit)
    return missing / rate_per_s * NS_PER_S if rate_per_s else math.inf


def take(world: ForwardWorld, endpoint: Endpoint, now_ns: int) -> None:
    """Counts an attempt against the limit of its endpoint."""
    limit = endpoint.rate_limit
    if limit is not None:
        limit.tokens = _refill(world, limit, now_ns) - 1
        limit.sends += 1


def record_answer(
    world: ForwardWorld,
    endpoint: Endpoint,
    attempt: Attempt,
    answer: EndpointAnswer,
    now_ns: int,
) -> None:
    """Records the limit that an answer names, or that it names none."""
    if answer.max_requests_per_s is not None:
        _set(world, endpoint, answer.max_requests_per_s, now_ns)
        return
    limit = endpoint.rate_limit
    if limit is None or answer.status == HTTPStatus.MISDIRECTED_REQUEST:
        return
    # An answer that was on its way when the limit was named says nothing.
    if attempt.sent_ns > limit.named_ns:
        endpoint.rate_limit = None
        world.limited_endpoint_ids.pop(endpoint.endpoint_id, None)
        world.freed_services[endpoint.entry.service] = None
        _log(world, "endpoint_limit_ended", endpoint, limit, now_ns)


def record_told(
    world: ForwardWorld, limits: Iterable[EndpointLimit], now_ns: int
) -> None:
    """Records limits that another node has got with answers."""
    for told in limits:
        endpoint = retention.known_endpoint(world, told.endpoint_id)
        if (
            endpoint is not None
            and endpoint.entry.born_unix_ms == told.born_unix_ms
        ):
            _set(world, endpoint, told.max_requests_per_s, now_ns)


def among_tried(
    world: ForwardWorld, request: Request
) -> tuple[EndpointLimit, ...]:
    """Returns the limits of the endpoints that a request was sent to."""
    if not world.limited_endpoint_ids:
        return ()
    endpoints = {
        endpoint_id: retention.known_endpoint(world, endpoint_id)
        for part in request.parts
        for endpoint_id in part.tried
    }
    return tuple(
        EndpointLimit(
            endpoint_id,
            endpoint.entry.born_unix_ms,
            endpoint.rate_limit.max_requests_per_s,
        )
        for endpoint_id, endpoint in endpoints.items()
        if endpoint is not None and endpoint.rate_limit is not None
    )


def _share_per_s(world: ForwardWorld, limit: RateLimit) -> float:
    requests_per_s = max(limit.max_requests_per_s, _MIN_REQUESTS_PER_S)
    return fleet_shares.share_of(world, requests_per_s)


def _refill(world: ForwardWorld, limit: RateLimit, now_ns: int) -> float:
    """Adds the tokens of the time since the last call; returns their number."""
    rate_per_s = _share_per_s(world, limit)
    elapsed_s = (now_ns - limit.refilled_ns) / NS_PER_S
    max_tokens = max(1.0, rate_per_s * _BURST_S)
    limit.tokens = min(max_tokens, limit.tokens + rate_per_s * elapsed_s)
    limit.refilled_ns = now_ns
    return limit.tokens


def _set(
    world: ForwardWorld,
    endpoint: Endpoint,
    max_requests_per_s: float,
    now_ns: int,
) -> None:
    limit = endpoint.rate_limit
    if limit is None:
        limit = RateLimit(
            max_requests_per_s,
            named_ns=now_ns,
            first_named_ns=now_ns,
            refilled_ns=now_ns,
            # The nodes get their tokens at different times.
            tokens=world.rng.random(),
        )
        endpoint.rate_limit = limit
        world.limited_endpoint_ids[endpoint.endpoint_id] = None
        _log(world, "endpoint_limited", endpoint, limit, now_ns)
    limit.max_requests_per_s = max_requests_per_s
    limit.named_ns = now_ns


def _log(
    world: ForwardWorld,
    event: str,
    endpoint: Endpoint,
    limit: RateLimit,
    now_ns: int,
) -> None:
    world.log(
        event,
        endpoint=endpoint.endpoint_id,
        service=endpoint.entry.service,
        max_requests_per_s=limit.max_requests_per_s,
        share_per_s=round(_share_per_s(world, limit), 2),
        fleet_size=world.fleet.recent_max_size,
        sends=limit.sends,
        age_ms=(now_ns - limit.first_named_ns) // NS_PER_MS,
    )
