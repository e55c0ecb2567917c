"""The tables of the forwarding tier."""

import random
from collections import deque
from dataclasses import dataclass, field

from snipesaddle._internal.models.forwarding import ForwardSettings
from snipesaddle._internal.tables.forwarding.budgets import RetryBudget
from snipesaddle._internal.tables.forwarding.commands import (
    Command,
    LogDecision,
)
from snipesaddle._internal.tables.forwarding.endpoints import (
    Endpoint,
    EndpointConnection,
    EndpointEntry,
    KnownEndpoint,
    ServicePool,
)
from snipesaddle._internal.tables.forwarding.evacuations import Evacuations
from snipesaddle._internal.tables.forwarding.events import AttemptAnswered
from snipesaddle._internal.tables.forwarding.fleet import (
    Fleet,
    Presence,
    ThisNode,
)
from snipesaddle._internal.tables.forwarding.freshness import ConfigFreshness
from snipesaddle._internal.tables.forwarding.latencies import (
    LongestTimeLimit,
    RouteLatency,
)
from snipesaddle._internal.tables.forwarding.load import NodeLoad
from snipesaddle._internal.tables.forwarding.process import ProcessState
from snipesaddle._internal.tables.forwarding.quotas import Quotas
from snipesaddle._internal.tables.forwarding.requests import (
    Attempt,
    Relay,
    RelayOrigin,
    Request,
)
from snipesaddle._internal.tables.forwarding.resends import Resends
from snipesaddle._internal.tables.forwarding.routes import (
    ActiveConfig,
    RouteConfig,
)
from snipesaddle._internal.tables.forwarding.store_ranges import (
    Change,
    Item,
    Range,
    RangeCache,
    StoreHealth,
)
from snipesaddle._internal.tables.forwarding.work import WorkTable
from snipesaddle._internal.tables.tick_world import TickCounters, TickWorld


@dataclass(frozen=True, slots=True)
class LostAttempt:
    """An attempt that ended without a complete answer.

    Attributes:
      sent: it was passed to its connection to be written, so it may have run.
      detail: why it was lost, for the log.
    """

    attempt: Attempt
    sent: bool
    detail: str


@dataclass(frozen=True, slots=True)
class AnsweredAttempt:
    """An attempt that an endpoint answered."""

    attempt: Attempt
    event: AttemptAnswered


@dataclass(slots=True)
class ForwardCounters(TickCounters):
    """Counts since the start of the process."""

    requests: int = 0
    answered: int = 0
    partial: int = 0
    refused: int = 0
    shed_requests: int = 0
    failed: int = 0
    timeouts: int = 0
    clients_gone: int = 0
    attempts: int = 0
    hedges: int = 0
    retries: int = 0
    budget_denials: int = 0
    relays: int = 0
    relays_failed: int = 0
    replies_to_earlier_runs: int = 0
    membership_syncs: int = 0
    endpoint_refusals: int = 0
    endpoint_failures: int = 0
    leaving_answers: int = 0
    stated_loads: int = 0
    connections_opened: int = 0
    connections_lost: int = 0
    store_calls: int = 0
    store_failures: int = 0
    config_reads: int = 0
    freshness_asks: int = 0
    freshness_replies: int = 0
    unproven_refusals: int = 0
    quota_asks: int = 0
    quota_grants: int = 0
    quota_refusals: int = 0
    quota_own_share_uses: int = 0
    quota_overdue_replies: int = 0
    quota_returns: int = 0


@dataclass(slots=True)
class ForwardWorld(TickWorld[Command]):
    """The tables that the systems of the forwarding tier run over.

    Attributes:
      received_configs: configurations read from the store in this tick.
      listed_ranges: complete ranges listed in this tick, with their items by
        key.
      range_changes: changes of the ranges seen in this tick, oldest first.
      endpoints_revision: all endpoint changes up to this revision are known.
      peer_list_revision: the revision of the last endpoint list from a peer;
        it contains all older changes from the store.
      leaving_entries: the registrations of the endpoints that have said that
        they leave, by endpoint id; kept for some time after their removal.
      removed_endpoints: the last rows of endpoints whose registrations have
        ended, by endpoint id; kept for some time.
      known_before_restore: what was known of the endpoints at the last restore
        of the store, by endpoint id; kept for some time.
      entries_set_aside: listed registrations that are older than that, by
        endpoint id.
      limited_endpoint_ids: the endpoints that name a rate limit; a dictionary
        keeps their order.
      backoff_until_ns: until when some endpoint has asked for no requests.
      admitted_parts: how many parts of a service were admitted in this tick
        and are not placed yet.
      request_id_by_client: the open request of each client.
      request_id_by_origin: the requests that other nodes relayed to this one.
      answered_attempts: attempts answered in this tick.
      lost_attempts: attempts that ended without an answer in this tick, without
        the abandoned and the cancelled ones.
      pending_parts: parts that need an endpoint, as pairs of request id and
        part index.
      dirty_requests: requests to check for completion in this tick; a
        dictionary keeps their order.
      overdue_relay_requests: requests whose relays were not answered in time.
      freed_services: services with new connection capacity in this tick; a
        dictionary keeps their order.
      error_log_due_ns: when an unexpected error of a type at a place in the
        code is logged again.
      split_credits: by route name, for routes with several targets, the credit
        of each target.
    """

    settings: ForwardSettings
    this_node: ThisNode
    rng: random.Random
    active_config: ActiveConfig = field(default_factory=ActiveConfig)
    received_configs: list[RouteConfig] = field(default_factory=list)
    listed_ranges: dict[Range, dict[str, Item]] = field(default_factory=dict)
    range_changes: dict[Range, list[Change]] = field(
        default_factory=lambda: {item: [] for item in Range}
    )
    range_caches: dict[Range, RangeCache] = field(
        default_factory=lambda: {item: RangeCache(item) for item in Range}
    )
    store: StoreHealth = field(default_factory=StoreHealth)
    freshness: ConfigFreshness = field(default_factory=ConfigFreshness)
    presence: Presence = field(default_factory=Presence)
    fleet: Fleet = field(default_factory=Fleet)
    process: ProcessState = field(default_factory=ProcessState)
    load: NodeLoad = field(default_factory=NodeLoad)
    evacuations: Evacuations = field(default_factory=Evacuations)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    endpoints_revision: int = 0
    peer_list_revision: int = 0
    leaving_entries: dict[str, EndpointEntry] = field(default_factory=dict)
    removed_endpoints: dict[str, Endpoint] = field(default_factory=dict)
    known_before_restore: dict[str, KnownEndpoint] = field(default_factory=dict)
    entries_set_aside: dict[str, EndpointEntry] = field(default_factory=dict)
    limited_endpoint_ids: dict[str, None] = field(default_factory=dict)
    backoff_until_ns: int = 0
    admitted_parts: dict[str, int] = field(default_factory=dict)
    pools: dict[str, ServicePool] = field(default_factory=dict)
    connections: dict[int, EndpointConnection] = field(default_factory=dict)
    requests: dict[int, Request] = field(default_factory=dict)
    request_id_by_client: dict[int, int] = field(default_factory=dict)
    attempts: dict[int, Attempt] = field(default_factory=dict)
    relays: dict[int, Relay] = field(default_factory=dict)
    resends: Resends = field(default_factory=Resends)
    request_id_by_origin: dict[RelayOrigin, int] = field(default_factory=dict)
    answered_attempts: list[AnsweredAttempt] = field(default_factory=list)
    lost_attempts: list[LostAttempt] = field(default_factory=list)
    pending_parts: deque[tuple[int, int]] = field(default_factory=deque)
    dirty_requests: dict[int, None] = field(default_factory=dict)
    overdue_relay_requests: list[int] = field(default_factory=list)
    freed_services: dict[str, None] = field(default_factory=dict)
    quotas: Quotas = field(default_factory=Quotas)
    retry_budgets: dict[str, RetryBudget] = field(default_factory=dict)
    latencies: dict[str, RouteLatency] = field(default_factory=dict)
    work: WorkTable = field(default_factory=WorkTable)
    time_limits: dict[str, LongestTimeLimit] = field(default_factory=dict)
    split_credits: dict[str, list[float]] = field(default_factory=dict)
    error_log_due_ns: dict[tuple[str, str], int] = field(default_factory=dict)
    counters: ForwardCounters = field(
        default_factory=ForwardCounters, kw_only=True
    )

    def log(self, event: str, **fields: object) -> None:
        """Adds a line for the decision log."""
        self.outbox.append(LogDecision(event, fields))

    def add_request(self, request: Request) -> None:
        """Adds a row for a client's request, found by its client as well."""
        self.requests[request.request_id] = request
        self.request_id_by_client[request.arrived.client_id] = (
            request.request_id
        )

    def pool(self, service: str) -> ServicePool:
        """Returns the pool of a service; creates it if there is none."""
        pool = self.pools.get(service)
        if pool is None:
            pool = self.pools[service] = ServicePool(service)
        return pool

    def endpoint_of(
        self, user: Attempt | EndpointConnection
    ) -> Endpoint | None:
        """Returns the endpoint of an attempt or a connection.

        None if it was removed, also if a new instance has its id.
        """
        endpoint = self.endpoints.get(user.endpoint_id)
        if endpoint is None or endpoint.row_id != user.endpoint_row_id:
            return None
        return endpoint

    def latency(self, route_name: str) -> RouteLatency:
        """Returns the latency estimates of a route."""
        latency = self.latencies.get(route_name)
        if latency is None:
            latency = self.latencies[route_name] = RouteLatency()
        return latency

    def time_limit(self, route_name: str) -> LongestTimeLimit:
        """Returns the LongestTimeLimit row of a route; creates it if absent."""
        limit = self.time_limits.get(route_name)
        if limit is None:
            limit = self.time_limits[route_name] = LongestTimeLimit()
        return limit

    def retry_budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""
        retry_budget = self.retry_budgets.get(service)
        if retry_budget is None:
            span_ns = self.settings.retries.window_s * 1_000_000_000
            retry_budget = self.retry_budgets[service] = RetryBudget(span_ns)
        return retry_budget
