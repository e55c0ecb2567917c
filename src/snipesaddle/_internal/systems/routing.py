"""Routing: starts a call for each shard that needs one."""

import heapq

from snipesaddle._internal.systems import calls, links, snapshots
from snipesaddle._internal.systems.base import System
from snipesaddle._internal.systems.policies import LeafPolicy, preference_tier
from snipesaddle._internal.tables.budgets import Budget
from snipesaddle._internal.tables.commands import SearchCall, StartCall
from snipesaddle._internal.tables.config import ServiceSpec
from snipesaddle._internal.tables.leaves import Leaf
from snipesaddle._internal.tables.queries import (
    CallKind,
    MissingReason,
    Query,
    ShardTask,
    TaskState,
)
from snipesaddle._internal.tables.timers import TimerKind
from snipesaddle._internal.tables.world import World

_HEDGE_CAP_TOKENS = 10.0
_RETRY_RATIO = 0.2
_RETRY_CAP_TOKENS = 100.0


def hedge_budget(world: World, spec: ServiceSpec) -> Budget:
    """Returns the hedge budget of a service's class."""
    budget = world.hedge_budgets.get(spec.class_name)
    if budget is None:
        budget = Budget(spec.hedge_extra_load, _HEDGE_CAP_TOKENS)
        world.hedge_budgets[spec.class_name] = budget
    budget.ratio = spec.hedge_extra_load
    return budget


def retry_budget(world: World, spec: ServiceSpec) -> Budget:
    """Returns the retry budget of a service's class."""
    budget = world.retry_budgets.get(spec.class_name)
    if budget is None:
        budget = Budget(_RETRY_RATIO, _RETRY_CAP_TOKENS)
        world.retry_budgets[spec.class_name] = budget
    return budget


def start_search_call(
    world: World,
    query: Query,
    task: ShardTask,
    leaf: Leaf,
    now_ns: int,
) -> int:
    """Starts a call for one shard on a leaf that has a free link.

    Returns:
      The id of the call.
    """
    call = calls.open_call(world, leaf, CallKind.SEARCH, now_ns)
    call.query_id = query.query_id
    call.snapshot = query.snapshot
    call.shard = task.key
    task.calls.append(call.call_id)
    task.tried.append(leaf.leaf_id)
    task.state = TaskState.RUNNING
    remaining_ns = max(1, query.final_deadline_ns - now_ns)
    request = SearchCall(
        call_id=call.call_id,
        shard=task.key,
        snapshot=query.snapshot,
        query=query.request.query,
        deadline_ms=max(1, remaining_ns // 1_000_000),
    )
    world.emit(StartCall(leaf.leaf_id, call.link_id, request, remaining_ns))
    return call.call_id


class RoutingSystem(System):
    """Chooses a leaf for each pending shard, or queues the shard for a link."""

    def __init__(self, policy: LeafPolicy) -> None:
        self._policy = policy

    def run(self, world: World, now_ns: int) -> None:
        for key in world.timers.pop_due(TimerKind.RETRY, now_ns):
            world.pending_shards.append(key)  # type: ignore[arg-type]
        self._requeue_waiting(world)
        while world.pending_shards:
            query_id, key = world.pending_shards.popleft()
            query = world.queries.get(query_id)
            task = query.tasks.get(key) if query else None
            if query and task and task.state is TaskState.PENDING:
                self._route(world, query, task, now_ns)

    def _requeue_waiting(self, world: World) -> None:
        for service in world.freed_services:
            waiting_shards = world.waiting_shards.get(service)
            free_links = sum(
                leaf.link_limit - leaf.open_links + len(leaf.idle_links)
                for leaf in world.leaves_by_service.get(service, [])
            )
            while waiting_shards and free_links > 0:
                _, _, query_id, key = heapq.heappop(waiting_shards)
                if query_id in world.queries:
                    world.pending_shards.append((query_id, key))
                    free_links -= 1
        world.freed_services.clear()

    def _route(
        self, world: World, query: Query, task: ShardTask, now_ns: int
    ) -> None:
        leaves = snapshots.leaves_holding(world, task.key, query.snapshot)
        if not leaves:
            mark_missing(world, query, task, MissingReason.NO_LEAF)
            return
        untried = [leaf for leaf in leaves if leaf.leaf_id not in task.tried]
        free = [leaf for leaf in untried or leaves if links.has_capacity(leaf)]
        if not free:
            self._wait_for_link(world, query, task)
            return
        leaf = self._policy.choose(world, most_preferred(free, now_ns), now_ns)
        call_id = start_search_call(world, query, task, leaf, now_ns)
        if len(task.tried) == 1:
            self._record_primary_call(world, task, call_id, now_ns)
        else:
            world.counters.retry_calls += 1

    def _record_primary_call(
        self, world: World, task: ShardTask, call_id: int, now_ns: int
    ) -> None:
        spec = world.config.services.get(task.key.service)
        world.counters.primary_calls += 1
        if spec is None:
            return
        hedge_budget(world, spec).deposit()
        retry_budget(world, spec).deposit()
        delay_ns = self._policy.hedge_delay_ns(world, spec, now_ns)
        if delay_ns is not None:
            world.timers.set(TimerKind.HEDGE, call_id, now_ns + delay_ns)

    def _wait_for_link(
        self, world: World, query: Query, task: ShardTask
    ) -> None:
        waiting_shards = world.waiting_shards.setdefault(task.key.service, [])
        entry = (query.priority, query.deadline_ns, query.query_id, task.key)
        heapq.heappush(waiting_shards, entry)


def most_preferred(leaves: list[Leaf], now_ns: int) -> list[Leaf]:
    """Returns the leaves of the best preference tier among them."""
    best = min(preference_tier(leaf, now_ns) for leaf in leaves)
    return [leaf for leaf in leaves if preference_tier(leaf, now_ns) == best]


def mark_missing(
    world: World, query: Query, task: ShardTask, reason: MissingReason
) -> None:
    """Completes a shard as missing, with the reason."""
    world.queries.mark_dirty(query.query_id)
    task.state = TaskState.MISSING
    task.reason = reason
    query.open_tasks -= 1
