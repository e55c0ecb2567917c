"""Execution dispatch: sends executions to leaves and applies the results."""

from snipesaddle._internal.systems import (
    calls,
    execution_rows,
    links,
    routing,
)
from snipesaddle._internal.systems.base import NS_PER_MS, System
from snipesaddle._internal.systems.policies import LeafPolicy
from snipesaddle._internal.tables.commands import ExecuteCall, StartCall
from snipesaddle._internal.tables.executions import (
    Execution,
    ExecutionAnswer,
    ExecutionState,
    Outcome,
)
from snipesaddle._internal.tables.leaves import Leaf
from snipesaddle._internal.tables.queries import (
    CallKind,
    CallResult,
    CheckedCall,
)
from snipesaddle._internal.tables.world import World

_REPLY_LOST = "the leaf was asked and its answer was lost"
_NO_LEAF_TOOK_IT = "each leaf refused the work or could not be reached"


class ExecutionDispatchSystem(System):
    """Starts ready executions, each on one leaf at a time.

    Another leaf is tried only after proof that the previous one did no work.
    """

    def __init__(self, policy: LeafPolicy) -> None:
        self._policy = policy

    def run(self, world: World, now_ns: int) -> None:
        for checked in world.checked_calls:
            if checked.call.kind is CallKind.EXECUTE:
                self._apply_result(world, checked, now_ns)
        for service in world.freed_services & world.waiting_executions.keys():
            world.ready_executions += world.waiting_executions.pop(service)
        ready, world.ready_executions = world.ready_executions, []
        for key in ready:
            row = world.executions.get(key)
            if row is not None and row.state is ExecutionState.READY:
                self._dispatch(world, row, now_ns)

    def _dispatch(self, world: World, row: Execution, now_ns: int) -> None:
        if now_ns >= row.deadline_ns:
            reply = execution_rows.not_run(execution_rows.NOT_STARTED)
            execution_rows.finish(world, row, reply, now_ns)
            return
        leaves = world.leaves_by_service.get(row.service, [])
        eligible = [leaf for leaf in leaves if leaf.accepts_work()]
        untried = [leaf for leaf in eligible if leaf.leaf_id not in row.tried]
        if row.tried and not untried:
            reply = execution_rows.not_run(_NO_LEAF_TOOK_IT)
            execution_rows.finish(world, row, reply, now_ns)
            return
        free = [leaf for leaf in untried if links.has_capacity(leaf)]
        if not free:
            waiting = world.waiting_executions.setdefault(row.service, [])
            waiting.append(row.key)
            return
        usable = routing.most_preferred(free, now_ns)
        leaf = self._policy.choose(world, usable, now_ns)
        self._start_call(world, row, leaf, now_ns)

    def _start_call(
        self, world: World, row: Execution, leaf: Leaf, now_ns: int
    ) -> None:
        call = calls.open_call(world, leaf, CallKind.EXECUTE, now_ns)
        call.execution_key = row.key
        row.state = ExecutionState.RUNNING
        row.tried.append(leaf.leaf_id)
        world.running_executions.add(row.key)
        remaining_ns = max(NS_PER_MS, row.deadline_ns - now_ns)
        late_reply_ns = world.settings.executions.late_reply_ms * NS_PER_MS
        request = ExecuteCall(
            call.call_id, row.key, row.body, remaining_ns // NS_PER_MS
        )
        world.emit(
            StartCall(
                leaf.leaf_id,
                call.link_id,
                request,
                remaining_ns + late_reply_ns,
            )
        )

    def _apply_result(
        self, world: World, checked: CheckedCall, now_ns: int
    ) -> None:
        row = world.executions.get(checked.call.execution_key)
        if row is None or row.state is not ExecutionState.RUNNING:
            return
        world.running_executions.discard(row.key)
        if checked.result is CallResult.ANSWERED:
            reply = ExecutionAnswer(Outcome.DONE, checked.execution_result)
            execution_rows.finish(world, row, reply, now_ns)
        elif checked.result in (CallResult.NOT_SENT, CallResult.REFUSED):
            row.state = ExecutionState.READY
            world.ready_executions.append(row.key)
        else:
            reply = execution_rows.unknown(_REPLY_LOST)
            execution_rows.finish(world, row, reply, now_ns)
