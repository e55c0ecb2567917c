"""Completion: decides when a request is answered, and with what."""

import abc
import heapq
from http import HTTPStatus

from snipesaddle._internal.systems.forwarding import (
    admission,
    attempts,
    containment,
    deadlines,
    departures,
    possible_runs,
    quota_charges,
    rate_limits,
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
# For a request of which no part can have run.
_RETRY_AFTER_MS = 100
# Statuses that tell a client that its request has not run.
_NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
# Of whole answers, one in so many is logged; of other outcomes, every one.
_WHOLE_ANSWERS_PER_LOG_LINE = 32


class AnswerComposer(abc.ABC):
    """Decides when a request can be answered, and composes the answer."""

    @abc.abstractmethod
    def compose(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> Command | None:
        """Returns the final answer, or None while the request should wait."""


class PassThroughComposer(AnswerComposer):
    """Passes the answer of the only part through to the client."""

    def compose(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> Command | None:
        part = request.parts[0]
        answer = part.answer
        if answer is None and part.state is PartState.MISSING:
            answer = part.last_failure
        if answer is not None and _may_pass_through(answer):
            client_id = request.arrived.client_id
            return SendEndpointAnswer(client_id, answer, _is_leaving(world))
        if part.state in (PartState.MISSING, PartState.ANSWERED):
            return build_error(world, request, ErrorKind.FAILED)
        if now_ns >= request.deadline_ns:
            return build_error(world, request, ErrorKind.TIMEOUT)
        return None


class MergeComposer(AnswerComposer):
    """Merges the greatest records of the shards that answered.

    An answer with the minimum coverage is sent once all parts are answered or
    missing, or its missing parts are no longer worth waiting for. One below
    the minimum waits until the deadline, and is refused as soon as the minimum
    is out of reach.
    """

    def compose(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> Command | None:
        total = len(request.parts)
        min_answered = admission.min_answered_parts(request.route, total)
        has_coverage = request.answered_parts >= min_answered
        missing = total - request.answered_parts
        request.earliest_partial_ns = deadlines.earliest_partial_ns(
            request, missing, total
        )
        may_answer = (
            request.open_parts == 0 or now_ns >= request.earliest_partial_ns
        )
        if has_coverage and may_answer:
            return self._merge(world, request)
        if request.answered_parts + request.open_parts < min_answered:
            return build_error(world, request, ErrorKind.FAILED)
        if now_ns < request.deadline_ns:
            return None
        if has_coverage:
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


class RelayReplyComposer(AnswerComposer):
    """Sends the answers to the node that relayed the request, at most twice.

    Only that node knows all missing parts of the whole request. So it gets an
    early reply with the answers so far, and decides itself whether to wait for
    the second reply, which follows at the soft deadline at the latest.
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
            return self._reply(world, request, origin, more=False)
        if now_ns >= request.earliest_partial_ns and not request.replied_early:
            request.replied_early = True
            if request.answered_parts:
                world.emit(self._reply(world, request, origin, more=True))
        return None

    def _reply(
        self,
        world: ForwardWorld,
        request: Request,
        origin: RelayOrigin,
        *,
        more: bool,
    ) -> SendToNode:
        bodies: list[bytes] = []
        signatures: list[bytes] = []
        for part in request.parts:
            if part.answer is None or part.sent_to_origin:
                signatures.append(b"")
                continue
            part.sent_to_origin = True
            bodies.append(part.answer.body)
            signatures.append(part.answer.signature)
        reply = RelayReply(
            relay_id=origin.relay_id,
            body=merge_records(bodies, request.route.top_k),
            signatures=tuple(signatures),
            more=more,
            leaving=departures.among_tried(world, request),
            limits=rate_limits.among_tried(world, request),
        )
        return SendToNode(origin.peer_address, reply)


class CompletionSystem(TickSystem[ForwardWorld]):
    """Answers the requests that are due for an answer."""

    def __init__(self) -> None:
        self._pass_through = PassThroughComposer()
        self._merge = MergeComposer()
        self._relay = RelayReplyComposer()

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        if not world.dirty_requests:
            return
        dirty_requests, world.dirty_requests = world.dirty_requests, {}
        containment.run_each(
            world, dirty_requests, self._complete, now_ns, fail
        )

    def _complete(
        self, world: ForwardWorld, request_id: int, now_ns: int
    ) -> None:
        request = world.requests.get(request_id)
        if request is None:
            return
        answer = self._composer(request).compose(world, request, now_ns)
        if answer is None:
            self._schedule_next_check(world, request, now_ns)
            return
        world.emit(answer)
        _return_quota(world, request, answer, now_ns)
        if request.origin is None:
            _record_outcome(world, request, answer, now_ns)
        finish(world, request, now_ns)

    def _schedule_next_check(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> None:
        grace_ns = wakeups.RELAY_GRACE_NS
        if request.relays and now_ns >= request.soft_deadline_ns + grace_ns:
            world.overdue_relay_requests.append(request.request_id)
        if now_ns < request.earliest_partial_ns < request.wakeup_ns:
            wakeups.schedule_wakeup(world, request, request.earliest_partial_ns)

    def _composer(self, request: Request) -> AnswerComposer:
        if request.origin is not None:
            return self._relay
        return self._merge if request.route.shards else self._pass_through


def finish(world: ForwardWorld, request: Request, now_ns: int) -> None:
    """Ends an answered request.

    Its attempts in flight may finish for a while, unless the deadline has
    passed or the request is not idempotent.
    """
    remove_request(world, request, at_once=False)
    close_now = now_ns >= request.deadline_ns or not request.route.idempotent
    for part in request.parts:
        for attempt_id in part.attempts:
            if close_now:
                attempts.cancel(world, attempt_id, now_ns)
            else:
                attempts.abandon(world, attempt_id, now_ns)


def fail(world: ForwardWorld, request_id: int, now_ns: int) -> None:
    """Ends a request that cannot be processed because of an internal error."""
    request = world.requests.get(request_id)
    if request is None:
        return
    if request.origin is None:
        answer = build_error(world, request, ErrorKind.FAILED)
        world.emit(answer)
        _return_quota(world, request, answer, now_ns)
    cancel(world, request, now_ns)


def cancel(world: ForwardWorld, request: Request, now_ns: int) -> None:
    """Ends a request that nobody waits for, with its attempts and relays."""
    remove_request(world, request, at_once=True)
    for part in request.parts:
        for attempt_id in part.attempts:
            attempts.cancel(world, attempt_id, now_ns)


def remove_request(
    world: ForwardWorld, request: Request, *, at_once: bool
) -> None:
    """Removes a request and cancels its relays.

    With `at_once`, the nodes it was relayed to end their attempts at once.
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
    """Returns the final answer of a request that cannot be served.

    Its kind becomes NOT_RUN if no endpoint can have run any part.
    """
    causes = sorted({part.cause.value for part in request.parts})
    retry_ms = 0
    if not possible_runs.may_have_run(request):
        error_kind = ErrorKind.NOT_RUN
        retry_ms = _RETRY_AFTER_MS
    return SendError(
        client_id=request.arrived.client_id,
        error_kind=error_kind,
        detail=",".join(causes),
        retry_after_ms=retry_ms,
        close_connection=_is_leaving(world),
    )


def merge_records(bodies: list[bytes], top_k: int) -> bytes:
    """Returns the `top_k` greatest records of all bodies, greatest first.

    A record has RECORD_BYTES bytes; shorter trailing bytes of a body are
    ignored.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(top_k, records))


def _may_pass_through(answer: EndpointAnswer) -> bool:
    # A client would conclude from these that its request has not run.
    return answer.status not in _NOT_RUN_STATUSES


def _return_quota(
    world: ForwardWorld, request: Request, answer: Command, now_ns: int
) -> None:
    if isinstance(answer, SendError) and answer.error_kind is ErrorKind.NOT_RUN:
        quota_charges.give_back(world, request, now_ns)


def _is_leaving(world: ForwardWorld) -> bool:
    return world.this_node.phase is NodePhase.LEAVING


def _record_outcome(
    world: ForwardWorld, request: Request, answer: Command, now_ns: int
) -> None:
    outcome = _count_outcome(world, answer)
    latency_ns = now_ns - request.arrived_ns
    world.emit(RecordOutcome(request.route.name, outcome, latency_ns))
    if (
        outcome == "whole"
        and world.counters.answered % _WHOLE_ANSWERS_PER_LOG_LINE
    ):
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
        expected_ms=round(request.work.expected_ns / NS_PER_MS, 1)
        if request.work
        else None,
        missing={
            part.service: part.cause.value
            for part in request.parts
            if part.answer is None
        },
        hedged=sum(part.hedged for part in request.parts),
        relayed=sum(part.relayed_runs > 0 for part in request.parts),
        tried=[part.tried for part in request.parts if part.answer is None],
    )


def _count_outcome(world: ForwardWorld, answer: Command) -> str:
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
