"""Executions: an execution key belongs for ever to one incarnation.

Only its owner runs a key, and it remembers the outcome. So no lease, pause
or takeover can run a key twice, and a ticket costs no write to the store.
"""

from typing import cast

from snipesaddle._internal.systems import (
    claims,
    execution_rows,
    relays,
    tickets,
)
from snipesaddle._internal.systems.base import System
from snipesaddle._internal.tables.commands import RefuseRequest
from snipesaddle._internal.tables.config import ServiceKind
from snipesaddle._internal.tables.events import ExecutionArrived
from snipesaddle._internal.tables.executions import (
    ExecuteRequest,
    Execution,
    ExecutionState,
)
from snipesaddle._internal.tables.messages import RelayedExecution
from snipesaddle._internal.tables.nodes import DrainPhase
from snipesaddle._internal.tables.timers import TimerKind
from snipesaddle._internal.tables.world import World

_STILL_RUNNING = "the leaf has not answered in time"


class ExecutionsSystem(System):
    """Takes on requests for keys that this node owns, and relays others."""

    def run(self, world: World, now_ns: int) -> None:
        self._expire(world, now_ns)
        for arrived in world.inbox.take(ExecutionArrived):
            self._arrive(world, arrived.request, now_ns)
        for relayed in world.inbox.take(RelayedExecution):
            self._accept_relayed(world, relayed.request, now_ns)

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
        if ticket.incarnation not in world.owned_key_spaces:
            relays.send(world, request, ticket.incarnation, now_ns)
            return
        row = world.executions.get(request.key)
        if row is not None:
            execution_rows.join(world, row, request, now_ns)
            return
        if tickets.is_expired(world, ticket, now_ns):
            reply = execution_rows.unknown(execution_rows.FORGOTTEN)
            execution_rows.answer(world, request, reply)
            return
        row = execution_rows.create(world, request, ticket.incarnation, now_ns)
        execution_rows.make_ready(world, row, now_ns)

    def _accept_key(
        self, world: World, request: ExecuteRequest, now_ns: int
    ) -> None:
        row = world.executions.get(execution_rows.row_key(request))
        if row is None:
            incarnation = world.this_node.incarnation
            row = execution_rows.create(world, request, incarnation, now_ns)
        else:
            execution_rows.join(world, row, request, now_ns)
        if row.state is ExecutionState.CLAIMING:
            claims.begin(world, row, request)

    def _accept_relayed(
        self, world: World, request: ExecuteRequest, now_ns: int
    ) -> None:
        if world.this_node.phase in (DrainPhase.HANDING_OVER, DrainPhase.DONE):
            return
        if request.owner not in world.owned_key_spaces:
            relays.refuse(world, request)
        elif request.is_ticket:
            self._accept_ticket(world, request, now_ns)
        else:
            self._accept_claimed(world, request, now_ns)

    def _accept_claimed(
        self, world: World, request: ExecuteRequest, now_ns: int
    ) -> None:
        row = world.executions.get(execution_rows.row_key(request))
        claiming = row is not None and row.state is ExecutionState.CLAIMING
        if row is None or (claiming and row.claim_id != request.claim_id):
            reply = execution_rows.unknown(execution_rows.FORGOTTEN)
            execution_rows.answer(world, request, reply)
            return
        execution_rows.join(world, row, request, now_ns)
        if claiming:
            execution_rows.make_ready(world, row, now_ns)

    def _expire(self, world: World, now_ns: int) -> None:
        for key in world.timers.pop_due(TimerKind.EXECUTION_EXPIRY, now_ns):
            world.executions.remove(str(key))
        due = world.timers.pop_due(TimerKind.EXECUTION_DEADLINE, now_ns)
        for key, request_id in cast("list[tuple[str, str]]", due):
            row = world.executions.get(key)
            if row is not None:
                self._expire_waiter(world, row, request_id, now_ns)

    def _expire_waiter(
        self, world: World, row: Execution, request_id: str, now_ns: int
    ) -> None:
        if row.state is ExecutionState.READY and now_ns >= row.deadline_ns:
            reply = execution_rows.not_run(execution_rows.NOT_STARTED)
            execution_rows.finish(world, row, reply, now_ns)
            return
        claiming = row.state is ExecutionState.CLAIMING
        detail = claims.UNCLAIMED if claiming else _STILL_RUNNING
        reply = row.answer or execution_rows.unknown(detail)
        for waiter in row.waiters:
            if waiter.request_id == request_id:
                row.waiters.remove(waiter)
                execution_rows.answer(world, waiter, reply)
                return
