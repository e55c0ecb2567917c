"""Requests in progress, their parts, and attempts at endpoints."""

import enum
from dataclasses import dataclass, field

from snipesaddle._internal.tables.forwarding.budgets import ExtraCharge
from snipesaddle._internal.tables.forwarding.endpoints import (
    EndpointEntry,
    ReportedLoad,
)
from snipesaddle._internal.tables.forwarding.quotas import QuotaCharge
from snipesaddle._internal.tables.forwarding.routes import Route
from snipesaddle._internal.tables.forwarding.tenants import Tenant
from snipesaddle._internal.tables.forwarding.work import RequestWork

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class ArrivedRequest:
    """A client's request as received by the front end.

    Attributes:
      client_id: the front end's handle for the waiting client.
      client_request_id: the id that the client sent with this request; each
        of its retries has its own.
      target: the path with its query, unchanged.
      headers: the received headers, without `identity_headers`.
      time_limit_ms: how long the client waits; None if it sent no limit.
      api_keys: the API keys that came with it.
      identity_headers: the headers by which a client could name its API key or
        tenant; forwarded only if the configuration has no tenants.
    """

    client_id: int
    client_request_id: bytes
    method: bytes
    host: bytes
    target: bytes
    headers: Headers
    body: bytes
    time_limit_ms: int | None
    api_keys: tuple[bytes, ...] = field(default=(), repr=False)
    identity_headers: Headers = field(default=(), repr=False)


@dataclass(frozen=True, slots=True)
class EndpointAnswer:
    """A complete answer of an endpoint.

    Attributes:
      signature: the endpoint's proof that this answer is its own; may be
        empty.
      not_run: whether the endpoint states that it did not run the request.
      leaving: whether the endpoint states that it shuts down.
      max_requests_per_s: how many requests the endpoint takes at present from
        all nodes together; None if it names no limit.
      retry_after_ms: for how long the endpoint wants no requests from this
        node; 0 if not given.
      load: the load that the endpoint states; None if it states none.
    """

    status: int
    reason: bytes
    headers: Headers
    body: bytes
    signature: bytes = b""
    not_run: bool = False
    leaving: bool = False
    max_requests_per_s: float | None = None
    retry_after_ms: int = 0
    load: ReportedLoad | None = None

    @property
    def succeeded(self) -> bool:
        """Returns whether it is a signed answer with a 2xx status."""
        return 200 <= self.status < 300 and bool(self.signature)


class PartState(enum.Enum):
    """The state of one part of a request."""

    PENDING = "pending"
    WAITING = "waiting"
    RUNNING = "running"
    RELAYED = "relayed"
    ANSWERED = "answered"
    MISSING = "missing"


class MissingCause(enum.Enum):
    """Why a part has no answer."""

    NONE = "none"
    NO_ENDPOINT = "no_endpoint"
    NO_CONNECTION = "no_connection"
    REFUSED = "refused"
    FAILED = "failed"
    BUDGET = "budget"
    RATE_LIMIT = "rate_limit"
    RELAY = "relay"


@dataclass(slots=True)
class Part:
    """The part of a request that one service answers.

    Attributes:
      attempts: ids of its attempts that have not ended.
      tried: ids of the endpoints that were chosen for it, in order.
      possible_runs: how many endpoints may have run it, including those in
        flight.
      run_endpoint_ids: the endpoints of this node that may have run it; an
        endpoint occurs once for each send.
      relayed_runs: how many endpoints may have run it for another node.
      send_count: how often it was sent to an endpoint, or may have been sent
        to one by a relay.
      last_failure: the last signed failure that an endpoint answered with.
      cause: why it has no answer yet, or is missing.
      hedge_at_ns: when a second endpoint is called; 0 for never.
      hedge_relay_id: the relay that calls a second endpoint; 0 for none.
      hedged: whether a second endpoint was called.
      sent_to_origin: whether its answer was sent to the node that relayed it.
    """

    service: str
    state: PartState = PartState.PENDING
    attempts: list[int] = field(default_factory=list)
    tried: list[str] = field(default_factory=list)
    possible_runs: int = 0
    run_endpoint_ids: list[str] = field(default_factory=list)
    relayed_runs: int = 0
    send_count: int = 0
    answer: EndpointAnswer | None = None
    last_failure: EndpointAnswer | None = None
    cause: MissingCause = MissingCause.NONE
    hedge_at_ns: int = 0
    hedge_relay_id: int = 0
    hedged: bool = False
    sent_to_origin: bool = False


@dataclass(frozen=True, slots=True)
class RelayOrigin:
    """The node that relayed some parts of a request to this one.

    Attributes:
      relay_id: the id of the relay at that node.
    """

    peer_address: str
    relay_id: int


@dataclass(slots=True)
class Relay:
    """Some parts of a request that another node gathers for this one.

    Attributes:
      part_indexes: the indexes of these parts in the request.
      is_hedge: whether an endpoint of each part was called before, and may
        still answer.
    """

    relay_id: int
    request_id: int
    node_id: str
    peer_address: str
    part_indexes: tuple[int, ...]
    is_hedge: bool = False

    def max_endpoints(self, route: Route) -> int:
        """Returns to how many endpoints the other node may send each part."""
        return 1 if self.is_hedge else route.max_attempts


@dataclass(slots=True)
class Request:
    """A request in progress.

    Attributes:
      soft_deadline_ns: the latest time to send an answer within the target
        latency; from then on a partial answer is worth more than a later
        complete one.
      deadline_ns: when the final answer is due.
      open_parts: the number of parts neither answered nor missing.
      answered_parts: the number of parts answered.
      wakeup_ns: the next wakeup if no event comes earlier.
      earliest_partial_ns: from when an answer without the missing parts is
        sent; 0 until known.
      total_parts: the number of parts of the whole request, including those
        that another node calls.
      origin: the node that relayed it here; None for a client's request.
      relays: ids of the relays that are not answered yet.
      replied_early: whether the early reply to the node that relayed it was
        due already; it is only sent if a part was answered by then.
      encoded_request: the request as encoded by the adapter, cached between
        attempts.
      tenant: the tenant whose API key came with it; None if it needs none.
      work: its expected work; None until looked up.
      forwards_identity: the headers that name an API key or a tenant have no
        meaning to this node, and are forwarded like all others.
      quota_charge: what it has taken of its tenant's quota; None for nothing.
    """

    request_id: int
    arrived: ArrivedRequest
    route: Route
    config_version: int
    arrived_ns: int
    soft_deadline_ns: int
    deadline_ns: int
    parts: list[Part]
    open_parts: int
    answered_parts: int = 0
    wakeup_ns: int = 0
    earliest_partial_ns: int = 0
    total_parts: int = 0
    origin: RelayOrigin | None = None
    relays: list[int] = field(default_factory=list)
    replied_early: bool = False
    encoded_request: object = None
    tenant: Tenant | None = None
    work: RequestWork | None = None
    forwards_identity: bool = False
    quota_charge: QuotaCharge | None = None

    @property
    def headers(self) -> Headers:
        """Returns the received headers that may be forwarded."""
        if self.forwards_identity:
            return self.arrived.headers + self.arrived.identity_headers
        return self.arrived.headers

    @property
    def priority(self) -> int:
        """Returns how urgent it is; 0 is the most urgent."""
        if self.tenant is not None and self.tenant.priority is not None:
            return self.tenant.priority
        return self.route.priority


@dataclass(slots=True)
class Attempt:
    """One part of a request at one endpoint.

    Attributes:
      entry: the registration of its endpoint when it was placed.
      endpoint_row_id: the row of that endpoint.
      chosen_ns: when its endpoint was chosen.
      sent_ns: when it was sent on its connection; 0 while that opens.
      work: what is expected of it.
      charge: what pays for it in the retry budget, if it is a retry or a hedge.
      abandoned: whether its answer is no longer needed.
    """

    attempt_id: int
    request_id: int
    part_index: int
    service: str
    entry: EndpointEntry
    endpoint_row_id: int
    connection_id: int
    route_name: str
    work: RequestWork
    chosen_ns: int
    sent_ns: int = 0
    charge: ExtraCharge | None = None
    abandoned: bool = False

    @property
    def endpoint_id(self) -> str:
        """The id of its endpoint."""
        return self.entry.endpoint_id
