"""Calls: checks each ended call against its request and frees its link."""

from snipesaddle._internal.systems import health, links
from snipesaddle._internal.systems.base import NS_PER_MS, System
from snipesaddle._internal.tables.events import CallFinished
from snipesaddle._internal.tables.leaves import Leaf
from snipesaddle._internal.tables.queries import (
    Call,
    CallKind,
    CallResult,
    CheckedCall,
)
from snipesaddle._internal.tables.timers import TimerKind
from snipesaddle._internal.tables.world import World

# How long hedges stay off for a class after a leaf has shed its load.
_SHED_PAUSE_NS = 1_000 * NS_PER_MS


def open_call(world: World, leaf: Leaf, kind: CallKind, now_ns: int) -> Call:
    """Adds a call on a leaf that has a free link; the caller says for what.

    Raises:
      LookupError: the leaf's share of links is used up.
    """
    link_id = links.take_link(world, leaf)
    call = Call(
        call_id=world.next_id(),
        kind=kind,
        leaf_id=leaf.leaf_id,
        link_id=link_id,
        started_ns=now_ns,
    )
    world.calls.put(call.call_id, call)
    leaf.in_flight += 1
    return call


class CallsSystem(System):
    """Turns ended calls into checked results for this tick."""

    def run(self, world: World, now_ns: int) -> None:
        world.checked_calls.clear()
        for event in world.inbox.take(CallFinished):
            self._finish(world, event, now_ns)

    def _finish(self, world: World, event: CallFinished, now_ns: int) -> None:
        links.release(world, event.link_id, event.link_usable, now_ns)
        leaf = world.leaves.get(event.leaf_id)
        call = world.calls.remove(event.call_id)
        world.timers.cancel(TimerKind.HEDGE, event.call_id)
        if leaf is not None:
            leaf.in_flight -= 1
            world.freed_services.add(leaf.service)
            if not event.link_usable:
                world.leaves.mark_dirty(leaf.leaf_id)
        if call is None:
            return
        finished = self._check(world, call, event)
        world.checked_calls.append(finished)
        if leaf is not None:
            self._judge_leaf(world, leaf, call, event, finished, now_ns)

    def _check(
        self, world: World, call: Call, event: CallFinished
    ) -> CheckedCall:
        result = event.result
        wrong_snapshot = False
        if result is CallResult.ANSWERED and not _is_reply_to(call, event):
            world.counters.crossed_replies += 1
            result = CallResult.FAILED
        if result is CallResult.ANSWERED and call.kind is CallKind.SEARCH:
            wrong_snapshot = event.reply_snapshot != call.snapshot
        if wrong_snapshot:
            world.counters.wrong_snapshots += 1
            result = CallResult.FAILED
        return CheckedCall(
            call=call,
            result=result,
            hits=event.hits,
            execution_result=event.execution_result,
            wrong_snapshot=wrong_snapshot,
            detail=event.detail,
        )

    def _judge_leaf(
        self,
        world: World,
        leaf: Leaf,
        call: Call,
        event: CallFinished,
        finished: CheckedCall,
        now_ns: int,
    ) -> None:
        if event.status is not None:
            health.apply_status(world, leaf, event.status, now_ns)
        if finished.result is CallResult.ANSWERED:
            latency_ns = now_ns - call.started_ns
            health.record_success(leaf)
            health.record_latency(leaf, latency_ns, now_ns)
            _record_class_latency(world, leaf, latency_ns, now_ns)
        elif finished.result is CallResult.REFUSED:
            world.counters.sheds += 1
            _pause_hedges(world, leaf, now_ns)
        elif finished.result is not CallResult.SNAPSHOT_GONE:
            unreachable = finished.result is CallResult.NOT_SENT
            health.record_failure(world, leaf, now_ns, unreachable=unreachable)


def _is_reply_to(call: Call, event: CallFinished) -> bool:
    if event.reply_id != call.call_id:
        return False
    return call.shard is None or event.reply_shard == call.shard.shard


def _record_class_latency(
    world: World, leaf: Leaf, latency_ns: int, now_ns: int
) -> None:
    spec = world.config.services.get(leaf.service)
    if spec is not None:
        window = world.latency_window(spec.class_name)
        window.record(latency_ns, now_ns)


def _pause_hedges(world: World, leaf: Leaf, now_ns: int) -> None:
    spec = world.config.services.get(leaf.service)
    budget = world.hedge_budgets.get(spec.class_name) if spec else None
    if budget is not None:
        budget.paused_until_ns = now_ns + _SHED_PAUSE_NS
