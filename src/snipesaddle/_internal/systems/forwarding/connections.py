"""Connections: pools of connections to endpoints.

Each node uses its share of the connections that an endpoint accepts from the
whole fleet.
"""

from snipesaddle._internal.systems.forwarding import fleet_shares
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
from snipesaddle._internal.tables.forwarding.requests import Request
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# Endpoints refuse connections above their limit, so a margin stays unused.
_USED_LIMIT_RATIO = 0.9
_DEFAULT_MAX_CONNECTIONS = 16
# The longest idle time before reuse when the endpoint gives no keep-alive
# timeout.
_MAX_IDLE_NS = 10_000 * NS_PER_MS
# The same for a request that must not be sent twice.
_MAX_IDLE_NON_IDEMPOTENT_NS = 300 * NS_PER_MS
# Reuse ends this long before the endpoint may close an idle connection.
_CLOSE_MARGIN_NS = 500 * NS_PER_MS


def connection_quota(world: ForwardWorld, endpoint: Endpoint) -> int:
    """Returns how many connections this node may hold to an endpoint.

    None until the other nodes have handed over its share.
    """
    if not world.fleet.has_shares:
        return 0
    service = world.active_config.config.services.get(endpoint.entry.service)
    limit = service.max_connections if service else _DEFAULT_MAX_CONNECTIONS
    usable = limit * _USED_LIMIT_RATIO
    share = fleet_shares.share_of(world, usable, minimum=1.0)
    if fleet_shares.is_below_equal(world):
        share = min(share, usable * world.fleet.connection_share)
    return max(1, int(share))


def has_capacity(world: ForwardWorld, endpoint: Endpoint) -> bool:
    """Returns whether an attempt can start on an endpoint now."""
    if endpoint.idle_connection_ids:
        return True
    return endpoint.connection_count < connection_quota(world, endpoint)


def acquire(
    world: ForwardWorld,
    endpoint: Endpoint,
    request: Request,
    attempt_id: int,
    now_ns: int,
) -> EndpointConnection:
    """Returns a connection for an attempt: an idle one, or a new one.

    An idle connection that has carried the request before is passed over: all
    sends of a request have the same id, so a late second copy of the answer to
    an earlier one could not be told from the answer to this one.
    """
    connection = _take_idle(world, endpoint, request, now_ns)
    if connection is not None:
        connection.state = ConnectionState.BUSY
        connection.attempt_id = attempt_id
        return connection
    # All that are still idle have carried the request.
    if endpoint.connection_count >= connection_quota(world, endpoint):
        _close(world, endpoint.idle_connection_ids[:1])
    return _open(world, endpoint, attempt_id, now_ns)


def _take_idle(
    world: ForwardWorld, endpoint: Endpoint, request: Request, now_ns: int
) -> EndpointConnection | None:
    """Removes an idle connection that may carry a request from the pool.

    The most recently used one comes first; unusable ones are closed.
    """
    for connection_id in reversed(tuple(endpoint.idle_connection_ids)):
        connection = world.connections[connection_id]
        if not _is_reusable(connection, now_ns, request.route.idempotent):
            _close(world, [connection_id])
        elif not connection.has_carried(request.arrived.client_request_id):
            endpoint.idle_connection_ids.remove(connection_id)
            return connection
    return None


def release(
    world: ForwardWorld,
    connection: EndpointConnection,
    now_ns: int,
    keep_alive_ms: int,
) -> None:
    """Returns a connection to the pool, or closes it if no longer needed."""
    endpoint = world.endpoint_of(connection)
    if endpoint is None or not _keeps(world, endpoint):
        discard(world, connection)
        world.emit(CloseConnection(connection.connection_id))
        return
    connection.state = ConnectionState.IDLE
    connection.attempt_id = 0
    connection.state_since_ns = now_ns
    connection.reusable_until_ns = 0
    if keep_alive_ms:
        keep_alive_ns = keep_alive_ms * NS_PER_MS - _CLOSE_MARGIN_NS
        connection.reusable_until_ns = now_ns + keep_alive_ns
    endpoint.idle_connection_ids.append(connection.connection_id)
    world.freed_services[endpoint.entry.service] = None


def _keeps(world: ForwardWorld, endpoint: Endpoint) -> bool:
    quota = connection_quota(world, endpoint)
    return endpoint.accepts_work() and endpoint.connection_count <= quota


def close_excess(world: ForwardWorld) -> None:
    """Closes the idle connections above this node's share.

    Endpoints to which more remain, as requests run on them, are noted.
    """
    for endpoint in world.endpoints.values():
        quota = connection_quota(world, endpoint)
        excess = endpoint.connection_count - quota
        if excess > 0:
            _close(world, endpoint.idle_connection_ids[:excess])
        if endpoint.connection_count > quota:
            world.fleet.excess_endpoint_ids[endpoint.endpoint_id] = None


def exceeds_quota(world: ForwardWorld, endpoint_id: str) -> bool:
    """Returns whether this node holds more connections than its share."""
    endpoint = world.endpoints.get(endpoint_id)
    return (
        endpoint is not None
        and endpoint.connection_count > connection_quota(world, endpoint)
    )


def wake_waiting(world: ForwardWorld) -> None:
    """Lets all parts that wait for a connection try again."""
    for service, pool in world.pools.items():
        if pool.waiting:
            world.freed_services[service] = None


def discard(world: ForwardWorld, connection: EndpointConnection) -> None:
    """Removes the row of a connection that is closed or about to be closed."""
    if world.connections.pop(connection.connection_id, None) is None:
        return
    endpoint = world.endpoint_of(connection)
    if endpoint is None:
        return
    endpoint.connection_count -= 1
    if connection.connection_id in endpoint.idle_connection_ids:
        endpoint.idle_connection_ids.remove(connection.connection_id)
    world.freed_services[endpoint.entry.service] = None


def close_idle(world: ForwardWorld, endpoint: Endpoint) -> None:
    """Closes the idle connections of an endpoint."""
    _close(world, list(endpoint.idle_connection_ids))


def _close(world: ForwardWorld, connection_ids: list[int]) -> None:
    for connection_id in connection_ids:
        discard(world, world.connections[connection_id])
        world.emit(CloseConnection(connection_id))


def _open(
    world: ForwardWorld, endpoint: Endpoint, attempt_id: int, now_ns: int
) -> EndpointConnection:
    connection = EndpointConnection(
        connection_id=world.next_id(),
        endpoint_id=endpoint.endpoint_id,
        endpoint_row_id=endpoint.row_id,
        state=ConnectionState.OPENING,
        state_since_ns=now_ns,
        attempt_id=attempt_id,
    )
    world.connections[connection.connection_id] = connection
    endpoint.connection_count += 1
    world.counters.connections_opened += 1
    world.emit(OpenConnection(connection.connection_id, endpoint.entry.address))
    return connection


def _is_reusable(
    connection: EndpointConnection, now_ns: int, idempotent: bool
) -> bool:
    """Returns whether the endpoint is sure not to be closing a connection."""
    idle_ns = now_ns - connection.state_since_ns
    if not idempotent and idle_ns > _MAX_IDLE_NON_IDEMPOTENT_NS:
        reusable_until_ns = connection.reusable_until_ns
        return (
            reusable_until_ns > 0
            and now_ns + _CLOSE_MARGIN_NS < reusable_until_ns
        )
    if connection.reusable_until_ns:
        return now_ns < connection.reusable_until_ns
    return idle_ns < _MAX_IDLE_NS
