"""Hedging: calls a second endpoint for parts whose first one is late.

Endpoints occasionally pause for about 100 ms, so most requests over many
shards meet a pausing one. Request hedging (Dean and Barroso, "The Tail at
Scale", 2013) calls a second endpoint for the parts still open at a high
quantile of the route's latency, within the fleet's retry budget. If several
parts of a request are late at once, a node in another zone gathers them, which
takes one message each way instead of one call per part.
"""

from snipesaddle._internal.systems.forwarding import (
    completion,
    connections,
    containment,
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
    """Sends due hedges at each request's wakeup, and sets the next wakeup."""

    def __init__(self, chooser: EndpointChooser) -> None:
        self._chooser = chooser

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        due = world.timers.pop_due(TimerKind.REQUEST, now_ns)
        request_ids = [key for key in due if isinstance(key, int)]
        containment.run_each(
            world, request_ids, self._on_wakeup, now_ns, completion.fail
        )

    def _on_wakeup(
        self, world: ForwardWorld, request_id: int, now_ns: int
    ) -> None:
        request = world.requests.get(request_id)
        if request is None:
            return
        due_indexes = self._due_parts(world, request, now_ns)
        relayed_indexes = relaying.relay_hedges(
            world, request, due_indexes, now_ns
        )
        for index in due_indexes:
            if index not in relayed_indexes:
                self._hedge(world, request, index, now_ns)
        world.dirty_requests[request.request_id] = None
        next_ns = wakeups.next_wakeup_ns(request, now_ns)
        wakeups.schedule_wakeup(world, request, next_ns)

    def _due_parts(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> list[int]:
        """Returns the indexes of the parts to hedge now, at most once each."""
        due_indexes = []
        for index, part in enumerate(request.parts):
            if part.state is not PartState.RUNNING:
                continue
            if not 0 < part.hedge_at_ns <= now_ns:
                continue
            part.hedge_at_ns = 0
            if (
                part.possible_runs < request.route.max_attempts
                and part.attempts
                and placement.may_use_another(world, request, part)
            ):
                due_indexes.append(index)
        return due_indexes

    def _hedge(
        self,
        world: ForwardWorld,
        request: Request,
        index: int,
        now_ns: int,
    ) -> None:
        part = request.parts[index]
        connectable = [
            endpoint
            for endpoint in placement.untried_endpoints(world, part, now_ns)
            if connections.has_capacity(world, endpoint)
        ]
        if not connectable:
            return
        endpoint = self._chooser.choose(world, connectable, request, now_ns)
        charge = retries.reserve_hedge(world, part.service, now_ns)
        if charge is None:
            world.counters.budget_denials += 1
            return
        placement.start_attempt(world, request, index, endpoint, now_ns, charge)
        part.hedged = True
        world.counters.hedges += 1
