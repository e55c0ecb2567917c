"""Relaying: lets a node in another zone gather the parts from its zone.

A shard whose best endpoint is in another zone costs a call to there, and its
answer comes back in full. A node over there asks all such shards and sends
back only their greatest records and signatures, in one message.
"""

from snipesaddle._internal.systems.forwarding import (
    completion,
    fleet,
    hedging,
    placement,
)
from snipesaddle._internal.systems.forwarding.standing import EndpointChooser
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.commands import SendToNode
from snipesaddle._internal.tables.forwarding.events import RelayUnsent
from snipesaddle._internal.tables.forwarding.fleet import FleetNode, NodePhase
from snipesaddle._internal.tables.forwarding.messages import (
    RelayAsk,
    RelayCancel,
    RelayReply,
)
from snipesaddle._internal.tables.forwarding.requests import (
    ArrivedRequest,
    EndpointAnswer,
    MissingCause,
    Part,
    PartState,
    Relay,
    RelayOrigin,
    Request,
)
from snipesaddle._internal.tables.forwarding.routes import Route
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

_MIN_PARTS = 3
# What the reply needs for its way back.
_RETURN_MS = 7
_DISTRUST_NS = 2_000 * NS_PER_MS
_OK = 200


def plan(
    world: ForwardWorld,
    request: Request,
    chooser: EndpointChooser,
    now_ns: int,
) -> None:
    """Relays the parts of a new request that are better asked elsewhere."""
    if not request.route.shards or request.origin is not None:
        return
    by_zone = _foreign_parts(world, request, chooser, now_ns)
    if not by_zone:
        return
    nodes = _nodes_by_zone(world, now_ns)
    while by_zone:
        zone = max(by_zone, key=lambda name: len(by_zone[name]))
        indexes = by_zone.pop(zone)
        if len(indexes) < _MIN_PARTS:
            return
        if zone not in nodes:
            continue
        node = world.rng.choice(nodes[zone])
        _ask(world, request, node, tuple(sorted(indexes)), now_ns)
        for other in by_zone.values():
            other -= indexes


def fall_back(world: ForwardWorld, request: Request, now_ns: int) -> None:
    """Takes back the parts of relays that were not answered in time."""
    for relay_id in list(request.relays):
        relay = world.relays[relay_id]
        node = world.fleet.nodes.get(relay.node_id)
        if node is not None:
            node.no_relays_until_ns = now_ns + _DISTRUST_NS
        cancelled = RelayCancel(relay_id, world.me.peer_address)
        world.emit(SendToNode(relay.peer_address, cancelled))
        _take_back(world, request, relay, "no answer", may_have_run=True)


def _foreign_parts(
    world: ForwardWorld,
    request: Request,
    chooser: EndpointChooser,
    now_ns: int,
) -> dict[str, set[int]]:
    """Returns the parts that are better asked elsewhere, by zone."""
    by_zone: dict[str, set[int]] = {}
    for index, part in enumerate(request.parts):
        usable = placement.candidates(world, part, now_ns)
        if not usable:
            continue
        best = chooser.choose(world, usable, request.route, now_ns)
        if best.entry.zone == world.me.zone:
            continue
        zones = {endpoint.entry.zone for endpoint in usable}
        if world.me.zone in zones:
            zones = {best.entry.zone}
        for zone in zones:
            by_zone.setdefault(zone, set()).add(index)
    return by_zone


def _nodes_by_zone(
    world: ForwardWorld, now_ns: int
) -> dict[str, list[FleetNode]]:
    by_zone: dict[str, list[FleetNode]] = {}
    for node_id, node in world.fleet.nodes.items():
        if (
            node_id in world.fleet.active
            and node.record.phase is NodePhase.SERVING
            and now_ns >= node.no_relays_until_ns
            and fleet.is_live(world, node, now_ns)
        ):
            by_zone.setdefault(node.record.zone, []).append(node)
    return by_zone


def _ask(
    world: ForwardWorld,
    request: Request,
    node: FleetNode,
    indexes: tuple[int, ...],
    now_ns: int,
) -> None:
    relay = Relay(
        relay_id=world.next_id(),
        request_id=request.request_id,
        node_id=node.record.node_id,
        peer_address=node.record.peer_address,
        part_indexes=indexes,
    )
    world.relays[relay.relay_id] = relay
    request.relays.append(relay.relay_id)
    for index in indexes:
        request.parts[index].state = PartState.RELAYED
    world.counters.relays += 1
    arrived = request.arrived
    route = request.route
    ask = RelayAsk(
        relay_id=relay.relay_id,
        reply_address=world.me.peer_address,
        request_key=arrived.request_key,
        method=arrived.method,
        host=arrived.host,
        target=arrived.target,
        headers=arrived.headers,
        body=arrived.body,
        route_name=route.name,
        services=tuple(request.parts[index].service for index in indexes),
        aim_left_ms=(request.aim_ns - now_ns) // NS_PER_MS - _RETURN_MS,
        time_left_ms=(request.deadline_ns - now_ns) // NS_PER_MS - _RETURN_MS,
        target_latency_ms=route.target_latency_ms,
        max_attempts=route.max_attempts,
        priority=route.priority,
        top_k=route.top_k,
        total_parts=len(request.parts),
    )
    world.emit(SendToNode(relay.peer_address, ask))


def _take_back(
    world: ForwardWorld,
    request: Request,
    relay: Relay,
    why: str,
    may_have_run: bool,
) -> None:
    world.relays.pop(relay.relay_id, None)
    request.relays.remove(relay.relay_id)
    world.counters.relays_failed += 1
    world.log(
        "relay_failed",
        request=request.arrived.request_key,
        peer=relay.node_id,
        parts=len(relay.part_indexes),
        why=why,
    )
    for index in relay.part_indexes:
        part = request.parts[index]
        if may_have_run:
            _count_run(world, request, part)
        if part.state is PartState.RELAYED:
            part.state = PartState.PENDING
            world.pending.append((request.request_id, index))


def _count_run(world: ForwardWorld, request: Request, part: Part) -> None:
    # The other node may have sent the part to one endpoint or to several:
    # another try is safe only where all there are may be tried.
    part.arrivals += 1
    part.runs += 1
    pool = world.pools.get(part.service)
    endpoints = len(pool.endpoints) if pool else 0
    if endpoints > request.route.max_attempts:
        part.cause = MissingCause.RELAY
        placement.mark_missing(world, request, part, MissingCause.RELAY)


class RelayingSystem(TickSystem[ForwardWorld]):
    """Gathers parts for other nodes, and takes in what they gathered."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        overdue, world.overdue = world.overdue, []
        for request_id in overdue:
            late = world.requests.get(request_id)
            if late is not None:
                fall_back(world, late, now_ns)
        for unsent in world.inbox.take(RelayUnsent):
            self._unsent(world, unsent.relay_id)
        for reply in world.inbox.take(RelayReply):
            self._replied(world, reply, now_ns)
        for ask in world.inbox.take(RelayAsk):
            self._asked(world, ask, now_ns)
        for cancelled in world.inbox.take(RelayCancel):
            origin = RelayOrigin(cancelled.reply_address, cancelled.relay_id)
            relayed = world.requests.get(world.origins.get(origin, 0))
            if relayed is not None:
                completion.cancel(world, relayed, now_ns)

    def _unsent(self, world: ForwardWorld, relay_id: int) -> None:
        relay = world.relays.get(relay_id)
        request = world.requests.get(relay.request_id) if relay else None
        if relay is None or request is None:
            return
        for index in relay.part_indexes:
            part = request.parts[index]
            world.window(part.service).count_request(request.arrived_ns)
        _take_back(world, request, relay, "not connected", may_have_run=False)

    def _replied(
        self, world: ForwardWorld, reply: RelayReply, now_ns: int
    ) -> None:
        relay = world.relays.pop(reply.relay_id, None)
        request = world.requests.get(relay.request_id) if relay else None
        if relay is None or request is None:
            return
        request.relays.remove(relay.relay_id)
        world.touched[request.request_id] = None
        body = reply.body
        for index, signature in zip(
            relay.part_indexes, reply.signatures, strict=True
        ):
            part = request.parts[index]
            if not signature:
                self._missing(world, request, index, now_ns)
                continue
            part.state = PartState.ANSWERED
            part.answer = EndpointAnswer(_OK, b"OK", (), body, signature)
            request.open_parts -= 1
            request.answered_parts += 1
            # The records of all parts came merged; the first part has them.
            body = b""

    def _missing(
        self, world: ForwardWorld, request: Request, index: int, now_ns: int
    ) -> None:
        part = request.parts[index]
        _count_run(world, request, part)
        if part.state is not PartState.RELAYED:
            return
        if now_ns < request.aim_ns - _RETURN_MS * NS_PER_MS:
            placement.mark_missing(world, request, part, MissingCause.RELAY)
            return
        part.state = PartState.PENDING
        world.pending.append((request.request_id, index))

    def _asked(self, world: ForwardWorld, ask: RelayAsk, now_ns: int) -> None:
        origin = RelayOrigin(ask.reply_address, ask.relay_id)
        request = _request_of(world, ask, origin, now_ns)
        world.requests[request.request_id] = request
        world.origins[origin] = request.request_id
        placement.request_parts(world, request, now_ns)
        hedging.look_first(world, request, now_ns)


def _request_of(
    world: ForwardWorld, ask: RelayAsk, origin: RelayOrigin, now_ns: int
) -> Request:
    route = Route(
        name=ask.route_name,
        host=ask.host,
        prefix=b"",
        idempotent=True,
        timeout_ms=ask.time_left_ms,
        target_latency_ms=ask.target_latency_ms,
        max_attempts=ask.max_attempts,
        priority=ask.priority,
        shards=ask.services,
        top_k=ask.top_k,
    )
    arrived = ArrivedRequest(
        client_id=0,
        request_key=ask.request_key,
        method=ask.method,
        host=ask.host,
        target=ask.target,
        headers=ask.headers,
        body=ask.body,
        time_limit_ms=ask.time_left_ms,
    )
    return Request(
        request_id=world.next_id(),
        arrived=arrived,
        route=route,
        config_version=world.active.version,
        arrived_ns=now_ns,
        aim_ns=now_ns + max(1, ask.aim_left_ms) * NS_PER_MS,
        deadline_ns=now_ns + max(1, ask.time_left_ms) * NS_PER_MS,
        parts=[Part(service) for service in ask.services],
        open_parts=len(ask.services),
        total_parts=ask.total_parts,
        origin=origin,
    )
