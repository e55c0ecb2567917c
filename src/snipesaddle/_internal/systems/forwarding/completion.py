"""Completion: when a request gets its answer, and which one."""

import abc
import heapq
import math

from snipesaddle._internal.systems.forwarding import (
    attempts,
    deadlines,
    wakeups,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.commands import (
    Command,
    ErrorKind,
    RecordOutcome,
    SendEndpointAnswer,
    SendError,
    SendMergedAnswer,
    SendToNode,
)
from snipesaddle._internal.tables.forwarding.fleet import NodePhase
from snipesaddle._internal.tables.forwarding.messages import (
    RelayCancel,
    RelayReply,
)
from snipesaddle._internal.tables.forwarding.requests import (
    EndpointAnswer,
    PartState,
    RelayOrigin,
    Request,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

RECORD_BYTES = 16
_RETRY_MS = 100
# Statuses that promise a client that its request has not run.
_PROMISES = frozenset({408, 421, 429, 503})
# One whole answer in so many is logged; all others are.
_LOG_EVERY = 32


class Composer(abc.ABC):
    """Decides when the parts of a request make an answer, and composes it."""

    @abc.abstractmethod
    def compose(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> Command | None:
        """Returns the final answer, or None while waiting is better."""


class PassComposer(Composer):
    """Gives the client the answer of the one endpoint asked."""

    def compose(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> Command | None:
        part = request.parts[0]
        answer = part.answer
        if answer is None and part.state is PartState.MISSING:
            answer = part.failure
        if answer is not None and _may_pass(answer):
            client_id = request.arrived.client_id
            return SendEndpointAnswer(client_id, answer, _is_leaving(world))
        if part.state in (PartState.MISSING, PartState.ANSWERED):
            return build_error(world, request, ErrorKind.FAILED)
        if now_ns >= request.deadline_ns:
            return build_error(world, request, ErrorKind.TIMEOUT)
        return None


class MergeComposer(Composer):
    """Merges the greatest records of the shards that answered.

    Missing parts are waited for as long as the deadlines allow; an answer with
    too few parts is waited for until the deadline.
    """

    def compose(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> Command | None:
        total = len(request.parts)
        needed = max(1, math.ceil(request.route.min_coverage * total - 1e-9))
        enough = request.answered_parts >= needed
        missing = total - request.answered_parts
        request.earliest_partial_ns = deadlines.earliest_partial_ns(
            request, missing, total
        )
        settled = (
            request.open_parts == 0 or now_ns >= request.earliest_partial_ns
        )
        if enough and settled:
            return self._merge(world, request)
        if request.answered_parts + request.open_parts < needed:
            return build_error(world, request, ErrorKind.FAILED)
        if now_ns < request.deadline_ns:
            return None
        if enough:
            return self._merge(world, request)
        return build_error(world, request, ErrorKind.TIMEOUT)

    def _merge(self, world: ForwardWorld, request: Request) -> Command:
        answered = [part.answer for part in request.parts if part.answer]
        return SendMergedAnswer(
            client_id=request.arrived.client_id,
            body=merge_records(
                [answer.body for answer in answered], request.route.top_k
            ),
            signatures=tuple(answer.signature for answer in answered),
            missing=len(request.parts) - len(answered),
            close_connection=_is_leaving(world),
        )


class RelayComposer(Composer):
    """Gives the node that relayed the parts what is in, at most twice.

    Only that node knows what is missing in all, so it is told early what is
    in, and decides whether to wait for the rest, which follows at the aim.
    """

    def compose(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> Command | None:
        origin = request.origin
        assert origin is not None
        missing = len(request.parts) - request.answered_parts
        request.earliest_partial_ns = deadlines.earliest_partial_ns(
            request, missing, request.total_parts
        )
        if not request.open_parts or now_ns >= request.soft_deadline_ns:
            return self._reply(request, origin, more=False)
        if now_ns >= request.earliest_partial_ns and not request.replied_early:
            request.replied_early = True
            if request.answered_parts:
                world.emit(self._reply(request, origin, more=True))
        return None

    def _reply(
        self, request: Request, origin: RelayOrigin, *, more: bool
    ) -> SendToNode:
        bodies: list[bytes] = []
        signatures: list[bytes] = []
        for part in request.parts:
            if part.answer is None or part.delivered:
                signatures.append(b"")
                continue
            part.delivered = True
            bodies.append(part.answer.body)
            signatures.append(part.answer.signature)
        reply = RelayReply(
            relay_id=origin.relay_id,
            body=merge_records(bodies, request.route.top_k),
            signatures=tuple(signatures),
            more=more,
        )
        return SendToNode(origin.peer_address, reply)


class CompletionSystem(TickSystem[ForwardWorld]):
    """Answers the requests that have come to their end."""

    def __init__(self) -> None:
        self._pass = PassComposer()
        self._merge = MergeComposer()
        self._relay = RelayComposer()

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        if not world.dirty_requests:
            return
        dirty_requests, world.dirty_requests = world.dirty_requests, {}
        for request_id in dirty_requests:
            request = world.requests.get(request_id)
            if request is not None:
                self._complete(world, request, now_ns)

    def _complete(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> None:
        answer = self._composer(request).compose(world, request, now_ns)
        if answer is None:
            self._wait(world, request, now_ns)
            return
        world.emit(answer)
        if request.origin is None:
            _record(world, request, answer, now_ns)
        finish(world, request, now_ns)

    def _wait(self, world: ForwardWorld, request: Request, now_ns: int) -> None:
        grace_ns = wakeups.RELAY_GRACE_NS
        if request.relays and now_ns >= request.soft_deadline_ns + grace_ns:
            world.overdue_relay_requests.append(request.request_id)
        if now_ns < request.earliest_partial_ns < request.wakeup_ns:
            wakeups.schedule_wakeup(world, request, request.earliest_partial_ns)

    def _composer(self, request: Request) -> Composer:
        if request.origin is not None:
            return self._relay
        return self._merge if request.route.shards else self._pass


def finish(world: ForwardWorld, request: Request, now_ns: int) -> None:
    """Ends an answered request; its attempts in flight run out."""
    remove(world, request, at_once=False)
    late = now_ns >= request.deadline_ns or not request.route.idempotent
    for part in request.parts:
        for attempt_id in part.attempts:
            if late:
                attempts.cancel(world, attempt_id, now_ns)
            else:
                attempts.abandon(world, attempt_id, now_ns)


def cancel(world: ForwardWorld, request: Request, now_ns: int) -> None:
    """Ends a request that nobody waits for, with all that runs for it."""
    remove(world, request, at_once=True)
    for part in request.parts:
        for attempt_id in part.attempts:
            attempts.cancel(world, attempt_id, now_ns)


def remove(world: ForwardWorld, request: Request, *, at_once: bool) -> None:
    """Removes the row of a request.

    With `at_once`, what other nodes run for it ends now, too.
    """
    world.requests.pop(request.request_id, None)
    world.request_id_by_client.pop(request.arrived.client_id, None)
    if request.origin is not None:
        world.request_id_by_origin.pop(request.origin, None)
    for relay_id in request.relays:
        relay = world.relays.pop(relay_id)
        cancelled = RelayCancel(relay_id, world.this_node.peer_address, at_once)
        world.emit(SendToNode(relay.peer_address, cancelled))
    request.relays.clear()
    world.timers.cancel(TimerKind.REQUEST, request.request_id)


def build_error(
    world: ForwardWorld, request: Request, error_kind: ErrorKind
) -> SendError:
    """Returns the final answer for a request that cannot be served.

    It says "not run" only where no endpoint can have run any part of it.
    """
    causes = sorted({part.cause.value for part in request.parts})
    retry_ms = 0
    if all(part.runs == 0 for part in request.parts):
        error_kind = ErrorKind.NOT_RUN
        retry_ms = _RETRY_MS
    return SendError(
        client_id=request.arrived.client_id,
        error_kind=error_kind,
        detail=",".join(causes),
        retry_after_ms=retry_ms,
        close_connection=_is_leaving(world),
    )


def merge_records(bodies: list[bytes], top_k: int) -> bytes:
    """Returns the greatest records of all bodies, greatest first.

    A record has 16 bytes; a shorter rest of a body is none.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(top_k, records))


def _may_pass(answer: EndpointAnswer) -> bool:
    # A client would take these for a promise that the request has not run.
    return answer.status not in _PROMISES


def _is_leaving(world: ForwardWorld) -> bool:
    return world.this_node.phase is NodePhase.LEAVING


def _record(
    world: ForwardWorld, request: Request, answer: Command, now_ns: int
) -> None:
    outcome = _outcome(world, answer)
    latency_ns = now_ns - request.arrived_ns
    world.emit(RecordOutcome(request.route.name, outcome, latency_ns))
    if outcome == "whole" and world.counters.answered % _LOG_EVERY:
        return
    world.log(
        "request_ended",
        request=request.arrived.client_request_id,
        route=request.route.name,
        outcome=outcome,
        detail=answer.detail if isinstance(answer, SendError) else "",
        latency_ms=latency_ns // NS_PER_MS,
        config_version=request.config_version,
        endpoints_revision=world.endpoints_revision,
        store_ok=world.store.is_ok,
        parts=len(request.parts),
        missing={
            part.service: part.cause.value
            for part in request.parts
            if part.answer is None
        },
        hedged=sum(part.hedged for part in request.parts),
        tried=[part.tried for part in request.parts if part.answer is None],
    )


def _outcome(world: ForwardWorld, answer: Command) -> str:
    counters = world.counters
    if isinstance(answer, SendError):
        if answer.error_kind == ErrorKind.TIMEOUT:
            counters.timeouts += 1
        elif answer.error_kind == ErrorKind.NOT_RUN:
            counters.refused += 1
        else:
            counters.failed += 1
        return answer.error_kind.value
    counters.answered += 1
    if isinstance(answer, SendMergedAnswer) and answer.missing:
        counters.partial += 1
        return "partial"
    return "whole"
