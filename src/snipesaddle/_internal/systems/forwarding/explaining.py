"""Explanation of where a request would go now, without sending it.

The systems that decide about real requests run on a copy of the tables. The
copy has its own containers, and its own rows of all that a decision changes:
endpoints with their rate limits, connections, budgets, estimates, split
credits and the random state. Rows that decisions only read are shared.
"""

import copy
import dataclasses
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from snipesaddle._internal.systems.forwarding import (
    connections,
    load_balancing,
    placement,
    rate_limits,
    work_chooser,
    work_estimates,
)
from snipesaddle._internal.systems.forwarding.arrival_checks import (
    ArrivalCheck,
    TenantCheck,
)
from snipesaddle._internal.systems.forwarding.arrivals import ArrivalsSystem
from snipesaddle._internal.systems.forwarding.placement import PlacementSystem
from snipesaddle._internal.systems.forwarding.quotas import QuotaCheck
from snipesaddle._internal.systems.forwarding.refusals import Refusal
from snipesaddle._internal.systems.forwarding.schedule import ARRIVAL_CHECKS
from snipesaddle._internal.systems.forwarding.work_chooser import WorkChooser
from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.commands import (
    ErrorKind,
    SendError,
)
from snipesaddle._internal.tables.forwarding.endpoints import (
    Endpoint,
    Registration,
)
from snipesaddle._internal.tables.forwarding.events import RequestArrived
from snipesaddle._internal.tables.forwarding.requests import (
    ArrivedRequest,
    Part,
    Request,
)
from snipesaddle._internal.tables.forwarding.routes import Route
from snipesaddle._internal.tables.forwarding.work import (
    WorkEstimate,
    WorkTable,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.inbox import Inbox
from snipesaddle._internal.tables.timers import Timers

# Above all ids of the process.
_FIRST_ID = 1 << 62
# The id of no client.
_CLIENT_ID = -1


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that a part could be sent to.

    Attributes:
      cost_ms: the sum of the components, without the random part.
      components_ms: the components that are not 0.
      why_not: why it cannot be used now; empty if it can.
    """

    endpoint: str
    zone: str
    cost_ms: float
    components_ms: dict[str, float]
    why_not: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PartExplanation:
    """Where one part would go.

    Attributes:
      state: what becomes of the part: running, waiting, relayed or missing.
      cause: why it waits or is missing.
      endpoint: the endpoint that it would be sent to; empty for none.
      candidates: the endpoints of its service, cheapest first.
    """

    service: str
    state: str
    cause: str
    endpoint: str
    candidates: tuple[Candidate, ...]


@dataclass(frozen=True, slots=True)
class RouteExplanation:
    """Where a request would go.

    Attributes:
      route: the name of its route; empty for none.
      needs_tenant: whether its requests need the API key of a tenant.
      refusal: why the request would be refused now; empty if it would not.
      expected_ms: the expected work of each part.
    """

    config_version: int
    route: str
    needs_tenant: bool
    refusal: str = ""
    retry_after_ms: int = 0
    expected_ms: float = 0.0
    parts: tuple[PartExplanation, ...] = field(default=())


class NamedTenantCheck(ArrivalCheck):
    """Gives a request the tenant of a name, in place of an API key.

    Without a name, the request is placed as if its key had been accepted.
    """

    def __init__(self, name: str) -> None:
        self._name = name

    def refusal(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> Refusal | None:
        tenants = world.active_config.config.tenants
        if not self._name:
            return None
        if tenants is not None:
            request.tenant = tenants.by_name(self._name)
        if request.tenant is None:
            return Refusal(ErrorKind.UNAUTHORIZED, "unknown tenant")
        return None


def explain(
    world: ForwardWorld, arrived: ArrivedRequest, tenant_name: str, now_ns: int
) -> RouteExplanation:
    """Returns where a request would go now; changes nothing in the tables."""
    config = world.active_config
    path = arrived.target.partition(b"?")[0]
    route = config.index.find(arrived.host, path)
    trial = _copy_tables(world, route)
    request = _arrive(trial, arrived, tenant_name, now_ns)
    needs_tenant = (
        route is not None
        and not route.public
        and config.config.tenants is not None
    )
    route_name = route.name if route is not None else ""
    if request is None:
        refused = _refused(trial)
        return RouteExplanation(
            config.version,
            route_name,
            needs_tenant,
            refused.detail if refused is not None else "not decided at once",
            refused.retry_after_ms if refused is not None else 0,
        )
    expected_ns = work_estimates.expected_ns(trial, request, now_ns)
    candidates = [
        _candidates(trial, request, part, now_ns) for part in request.parts
    ]
    PlacementSystem(WorkChooser()).run(trial, now_ns)
    return RouteExplanation(
        config.version,
        route_name,
        needs_tenant,
        expected_ms=_ms(expected_ns),
        parts=tuple(map(_explain_part, request.parts, candidates)),
    )


def _arrive(
    trial: ForwardWorld, arrived: ArrivedRequest, tenant_name: str, now_ns: int
) -> Request | None:
    """Lets a request arrive; returns it, or None if it is not accepted.

    Quotas are left out: another node may have to be asked, and tokens taken.
    """
    checks = [
        NamedTenantCheck(tenant_name)
        if isinstance(check, TenantCheck)
        else check
        for check in ARRIVAL_CHECKS
        if not isinstance(check, QuotaCheck)
    ]
    arrived = dataclasses.replace(arrived, client_id=_CLIENT_ID)
    trial.inbox.put(RequestArrived(arrived, now_ns))
    ArrivalsSystem(WorkChooser(), checks).run(trial, now_ns)
    request_id = trial.request_id_by_client.get(_CLIENT_ID)
    return trial.requests.get(request_id) if request_id else None


def _refused(trial: ForwardWorld) -> SendError | None:
    for command in trial.outbox:
        if isinstance(command, SendError):
            return command
    return None


def _candidates(
    world: ForwardWorld, request: Request, part: Part, now_ns: int
) -> tuple[Candidate, ...]:
    pool = world.pools.get(part.service)
    endpoints = pool.endpoints if pool is not None else []
    permitted = {
        endpoint.endpoint_id
        for endpoint in placement.permitted_endpoints(
            world, request, part, now_ns
        )
    }
    found = [
        _candidate(
            world,
            request,
            endpoint,
            endpoint.endpoint_id in permitted,
            now_ns,
        )
        for endpoint in endpoints
    ]
    return tuple(
        sorted(found, key=lambda item: (bool(item.why_not), item.cost_ms))
    )


def _candidate(
    world: ForwardWorld,
    request: Request,
    endpoint: Endpoint,
    is_permitted: bool,
    now_ns: int,
) -> Candidate:
    expected_ns = work_estimates.expected_ns(world, request, now_ns)
    components = work_chooser.components_ns(
        world, endpoint, request, expected_ns, now_ns
    )
    why_not = _why_not(world, endpoint, now_ns)
    if not is_permitted and not why_not:
        why_not = ("the route's limit of endpoints is reached",)
    return Candidate(
        endpoint=endpoint.endpoint_id,
        zone=endpoint.entry.zone,
        cost_ms=_ms(sum(components)),
        components_ms={
            name: _ms(value)
            for name, value in zip(
                work_chooser.COMPONENTS, components, strict=True
            )
            if value
        },
        why_not=why_not,
    )


def _why_not(
    world: ForwardWorld, endpoint: Endpoint, now_ns: int
) -> tuple[str, ...]:
    """Returns the reasons for which an endpoint cannot be used now."""
    ejected_ms = (endpoint.ejected_until_ns - now_ns) // NS_PER_MS
    backoff_ms = (endpoint.backoff_until_ns - now_ns) // NS_PER_MS
    reasons = {
        "draining": endpoint.entry.registration is Registration.DRAINING,
        "leaving": endpoint.leaving,
        "zone evacuated": endpoint.evacuated,
        f"wants no requests for {backoff_ms} ms": backoff_ms > 0,
        f"ejected for {ejected_ms} ms": ejected_ms > 0,
        "one attempt at a time after failures": (
            endpoint.consecutive_failures > 0
            and endpoint.in_flight > 0
            and not load_balancing.is_usable(endpoint, now_ns)
        ),
        "rate limit": not rate_limits.allows(world, endpoint, now_ns),
        "no connection": not connections.has_capacity(world, endpoint),
    }
    return tuple(reason for reason, holds in reasons.items() if holds)


def _explain_part(
    part: Part, candidates: tuple[Candidate, ...]
) -> PartExplanation:
    return PartExplanation(
        service=part.service,
        state=part.state.value,
        cause=part.cause.value,
        endpoint=part.tried[-1] if part.tried else "",
        candidates=candidates,
    )


def _ms(value_ns: float) -> float:
    return round(value_ns / NS_PER_MS, 2)


def _copy_tables(world: ForwardWorld, route: Route | None) -> ForwardWorld:
    """Returns a copy of the tables for a decision about one route."""
    trial = copy.copy(world)
    for item in dataclasses.fields(world):
        value = getattr(world, item.name)
        if isinstance(value, (dict, list, deque)):
            setattr(trial, item.name, copy.copy(value))
    trial.rng = random.Random()
    trial.rng.setstate(world.rng.getstate())
    trial.ids = itertools.count(_FIRST_ID)
    trial.inbox = Inbox()
    trial.timers = Timers()
    trial.outbox.clear()
    # Only the request that is explained may be placed.
    trial.pending_parts.clear()
    trial.freed_services.clear()
    trial.counters = copy.copy(world.counters)
    trial.fleet = copy.copy(world.fleet)
    trial.split_credits = copy.deepcopy(world.split_credits)
    trial.latencies = copy.deepcopy(world.latencies)
    trial.time_limits = copy.deepcopy(world.time_limits)
    trial.work = _copy_work(world.work)
    trial.load = copy.deepcopy(world.load)
    trial.freshness = copy.deepcopy(world.freshness)
    services = route.services if route is not None else ()
    for service in services:
        _copy_service(trial, service)
    return trial


def _copy_work(table: WorkTable) -> WorkTable:
    copied = WorkTable(table.max_rows, evictions=table.evictions)
    for key, row in table.rows.items():
        copied.rows[key] = WorkEstimate(copy.copy(row.latency), row.used_ns)
    return copied


def _copy_service(trial: ForwardWorld, service: str) -> None:
    """Replaces the rows of a service by copies."""
    budget = trial.retry_budgets.get(service)
    if budget is not None:
        trial.retry_budgets[service] = copy.deepcopy(budget)
    pool = trial.pools.get(service)
    if pool is None:
        return
    endpoints = [_copy_endpoint(trial, endpoint) for endpoint in pool.endpoints]
    trial.pools[service] = dataclasses.replace(
        pool,
        endpoints=endpoints,
        removed_ns=dict(pool.removed_ns),
        waiting=pool.waiting.copy(),
    )


def _copy_endpoint(trial: ForwardWorld, endpoint: Endpoint) -> Endpoint:
    copied = dataclasses.replace(
        endpoint,
        idle_connection_ids=list(endpoint.idle_connection_ids),
        rate_limit=copy.copy(endpoint.rate_limit),
    )
    trial.endpoints[endpoint.endpoint_id] = copied
    for connection_id in copied.idle_connection_ids:
        connection = trial.connections[connection_id]
        trial.connections[connection_id] = dataclasses.replace(
            connection,
            carried_request_ids=connection.carried_request_ids.copy(),
        )
    return copied
