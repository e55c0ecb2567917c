"""Connections: this node's share of what each endpoint accepts."""

from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.commands import (
    CloseConnection,
    OpenConnection,
)
from snipesaddle._internal.tables.forwarding.endpoints import (
    ConnectionState,
    Endpoint,
    EndpointConnection,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# An endpoint refuses all above its limit, so a part of it stays unused.
_USED_SHARE = 0.9
_DEFAULT_MAX_CONNECTIONS = 16
# How long an idle connection is trusted when its endpoint names no time-out.
_IDLE_TRUST_NS = 10_000 * NS_PER_MS
# The same for a request that must not be sent twice.
_IDLE_TRUST_ONCE_NS = 300 * NS_PER_MS
_CLOSE_MARGIN_NS = 500 * NS_PER_MS


def share_of(world: ForwardWorld, endpoint: Endpoint) -> int:
    """Returns how many connections this node may hold to an endpoint."""
    service = world.active_config.config.services.get(endpoint.entry.service)
    limit = service.max_connections if service else _DEFAULT_MAX_CONNECTIONS
    return max(1, int(limit * _USED_SHARE / world.fleet.recent_max_size))


def has_capacity(world: ForwardWorld, endpoint: Endpoint) -> bool:
    """Tells whether an attempt could start on an endpoint now."""
    if endpoint.idle:
        return True
    return endpoint.connections < share_of(world, endpoint)


def acquire(
    world: ForwardWorld,
    endpoint: Endpoint,
    attempt_id: int,
    now_ns: int,
    once: bool,
) -> EndpointConnection:
    """Returns an idle connection, or a new one that opens for the attempt.

    With `once`, the request must not run twice, and a connection that the
    endpoint may just be closing is not used.
    """
    while endpoint.idle:
        connection = world.connections[endpoint.idle.pop()]
        if _is_trusted(connection, now_ns, once):
            connection.state = ConnectionState.BUSY
            connection.attempt_id = attempt_id
            return connection
        discard(world, connection)
        world.emit(CloseConnection(connection.connection_id))
    return _open(world, endpoint, attempt_id, now_ns)


def release(
    world: ForwardWorld,
    connection: EndpointConnection,
    now_ns: int,
    keep_alive_ms: int,
) -> None:
    """Makes a connection free for the next attempt."""
    endpoint = world.endpoints.get(connection.endpoint_id)
    if endpoint is None or not endpoint.accepts_work():
        discard(world, connection)
        world.emit(CloseConnection(connection.connection_id))
        return
    connection.state = ConnectionState.IDLE
    connection.attempt_id = 0
    connection.since_ns = now_ns
    connection.reusable_until_ns = 0
    if keep_alive_ms:
        kept_ns = keep_alive_ms * NS_PER_MS - _CLOSE_MARGIN_NS
        connection.reusable_until_ns = now_ns + kept_ns
    endpoint.idle.append(connection.connection_id)
    world.freed_services[endpoint.entry.service] = None


def discard(world: ForwardWorld, connection: EndpointConnection) -> None:
    """Removes the row of a connection that has ended or is to end."""
    if world.connections.pop(connection.connection_id, None) is None:
        return
    endpoint = world.endpoints.get(connection.endpoint_id)
    if endpoint is None:
        return
    endpoint.connections -= 1
    if connection.connection_id in endpoint.idle:
        endpoint.idle.remove(connection.connection_id)
    world.freed_services[endpoint.entry.service] = None


def close_idle(world: ForwardWorld, endpoint: Endpoint) -> None:
    """Closes the free connections of an endpoint."""
    for connection_id in list(endpoint.idle):
        discard(world, world.connections[connection_id])
        world.emit(CloseConnection(connection_id))


def _open(
    world: ForwardWorld, endpoint: Endpoint, attempt_id: int, now_ns: int
) -> EndpointConnection:
    connection = EndpointConnection(
        connection_id=world.next_id(),
        endpoint_id=endpoint.endpoint_id,
        state=ConnectionState.OPENING,
        since_ns=now_ns,
        attempt_id=attempt_id,
    )
    world.connections[connection.connection_id] = connection
    endpoint.connections += 1
    world.counters.connections_opened += 1
    world.emit(OpenConnection(connection.connection_id, endpoint.entry.address))
    return connection


def _is_trusted(
    connection: EndpointConnection, now_ns: int, once: bool
) -> bool:
    idle_ns = now_ns - connection.since_ns
    if once and idle_ns > _IDLE_TRUST_ONCE_NS:
        known = connection.reusable_until_ns
        return known > 0 and now_ns + _CLOSE_MARGIN_NS < known
    if connection.reusable_until_ns:
        return now_ns < connection.reusable_until_ns
    return idle_ns < _IDLE_TRUST_NS
