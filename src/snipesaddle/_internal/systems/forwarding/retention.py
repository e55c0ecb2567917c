"""Retention: what is known of an endpoint outlives its registration.

Answers the load pattern of registrations that lapse while their endpoints run
on, as in an outage of the store: they come back under the same id, and what
the endpoints have said and done still holds. A rate limit holds until an answer
comes without one, a pause until its end, ejection and the averages as they
would have. The row is kept aside, without connections and requests, and a new
row of the same run of the endpoint takes them over. Answers to requests that
were sent before the removal still count.

Nothing of it is written down: a node that restarts learns it anew from its
first answer of each endpoint, or from a relay reply.
"""

from snipesaddle._internal.systems.forwarding import departures
from snipesaddle._internal.systems.tick import NS_PER_S
from snipesaddle._internal.tables.forwarding.endpoints import Endpoint
from snipesaddle._internal.tables.forwarding.requests import Attempt
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

# An outage of the store may last for minutes.
_RETENTION_NS = 600 * NS_PER_S


def retain(world: ForwardWorld, endpoint: Endpoint, now_ns: int) -> None:
    """Keeps what is known of an endpoint whose row is removed."""
    endpoint_id = endpoint.endpoint_id
    world.removed_endpoints[endpoint_id] = endpoint
    world.pool(endpoint.entry.service).removed_ns[endpoint_id] = now_ns
    due_ns = now_ns + _RETENTION_NS
    world.timers.set(TimerKind.ENDPOINT_RETENTION, endpoint_id, due_ns)


def restore(world: ForwardWorld, endpoint: Endpoint) -> None:
    """Gives a new row what is known of the same run of the endpoint."""
    removed = world.removed_endpoints.pop(endpoint.endpoint_id, None)
    if removed is None:
        return
    world.timers.cancel(TimerKind.ENDPOINT_RETENTION, endpoint.endpoint_id)
    del world.pool(removed.entry.service).removed_ns[endpoint.endpoint_id]
    if departures.is_new_instance(removed.entry, endpoint.entry):
        world.limited_endpoint_ids.pop(endpoint.endpoint_id, None)
        return
    endpoint.take_over(removed)


def known_endpoint(world: ForwardWorld, endpoint_id: str) -> Endpoint | None:
    """Returns the row of an endpoint, in use or kept aside."""
    endpoint = world.endpoints.get(endpoint_id)
    return endpoint or world.removed_endpoints.get(endpoint_id)


def endpoint_of(world: ForwardWorld, attempt: Attempt) -> Endpoint | None:
    """Returns the row to which the result of an attempt belongs.

    None if it was forgotten, or if a new run of the endpoint has its id.
    """
    endpoint = known_endpoint(world, attempt.endpoint_id)
    if endpoint is None or departures.is_new_instance(
        endpoint.entry, attempt.entry
    ):
        return None
    return endpoint


def forget_due(world: ForwardWorld, now_ns: int) -> None:
    """Forgets the endpoints that have been removed for long enough."""
    due = world.timers.pop_due(TimerKind.ENDPOINT_RETENTION, now_ns)
    for endpoint_id in map(str, due):
        removed = world.removed_endpoints.pop(endpoint_id)
        del world.pool(removed.entry.service).removed_ns[endpoint_id]
        world.limited_endpoint_ids.pop(endpoint_id, None)
