"""Rows of executions: how they are made, joined, readied and ended."""

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
    """Returns the key of the execution in the table."""
    if request.is_ticket:
        return request.key
    return f"{request.service}/{request.key}"


def unknown(detail: str) -> ExecutionAnswer:
    """Returns the answer for an execution that may have run."""
    return ExecutionAnswer(Outcome.UNKNOWN, detail=detail)


def not_run(detail: str) -> ExecutionAnswer:
    """Returns the answer for an execution that never runs."""
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
    """Adds the row of a new key, with its first waiter."""
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
    """Answers a request from its row, or lets it wait for the answer."""
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
    """Lets a row run, or closes its key when the node is at its limit."""
    limit = world.settings.admission.max_executions
    if len(world.running_executions) >= limit:
        finish(world, row, not_run(_OVERLOAD), now_ns)
        return
    row.state = ExecutionState.READY
    world.ready_executions.append(row.key)


def finish(
    world: World, row: Execution, reply: ExecutionAnswer, now_ns: int
) -> None:
    """Ends a row and answers all its waiters."""
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
    """Sets when a row may go.

    A ticket is refused by its age before that, hence the factor.
    """
    life_ns = 2 * world.settings.executions.ticket_life_ms * NS_PER_MS
    world.timers.set(TimerKind.EXECUTION_EXPIRY, key, now_ns + life_ns)
