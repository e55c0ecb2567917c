"""Relaying: asks a node in another zone to gather the parts of its zone.

A shard whose best endpoint is in another zone would cost a call between zones
that returns the whole answer. Instead, a node in that zone calls all such
shards, and returns only their greatest records and their signatures in one
message.
"""

from collections.abc import Iterator

from snipesaddle._internal.systems.forwarding import (
    activity,
    attempts,
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

_MIN_RELAYED_PARTS = 3
_MIN_RELAYED_HEDGES = 2
# With less time to the soft deadline, this node's own calls are faster.
_MIN_RELAY_TIME_NS = 20 * NS_PER_MS
# Time for the reply to travel back to this node.
_REPLY_MARGIN_MS = 7
# How long a node that did not reply in time gets no relays.
_NO_REPLY_BACKOFF_NS = 2_000 * NS_PER_MS
# How long a node that is not connected gets no relays.
_UNCONNECTED_BACKOFF_NS = 200 * NS_PER_MS
_STATUS_OK = 200


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
        _send_relay(world, request, node, indexes, now_ns)
        for index in indexes:
            request.parts[index].state = PartState.RELAYED


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
            if retries.may_hedge(world, request.parts[index].service, now_ns)
        )
        world.counters.budget_denials += len(indexes) - len(allowed)
        if allowed:
            _send_hedge_relay(world, request, node, allowed, now_ns)
    return handled


def take_back_overdue(
    world: ForwardWorld, request: Request, now_ns: int
) -> None:
    """Cancels relays that were not answered in time and places their parts."""
    for relay_id in list(request.relays):
        relay = world.relays[relay_id]
        node = world.fleet.nodes.get(relay.node_id)
        if node is not None:
            node.no_relays_until_ns = now_ns + _NO_REPLY_BACKOFF_NS
        cancelled = RelayCancel(relay_id, world.this_node.peer_address)
        world.emit(SendToNode(relay.peer_address, cancelled))
        _end_failed_relay(
            world,
            request,
            relay,
            "no reply in time",
            now_ns,
            may_have_run=True,
        )


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
        best = chooser.choose(world, untried, request.route, now_ns)
        if best.entry.zone == world.this_node.zone:
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
    A group's node is chosen at random among the live nodes of its zone.
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
    for node in activity.live_active_peers(world, now_ns):
        if now_ns >= node.no_relays_until_ns:
            by_zone.setdefault(node.record.zone, []).append(node)
    return by_zone


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
        part.possible_runs += 1
        part.relayed_runs += 1
        part.send_count += 1
        world.retry_budget(part.service).count_extra(now_ns)
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
        - _REPLY_MARGIN_MS,
        time_left_ms=(request.deadline_ns - now_ns) // NS_PER_MS
        - _REPLY_MARGIN_MS,
        target_latency_ms=route.target_latency_ms,
        max_attempts=route.max_attempts,
        priority=route.priority,
        top_k=route.top_k,
        total_parts=len(request.parts),
        is_hedge=is_hedge,
    )
    world.emit(SendToNode(relay.peer_address, ask))
    return relay


def _end_failed_relay(
    world: ForwardWorld,
    request: Request,
    relay: Relay,
    why: str,
    now_ns: int,
    *,
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
            _end_failed_hedge(world, request, part, now_ns)
        elif part.state is PartState.RELAYED:
            if may_have_run:
                _count_possible_run(world, request, part)
            _place_locally(world, request, index)


def _place_locally(world: ForwardWorld, request: Request, index: int) -> None:
    """Queues a part that a relay did not answer for placement by this node."""
    part = request.parts[index]
    if part.state is PartState.RELAYED:
        part.state = PartState.PENDING
        world.pending_parts.append((request.request_id, index))


def _end_failed_hedge(
    world: ForwardWorld, request: Request, part: Part, now_ns: int
) -> None:
    """Ends the relayed hedge of a part that brought no answer."""
    part.hedge_relay_id = 0
    if part.state is not PartState.RUNNING or part.attempts:
        return
    if not placement.may_retry(request, part, now_ns):
        placement.mark_missing(world, request, part, MissingCause.RELAY)
        return
    part.state = PartState.PENDING
    world.pending_parts.append((request.request_id, request.parts.index(part)))


def _count_possible_run(
    world: ForwardWorld, request: Request, part: Part
) -> None:
    # The other node may have sent the part to one endpoint or to several, so
    # another send is safe only if the service has no more endpoints than
    # max_attempts.
    part.send_count += 1
    part.possible_runs += 1
    pool = world.pools.get(part.service)
    endpoints = len(pool.endpoints) if pool else 0
    if endpoints > request.route.max_attempts:
        placement.mark_missing(world, request, part, MissingCause.RELAY)


class RelayingSystem(TickSystem[ForwardWorld]):
    """Processes replies to relays, and relays that failed or are overdue."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        overdue_relay_requests, world.overdue_relay_requests = (
            world.overdue_relay_requests,
            [],
        )
        for request_id in overdue_relay_requests:
            request = world.requests.get(request_id)
            if request is not None:
                take_back_overdue(world, request, now_ns)
        for unsent in world.inbox.take(RelayUnsent):
            self._on_unsent(world, unsent.relay_id, now_ns)
        for reply in world.inbox.take(RelayReply):
            self._on_reply(world, reply, now_ns)

    def _on_unsent(
        self, world: ForwardWorld, relay_id: int, now_ns: int
    ) -> None:
        relay = world.relays.get(relay_id)
        request = world.requests.get(relay.request_id) if relay else None
        if relay is None or request is None:
            return
        node = world.fleet.nodes.get(relay.node_id)
        if node is not None:
            node.no_relays_until_ns = now_ns + _UNCONNECTED_BACKOFF_NS
        if relay.is_hedge:
            self._hedge_locally(world, request, relay, now_ns)
        else:
            for index in relay.part_indexes:
                part = request.parts[index]
                world.retry_budget(part.service).count_request(
                    request.arrived_ns
                )
        _end_failed_relay(
            world, request, relay, "not connected", now_ns, may_have_run=False
        )

    def _hedge_locally(
        self,
        world: ForwardWorld,
        request: Request,
        relay: Relay,
        now_ns: int,
    ) -> None:
        """Schedules the hedges of a relay to be sent by this node itself."""
        for index in relay.part_indexes:
            part = request.parts[index]
            part.possible_runs -= 1
            part.relayed_runs -= 1
            part.send_count -= 1
            part.hedge_at_ns = now_ns
        wakeups.schedule_wakeup(world, request, now_ns)

    def _on_reply(
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
                answer = EndpointAnswer(_STATUS_OK, b"OK", (), body, signature)
                _accept_answer(world, request, part, answer, now_ns)
                # The body holds the merged records of all parts; only the
                # first answered part gets it.
                body = b""
            elif reply.more:
                continue
            elif relay.is_hedge:
                _end_failed_hedge(world, request, part, now_ns)
            elif part.state is PartState.RELAYED:
                self._on_part_missing(world, request, index, now_ns)

    def _on_part_missing(
        self, world: ForwardWorld, request: Request, index: int, now_ns: int
    ) -> None:
        part = request.parts[index]
        _count_possible_run(world, request, part)
        if part.state is not PartState.RELAYED:
            return
        # A reply this early means that the other node has given the part up;
        # a later one may only mean that its time ran out.
        if now_ns < request.soft_deadline_ns - _REPLY_MARGIN_MS * NS_PER_MS:
            placement.mark_missing(world, request, part, MissingCause.RELAY)
            return
        _place_locally(world, request, index)


def _accept_answer(
    world: ForwardWorld,
    request: Request,
    part: Part,
    answer: EndpointAnswer,
    now_ns: int,
) -> None:
    """Stores the answer of a relay for a part.

    It replaces an answer that this node received itself: the records of all
    parts of a relay are merged and cannot be separated, so either all of them
    count or none.
    """
    if part.state is PartState.MISSING:
        request.answered_parts += 1
    elif part.state is not PartState.ANSWERED:
        request.open_parts -= 1
        request.answered_parts += 1
    part.state = PartState.ANSWERED
    part.answer = answer
    part.hedge_relay_id = 0
    attempts.abandon_all(world, part, now_ns)
