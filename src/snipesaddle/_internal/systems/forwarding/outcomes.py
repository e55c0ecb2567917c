"""Outcomes: what each ended attempt means for the part that it served."""

from snipesaddle._internal.systems.forwarding import attempts, placement
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.requests import (
    Attempt,
    EndpointAnswer,
    MissingCause,
    Part,
    PartState,
    Request,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

_MAX_ARRIVALS = 4
_SAME_ENDPOINT_BACKOFF_NS = 20 * NS_PER_MS
_MIN_TIME_LEFT_NS = 10 * NS_PER_MS
_SERVER_ERROR = 500


class OutcomesSystem(TickSystem[ForwardWorld]):
    """Settles parts with answers, and retries or gives up those without."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        for ended in world.answered_attempts:
            self._answered(world, ended.attempt, ended.event.answer, now_ns)
        for lost in world.lost_attempts:
            self._lost(world, lost.attempt, lost.sent, lost.detail, now_ns)

    def _answered(
        self,
        world: ForwardWorld,
        attempt: Attempt,
        answer: EndpointAnswer,
        now_ns: int,
    ) -> None:
        found = self._detach(world, attempt)
        if found is None:
            return
        request, part = found
        if answer.not_run:
            part.runs -= 1
            self._failed(world, request, attempt, MissingCause.REFUSED, now_ns)
        elif answer.succeeded:
            self._settle(world, request, part, answer, now_ns)
        elif answer.signature and answer.status >= 300:
            part.failure = answer
            self._answered_failure(world, request, attempt, answer, now_ns)
        else:
            world.counters.endpoint_failures += 1
            self._failed(world, request, attempt, MissingCause.FAILED, now_ns)

    def _answered_failure(
        self,
        world: ForwardWorld,
        request: Request,
        attempt: Attempt,
        answer: EndpointAnswer,
        now_ns: int,
    ) -> None:
        part = request.parts[attempt.part_index]
        world.counters.endpoint_failures += 1
        final = not request.route.shards and answer.status < _SERVER_ERROR
        if final:
            self._settle(world, request, part, answer, now_ns)
            return
        self._failed(world, request, attempt, MissingCause.FAILED, now_ns)

    def _lost(
        self,
        world: ForwardWorld,
        attempt: Attempt,
        sent: bool,
        detail: str,
        now_ns: int,
    ) -> None:
        found = self._detach(world, attempt)
        if found is None:
            return
        request, _ = found
        world.log(
            "attempt_lost",
            request=request.arrived.client_request_id,
            service=request.parts[attempt.part_index].service,
            endpoint=attempt.endpoint_id,
            sent=sent,
            runs=request.parts[attempt.part_index].runs,
            age_ms=(now_ns - attempt.chosen_ns) // NS_PER_MS,
            detail=detail,
        )
        self._failed(world, request, attempt, MissingCause.FAILED, now_ns)

    def _detach(
        self, world: ForwardWorld, attempt: Attempt
    ) -> tuple[Request, Part] | None:
        found = placement.open_part(
            world, attempt.request_id, attempt.part_index
        )
        if found is not None and attempt.attempt_id in found[1].attempts:
            found[1].attempts.remove(attempt.attempt_id)
        return found

    def _settle(
        self,
        world: ForwardWorld,
        request: Request,
        part: Part,
        answer: EndpointAnswer,
        now_ns: int,
    ) -> None:
        part.answer = answer
        part.state = PartState.ANSWERED
        request.open_parts -= 1
        request.answered_parts += 1
        world.dirty_requests[request.request_id] = None
        attempts.abandon_all(world, part, now_ns)

    def _failed(
        self,
        world: ForwardWorld,
        request: Request,
        attempt: Attempt,
        cause: MissingCause,
        now_ns: int,
    ) -> None:
        part = request.parts[attempt.part_index]
        part.cause = cause
        if part.attempts or part.hedge_relay:
            return
        if not _may_retry(request, part, now_ns):
            placement.mark_missing(world, request, part, cause)
            return
        part.state = PartState.PENDING
        need = (request.request_id, attempt.part_index)
        if placement.candidates(world, part, now_ns):
            world.pending_parts.append(need)
            return
        due_ns = now_ns + _SAME_ENDPOINT_BACKOFF_NS
        world.timers.set(TimerKind.PART_RETRY, need, due_ns)


def _may_retry(request: Request, part: Part, now_ns: int) -> bool:
    if now_ns + _MIN_TIME_LEFT_NS >= request.deadline_ns:
        return False
    if part.arrivals >= _MAX_ARRIVALS:
        return False
    if not request.route.idempotent and part.runs > 0:
        return False
    return part.runs < request.route.max_attempts
