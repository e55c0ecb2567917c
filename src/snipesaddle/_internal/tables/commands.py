"""Commands that systems emit and adapters carry out after the tick."""

from dataclasses import dataclass
from typing import Any

from snipesaddle._internal.tables.executions import ClaimOwner, ExecutionAnswer
from snipesaddle._internal.tables.messages import PeerMessage
from snipesaddle._internal.tables.queries import MissingReason, ShardKey


@dataclass(frozen=True, slots=True)
class SearchCall:
    """A search request to one leaf for one shard.

    Attributes:
      deadline_ms: remaining time when the call starts.
    """

    call_id: int
    shard: ShardKey
    snapshot: int
    query: Any
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class ExecuteCall:
    """An execution request to one leaf.

    Attributes:
      key: the ticket, or the service and the idempotency key.
      deadline_ms: remaining time when the call starts.
    """

    call_id: int
    key: str
    body: Any
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class StartCall:
    """Sends a request to a leaf over one link."""

    leaf_id: str
    link_id: int
    request: SearchCall | ExecuteCall
    timeout_ns: int


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Cancels a call in flight, which closes its link."""

    call_id: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Reads a leaf's health over a link; opens the link if it is new."""

    leaf_id: str
    link_id: int
    timeout_ns: int


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Closes an idle link."""

    link_id: int


@dataclass(frozen=True, slots=True)
class MissingShard:
    """One shard that an answer does not cover, and the reason."""

    shard: ShardKey
    weight: float
    reason: MissingReason


@dataclass(frozen=True, slots=True)
class SearchAnswer:
    """The answer to a search, with its coverage.

    Attributes:
      coverage: covered fraction of the pinned shard map, from 0 to 1.
      shards_total: number of shards that the query needed.
      missing: the shards that are not covered.
      meets_min_coverage: whether `coverage` reaches the required minimum.
    """

    request_id: str
    hits: list[Any]
    snapshot: int
    coverage: float
    shards_total: int
    missing: tuple[MissingShard, ...]
    meets_min_coverage: bool


@dataclass(frozen=True, slots=True)
class AnswerSearch:
    """Sends the answer to a search to its caller."""

    answer: SearchAnswer
    class_name: str
    tenant: str
    latency_ns: int


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Refuses a request before any work was started for it.

    Attributes:
      reason: a code such as "overload" or "unknown_service".
      detail: an explanation for the caller.
      retry_after_ms: delay before a retry; 0 if no retry is advised.
    """

    request_id: str
    reason: str
    detail: str
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class AnswerExecution:
    """Sends the outcome of an execution to its caller."""

    request_id: str
    answer: ExecutionAnswer


@dataclass(frozen=True, slots=True)
class DirectoryNode:
    """An entry node that callers may use."""

    node_id: str
    address: str
    zone: str


@dataclass(frozen=True, slots=True)
class AnswerDirectory:
    """Sends a caller the entry nodes to use.

    Attributes:
      keep_ms: how long the caller may use this answer.
      tickets: new tickets, if the caller requested some.
    """

    request_id: str
    nodes: tuple[DirectoryNode, ...]
    keep_ms: int
    tickets: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Sends a message to another entry node."""

    peer_address: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class DisconnectPeer:
    """Closes the connection to an entry node that no longer exists."""

    peer_address: str


@dataclass(frozen=True, slots=True)
class ReadVmList:
    """Reads the platform's VM list."""


@dataclass(frozen=True, slots=True)
class WatchHead:
    """Watches the store for a head that is newer than a generation.

    Attributes:
      wait_ms: maximum duration of the watch.
    """

    generation: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class FetchBlobs:
    """Reads the content of services from the store, by digest."""

    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Claims an idempotency key in the store for an execution of this node."""

    key: str
    service: str
    owner: ClaimOwner
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class StopFrontend:
    """Stops accepting connections from callers; open requests continue."""


@dataclass(frozen=True, slots=True)
class StopNode:
    """Ends the process."""


Command = (
    StartCall
    | CancelCall
    | Probe
    | CloseLink
    | AnswerSearch
    | RefuseRequest
    | AnswerExecution
    | AnswerDirectory
    | SendPeer
    | DisconnectPeer
    | ReadVmList
    | WatchHead
    | FetchBlobs
    | ClaimKey
    | StopFrontend
    | StopNode
)
