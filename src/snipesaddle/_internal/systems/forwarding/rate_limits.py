"""Rate limits that endpoints in need name in their answers."""

from http import HTTPStatus

from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.endpoints import (
    Endpoint,
    RateLimit,
)
from snipesaddle._internal.tables.forwarding.requests import (
    Attempt,
    EndpointAnswer,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld


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
        _log(world, "endpoint_limit_ended", endpoint, limit, now_ns)


def record_sent(endpoint: Endpoint) -> None:
    """Records that an attempt was sent to an endpoint."""
    if endpoint.rate_limit is not None:
        endpoint.rate_limit.sends += 1


def _set(
    world: ForwardWorld,
    endpoint: Endpoint,
    max_requests_per_s: float,
    now_ns: int,
) -> None:
    limit = endpoint.rate_limit
    if limit is None:
        limit = RateLimit(max_requests_per_s, now_ns, now_ns)
        endpoint.rate_limit = limit
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
        fleet_size=world.fleet.recent_max_size,
        active_share=round(world.fleet.active_share, 3),
        sends=limit.sends,
        age_ms=(now_ns - limit.first_named_ns) // NS_PER_MS,
    )
