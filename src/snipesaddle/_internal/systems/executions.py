"""Executions: an execution key belongs for ever to one incarnation.

Only its owner runs a key, and it remembers the outcome. So no lease, pause
or takeover can run a key twice, and a ticket costs no write to the store.
"""

from typing import cast

from snipesaddle._internal.systems import links, relays, routing, tickets
from snipesaddle._internal.systems.base import NS_PER_MS, System
from snipesaddle._internal.systems.policies import LeafPolicy
from snipesaddle._internal.tables.commands import (
    AnswerExecution,
    ClaimKey,
    ExecuteCall,
    RefuseRequest,
    SendPeer,
    StartCall,
)
from snipesaddle._internal.tables.config import ServiceKind
from snipesaddle._internal.tables.events import (
    ClaimFinished,
    ExecutionArrived,
)
from snipesaddle._internal.tables.executions import (
    ExecuteRequest,
    Execution,
    ExecutionAnswer,
    ExecutionState,
    Outcome,
)
from snipesaddle._internal.tables.leaves import Leaf
from snipesaddle._internal.tables.messages import (
    RelayedAnswer,
    RelayedExecution,
)
from snipesaddle._internal.tables.nodes import DrainPhase
from snipesaddle._internal.tables.queries import (
    Call,
    CallKind,
    CallResult,
    FinishedCall,
)
from snipesaddle._internal.tables.timers import TimerKind
from snipesaddle._internal.tables.world import World

_UNCLAIMED = "the store did not answer; an earlier attempt may have run"
_FORGOTTEN = "the key is older than the memory of its owner"
_STILL_RUNNING = "the leaf has not answered in time"
_NO_REPLY = "the leaf was asked and its answer was lost"
_NOT_STARTED = "no leaf took the work in time"
_REFUSED = "every leaf refused the work"
_OVERLOAD = "the node has as many executions as it can take"


def row_key(request: ExecuteRequest) -> str:
    """Returns the key of the execution in the table."""
    if request.is_ticket:
        return request.key
    return f"{request.service}/{request.key}"


def answer(
    world: World, request: ExecuteRequest, reply: ExecutionAnswer
) -> None:
    """Answers a local caller, or the peer that relayed the request."""
    if request.reply_to:
        message = RelayedAnswer(request.request_id, reply)
        world.emit(SendPeer(request.reply_to, message))
    else:
        world.emit(AnswerExecution(request.request_id, reply))


def unknown(detail: str) -> ExecutionAnswer:
    """Returns the answer for an execution that may have run."""
    return ExecutionAnswer(Outcome.UNKNOWN, detail=detail)


class ExecutionsSystem(System):
    """Runs the keys that this incarnation owns."""

    def __init__(self, policy: LeafPolicy) -> None:
        self._policy = policy

    def run(self, world: World, now_ns: int) -> None:
        self._expire(world, now_ns)
        self._apply_finished(world, now_ns)
        for claim in world.inbox.take(ClaimFinished):
            self._apply_claim(world, claim, now_ns)
        for arrived in world.inbox.take(ExecutionArrived):
            self._arrive(world, arrived.request, now_ns)
        for relayed in world.inbox.take(RelayedExecution):
            self._accept_relayed(world, relayed.request, now_ns)
        ready, world.ready_executions = world.ready_executions, []
        for key in ready:
            row = world.executions.get(key)
            if row is not None and row.state is ExecutionState.READY:
                self._start(world, row, now_ns)

    def _arrive(
        self, world: World, request: ExecuteRequest, now_ns: int
    ) -> None:
        spec = world.config.services.get(request.service)
        if spec is None or spec.kind is not ServiceKind.EXECUTE:
            reason = "unknown_service" if spec is None else "wrong_kind"
            detail = f"{request.service} does not take executions"
            world.emit(RefuseRequest(request.request_id, reason, detail))
            return
        if request.is_ticket:
            self._accept_ticket(world, request, now_ns)
        else:
            self._accept_key(world, request, now_ns)

    def _accept_ticket(
        self, world: World, request: ExecuteRequest, now_ns: int
    ) -> None:
        ticket = tickets.parse(request.key)
        if ticket is None:
            detail = "the ticket is malformed; ask for one at entry-nodes"
            world.emit(RefuseRequest(request.request_id, "bad_ticket", detail))
            return
        if ticket.incarnation not in world.spaces:
            relays.send(world, request, ticket.incarnation, now_ns)
            return
        row = world.executions.get(request.key)
        if row is not None:
            self._join(world, row, request, now_ns)
            return
        own = ticket.incarnation == world.me.incarnation
        if own and tickets.is_expired(world, ticket, now_ns):
            answer(world, request, unknown(_FORGOTTEN))
            return
        row = self._create(world, request, ticket.incarnation, now_ns)
        self._make_ready(world, row, now_ns)

    def _accept_key(
        self, world: World, request: ExecuteRequest, now_ns: int
    ) -> None:
        row = world.executions.get(row_key(request))
        if row is None:
            row = self._create(world, request, world.me.incarnation, now_ns)
        else:
            self._join(world, row, request, now_ns)
        if row.state is ExecutionState.CLAIMING:
            self._claim(world, row, request)

    def _accept_relayed(
        self, world: World, request: ExecuteRequest, now_ns: int
    ) -> None:
        if world.me.phase in (DrainPhase.HANDING_OVER, DrainPhase.DONE):
            return
        if request.owner not in world.spaces:
            relays.refuse(world, request)
            return
        if request.is_ticket:
            self._accept_ticket(world, request, now_ns)
            return
        row = world.executions.get(row_key(request))
        if row is None:
            answer(world, request, unknown(_FORGOTTEN))
            return
        self._join(world, row, request, now_ns)
        if row.state is ExecutionState.CLAIMING:
            self._make_ready(world, row, now_ns)

    def _create(
        self,
        world: World,
        request: ExecuteRequest,
        incarnation: str,
        now_ns: int,
    ) -> Execution:
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
        )
        world.executions.put(row.key, row)
        self._join(world, row, request, now_ns)
        return row

    def _join(
        self,
        world: World,
        row: Execution,
        request: ExecuteRequest,
        now_ns: int,
    ) -> None:
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

    def _claim(
        self, world: World, row: Execution, request: ExecuteRequest
    ) -> None:
        if row.claim_in_flight:
            return
        row.claim_in_flight = True
        world.counters.claims += 1
        timeout_ms = min(
            request.deadline_ms, world.settings.platform.store_timeout_ms
        )
        world.emit(
            ClaimKey(request.key, row.service, world.me.incarnation, timeout_ms)
        )

    def _apply_claim(
        self, world: World, claim: ClaimFinished, now_ns: int
    ) -> None:
        row = world.executions.get(f"{claim.service}/{claim.key}")
        if row is None or row.state is not ExecutionState.CLAIMING:
            return
        row.claim_in_flight = False
        if claim.owner == world.me.incarnation:
            self._make_ready(world, row, now_ns)
            return
        waiters, row.waiters = row.waiters, []
        if not claim.owner:
            for waiter in waiters:
                answer(world, waiter, unknown(_UNCLAIMED))
            self._forget_later(world, row, now_ns)
            return
        world.executions.remove(row.key)
        for waiter in waiters:
            relays.send(world, waiter, claim.owner, now_ns)

    def _make_ready(self, world: World, row: Execution, now_ns: int) -> None:
        if (
            len(world.running_executions)
            >= world.settings.admission.max_executions
        ):
            reply = ExecutionAnswer(Outcome.NOT_RUN, detail=_OVERLOAD)
            self._finish(world, row, reply, now_ns)
            return
        row.state = ExecutionState.READY
        world.ready_executions.append(row.key)

    def _start(self, world: World, row: Execution, now_ns: int) -> None:
        leaves = [
            leaf
            for leaf in world.leaves_by_service.get(row.service, [])
            if leaf.accepts_work()
        ]
        untried = [leaf for leaf in leaves if leaf.leaf_id not in row.tried]
        if row.tried and not untried:
            reply = ExecutionAnswer(Outcome.NOT_RUN, detail=_REFUSED)
            self._finish(world, row, reply, now_ns)
            return
        free = [leaf for leaf in untried if links.can_carry(leaf)]
        if not free:
            world.waiting_executions.setdefault(row.service, []).append(row.key)
            return
        usable = routing.best_tier(free, now_ns)
        leaf = self._policy.choose(world, usable, now_ns)
        self._call(world, row, leaf, now_ns)

    def _call(
        self, world: World, row: Execution, leaf: Leaf, now_ns: int
    ) -> None:
        link_id = links.take_link(world, leaf)
        call = Call(
            call_id=world.next_id(),
            kind=CallKind.EXECUTE,
            leaf_id=leaf.leaf_id,
            link_id=link_id,
            started_ns=now_ns,
            execution_key=row.key,
        )
        world.calls.put(call.call_id, call)
        leaf.in_flight += 1
        row.state = ExecutionState.RUNNING
        row.call_id = call.call_id
        row.tried.append(leaf.leaf_id)
        world.running_executions.add(row.key)
        remaining_ns = max(NS_PER_MS, row.deadline_ns - now_ns)
        late_ns = world.settings.executions.late_reply_ms * NS_PER_MS
        request = ExecuteCall(
            call.call_id, row.key, row.body, remaining_ns // NS_PER_MS
        )
        world.emit(
            StartCall(leaf.leaf_id, link_id, request, remaining_ns + late_ns)
        )

    def _apply_finished(self, world: World, now_ns: int) -> None:
        for finished in world.finished:
            if finished.call.kind is not CallKind.EXECUTE:
                continue
            row = world.executions.get(finished.call.execution_key)
            if row is not None and row.state is ExecutionState.RUNNING:
                world.running_executions.discard(row.key)
                self._apply_result(world, row, finished, now_ns)

    def _apply_result(
        self,
        world: World,
        row: Execution,
        finished: FinishedCall,
        now_ns: int,
    ) -> None:
        if finished.result is CallResult.ANSWERED:
            reply = ExecutionAnswer(Outcome.DONE, finished.value)
            self._finish(world, row, reply, now_ns)
        elif finished.result in (CallResult.NOT_SENT, CallResult.REFUSED):
            if now_ns >= row.deadline_ns:
                reply = ExecutionAnswer(Outcome.NOT_RUN, detail=_NOT_STARTED)
                self._finish(world, row, reply, now_ns)
                return
            row.state = ExecutionState.READY
            world.ready_executions.append(row.key)
        else:
            self._finish(world, row, unknown(_NO_REPLY), now_ns)

    def _finish(
        self,
        world: World,
        row: Execution,
        reply: ExecutionAnswer,
        now_ns: int,
    ) -> None:
        row.state = ExecutionState.ENDED
        row.answer = reply
        row.body = None
        waiters, row.waiters = row.waiters, []
        for waiter in waiters:
            timer = (row.key, waiter.request_id)
            world.timers.cancel(TimerKind.EXECUTION_DEADLINE, timer)
            answer(world, waiter, reply)
        self._forget_later(world, row, now_ns)

    def _forget_later(self, world: World, row: Execution, now_ns: int) -> None:
        # A ticket is refused by age before its row may go, hence the factor.
        life_ns = 2 * world.settings.executions.ticket_life_ms * NS_PER_MS
        world.timers.set(TimerKind.EXECUTION_EXPIRY, row.key, now_ns + life_ns)

    def _expire(self, world: World, now_ns: int) -> None:
        for key in world.timers.pop_due(TimerKind.EXECUTION_EXPIRY, now_ns):
            world.executions.remove(str(key))
        due = world.timers.pop_due(TimerKind.EXECUTION_DEADLINE, now_ns)
        for key, request_id in cast("list[tuple[str, str]]", due):
            row = world.executions.get(key)
            if row is not None:
                self._expire_waiter(world, row, request_id, now_ns)
        for service in world.freed & world.waiting_executions.keys():
            world.ready_executions += world.waiting_executions.pop(service)

    def _expire_waiter(
        self, world: World, row: Execution, request_id: str, now_ns: int
    ) -> None:
        if row.state is ExecutionState.READY and now_ns >= row.deadline_ns:
            reply = ExecutionAnswer(Outcome.NOT_RUN, detail=_NOT_STARTED)
            self._finish(world, row, reply, now_ns)
            return
        for waiter in row.waiters:
            if waiter.request_id == request_id:
                row.waiters.remove(waiter)
                detail = _STILL_RUNNING
                if row.state is ExecutionState.CLAIMING:
                    detail = _UNCLAIMED
                answer(world, waiter, row.answer or unknown(detail))
                return
