"""Request hedging: a second call for a slow shard, within a load budget."""

from snipesaddle._internal.systems import links, routing, snapshots
from snipesaddle._internal.systems.base import NS_PER_MS, System
from snipesaddle._internal.systems.policies import LeafPolicy
from snipesaddle._internal.tables.queries import Query, ShardTask, TaskState
from snipesaddle._internal.tables.timers import TimerKind
from snipesaddle._internal.tables.world import World

_MAX_OPEN_SHARDS_RATIO = 0.2
_RECHECK_INTERVAL_NS = 2 * NS_PER_MS


def has_few_open_shards(query: Query) -> bool:
    """Returns whether only a few shards of a query are still open.

    While many are open, the cause is likely common to them (the network, this
    node), and a hedge would only add load.
    """
    max_open = max(1, int(len(query.tasks) * _MAX_OPEN_SHARDS_RATIO))
    return query.open_tasks <= max_open


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
            if has_few_open_shards(query):
                self._hedge(world, query, task, now_ns)
            else:
                due_ns = now_ns + _RECHECK_INTERVAL_NS
                world.timers.set(TimerKind.HEDGE, call_id, due_ns)

    def _hedge(
        self, world: World, query: Query, task: ShardTask, now_ns: int
    ) -> None:
        spec = world.config.services.get(task.key.service)
        free = [
            leaf
            for leaf in snapshots.leaves_holding(
                world, task.key, query.snapshot
            )
            if leaf.leaf_id not in task.tried and links.has_capacity(leaf)
        ]
        if spec is None or task.hedged or not free:
            return
        budget = routing.hedge_budget(world, spec)
        if self._policy.hedges_are_budgeted() and not budget.try_withdraw(
            now_ns
        ):
            return
        task.hedged = True
        world.counters.hedge_calls += 1
        usable = routing.most_preferred(free, now_ns)
        leaf = self._policy.choose(world, usable, now_ns)
        routing.start_search_call(world, query, task, leaf, now_ns)
