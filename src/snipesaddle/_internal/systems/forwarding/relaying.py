"""Relaying: lets a node in another zone gather the parts from its zone.

A shard whose best endpoint is in another zone costs a call to there, and its
answer comes back in full. A node over there asks all such shards and sends
back only their greatest records and signatures, in one message.
"""

from collections.abc import Iterator

from snipesaddle._internal.systems.forwarding import (
    attempts,
    fleet,
    placement,
    retries,
    wakeups,
)
from snipesaddle._internal.systems.forwarding.load_balancing import (
    EndpointChooser,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.commands import SendToNode
from snipesaddle._internal.tables.forwarding.events import RelayUnsent
from snipesaddle._internal.tables.forwarding.fleet import PeerNode
from snipesaddle._internal.tables.forwarding.messages import (
    RelayAsk,
    RelayCancel,
    RelayReply,
)
from snipesaddle._internal.tables.forwarding.requests import (
    EndpointAnswer,
    MissingCause,
    Part,
    PartState,
    Relay,
    Request,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

_MIN_PARTS = 3
_MIN_HEDGES = 2
# With less time to the aim, calls of this node's own are the faster way.
_MIN_GATHER_NS = 20 * NS_PER_MS
# What the reply needs for its way back.
_RETURN_MS = 7
_DISTRUST_NS = 2_000 * NS_PER_MS
_RECONNECT_NS = 200 * NS_PER_MS
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
    groups = _groups(world, by_zone, _MIN_PARTS, now_ns)
    for node, indexes in groups:
        _ask(world, request, node, indexes, now_ns)
        for index in indexes:
            request.parts[index].state = PartState.RELAYED


def hedge(
    world: ForwardWorld, request: Request, due: list[int], now_ns: int
) -> set[int]:
    """Lets nodes in other zones ask a second endpoint of the parts due.

    Returns the parts that need no second endpoint from this node.
    """
    if request.origin is not None or len(due) < _MIN_HEDGES:
        return set()
    if now_ns + _MIN_GATHER_NS > request.soft_deadline_ns:
        return set()
    by_zone: dict[str, set[int]] = {}
    for index in due:
        part = request.parts[index]
        for endpoint in placement.candidates(world, part, now_ns):
            if endpoint.entry.zone != world.this_node.zone:
                by_zone.setdefault(endpoint.entry.zone, set()).add(index)
    handled: set[int] = set()
    for node, indexes in _groups(world, by_zone, _MIN_HEDGES, now_ns):
        handled.update(indexes)
        allowed = tuple(
            index
            for index in indexes
            if retries.may_spend(world, request.parts[index].service, now_ns)
        )
        world.counters.budget_denials += len(indexes) - len(allowed)
        if allowed:
            _ask_again(world, request, node, allowed, now_ns)
    return handled


def fall_back(world: ForwardWorld, request: Request, now_ns: int) -> None:
    """Takes back the parts of relays that were not answered in time."""
    for relay_id in list(request.relays):
        relay = world.relays[relay_id]
        node = world.fleet.nodes.get(relay.node_id)
        if node is not None:
            node.no_relays_until_ns = now_ns + _DISTRUST_NS
        cancelled = RelayCancel(relay_id, world.this_node.peer_address)
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
        if best.entry.zone == world.this_node.zone:
            continue
        zones = {endpoint.entry.zone for endpoint in usable}
        if world.this_node.zone in zones:
            zones = {best.entry.zone}
        for zone in zones:
            by_zone.setdefault(zone, set()).add(index)
    return by_zone


def _groups(
    world: ForwardWorld,
    by_zone: dict[str, set[int]],
    min_parts: int,
    now_ns: int,
) -> Iterator[tuple[PeerNode, tuple[int, ...]]]:
    """Yields nodes with the parts to relay to them, the largest group first.

    Groups of fewer than `min_parts` parts are not worth a message.
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
        yield world.rng.choice(nodes[zone]), tuple(sorted(indexes))
        for other in by_zone.values():
            other -= indexes


def _nodes_by_zone(
    world: ForwardWorld, now_ns: int
) -> dict[str, list[PeerNode]]:
    by_zone: dict[str, list[PeerNode]] = {}
    for node in fleet.live_active_peers(world, now_ns):
        if now_ns >= node.no_relays_until_ns:
            by_zone.setdefault(node.record.zone, []).append(node)
    return by_zone


def _ask_again(
    world: ForwardWorld,
    request: Request,
    node: PeerNode,
    indexes: tuple[int, ...],
    now_ns: int,
) -> None:
    relay = _ask(world, request, node, indexes, now_ns, is_hedge=True)
    for index in indexes:
        part = request.parts[index]
        part.hedge_relay = relay.relay_id
        part.hedged = True
        part.runs += 1
        part.arrivals += 1
        world.retry_budget(part.service).count_extra(now_ns)
        world.counters.hedges += 1


def _ask(
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
        headers=arrived.headers,
        body=arrived.body,
        route_name=route.name,
        services=tuple(request.parts[index].service for index in indexes),
        soft_deadline_left_ms=(request.soft_deadline_ns - now_ns) // NS_PER_MS
        - _RETURN_MS,
        time_left_ms=(request.deadline_ns - now_ns) // NS_PER_MS - _RETURN_MS,
        target_latency_ms=route.target_latency_ms,
        max_attempts=route.max_attempts,
        priority=route.priority,
        top_k=route.top_k,
        total_parts=len(request.parts),
        is_hedge=is_hedge,
    )
    world.emit(SendToNode(relay.peer_address, ask))
    return relay


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
        request=request.arrived.client_request_id,
        peer=relay.node_id,
        parts=len(relay.part_indexes),
        why=why,
    )
    for index in relay.part_indexes:
        part = request.parts[index]
        if relay.is_hedge:
            _end_hedge(world, request, part)
        elif part.state is PartState.RELAYED:
            if may_have_run:
                _count_run(world, request, part)
            _ask_here(world, request, index)


def _ask_here(world: ForwardWorld, request: Request, index: int) -> None:
    """Lets this node ask for a part that a relay did not give."""
    part = request.parts[index]
    if part.state is PartState.RELAYED:
        part.state = PartState.PENDING
        world.pending_parts.append((request.request_id, index))


def _end_hedge(world: ForwardWorld, request: Request, part: Part) -> None:
    """Notes that the second endpoint of a part gave no answer."""
    part.hedge_relay = 0
    if part.state is not PartState.RUNNING or part.attempts:
        return
    if part.runs >= request.route.max_attempts:
        placement.mark_missing(world, request, part, MissingCause.RELAY)
        return
    part.state = PartState.PENDING
    world.pending_parts.append((request.request_id, request.parts.index(part)))


def _count_run(world: ForwardWorld, request: Request, part: Part) -> None:
    # The other node may have sent the part to one endpoint or to several:
    # another try is safe only where all there are may be tried.
    part.arrivals += 1
    part.runs += 1
    pool = world.pools.get(part.service)
    endpoints = len(pool.endpoints) if pool else 0
    if endpoints > request.route.max_attempts:
        placement.mark_missing(world, request, part, MissingCause.RELAY)


class RelayingSystem(TickSystem[ForwardWorld]):
    """Takes in what other nodes gathered, or that they did not."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        overdue_relay_requests, world.overdue_relay_requests = (
            world.overdue_relay_requests,
            [],
        )
        for request_id in overdue_relay_requests:
            late = world.requests.get(request_id)
            if late is not None:
                fall_back(world, late, now_ns)
        for unsent in world.inbox.take(RelayUnsent):
            self._unsent(world, unsent.relay_id, now_ns)
        for reply in world.inbox.take(RelayReply):
            self._replied(world, reply, now_ns)

    def _unsent(self, world: ForwardWorld, relay_id: int, now_ns: int) -> None:
        relay = world.relays.get(relay_id)
        request = world.requests.get(relay.request_id) if relay else None
        if relay is None or request is None:
            return
        node = world.fleet.nodes.get(relay.node_id)
        if node is not None:
            node.no_relays_until_ns = now_ns + _RECONNECT_NS
        if relay.is_hedge:
            self._hedge_directly(world, request, relay, now_ns)
        else:
            for index in relay.part_indexes:
                part = request.parts[index]
                world.retry_budget(part.service).count_request(
                    request.arrived_ns
                )
        _take_back(world, request, relay, "not connected", may_have_run=False)

    def _hedge_directly(
        self,
        world: ForwardWorld,
        request: Request,
        relay: Relay,
        now_ns: int,
    ) -> None:
        """Lets this node itself ask the second endpoints, in its next look."""
        for index in relay.part_indexes:
            part = request.parts[index]
            part.runs -= 1
            part.arrivals -= 1
            part.hedge_ns = now_ns
        wakeups.schedule_wakeup(world, request, now_ns)

    def _replied(
        self, world: ForwardWorld, reply: RelayReply, now_ns: int
    ) -> None:
        relay = world.relays.get(reply.relay_id)
        request = world.requests.get(relay.request_id) if relay else None
        if relay is None or request is None:
            return
        if not reply.more:
            del world.relays[relay.relay_id]
            request.relays.remove(relay.relay_id)
        world.dirty_requests[request.request_id] = None
        body = reply.body
        for index, signature in zip(
            relay.part_indexes, reply.signatures, strict=True
        ):
            part = request.parts[index]
            if signature:
                answer = EndpointAnswer(_OK, b"OK", (), body, signature)
                _settle(world, request, part, answer, now_ns)
                # The records of all parts came merged; the first has them.
                body = b""
            elif reply.more:
                continue
            elif relay.is_hedge:
                _end_hedge(world, request, part)
            elif part.state is PartState.RELAYED:
                self._missing(world, request, index, now_ns)

    def _missing(
        self, world: ForwardWorld, request: Request, index: int, now_ns: int
    ) -> None:
        part = request.parts[index]
        _count_run(world, request, part)
        if part.state is not PartState.RELAYED:
            return
        if now_ns < request.soft_deadline_ns - _RETURN_MS * NS_PER_MS:
            placement.mark_missing(world, request, part, MissingCause.RELAY)
            return
        _ask_here(world, request, index)


def _settle(
    world: ForwardWorld,
    request: Request,
    part: Part,
    answer: EndpointAnswer,
    now_ns: int,
) -> None:
    """Gives a part the answer of a relay.

    It replaces an answer that this node got itself: the records of all parts
    of a relay are merged and cannot be told apart, so that all of them count
    or none.
    """
    if part.state is PartState.MISSING:
        request.answered_parts += 1
    elif part.state is not PartState.ANSWERED:
        request.open_parts -= 1
        request.answered_parts += 1
    part.state = PartState.ANSWERED
    part.answer = answer
    part.hedge_relay = 0
    attempts.abandon_all(world, part, now_ns)
