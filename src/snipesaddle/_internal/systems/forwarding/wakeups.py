"""Wakeups: when a request in progress is next processed by timer."""

from snipesaddle._internal.systems.forwarding import placement
from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.requests import (
    PartState,
    Request,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

# How long after the soft deadline the reply to a relay may still arrive.
RELAY_GRACE_NS = 10 * NS_PER_MS


def schedule_first_wakeup(
    world: ForwardWorld, request: Request, now_ns: int
) -> None:
    """Sets the first wakeup of a new request."""
    due_ns = next_wakeup_ns(request, now_ns)
    if request.route.idempotent:
        delay_ns = placement.hedge_delay_ns(world, request)
        due_ns = min(due_ns, now_ns + delay_ns)
    schedule_wakeup(world, request, due_ns)


def schedule_wakeup(world: ForwardWorld, request: Request, due_ns: int) -> None:
    """Sets the next wakeup of a request."""
    request.wakeup_ns = due_ns
    world.timers.set(TimerKind.REQUEST, request.request_id, due_ns)


def next_wakeup_ns(request: Request, now_ns: int) -> int:
    """Returns the time of the next wakeup if no event comes earlier."""
    due_ns = request.deadline_ns
    for wakeup_ns in (
        request.earliest_partial_ns,
        request.soft_deadline_ns,
        request.soft_deadline_ns + RELAY_GRACE_NS,
    ):
        if now_ns < wakeup_ns < due_ns:
            due_ns = wakeup_ns
    for part in request.parts:
        hedge_at_ns = part.hedge_at_ns
        if (
            hedge_at_ns
            and hedge_at_ns < due_ns
            and part.state is PartState.RUNNING
        ):
            due_ns = hedge_at_ns
    return max(due_ns, now_ns + 1)
