"""Hedging: a second call for a slow shard, within a budget of extra load."""

from snipesaddle._internal.systems import links, routing, snapshots
from snipesaddle._internal.systems.base import NS_PER_MS, System
from snipesaddle._internal.systems.policies import LeafPolicy
from snipesaddle._internal.tables.queries import Query, ShardTask, TaskState
from snipesaddle._internal.tables.timers import TimerKind
from snipesaddle._internal.tables.world import World

_LAGGARD_SHARE = 0.2
_RECHECK_NS = 2 * NS_PER_MS


def is_laggard(query: Query) -> bool:
    """Tells whether only a few shards of a query are still open.

    While most are, the slowness is common to them (the network, this node),
    and a hedge would only add to it.
    """
    few = max(1, int(len(query.tasks) * _LAGGARD_SHARE))
    return query.open_tasks <= few


class HedgingSystem(System):
    """Starts the hedges that are due and within budget."""

    def __init__(self, policy: LeafPolicy) -> None:
        self._policy = policy

    def run(self, world: World, now_ns: int) -> None:
        for call_id in world.timers.pop_due(TimerKind.HEDGE, now_ns):
            call = world.calls.get(call_id)  # type: ignore[arg-type]
            if call is None or call.shard is None:
                continue
            query = world.queries.get(call.query_id)
            task = query.tasks.get(call.shard) if query else None
            if not query or not task or task.state is not TaskState.RUNNING:
                continue
            if is_laggard(query):
                self._hedge(world, query, task, now_ns)
            else:
                due_ns = now_ns + _RECHECK_NS
                world.timers.set(TimerKind.HEDGE, call_id, due_ns)

    def _hedge(
        self, world: World, query: Query, task: ShardTask, now_ns: int
    ) -> None:
        spec = world.config.services.get(task.key.service)
        free = [
            leaf
            for leaf in snapshots.holders(world, task.key, query.snapshot)
            if leaf.leaf_id not in task.tried and links.has_capacity(leaf)
        ]
        if spec is None or task.hedged or not free:
            return
        budget = routing.hedge_budget(world, spec)
        if self._policy.budgeted() and not budget.try_withdraw(now_ns):
            return
        task.hedged = True
        world.counters.hedge_calls += 1
        usable = routing.best_tier(free, now_ns)
        leaf = self._policy.choose(world, usable, now_ns)
        routing.start_search_call(world, query, task, leaf, now_ns)
