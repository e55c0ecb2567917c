"""Looks: when a request that waits is looked at next."""

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


def look_first(world: ForwardWorld, request: Request, now_ns: int) -> None:
    """Sets when a new request gets its first look."""
    due_ns = next_look_ns(request, now_ns)
    if request.route.idempotent:
        delay_ns = placement.hedge_delay_ns(world, request)
        due_ns = min(due_ns, now_ns + delay_ns)
    look_at(world, request, due_ns)


def look_at(world: ForwardWorld, request: Request, due_ns: int) -> None:
    """Sets when a request gets its next look."""
    request.look_ns = due_ns
    world.timers.set(TimerKind.REQUEST, request.request_id, due_ns)


def next_look_ns(request: Request, now_ns: int) -> int:
    """Returns when a request is to be looked at if nothing happens before."""
    due_ns = request.deadline_ns
    for look_ns in (
        request.settle_ns,
        request.aim_ns,
        request.aim_ns + RELAY_GRACE_NS,
    ):
        if now_ns < look_ns < due_ns:
            due_ns = look_ns
    for part in request.parts:
        hedge_at_ns = part.hedge_at_ns
        if (
            hedge_at_ns
            and hedge_at_ns < due_ns
            and part.state is PartState.RUNNING
        ):
            due_ns = hedge_at_ns
    return max(due_ns, now_ns + 1)
