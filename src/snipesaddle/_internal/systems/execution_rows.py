"""Execution rows: creation, waiting requests, readiness and completion."""

from snipesaddle._internal.systems.base import NS_PER_MS
from snipesaddle._internal.tables.commands import AnswerExecution, SendPeer
from snipesaddle._internal.tables.executions import (
    ExecuteRequest,
    Execution,
    ExecutionAnswer,
    ExecutionState,
    Outcome,
)
from snipesaddle._internal.tables.messages import RelayedAnswer
from snipesaddle._internal.tables.timers import TimerKind
from snipesaddle._internal.tables.world import World

KEY_FORGOTTEN = "the key is older than the memory of its owner"
NOT_STARTED = "no leaf took the work in time"
_OVERLOAD = "the node has as many executions as it can take"
_CLAIM_BITS = 64


def row_key(request: ExecuteRequest) -> str:
    """Returns the key of a request's row in the executions table."""
    if request.is_ticket:
        return request.key
    return f"{request.service}/{request.key}"


def unknown(detail: str) -> ExecutionAnswer:
    """Returns the answer for an execution that may have run."""
    return ExecutionAnswer(Outcome.UNKNOWN, detail=detail)


def not_run(detail: str) -> ExecutionAnswer:
    """Returns the answer for an execution that will never run."""
    return ExecutionAnswer(Outcome.NOT_RUN, detail=detail)


def answer(
    world: World, request: ExecuteRequest, reply: ExecutionAnswer
) -> None:
    """Answers a local caller, or the peer that relayed the request."""
    if request.reply_to:
        message = RelayedAnswer(request.request_id, reply)
        world.emit(SendPeer(request.reply_to, message))
    else:
        world.emit(AnswerExecution(request.request_id, reply))


def create(
    world: World, request: ExecuteRequest, incarnation: str, now_ns: int
) -> Execution:
    """Adds the row of a new key, with its first waiting request."""
    row = Execution(
        key=row_key(request),
        service=request.service,
        fingerprint=request.fingerprint,
        body=request.body,
        tenant=request.tenant,
        state=ExecutionState.CLAIMING,
        deadline_ns=now_ns + request.deadline_ms * NS_PER_MS,
        incarnation=incarnation,
        is_ticket=request.is_ticket,
        claim_id=f"{world.rng.getrandbits(_CLAIM_BITS):016x}",
    )
    world.executions.put(row.key, row)
    attach(world, row, request, now_ns)
    return row


def attach(
    world: World, row: Execution, request: ExecuteRequest, now_ns: int
) -> None:
    """Answers a request from its row, or adds it to the row's waiters.

    A request whose fingerprint differs from the row's is answered with a
    conflict. A request that already waits is not added again.
    """
    if row.fingerprint != request.fingerprint:
        reply = ExecutionAnswer(Outcome.UNKNOWN, conflict=True)
        answer(world, request, reply)
        return
    if row.answer is not None:
        answer(world, request, row.answer)
        return
    if any(w.request_id == request.request_id for w in row.waiters):
        return
    row.waiters.append(request)
    due_ns = now_ns + request.deadline_ms * NS_PER_MS
    row.deadline_ns = max(row.deadline_ns, due_ns)
    waiter = (row.key, request.request_id)
    world.timers.set(TimerKind.EXECUTION_DEADLINE, waiter, due_ns)


def make_ready(world: World, row: Execution, now_ns: int) -> None:
    """Queues a row to run, or ends it as not run at the execution limit."""
    limit = world.settings.admission.max_executions
    if len(world.running_executions) >= limit:
        finish(world, row, not_run(_OVERLOAD), now_ns)
        return
    row.state = ExecutionState.READY
    world.ready_executions.append(row.key)


def finish(
    world: World, row: Execution, reply: ExecutionAnswer, now_ns: int
) -> None:
    """Ends a row and answers all its waiting requests."""
    row.state = ExecutionState.ENDED
    row.answer = reply
    row.body = None
    waiters, row.waiters = row.waiters, []
    for waiter in waiters:
        timer = (row.key, waiter.request_id)
        world.timers.cancel(TimerKind.EXECUTION_DEADLINE, timer)
        answer(world, waiter, reply)
    schedule_expiry(world, row.key, now_ns)


def schedule_expiry(world: World, key: str, now_ns: int) -> None:
    """Schedules the removal of a row.

    A row is kept for twice the life of a ticket, so that its ticket has
    expired before the row is removed and cannot run a second time.
    """
    life_ns = 2 * world.settings.executions.ticket_life_ms * NS_PER_MS
    world.timers.set(TimerKind.EXECUTION_EXPIRY, key, now_ns + life_ns)
