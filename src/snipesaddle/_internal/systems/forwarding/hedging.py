"""Hedging: a second endpoint for parts whose first one is late.

The load pattern answered: endpoints pause for a tenth of a second now and
then, so that most requests over many shards meet one that pauses. A second
try is spent on the parts still open at a high quantile of the route's
latency, within the retry budget of the fleet. Where several parts of a
request are late at once, a node in another zone gathers them: that is one
message each way in place of a call each.
"""

from snipesaddle._internal.systems.forwarding import (
    connections,
    placement,
    relaying,
    retries,
    wakeups,
)
from snipesaddle._internal.systems.forwarding.load_balancing import (
    EndpointChooser,
)
from snipesaddle._internal.systems.tick import TickSystem
from snipesaddle._internal.tables.forwarding.requests import (
    PartState,
    Request,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind


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
        due = self._due_parts(request, now_ns)
        relayed = relaying.hedge(world, request, due, now_ns)
        for index in due:
            if index not in relayed:
                self._hedge(world, request, index, now_ns)
        world.dirty_requests[request.request_id] = None
        next_ns = wakeups.next_wakeup_ns(request, now_ns)
        wakeups.schedule_wakeup(world, request, next_ns)

    def _due_parts(self, request: Request, now_ns: int) -> list[int]:
        """Returns the parts whose time for a second endpoint has come."""
        due = []
        for index, part in enumerate(request.parts):
            if part.state is not PartState.RUNNING:
                continue
            if not 0 < part.hedge_ns <= now_ns:
                continue
            part.hedge_ns = 0
            if part.runs < request.route.max_attempts and part.attempts:
                due.append(index)
        return due

    def _hedge(
        self,
        world: ForwardWorld,
        request: Request,
        index: int,
        now_ns: int,
    ) -> None:
        part = request.parts[index]
        able = [
            endpoint
            for endpoint in placement.candidates(world, part, now_ns)
            if connections.has_capacity(world, endpoint)
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
