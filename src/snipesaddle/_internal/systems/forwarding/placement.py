"""Placement: assigns an endpoint and a connection to each unplaced part."""

from snipesaddle._internal.systems.forwarding import (
    connections,
    containment,
    load_balancing,
    outstanding_work,
    possible_runs,
    rate_limits,
    retries,
    work_estimates,
)
from snipesaddle._internal.systems.forwarding.load_balancing import (
    EndpointChooser,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.budgets import ExtraCharge
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

# Time for the answer to travel back to this node.
_REPLY_MARGIN_MS = 3
_MIN_HEDGE_DELAY_NS = 4 * NS_PER_MS
# The most sends of one part, over all its endpoints.
_MAX_SENDS = 4
# With less time to the deadline, a failed part is not retried.
_MIN_RETRY_TIME_NS = 10 * NS_PER_MS
# For a route without latency samples.
_DEFAULT_HEDGE_DELAY_NS = 40 * NS_PER_MS
# Upper bound of the hedge delay, as a share of the time from the arrival of
# the request to its soft deadline.
_MAX_HEDGE_DELAY_RATIO = 0.38
# How long another node may still use an endpoint that this one has removed:
# lists differ by the time of a watch, and by the grace period after an outage.
_MAX_LIST_LAG_NS = 5_000 * NS_PER_MS


def find_open_part(
    world: ForwardWorld, request_id: int, index: int
) -> tuple[Request, Part] | None:
    """Returns a request and its part; None if the part needs no answer."""
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
    """Marks a part as missing and queues its request for completion."""
    part.state = PartState.MISSING
    part.cause = cause
    request.open_parts -= 1
    world.dirty_requests[request.request_id] = None


def is_usable(world: ForwardWorld, endpoint: Endpoint, now_ns: int) -> bool:
    """Returns whether an endpoint may be sent one more attempt now."""
    if not load_balancing.is_usable(endpoint, now_ns):
        return False
    # Tested first, since few endpoints name a limit.
    return endpoint.rate_limit is None or rate_limits.allows(
        world, endpoint, now_ns
    )


def untried_endpoints(
    world: ForwardWorld, part: Part, now_ns: int
) -> list[Endpoint]:
    """Returns the usable endpoints that a part was not sent to yet."""
    pool = world.pools.get(part.service)
    if pool is None:
        return []
    return [
        endpoint
        for endpoint in pool.endpoints
        if endpoint.endpoint_id not in part.tried
        and is_usable(world, endpoint, now_ns)
    ]


def may_use_another(world: ForwardWorld, request: Request, part: Part) -> bool:
    """Returns whether a part may be sent to an endpoint that did not run it.

    An endpoint counts also after its registration has ended, since it may run
    on. Those that ran the part for another node are not known by name. They
    are among the endpoints of the service, which matters only where these are
    no more than the route permits.
    """
    max_endpoints = request.route.max_attempts
    used = {*part.run_endpoint_ids}
    used.update(
        world.attempts[attempt_id].endpoint_id
        for attempt_id in part.attempts
        if attempt_id in world.attempts
    )
    if len(used) + part.relayed_runs < max_endpoints:
        return True
    if not part.relayed_runs:
        return False
    pool = world.pool(part.service)
    since_ns = request.arrived_ns - _MAX_LIST_LAG_NS
    used.update(endpoint.endpoint_id for endpoint in pool.endpoints)
    used.update(
        endpoint_id
        for endpoint_id, removed_ns in pool.removed_ns.items()
        if removed_ns >= since_ns
    )
    return len(used) <= max_endpoints


def permitted_endpoints(
    world: ForwardWorld, request: Request, part: Part, now_ns: int
) -> list[Endpoint]:
    """Returns the usable endpoints that a part may be sent to next.

    Untried ones come first. Once as many endpoints as the route permits may
    have run the part, only these may get it again.
    """
    pool = world.pools.get(part.service)
    if pool is None:
        return []
    any_permitted = may_use_another(world, request, part)
    permitted = [
        endpoint
        for endpoint in pool.endpoints
        if is_usable(world, endpoint, now_ns)
        and (any_permitted or endpoint.endpoint_id in part.run_endpoint_ids)
    ]
    untried = [
        endpoint
        for endpoint in permitted
        if endpoint.endpoint_id not in part.tried
    ]
    return untried or permitted


def may_retry(request: Request, part: Part, now_ns: int) -> bool:
    """Returns whether a failed part may be sent again."""
    if now_ns + _MIN_RETRY_TIME_NS >= request.deadline_ns:
        return False
    if part.send_count >= _MAX_SENDS:
        return False
    if not request.route.idempotent or request.route.max_attempts == 1:
        return part.possible_runs == 0
    return True


def start_attempt(
    world: ForwardWorld,
    request: Request,
    index: int,
    endpoint: Endpoint,
    now_ns: int,
    charge: ExtraCharge | None = None,
) -> None:
    """Starts an attempt of a part on an endpoint with a connection to spare.

    The attempt is sent at once on an idle connection, else when the new
    connection has opened. A retry or a hedge needs a charge.
    """
    part = request.parts[index]
    work = work_estimates.work_of(world, request, now_ns)
    attempt_id = world.next_id()
    connection = connections.acquire(
        world, endpoint, request, attempt_id, now_ns
    )
    attempt = Attempt(
        attempt_id=attempt_id,
        request_id=request.request_id,
        part_index=index,
        service=part.service,
        entry=endpoint.entry,
        endpoint_row_id=endpoint.row_id,
        connection_id=connection.connection_id,
        route_name=request.route.name,
        work=work,
        chosen_ns=now_ns,
        charge=charge,
    )
    world.attempts[attempt_id] = attempt
    part.attempts.append(attempt_id)
    part.tried.append(endpoint.endpoint_id)
    part.state = PartState.RUNNING
    outstanding_work.add(endpoint, work.expected_ns, now_ns)
    rate_limits.take(world, endpoint, now_ns)
    world.counters.attempts += 1
    if connection.state is not ConnectionState.OPENING:
        send_attempt(world, request, attempt, endpoint, now_ns)


def send_attempt(
    world: ForwardWorld,
    request: Request,
    attempt: Attempt,
    endpoint: Endpoint,
    now_ns: int,
) -> None:
    """Sends an attempt on its open connection."""
    part = request.parts[attempt.part_index]
    attempt.sent_ns = now_ns
    world.connections[attempt.connection_id].record_carried(
        request.arrived.client_request_id
    )
    if attempt.charge is not None:
        retries.count_sent(world, attempt.service, attempt.charge, now_ns)
    possible_runs.count_sent(part, endpoint.endpoint_id)
    load_balancing.record_sent(endpoint, now_ns)
    deadline_ns = request.deadline_ns - _REPLY_MARGIN_MS * NS_PER_MS
    world.emit(
        SendAttempt(
            attempt.connection_id,
            attempt.attempt_id,
            endpoint.endpoint_id,
            request,
            max(1, (deadline_ns - now_ns) // NS_PER_MS),
            deadline_ns,
        )
    )


def enqueue_parts(
    world: ForwardWorld,
    request: Request,
    now_ns: int,
    *,
    count_in_budget: bool = True,
) -> None:
    """Queues for placement the parts of a request that this node calls.

    With `count_in_budget`, each part counts as a first send, which adds to the
    retry budget of its service.
    """
    for index, part in enumerate(request.parts):
        if part.state is PartState.PENDING:
            if count_in_budget:
                retries.count_request(world, part.service, now_ns)
            world.pending_parts.append((request.request_id, index))


def hedge_delay_ns(world: ForwardWorld, request: Request) -> int:
    """Returns how long the first endpoint of a part has before a hedge."""
    work = work_estimates.work_of(world, request, request.arrived_ns)
    delay_ns = work_estimates.high_ns(work) or float(_DEFAULT_HEDGE_DELAY_NS)
    latest_ns = _MAX_HEDGE_DELAY_RATIO * (
        request.soft_deadline_ns - request.arrived_ns
    )
    return int(max(min(delay_ns, latest_ns), _MIN_HEDGE_DELAY_NS))


def _no_endpoint_cause(
    world: ForwardWorld, part: Part, now_ns: int
) -> MissingCause:
    pool = world.pools.get(part.service)
    is_limited = pool is not None and any(
        load_balancing.is_usable(endpoint, now_ns)
        and not rate_limits.allows(world, endpoint, now_ns)
        for endpoint in pool.endpoints
    )
    if is_limited:
        return MissingCause.RATE_LIMIT
    return MissingCause.NO_ENDPOINT


class PlacementSystem(TickSystem[ForwardWorld]):
    """Places pending parts, and parts that wait for a connection."""

    def __init__(self, chooser: EndpointChooser) -> None:
        self._chooser = chooser

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        for key in world.timers.pop_due(TimerKind.PART_RETRY, now_ns):
            assert isinstance(key, tuple)
            world.pending_parts.append(key)
        world.admitted_parts.clear()
        self._requeue_waiting(world)
        while world.pending_parts:
            part_key = world.pending_parts.popleft()
            containment.run_each(world, [part_key], self._place_pending, now_ns)

    def _place_pending(
        self, world: ForwardWorld, part_key: tuple[int, int], now_ns: int
    ) -> None:
        request_id, index = part_key
        found = find_open_part(world, request_id, index)
        if found is not None and found[1].state is not PartState.RUNNING:
            self._place(world, found[0], index, now_ns)

    def _requeue_waiting(self, world: ForwardWorld) -> None:
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
        permitted = permitted_endpoints(world, request, part, now_ns)
        if not permitted:
            cause = _no_endpoint_cause(world, part, now_ns)
            mark_missing(world, request, part, cause)
            return
        connectable = [
            endpoint
            for endpoint in permitted
            if connections.has_capacity(world, endpoint)
        ]
        if not connectable:
            part.state = PartState.WAITING
            part.cause = MissingCause.NO_CONNECTION
            world.pool(part.service).waiting.append((request.request_id, index))
            return
        endpoint = self._chooser.choose(world, connectable, request, now_ns)
        is_retry = part.send_count > 0
        charge = None
        if is_retry:
            charge = retries.reserve_retry(world, part.service, now_ns)
            if charge is None:
                world.counters.budget_denials += 1
                mark_missing(world, request, part, MissingCause.BUDGET)
                return
        start_attempt(world, request, index, endpoint, now_ns, charge)
        if is_retry:
            world.counters.retries += 1
        elif request.route.idempotent and request.route.max_attempts > 1:
            part.hedge_at_ns = now_ns + hedge_delay_ns(world, request)
