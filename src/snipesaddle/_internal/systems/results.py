"""Results: what each ended call means for the shard that it served."""

from snipesaddle._internal.systems import health, routing, snapshots
from snipesaddle._internal.systems.base import NS_PER_MS, System
from snipesaddle._internal.tables.commands import CancelCall
from snipesaddle._internal.tables.queries import (
    CallKind,
    CallResult,
    CheckedCall,
    MissingReason,
    Query,
    ShardTask,
    TaskState,
)
from snipesaddle._internal.tables.timers import TimerKind
from snipesaddle._internal.tables.world import World

_MAX_ATTEMPTS = 4
_BACKOFF_NS = 5 * NS_PER_MS


def cancel_calls(world: World, task: ShardTask, now_ns: int) -> None:
    """Cancels the calls of a shard that are in flight.

    The time that a loser took so far counts as its leaf's latency, or a slow
    leaf whose calls all lose would never look slow.
    """
    for call_id in task.calls:
        call = world.calls.remove(call_id)
        if call is None:
            continue
        world.timers.cancel(TimerKind.HEDGE, call_id)
        world.emit(CancelCall(call_id))
        leaf = world.leaves.get(call.leaf_id)
        elapsed_ns = now_ns - call.started_ns
        if leaf is not None and elapsed_ns > leaf.latency_ns:
            health.record_latency(leaf, elapsed_ns, now_ns)
    task.calls.clear()


class ResultsSystem(System):
    """Merges hits, retries failures and ends shards."""

    def run(self, world: World, now_ns: int) -> None:
        for finished in world.checked_calls:
            call = finished.call
            if call.kind is not CallKind.SEARCH or call.shard is None:
                continue
            query = world.queries.get(call.query_id)
            task = query.tasks.get(call.shard) if query else None
            if query is None or task is None:
                continue
            if call.call_id in task.calls:
                task.calls.remove(call.call_id)
                self._apply(world, query, task, finished, now_ns)

    def _apply(
        self,
        world: World,
        query: Query,
        task: ShardTask,
        finished: CheckedCall,
        now_ns: int,
    ) -> None:
        world.queries.mark_dirty(query.query_id)
        if finished.result is CallResult.ANSWERED:
            task.hits = finished.hits
            task.state = TaskState.DONE
            query.open_tasks -= 1
            cancel_calls(world, task, now_ns)
            return
        task.reason = _reason_of(finished)
        if task.calls:
            return
        if self._may_retry(world, query, task, finished, now_ns):
            return
        if finished.result is CallResult.SNAPSHOT_GONE:
            query.snapshot_lost = True
        routing.mark_missing(world, query, task, task.reason)

    def _may_retry(
        self,
        world: World,
        query: Query,
        task: ShardTask,
        finished: CheckedCall,
        now_ns: int,
    ) -> bool:
        spec = world.config.services.get(task.key.service)
        if spec is None or len(task.tried) >= _MAX_ATTEMPTS:
            return False
        leaves = snapshots.holders(world, task.key, query.snapshot)
        untried = [leaf for leaf in leaves if leaf.leaf_id not in task.tried]
        gone = finished.result is CallResult.SNAPSHOT_GONE
        if not leaves or (gone and not untried):
            return False
        unsent = finished.result is CallResult.NOT_SENT and bool(untried)
        budget = routing.retry_budget(world, spec)
        if not gone and not unsent and not budget.try_withdraw(now_ns):
            return False
        task.state = TaskState.PENDING
        need = (query.query_id, task.key)
        if untried:
            world.pending_shards.append(need)
        else:
            delay_ns = _BACKOFF_NS * 2 ** len(task.tried)
            world.timers.set(TimerKind.RETRY, need, now_ns + delay_ns)
        return True


def _reason_of(finished: CheckedCall) -> MissingReason:
    if finished.wrong_snapshot:
        return MissingReason.WRONG_SNAPSHOT
    reasons = {
        CallResult.REFUSED: MissingReason.SHED,
        CallResult.SNAPSHOT_GONE: MissingReason.SNAPSHOT_GONE,
    }
    return reasons.get(finished.result, MissingReason.FAILED)
