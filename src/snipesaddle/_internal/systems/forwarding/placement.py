"""Placement: gives each part that needs one an endpoint and a connection."""

from snipesaddle._internal.systems.forwarding import (
    connections,
    load_balancing,
    retries,
)
from snipesaddle._internal.systems.forwarding.load_balancing import (
    EndpointChooser,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.commands import SendAttempt
from snipesaddle._internal.tables.forwarding.endpoints import (
    ConnectionState,
    Endpoint,
)
from snipesaddle._internal.tables.forwarding.requests import (
    Attempt,
    MissingCause,
    Part,
    PartState,
    Request,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

# What the answer needs for its way back to this node.
_RETURN_MS = 3
_MIN_HEDGE_NS = 4 * NS_PER_MS
_FIRST_HEDGE_NS = 40 * NS_PER_MS
# The latest hedge comes when this part of the time to the aim is over.
_LATEST_HEDGE = 0.38


def open_part(
    world: ForwardWorld, request_id: int, index: int
) -> tuple[Request, Part] | None:
    """Returns a request and its part if that still needs an answer."""
    request = world.requests.get(request_id)
    if request is None:
        return None
    part = request.parts[index]
    if part.state in (PartState.ANSWERED, PartState.MISSING):
        return None
    return request, part


def mark_missing(
    world: ForwardWorld, request: Request, part: Part, cause: MissingCause
) -> None:
    """Gives a part up."""
    part.state = PartState.MISSING
    part.cause = cause
    request.open_parts -= 1
    world.dirty_requests[request.request_id] = None


def candidates(world: ForwardWorld, part: Part, now_ns: int) -> list[Endpoint]:
    """Returns the usable endpoints of a part that were not tried yet."""
    pool = world.pools.get(part.service)
    if pool is None:
        return []
    return [
        endpoint
        for endpoint in pool.endpoints
        if endpoint.endpoint_id not in part.tried
        and load_balancing.is_usable(endpoint, now_ns)
    ]


def start_attempt(
    world: ForwardWorld,
    request: Request,
    index: int,
    endpoint: Endpoint,
    now_ns: int,
) -> None:
    """Starts an attempt of a part on an endpoint that can carry it."""
    part = request.parts[index]
    extra = part.arrivals > 0 or bool(part.attempts)
    attempt_id = world.next_id()
    connection = connections.acquire(
        world, endpoint, attempt_id, now_ns, not request.route.idempotent
    )
    attempt = Attempt(
        attempt_id=attempt_id,
        request_id=request.request_id,
        part_index=index,
        endpoint_id=endpoint.endpoint_id,
        connection_id=connection.connection_id,
        route_name=request.route.name,
        chosen_ns=now_ns,
        extra=extra,
    )
    world.attempts[attempt_id] = attempt
    part.attempts.append(attempt_id)
    part.tried.append(endpoint.endpoint_id)
    part.state = PartState.RUNNING
    endpoint.in_flight += 1
    world.counters.attempts += 1
    if extra:
        world.retry_budget(part.service).count_extra(now_ns)
    if connection.state is not ConnectionState.OPENING:
        send(world, request, attempt, endpoint, now_ns)


def send(
    world: ForwardWorld,
    request: Request,
    attempt: Attempt,
    endpoint: Endpoint,
    now_ns: int,
) -> None:
    """Writes an attempt to its connection, which is up."""
    part = request.parts[attempt.part_index]
    attempt.sent_ns = now_ns
    part.runs += 1
    part.arrivals += 1
    load_balancing.record_sent(endpoint, now_ns)
    left_ms = (request.deadline_ns - now_ns) // NS_PER_MS
    world.emit(
        SendAttempt(
            attempt.connection_id,
            attempt.attempt_id,
            endpoint.endpoint_id,
            request,
            max(1, left_ms - _RETURN_MS),
        )
    )


def request_parts(
    world: ForwardWorld,
    request: Request,
    now_ns: int,
    *,
    counted: bool = True,
) -> None:
    """Lets the parts of a new request that this node asks for be placed.

    With `counted`, they are first arrivals in the retry budget.
    """
    for index, part in enumerate(request.parts):
        if part.state is PartState.PENDING:
            if counted:
                world.retry_budget(part.service).count_request(now_ns)
            world.pending_parts.append((request.request_id, index))


def hedge_delay_ns(world: ForwardWorld, request: Request) -> int:
    """Returns how long the first endpoint of a part is waited for."""
    latency = world.latency(request.route.name)
    delay_ns = latency.high_ns or float(_FIRST_HEDGE_NS)
    latest_ns = _LATEST_HEDGE * (request.soft_deadline_ns - request.arrived_ns)
    return int(max(min(delay_ns, latest_ns), _MIN_HEDGE_NS))


class PlacementSystem(TickSystem[ForwardWorld]):
    """Places the pending parts, and those that wait for a connection."""

    def __init__(self, chooser: EndpointChooser) -> None:
        self._chooser = chooser

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        for key in world.timers.pop_due(TimerKind.PART_RETRY, now_ns):
            assert isinstance(key, tuple)
            world.pending_parts.append(key)
        self._wake_waiting(world)
        while world.pending_parts:
            request_id, index = world.pending_parts.popleft()
            found = open_part(world, request_id, index)
            if found is not None and found[1].state is not PartState.RUNNING:
                self._place(world, found[0], index, now_ns)

    def _wake_waiting(self, world: ForwardWorld) -> None:
        if not world.freed_services:
            return
        freed_services, world.freed_services = world.freed_services, {}
        for service in freed_services:
            pool = world.pools.get(service)
            if pool is not None and pool.waiting:
                world.pending_parts.extendleft(reversed(pool.waiting))
                pool.waiting.clear()

    def _place(
        self, world: ForwardWorld, request: Request, index: int, now_ns: int
    ) -> None:
        part = request.parts[index]
        usable = candidates(world, part, now_ns)
        if not usable and part.tried:
            part.tried.clear()
            usable = candidates(world, part, now_ns)
        if not usable:
            mark_missing(world, request, part, MissingCause.NO_ENDPOINT)
            return
        able = [e for e in usable if connections.has_capacity(world, e)]
        if not able:
            part.state = PartState.WAITING
            part.cause = MissingCause.NO_CONNECTION
            world.pool(part.service).waiting.append((request.request_id, index))
            return
        is_retry = part.arrivals > 0
        if is_retry and not retries.may_spend(world, part.service, now_ns):
            world.counters.budget_denials += 1
            mark_missing(world, request, part, MissingCause.BUDGET)
            return
        endpoint = self._chooser.choose(world, able, request.route, now_ns)
        start_attempt(world, request, index, endpoint, now_ns)
        if is_retry:
            world.counters.retries += 1
        elif request.route.idempotent and request.route.max_attempts > 1:
            part.hedge_ns = now_ns + hedge_delay_ns(world, request)
