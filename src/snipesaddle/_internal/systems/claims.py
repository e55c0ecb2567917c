"""Claims: an idempotency key belongs to the row that claimed it first."""

from snipesaddle._internal.systems import execution_rows, relays
from snipesaddle._internal.systems.base import System
from snipesaddle._internal.tables.commands import ClaimKey
from snipesaddle._internal.tables.events import ClaimFinished
from snipesaddle._internal.tables.executions import (
    ClaimOwner,
    ExecuteRequest,
    Execution,
    ExecutionState,
)
from snipesaddle._internal.tables.world import World

UNCLAIMED = "the store did not answer; an earlier attempt may have run"


def begin(world: World, row: Execution, request: ExecuteRequest) -> None:
    """Claims the key of a row in the store, unless that is under way."""
    if row.claim_in_flight:
        return
    row.claim_in_flight = True
    world.counters.claims += 1
    timeout_ms = min(
        request.deadline_ms, world.settings.platform.store_timeout_ms
    )
    owner = ClaimOwner(world.this_node.incarnation, row.claim_id)
    world.emit(ClaimKey(request.key, row.service, owner, timeout_ms))


class ClaimsSystem(System):
    """Runs what this node claimed, and relays what another one did."""

    def run(self, world: World, now_ns: int) -> None:
        for claim in world.inbox.take(ClaimFinished):
            row = world.executions.get(f"{claim.service}/{claim.key}")
            if row is not None and row.state is ExecutionState.CLAIMING:
                row.claim_in_flight = False
                self._settle(world, row, claim.owner, now_ns)

    def _settle(
        self,
        world: World,
        row: Execution,
        owner: ClaimOwner | None,
        now_ns: int,
    ) -> None:
        own = ClaimOwner(world.this_node.incarnation, row.claim_id)
        if owner == own:
            execution_rows.make_ready(world, row, now_ns)
            return
        if owner is not None and owner.incarnation == own.incarnation:
            # An earlier row of this node claimed it, and may have run it.
            reply = execution_rows.unknown(execution_rows.FORGOTTEN)
            execution_rows.finish(world, row, reply, now_ns)
            return
        waiters, row.waiters = row.waiters, []
        if owner is None:
            for waiter in waiters:
                reply = execution_rows.unknown(UNCLAIMED)
                execution_rows.answer(world, waiter, reply)
            execution_rows.forget_later(world, row.key, now_ns)
            return
        world.executions.remove(row.key)
        for waiter in waiters:
            relays.send_claimed(world, waiter, owner, now_ns)
