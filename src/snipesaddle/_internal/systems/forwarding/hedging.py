"""Hedging: a second endpoint for parts whose first one is late.

The load pattern answered: endpoints pause for a tenth of a second now and
then, so that most requests over many shards meet one that pauses. A second
try is spent on the parts still open at a high quantile of the route's
latency, within the retry budget of the fleet.
"""

from snipesaddle._internal.systems.forwarding import (
    connections,
    placement,
    retries,
)
from snipesaddle._internal.systems.forwarding.standing import EndpointChooser
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.requests import (
    Part,
    PartState,
    Request,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

# How long after the aim a relay is waited for.
RELAY_GRACE_NS = 10 * NS_PER_MS


class HedgingSystem(TickSystem[ForwardWorld]):
    """Looks at the requests whose time has come, and sets the next time."""

    def __init__(self, chooser: EndpointChooser) -> None:
        self._chooser = chooser

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        for key in world.timers.pop_due(TimerKind.REQUEST, now_ns):
            assert isinstance(key, int)
            request = world.requests.get(key)
            if request is not None:
                self._look(world, request, now_ns)

    def _look(self, world: ForwardWorld, request: Request, now_ns: int) -> None:
        for index, part in enumerate(request.parts):
            if part.state is not PartState.RUNNING or not part.hedge_ns:
                continue
            if part.hedge_ns <= now_ns:
                self._hedge(world, request, index, part, now_ns)
        world.touched[request.request_id] = None
        look_at(world, request, _next_look_ns(request, now_ns))

    def _hedge(
        self,
        world: ForwardWorld,
        request: Request,
        index: int,
        part: Part,
        now_ns: int,
    ) -> None:
        part.hedge_ns = 0
        if part.runs >= request.route.max_attempts or not part.attempts:
            return
        able = [
            endpoint
            for endpoint in placement.candidates(world, part, now_ns)
            if connections.can_carry(world, endpoint)
        ]
        if not able:
            return
        if not retries.may_spend(world, part.service, now_ns):
            world.counters.budget_denials += 1
            return
        endpoint = self._chooser.choose(world, able, request.route, now_ns)
        placement.start_attempt(world, request, index, endpoint, now_ns)
        part.hedged = True
        world.counters.hedges += 1


def look_first(world: ForwardWorld, request: Request, now_ns: int) -> None:
    """Sets when a new request gets its first look."""
    due_ns = _next_look_ns(request, now_ns)
    if request.route.idempotent:
        delay_ns = placement.hedge_delay_ns(world, request)
        due_ns = min(due_ns, now_ns + delay_ns)
    look_at(world, request, due_ns)


def look_at(world: ForwardWorld, request: Request, due_ns: int) -> None:
    """Sets when a request gets its next look."""
    request.look_ns = due_ns
    world.timers.set(TimerKind.REQUEST, request.request_id, due_ns)


def _next_look_ns(request: Request, now_ns: int) -> int:
    due_ns = request.deadline_ns
    for look_ns in (
        request.settle_ns,
        request.aim_ns,
        request.aim_ns + RELAY_GRACE_NS,
    ):
        if now_ns < look_ns < due_ns:
            due_ns = look_ns
    for part in request.parts:
        hedge_ns = part.hedge_ns
        if hedge_ns and hedge_ns < due_ns and part.state is PartState.RUNNING:
            due_ns = hedge_ns
    return max(due_ns, now_ns + 1)
