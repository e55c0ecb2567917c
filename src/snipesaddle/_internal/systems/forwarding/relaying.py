"""Relaying: asks a node in another zone to gather the parts of its zone.

A shard whose best endpoint is in another zone would cost a call between zones
that returns the whole answer. Instead, a node in that zone calls all such
shards, and returns only their greatest records and their signatures in one
message.
"""

from collections.abc import Iterator

from snipesaddle._internal.systems.forwarding import (
    activity,
    membership_sync,
    node_weights,
    placement,
    possible_runs,
    retries,
)
from snipesaddle._internal.systems.forwarding.load_balancing import (
    EndpointChooser,
)
from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.commands import SendToNode
from snipesaddle._internal.tables.forwarding.fleet import PeerNode
from snipesaddle._internal.tables.forwarding.messages import (
    RelayAsk,
)
from snipesaddle._internal.tables.forwarding.requests import (
    PartState,
    Relay,
    Request,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

_MIN_RELAYED_PARTS = 3
_MIN_RELAYED_HEDGES = 2
# With less time to the soft deadline, this node's own calls are faster.
_MIN_RELAY_TIME_NS = 20 * NS_PER_MS
# Time for the reply to travel back to this node.
REPLY_MARGIN_MS = 7


def relay_remote_parts(
    world: ForwardWorld,
    request: Request,
    chooser: EndpointChooser,
    now_ns: int,
) -> None:
    """Relays the parts of a new request whose best endpoint is elsewhere."""
    if not request.route.shards or request.origin is not None:
        return
    by_zone = _remote_parts(world, request, chooser, now_ns)
    groups = _group_by_node(world, by_zone, _MIN_RELAYED_PARTS, now_ns)
    for node, indexes in groups:
        for index in indexes:
            request.parts[index].state = PartState.RELAYED
        _send_relay(world, request, node, indexes, now_ns)


def relay_hedges(
    world: ForwardWorld, request: Request, due_indexes: list[int], now_ns: int
) -> set[int]:
    """Relays the hedges of several parts to nodes in other zones.

    Returns the indexes of the parts that this node must not hedge itself: the
    relayed ones, and those for which the retry budget is exhausted.
    """
    if request.origin is not None or len(due_indexes) < _MIN_RELAYED_HEDGES:
        return set()
    if now_ns + _MIN_RELAY_TIME_NS > request.soft_deadline_ns:
        return set()
    by_zone: dict[str, set[int]] = {}
    for index in due_indexes:
        part = request.parts[index]
        for endpoint in placement.untried_endpoints(world, part, now_ns):
            if endpoint.entry.zone != world.this_node.zone:
                by_zone.setdefault(endpoint.entry.zone, set()).add(index)
    handled: set[int] = set()
    for node, indexes in _group_by_node(
        world, by_zone, _MIN_RELAYED_HEDGES, now_ns
    ):
        handled.update(indexes)
        allowed = tuple(
            index
            for index in indexes
            if _pay_for_hedge(world, request.parts[index].service, now_ns)
        )
        world.counters.budget_denials += len(indexes) - len(allowed)
        if allowed:
            _send_hedge_relay(world, request, node, allowed, now_ns)
    return handled


def _remote_parts(
    world: ForwardWorld,
    request: Request,
    chooser: EndpointChooser,
    now_ns: int,
) -> dict[str, set[int]]:
    """Returns the indexes of the parts to relay, by zone.

    A part with no usable endpoint in this zone is listed for every zone that
    has one; other parts only for the zone of their best endpoint.
    """
    by_zone: dict[str, set[int]] = {}
    for index, part in enumerate(request.parts):
        untried = placement.untried_endpoints(world, part, now_ns)
        if not untried:
            continue
        best = chooser.choose(world, untried, request, now_ns)
        # This node's share of a rate limit is for its own calls.
        if best.entry.zone == world.this_node.zone or best.rate_limit:
            continue
        zones = {endpoint.entry.zone for endpoint in untried}
        if world.this_node.zone in zones:
            zones = {best.entry.zone}
        for zone in zones:
            by_zone.setdefault(zone, set()).add(index)
    return by_zone


def _group_by_node(
    world: ForwardWorld,
    by_zone: dict[str, set[int]],
    min_parts: int,
    now_ns: int,
) -> Iterator[tuple[PeerNode, tuple[int, ...]]]:
    """Yields nodes with the indexes of their parts, largest group first.

    Groups of fewer than `min_parts` parts are dropped as not worth a message.
    A group's node is chosen at random among the live nodes of its zone, weak
    ones less often.
    """
    nodes: dict[str, list[PeerNode]] = {}
    if by_zone:
        nodes = _nodes_by_zone(world, now_ns)
    while by_zone:
        zone = max(by_zone, key=lambda name: len(by_zone[name]))
        indexes = by_zone.pop(zone)
        if len(indexes) < min_parts:
            return
        if zone not in nodes:
            continue
        node = _choose_node(world, nodes[zone])
        yield node, tuple(sorted(indexes))
        for other in by_zone.values():
            other -= indexes


def _choose_node(world: ForwardWorld, nodes: list[PeerNode]) -> PeerNode:
    weights = node_weights.of_records([node.record for node in nodes])
    if min(weights) >= 1:
        return world.rng.choice(nodes)
    return world.rng.choices(nodes, weights)[0]


def _nodes_by_zone(
    world: ForwardWorld, now_ns: int
) -> dict[str, list[PeerNode]]:
    by_zone: dict[str, list[PeerNode]] = {}
    for node in activity.live_active_peers(world, now_ns):
        # The reply of a node that this one does not hear would be lost, too.
        is_unheard = membership_sync.is_unheard(world, node, now_ns)
        if now_ns >= node.no_relays_until_ns and not is_unheard:
            by_zone.setdefault(node.record.zone, []).append(node)
    return by_zone


def _pay_for_hedge(world: ForwardWorld, service: str, now_ns: int) -> bool:
    """Counts a hedge that another node sends, if the budget allows it."""
    charge = retries.reserve_hedge(world, service, now_ns)
    if charge is None:
        return False
    retries.count_sent(world, service, charge, now_ns)
    return True


def _send_hedge_relay(
    world: ForwardWorld,
    request: Request,
    node: PeerNode,
    indexes: tuple[int, ...],
    now_ns: int,
) -> None:
    relay = _send_relay(world, request, node, indexes, now_ns, is_hedge=True)
    for index in indexes:
        part = request.parts[index]
        part.hedge_relay_id = relay.relay_id
        part.hedged = True
        world.counters.hedges += 1


def _send_relay(
    world: ForwardWorld,
    request: Request,
    node: PeerNode,
    indexes: tuple[int, ...],
    now_ns: int,
    *,
    is_hedge: bool = False,
) -> Relay:
    relay = Relay(
        relay_id=world.next_id(),
        request_id=request.request_id,
        node_id=node.record.node_id,
        peer_address=node.record.peer_address,
        part_indexes=indexes,
        is_hedge=is_hedge,
    )
    for index in indexes:
        max_endpoints = relay.max_endpoints(request.route)
        possible_runs.count_relayed(request.parts[index], max_endpoints)
    world.relays[relay.relay_id] = relay
    request.relays.append(relay.relay_id)
    world.counters.relays += 1
    arrived = request.arrived
    route = request.route
    ask = RelayAsk(
        relay_id=relay.relay_id,
        reply_address=world.this_node.peer_address,
        client_request_id=arrived.client_request_id,
        method=arrived.method,
        host=arrived.host,
        target=arrived.target,
        headers=request.headers,
        body=arrived.body,
        route_name=route.name,
        services=tuple(request.parts[index].service for index in indexes),
        soft_deadline_left_ms=(request.soft_deadline_ns - now_ns) // NS_PER_MS
        - REPLY_MARGIN_MS,
        time_left_ms=(request.deadline_ns - now_ns) // NS_PER_MS
        - REPLY_MARGIN_MS,
        target_latency_ms=route.target_latency_ms,
        max_attempts=route.max_attempts,
        priority=request.priority,
        top_k=route.top_k,
        total_parts=len(request.parts),
        is_hedge=is_hedge,
        tenant=request.tenant.name if request.tenant else "",
    )
    world.emit(SendToNode(relay.peer_address, ask, now_ns))
    return relay
