"""Commands that the adapters carry out after a tick."""

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

_NS_PER_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Opens a connection to an endpoint."""

    connection_id: int
    address: str


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Closes a connection, which cancels the attempt on it, if any."""

    connection_id: int


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Writes a request to an open connection.

    Attributes:
      time_left_ms: the remaining time limit at the decision.
      deadline_ns: when the time limit ends; 0 if not given.
    """

    connection_id: int
    attempt_id: int
    endpoint_id: str
    request: Request
    time_left_ms: int
    deadline_ns: int = 0

    def time_left_at_ms(self, now_ns: int) -> int:
        """Returns the remaining time limit when the request is written."""
        if not self.deadline_ns:
            return self.time_left_ms
        left_ms = (self.deadline_ns - now_ns) // _NS_PER_MS
        return max(1, min(self.time_left_ms, left_ms))


class ErrorKind(enum.Enum):
    """Kinds of errors with which this node itself answers a request."""

    NO_ROUTE = "no_route"
    UNAUTHORIZED = "unauthorized"
    OVER_QUOTA = "over_quota"
    BAD_REQUEST = "bad_request"
    NOT_RUN = "not_run"
    FAILED = "failed"
    TIMEOUT = "timeout"


@dataclass(frozen=True, slots=True)
class SendEndpointAnswer:
    """Sends a client an endpoint's answer unchanged."""

    client_id: int
    answer: EndpointAnswer
    close_connection: bool


@dataclass(frozen=True, slots=True)
class SendMergedAnswer:
    """Sends a client the merged answer of several shards.

    Attributes:
      missing: the number of parts that the answer does not cover.
      close_connection: the client connection closes after the answer.
    """

    client_id: int
    body: bytes
    signatures: tuple[bytes, ...]
    missing: int
    close_connection: bool


@dataclass(frozen=True, slots=True)
class SendError:
    """Sends a client an error of this node.

    Attributes:
      retry_after_ms: the shortest wait before a retry; 0 if not given.
      close_connection: the client connection closes after the answer.
    """

    client_id: int
    error_kind: ErrorKind
    detail: str
    retry_after_ms: int
    close_connection: bool


@dataclass(frozen=True, slots=True)
class AnswerDirectory:
    """Answers a directory request.

    Attributes:
      addresses: the nodes to use, as IP:PORT.
      keep_ms: how long the client may use the answer.
    """

    client_id: int
    addresses: tuple[str, ...]
    keep_ms: int


@dataclass(frozen=True, slots=True)
class SetReadiness:
    """Sets whether the front end reports this node as ready."""

    ready: bool


@dataclass(frozen=True, slots=True)
class SetClientLimits:
    """Sets the front end's limits on client requests."""

    limits: ClientLimits


@dataclass(frozen=True, slots=True)
class CloseIdleClients:
    """Closes idle client connections, and later each one after its response."""


@dataclass(frozen=True, slots=True)
class ListRange:
    """Reads a page of a range of the store.

    Attributes:
      after_key: the last key of the previous page; empty for the first page.
    """

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
class ReadConfig:
    """Reads the configuration's key of the store."""

    read_id: int
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class WritePresence:
    """Writes this node's record.

    Attributes:
      lease_id: the lease of the record; 0 to create a new one.
    """

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
    """Revokes the lease of this node's record, which removes the record."""

    lease_id: int
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class SendToNode:
    """Sends a message to another entry node.

    Attributes:
      decided_ns: when the message was made, if it says how much time is left;
        else 0.
      resend: it is sent again if the node was not connected.
    """

    peer_address: str
    message: FleetMessage
    decided_ns: int = 0
    resend: bool = False


@dataclass(frozen=True, slots=True)
class DisconnectPeer:
    """Closes the connection to a peer address that is no longer used."""

    peer_address: str


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Ends this process."""


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Records an answered request in the latency histograms.

    Attributes:
      outcome: "whole", "partial" or the value of an error kind.
    """

    route_name: str
    outcome: str
    latency_ns: int


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Writes one line to the decision log.

    Attributes:
      event: the kind of line.
      fields: the inputs of the decision, with their age or version, and its
        outcome.
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
    | ReadConfig
    | WritePresence
    | RenewPresence
    | RemovePresence
    | SendToNode
    | DisconnectPeer
    | StopProcess
    | RecordOutcome
    | LogDecision
)
