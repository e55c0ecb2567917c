"""Commands: what systems ask adapters to carry out after a tick."""

import enum
from dataclasses import dataclass, field

from snipesaddle._internal.tables.forwarding.fleet import NodeRecord
from snipesaddle._internal.tables.forwarding.messages import FleetMessage
from snipesaddle._internal.tables.forwarding.requests import (
    EndpointAnswer,
    Request,
)
from snipesaddle._internal.tables.forwarding.routes import ClientLimits
from snipesaddle._internal.tables.forwarding.store_ranges import Range


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Opens a connection to an endpoint."""

    connection_id: int
    address: str


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Closes a connection; an attempt on it is given up with it."""

    connection_id: int


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Writes a request to a connection that is up.

    Attributes:
      time_left_ms: what is left of the time limit.
    """

    connection_id: int
    attempt_id: int
    endpoint_id: str
    request: Request
    time_left_ms: int


class ErrorKind(enum.Enum):
    """Kinds of final answers of this node's own."""

    NO_ROUTE = "no_route"
    BAD_REQUEST = "bad_request"
    NOT_RUN = "not_run"
    FAILED = "failed"
    TIMEOUT = "timeout"


@dataclass(frozen=True, slots=True)
class SendEndpointAnswer:
    """Gives a client an endpoint's answer as it came."""

    client_id: int
    answer: EndpointAnswer
    close_connection: bool


@dataclass(frozen=True, slots=True)
class SendMergedAnswer:
    """Gives a client the merged answer of several shards."""

    client_id: int
    body: bytes
    signatures: tuple[bytes, ...]
    missing: int
    close_connection: bool


@dataclass(frozen=True, slots=True)
class SendError:
    """Gives a client a final answer of this node's own.

    Attributes:
      retry_after_ms: when it may come back; 0: not said.
    """

    client_id: int
    error_kind: ErrorKind
    detail: str
    retry_after_ms: int
    close_connection: bool


@dataclass(frozen=True, slots=True)
class AnswerDirectory:
    """Tells a client where to connect."""

    client_id: int
    addresses: tuple[str, ...]
    keep_ms: int


@dataclass(frozen=True, slots=True)
class SetReadiness:
    """Tells the front end whether this node is ready."""

    ready: bool


@dataclass(frozen=True, slots=True)
class SetClientLimits:
    """Gives the front end the bounds on what clients may send."""

    limits: ClientLimits


@dataclass(frozen=True, slots=True)
class CloseIdleClients:
    """Lets the front end close the client connections without a request."""


@dataclass(frozen=True, slots=True)
class ListRange:
    """Reads a page of a range of the store."""

    range: Range
    after_key: str
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class WatchRange:
    """Waits for changes of a range after a revision."""

    range: Range
    revision: int
    wait_ms: int
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class WritePresence:
    """Writes this node's record, with a new lease when it has none."""

    record: NodeRecord
    lease_id: int
    ttl_ms: int
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class RenewPresence:
    """Renews the lease of this node's record."""

    lease_id: int
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class RemovePresence:
    """Ends the lease of this node's record, and the record with it."""

    lease_id: int
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class SendToNode:
    """Sends a message to another entry node."""

    peer_address: str
    message: FleetMessage


@dataclass(frozen=True, slots=True)
class DisconnectPeer:
    """Closes the connection to an entry node that is gone."""

    peer_address: str


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Ends this process."""


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Adds one answered request to the histograms."""

    route_name: str
    outcome: str
    latency_ns: int


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Writes one line to the log.

    Attributes:
      event: the kind of line.
      fields: what decided it, with its age or version, and the outcome.
    """

    event: str
    fields: dict[str, object] = field(default_factory=dict)


Command = (
    OpenConnection
    | CloseConnection
    | SendAttempt
    | SendEndpointAnswer
    | SendMergedAnswer
    | SendError
    | AnswerDirectory
    | SetReadiness
    | SetClientLimits
    | CloseIdleClients
    | ListRange
    | WatchRange
    | WritePresence
    | RenewPresence
    | RemovePresence
    | SendToNode
    | DisconnectPeer
    | StopProcess
    | RecordOutcome
    | LogDecision
)
