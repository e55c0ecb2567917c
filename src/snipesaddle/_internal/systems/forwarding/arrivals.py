"""Arrivals: accepts client requests, or refuses them before any work."""

from collections.abc import Sequence

from snipesaddle._internal.systems.forwarding import (
    completion,
    containment,
    deadlines,
    refusals,
    starting,
)
from snipesaddle._internal.systems.forwarding.arrival_checks import (
    ArrivalCheck,
    Hold,
)
from snipesaddle._internal.systems.forwarding.load_balancing import (
    EndpointChooser,
)
from snipesaddle._internal.systems.forwarding.refusals import (
    Refusal,
    not_run,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.commands import ErrorKind
from snipesaddle._internal.tables.forwarding.events import (
    ClientDisconnected,
    RequestArrived,
)
from snipesaddle._internal.tables.forwarding.requests import (
    ArrivedRequest,
    Part,
    Request,
)
from snipesaddle._internal.tables.forwarding.routes import Route
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# Time for an answer at the end of the time limit to reach the client.
_REPLY_MARGIN_MS = 8


class ArrivalsSystem(TickSystem[ForwardWorld]):
    """Creates a request with its parts for each request that arrived."""

    def __init__(
        self, chooser: EndpointChooser, checks: Sequence[ArrivalCheck]
    ) -> None:
        self._chooser = chooser
        self._checks = checks

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        for disconnected in world.inbox.take(ClientDisconnected):
            self._on_client_disconnected(world, disconnected.client_id, now_ns)
        containment.run_each(
            world,
            world.inbox.take(RequestArrived),
            self._on_arrived,
            now_ns,
            self._give_up,
        )

    def _on_arrived(
        self, world: ForwardWorld, event: RequestArrived, now_ns: int
    ) -> None:
        self._on_request(world, event.request, event.arrived_ns, now_ns)

    def _give_up(
        self, world: ForwardWorld, event: RequestArrived, now_ns: int
    ) -> None:
        arrived = event.request
        request_id = world.request_id_by_client.get(arrived.client_id)
        if request_id is None:
            failed = Refusal(ErrorKind.FAILED, "internal error")
            refusals.refuse(world, arrived, failed)
            return
        completion.fail(world, request_id, now_ns)

    def _on_client_disconnected(
        self, world: ForwardWorld, client_id: int, now_ns: int
    ) -> None:
        request_id = world.request_id_by_client.pop(client_id, None)
        request = world.requests.get(request_id) if request_id else None
        if request is None:
            return
        world.counters.clients_gone += 1
        completion.cancel(world, request, now_ns)

    def _on_request(
        self,
        world: ForwardWorld,
        arrived: ArrivedRequest,
        arrived_ns: int,
        now_ns: int,
    ) -> None:
        world.counters.requests += 1
        config = world.active_config
        if config.version == 0:
            refusals.refuse(world, arrived, not_run("no configuration"))
            return
        path = arrived.target.partition(b"?")[0]
        route = config.index.find(arrived.host, path)
        if route is None:
            no_route = Refusal(ErrorKind.NO_ROUTE, "no route")
            refusals.refuse(world, arrived, no_route)
            return
        refusal = _malformed(arrived, route)
        if refusal is not None:
            refusals.refuse(world, arrived, refusal)
            return
        request = self._build_request(world, arrived, route, arrived_ns)
        for check in self._checks:
            verdict = check.refusal(world, request, now_ns)
            if isinstance(verdict, Hold):
                return
            if verdict is not None:
                refusals.refuse(world, arrived, verdict)
                return
        starting.start(world, request, self._chooser, now_ns)

    def _build_request(
        self,
        world: ForwardWorld,
        arrived: ArrivedRequest,
        route: Route,
        arrived_ns: int,
    ) -> Request:
        limit_ms = route.timeout_ms
        client_spent_ms = 0
        if arrived.time_limit_ms is not None:
            usable_ms = max(1, arrived.time_limit_ms - _REPLY_MARGIN_MS)
            limit_ms = min(limit_ms, usable_ms)
            longest_ms = world.time_limit(route.name).record(
                arrived.time_limit_ms, arrived_ns
            )
            client_spent_ms = deadlines.client_spent_ms(
                route, arrived.time_limit_ms, longest_ms
            )
        services = route.shards or (choose_target(world, route),)
        sent_ns = arrived_ns - deadlines.unread_wait_ns(
            world.process.unread_since_ns, arrived_ns
        )
        deadline_ns = sent_ns + limit_ms * NS_PER_MS
        soft_deadline_ns = deadlines.soft_deadline_ns(
            route, sent_ns, client_spent_ms
        )
        return Request(
            request_id=world.next_id(),
            arrived=arrived,
            route=route,
            config_version=world.active_config.version,
            arrived_ns=arrived_ns,
            soft_deadline_ns=min(soft_deadline_ns, deadline_ns),
            deadline_ns=deadline_ns,
            parts=[Part(service) for service in services],
            open_parts=len(services),
            total_parts=len(services),
            forwards_identity=world.active_config.config.tenants is None,
        )


def _malformed(arrived: ArrivedRequest, route: Route) -> Refusal | None:
    """Returns why a request of a route cannot be built, or None."""
    if not route.services:
        return not_run("no service")
    if not arrived.client_request_id:
        return Refusal(ErrorKind.BAD_REQUEST, "no request id")
    if arrived.time_limit_ms is not None and arrived.time_limit_ms <= 0:
        return not_run("no time left")
    return None


def choose_target(world: ForwardWorld, route: Route) -> str:
    """Returns the next target service by smooth weighted round robin."""
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    credits_ = world.split_credits.get(route.name)
    if credits_ is None or len(credits_) != len(targets):
        credits_ = [world.rng.random() * target.weight for target in targets]
        world.split_credits[route.name] = credits_
    for index, target in enumerate(targets):
        credits_[index] += target.weight
    best = max(range(len(targets)), key=credits_.__getitem__)
    credits_[best] -= sum(target.weight for target in targets)
    return targets[best].service
