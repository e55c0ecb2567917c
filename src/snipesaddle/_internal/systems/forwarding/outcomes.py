"""Outcomes: applies the result of each attempt to its part."""

from http import HTTPStatus

from snipesaddle._internal.systems.forwarding import (
    attempts,
    containment,
    placement,
    possible_runs,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.requests import (
    Attempt,
    EndpointAnswer,
    MissingCause,
    Part,
    PartState,
    Request,
)
from snipesaddle._internal.tables.forwarding.world import (
    AnsweredAttempt,
    ForwardWorld,
    LostAttempt,
)
from snipesaddle._internal.tables.timers import TimerKind

_SAME_ENDPOINT_BACKOFF_NS = 20 * NS_PER_MS


class OutcomesSystem(TickSystem[ForwardWorld]):
    """Stores the answers of parts, and retries or gives up failed parts."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        run_each = containment.run_each
        run_each(world, world.answered_attempts, self._on_answered, now_ns)
        run_each(world, world.lost_attempts, self._on_lost, now_ns)

    def _on_answered(
        self, world: ForwardWorld, ended: AnsweredAttempt, now_ns: int
    ) -> None:
        attempt = ended.attempt
        answer = ended.event.answer
        found = self._detach_attempt(world, attempt)
        if found is None:
            return
        request, part = found
        if answer.not_run:
            possible_runs.count_rejected(part, attempt.endpoint_id)
            world.log(
                "attempt_rejected",
                request=request.arrived.client_request_id,
                service=part.service,
                endpoint=attempt.endpoint_id,
                connection=attempt.connection_id,
                status=answer.status,
                sends=part.send_count,
                age_ms=round((now_ns - attempt.sent_ns) / NS_PER_MS, 1),
            )
            self._on_attempt_failed(
                world, request, attempt, MissingCause.REFUSED, now_ns
            )
        elif answer.succeeded:
            self._accept_answer(world, request, part, answer, now_ns)
        elif answer.signature and answer.status >= 300:
            part.last_failure = answer
            self._on_error_answer(world, request, attempt, answer, now_ns)
        else:
            world.counters.endpoint_failures += 1
            self._on_attempt_failed(
                world, request, attempt, MissingCause.FAILED, now_ns
            )

    def _on_error_answer(
        self,
        world: ForwardWorld,
        request: Request,
        attempt: Attempt,
        answer: EndpointAnswer,
        now_ns: int,
    ) -> None:
        part = request.parts[attempt.part_index]
        world.counters.endpoint_failures += 1
        final = (
            not request.route.shards
            and answer.status < HTTPStatus.INTERNAL_SERVER_ERROR
        )
        if final:
            self._accept_answer(world, request, part, answer, now_ns)
            return
        self._on_attempt_failed(
            world, request, attempt, MissingCause.FAILED, now_ns
        )

    def _on_lost(
        self, world: ForwardWorld, lost: LostAttempt, now_ns: int
    ) -> None:
        attempt = lost.attempt
        found = self._detach_attempt(world, attempt)
        if found is None:
            return
        request, _ = found
        world.log(
            "attempt_lost",
            request=request.arrived.client_request_id,
            service=request.parts[attempt.part_index].service,
            endpoint=attempt.endpoint_id,
            sent=lost.sent,
            runs=request.parts[attempt.part_index].possible_runs,
            age_ms=(now_ns - attempt.chosen_ns) // NS_PER_MS,
            detail=lost.detail,
        )
        self._on_attempt_failed(
            world, request, attempt, MissingCause.FAILED, now_ns
        )

    def _detach_attempt(
        self, world: ForwardWorld, attempt: Attempt
    ) -> tuple[Request, Part] | None:
        found = placement.find_open_part(
            world, attempt.request_id, attempt.part_index
        )
        if found is not None and attempt.attempt_id in found[1].attempts:
            found[1].attempts.remove(attempt.attempt_id)
        return found

    def _accept_answer(
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

    def _on_attempt_failed(
        self,
        world: ForwardWorld,
        request: Request,
        attempt: Attempt,
        cause: MissingCause,
        now_ns: int,
    ) -> None:
        part = request.parts[attempt.part_index]
        part.cause = cause
        if part.attempts or part.hedge_relay_id:
            return
        if not placement.may_retry(request, part, now_ns):
            placement.mark_missing(world, request, part, cause)
            return
        part.state = PartState.PENDING
        part_key = (request.request_id, attempt.part_index)
        permitted = placement.permitted_endpoints(world, request, part, now_ns)
        if any(other.endpoint_id not in part.tried for other in permitted):
            world.pending_parts.append(part_key)
            return
        due_ns = now_ns + _SAME_ENDPOINT_BACKOFF_NS
        world.timers.set(TimerKind.PART_RETRY, part_key, due_ns)
