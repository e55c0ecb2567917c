"""Wakeups: when a request that waits is looked at next."""

from snipesaddle._internal.systems.forwarding import placement
from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.requests import (
    PartState,
    Request,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

# How long after the aim a relay is waited for.
RELAY_GRACE_NS = 10 * NS_PER_MS


def schedule_first_wakeup(
    world: ForwardWorld, request: Request, now_ns: int
) -> None:
    """Sets when a new request gets its first look."""
    due_ns = next_wakeup_ns(request, now_ns)
    if request.route.idempotent:
        delay_ns = placement.hedge_delay_ns(world, request)
        due_ns = min(due_ns, now_ns + delay_ns)
    schedule_wakeup(world, request, due_ns)


def schedule_wakeup(world: ForwardWorld, request: Request, due_ns: int) -> None:
    """Sets when a request gets its next look."""
    request.wakeup_ns = due_ns
    world.timers.set(TimerKind.REQUEST, request.request_id, due_ns)


def next_wakeup_ns(request: Request, now_ns: int) -> int:
    """Returns when a request is to be looked at if nothing happens before."""
    due_ns = request.deadline_ns
    for wakeup_ns in (
        request.earliest_partial_ns,
        request.soft_deadline_ns,
        request.soft_deadline_ns + RELAY_GRACE_NS,
    ):
        if now_ns < wakeup_ns < due_ns:
            due_ns = wakeup_ns
    for part in request.parts:
        hedge_ns = part.hedge_ns
        if hedge_ns and hedge_ns < due_ns and part.state is PartState.RUNNING:
            due_ns = hedge_ns
    return max(due_ns, now_ns + 1)
