"""Departures: an endpoint that says in an answer that it leaves gets no work.

Answers the load pattern of endpoints that shut down while they, this node or
both do not reach the store: the registration stays ready. The statement is
never taken back, and only a new instance is used again. It is kept for longer
than the endpoint's row, since a list that is behind may bring the row back.
"""

from collections.abc import Iterable

from snipesaddle._internal.systems.forwarding import connections
from snipesaddle._internal.systems.tick import NS_PER_S
from snipesaddle._internal.tables.forwarding.endpoints import (
    EndpointEntry,
)
from snipesaddle._internal.tables.forwarding.requests import Request
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

# How long after its removal an endpoint may be in a list that is behind.
_FORGET_NS = 600 * NS_PER_S


def is_new_instance(old: EndpointEntry, new: EndpointEntry) -> bool:
    """Returns whether an endpoint has started again under the same id."""
    return (
        old.born_unix_ms != new.born_unix_ms
        or old.address != new.address
        or old.service != new.service
    )


def is_leaving(world: ForwardWorld, entry: EndpointEntry) -> bool:
    """Returns whether this instance has said in an answer that it leaves."""
    known = world.leaving_entries.get(entry.endpoint_id)
    return known is not None and not is_new_instance(known, entry)


def record(
    world: ForwardWorld, entry: EndpointEntry, source: str, now_ns: int
) -> None:
    """Records that an endpoint leaves; what runs on it goes on.

    Args:
      world: the tables.
      entry: its registration.
      source: how this node got to know, for the log.
      now_ns: the time of the tick.
    """
    endpoint = world.endpoints.get(entry.endpoint_id)
    if endpoint is not None and is_new_instance(endpoint.entry, entry):
        return
    if is_leaving(world, entry):
        return
    world.leaving_entries[entry.endpoint_id] = entry
    forget_later(world, entry.endpoint_id, now_ns)
    world.log(
        "endpoint_leaving",
        endpoint=entry.endpoint_id,
        service=entry.service,
        source=source,
        registration=entry.registration.value,
        listed=endpoint is not None and endpoint.registered,
        in_flight=endpoint.in_flight if endpoint else 0,
        store_ok=world.store.is_ok,
    )
    if endpoint is not None:
        endpoint.leaving = True
        connections.close_idle(world, endpoint)
        # Parts may wait for a connection to it.
        world.freed_services[entry.service] = None


def forget_later(world: ForwardWorld, endpoint_id: str, now_ns: int) -> None:
    """Forgets what an endpoint said, some time after its row is removed."""
    if endpoint_id in world.leaving_entries:
        world.timers.set(TimerKind.DEPARTURE, endpoint_id, now_ns + _FORGET_NS)


def forget_due(world: ForwardWorld, now_ns: int) -> None:
    """Forgets the endpoints that have been removed for long enough."""
    for key in world.timers.pop_due(TimerKind.DEPARTURE, now_ns):
        if key not in world.endpoints:
            world.leaving_entries.pop(str(key), None)


def among_tried(
    world: ForwardWorld, request: Request
) -> tuple[EndpointEntry, ...]:
    """Returns the endpoints that a request was sent to and that leave."""
    return tuple(
        known
        for part in request.parts
        for endpoint_id in part.tried
        if (known := world.leaving_entries.get(endpoint_id)) is not None
    )


def record_told(
    world: ForwardWorld, entries: Iterable[EndpointEntry], now_ns: int
) -> None:
    """Records the endpoints that another node has found to leave."""
    for entry in entries:
        record(world, entry, "relay reply", now_ns)
