"""Relay replies: what a node that gathers parts sends back, or fails to.

Parts of a relay without an answer are placed by this node itself where no more
endpoints may run them than the route permits.
"""

from http import HTTPStatus

from snipesaddle._internal.systems.forwarding import (
    attempts,
    containment,
    departures,
    earlier_runs,
    placement,
    possible_runs,
    rate_limits,
    relaying,
    retries,
    wakeups,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.commands import SendToNode
from snipesaddle._internal.tables.forwarding.events import RelayUnsent
from snipesaddle._internal.tables.forwarding.messages import (
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

# How long a node that did not reply in time gets no relays.
_NO_REPLY_BACKOFF_NS = 2_000 * NS_PER_MS
# How long a node that is not connected gets no relays.
_UNCONNECTED_BACKOFF_NS = 200 * NS_PER_MS


class RelayRepliesSystem(TickSystem[ForwardWorld]):
    """Processes replies to relays, and relays that failed or are overdue."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        overdue_relay_requests, world.overdue_relay_requests = (
            world.overdue_relay_requests,
            [],
        )
        for request_id in overdue_relay_requests:
            request = world.requests.get(request_id)
            if request is not None:
                _take_back_overdue(world, request, now_ns)
        take = world.inbox.take
        run_each = containment.run_each
        run_each(world, take(RelayUnsent), self._on_unsent, now_ns)
        run_each(world, take(RelayReply), self._on_reply, now_ns)

    def _on_unsent(
        self, world: ForwardWorld, event: RelayUnsent, now_ns: int
    ) -> None:
        relay = world.relays.get(event.relay_id)
        request = world.requests.get(relay.request_id) if relay else None
        if relay is None or request is None:
            return
        node = world.fleet.nodes.get(relay.node_id)
        if node is not None:
            node.no_relays_until_ns = now_ns + _UNCONNECTED_BACKOFF_NS
        max_endpoints = relay.max_endpoints(request.route)
        for index in relay.part_indexes:
            part = request.parts[index]
            possible_runs.discount_relayed(part, max_endpoints)
        if relay.is_hedge:
            self._hedge_locally(world, request, relay, now_ns)
        else:
            for index in relay.part_indexes:
                part = request.parts[index]
                retries.count_request(world, part.service, now_ns)
        _end_failed_relay(world, request, relay, "not connected", now_ns)

    def _hedge_locally(
        self,
        world: ForwardWorld,
        request: Request,
        relay: Relay,
        now_ns: int,
    ) -> None:
        """Schedules the hedges of a relay to be sent by this node itself."""
        for index in relay.part_indexes:
            request.parts[index].hedge_at_ns = now_ns
        wakeups.schedule_wakeup(world, request, now_ns)

    def _on_reply(
        self, world: ForwardWorld, reply: RelayReply, now_ns: int
    ) -> None:
        departures.record_told(world, reply.leaving, now_ns)
        rate_limits.record_told(world, reply.limits, now_ns)
        if earlier_runs.has_asked(world, reply.relay_id):
            earlier_runs.record_reply(world, reply)
            return
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
                answer = EndpointAnswer(
                    HTTPStatus.OK, b"OK", (), body, signature
                )
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
        if not placement.may_use_another(world, request, part):
            placement.mark_missing(world, request, part, MissingCause.RELAY)
            return
        # A reply this early means that the other node has given the part up;
        # a later one may only mean that its time ran out.
        if (
            now_ns
            < request.soft_deadline_ns - relaying.REPLY_MARGIN_MS * NS_PER_MS
        ):
            placement.mark_missing(world, request, part, MissingCause.RELAY)
            return
        _place_locally(world, request, index)


def _take_back_overdue(
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
        _end_failed_relay(world, request, relay, "no reply in time", now_ns)


def _end_failed_relay(
    world: ForwardWorld,
    request: Request,
    relay: Relay,
    why: str,
    now_ns: int,
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
            if placement.may_use_another(world, request, part):
                _place_locally(world, request, index)
            else:
                placement.mark_missing(world, request, part, MissingCause.RELAY)


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
