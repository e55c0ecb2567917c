"""Requests in progress, their parts and the attempts on endpoints."""

import enum
from dataclasses import dataclass, field

from snipesaddle._internal.tables.forwarding.routes import Route

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class ArrivedRequest:
    """A request as the front end hands it over.

    Attributes:
      client_id: the front end's handle for the waiting client.
      client_request_id: the id that the client gave this attempt of its own.
      target: the path with its query, byte for byte.
      headers: the end-to-end headers that are passed on.
      time_limit_ms: how long the client waits; None when it did not say.
    """

    client_id: int
    client_request_id: bytes
    method: bytes
    host: bytes
    target: bytes
    headers: Headers
    body: bytes
    time_limit_ms: int | None


@dataclass(frozen=True, slots=True)
class EndpointAnswer:
    """A whole answer of an endpoint.

    Attributes:
      signature: the endpoint's proof that it gave this answer; may be empty.
      not_run: the endpoint states that it did not run the request.
    """

    status: int
    reason: bytes
    headers: Headers
    body: bytes
    signature: bytes = b""
    not_run: bool = False

    @property
    def succeeded(self) -> bool:
        """Tells whether it is a signed success."""
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
    TIMEOUT = "timeout"
    BUDGET = "budget"
    RELAY = "relay"


@dataclass(slots=True)
class Part:
    """What a request needs from one service.

    Attributes:
      tried: endpoints that were chosen for it, in order.
      runs: how many endpoints may have run it, those in flight included.
      arrivals: how often it was sent to an endpoint at all.
      failure: the last failure that an endpoint answered with.
      hedge_ns: when a second endpoint is tried; 0 for never.
      hedge_relay: the relay that asks a second endpoint; 0 for none.
      delivered: its answer went to the node that relayed it.
    """

    service: str
    state: PartState = PartState.PENDING
    attempts: list[int] = field(default_factory=list)
    tried: list[str] = field(default_factory=list)
    runs: int = 0
    arrivals: int = 0
    answer: EndpointAnswer | None = None
    failure: EndpointAnswer | None = None
    cause: MissingCause = MissingCause.NONE
    hedge_ns: int = 0
    hedge_relay: int = 0
    hedged: bool = False
    delivered: bool = False


@dataclass(frozen=True, slots=True)
class RelayOrigin:
    """The node that relayed some parts of a request to this one.

    Attributes:
      relay_id: what that node calls the relay.
    """

    peer_address: str
    relay_id: int


@dataclass(slots=True)
class Relay:
    """Some parts of a request that another node gathers for this one.

    Attributes:
      is_hedge: an endpoint of each part was asked before, and may still
        answer.
    """

    relay_id: int
    request_id: int
    node_id: str
    peer_address: str
    part_indexes: tuple[int, ...]
    is_hedge: bool = False


@dataclass(slots=True)
class Request:
    """A request in progress.

    Attributes:
      wakeup_ns: when it is looked at if nothing happens before.
      earliest_partial_ns: when the parts that are in make an answer; 0 until
        known.
      total_parts: the parts of the whole request, those included that another
        node asks for.
      origin: the node that asks for it; None when a client does.
      relays: the relays that are not answered yet.
      soft_deadline_ns: when an incomplete answer is worth more than a later
        whole one.
      deadline_ns: when the final answer is due.
      replied_early: the node that relayed it was sent the parts in so far.
      encoded_request: the encoded request, kept by the adapter between
        attempts.
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


@dataclass(slots=True)
class Attempt:
    """One part of a request at one endpoint.

    Attributes:
      sent_ns: when it was written to a connection; 0 while that opens.
      extra: it is not the first arrival of its part.
      abandoned: nobody waits for it any more.
    """

    attempt_id: int
    request_id: int
    part_index: int
    endpoint_id: str
    connection_id: int
    route_name: str
    chosen_ns: int
    sent_ns: int = 0
    extra: bool = False
    abandoned: bool = False
