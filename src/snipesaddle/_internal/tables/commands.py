"""Commands: what systems ask adapters to carry out after a tick."""

from dataclasses import dataclass
from typing import Any

from snipesaddle._internal.tables.executions import ClaimOwner, ExecutionAnswer
from snipesaddle._internal.tables.messages import PeerMessage
from snipesaddle._internal.tables.queries import MissingReason, ShardKey


@dataclass(frozen=True, slots=True)
class SearchCall:
    """A search of one shard, for one leaf."""

    call_id: int
    shard: ShardKey
    snapshot: int
    query: Any
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class ExecuteCall:
    """An execution, for one leaf."""

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
    """Cancels a call in flight; its link is closed by that."""

    call_id: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Reads a leaf's health over a link, opening the link if it is new."""

    leaf_id: str
    link_id: int
    timeout_ns: int


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Closes an idle link."""

    link_id: int


@dataclass(frozen=True, slots=True)
class MissingShard:
    """One shard that an answer does not cover, and why."""

    shard: ShardKey
    weight: float
    reason: MissingReason


@dataclass(frozen=True, slots=True)
class SearchAnswer:
    """An answer with its account of coverage.

    Attributes:
      coverage: the covered share of the pinned shard map, from 0 to 1.
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
    """Gives a caller its answer."""

    answer: SearchAnswer
    class_name: str
    tenant: str
    latency_ns: int


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Refuses a request before any work; it was not run.

    Attributes:
      retry_after_ms: when to try again; 0 for never.
    """

    request_id: str
    reason: str
    detail: str
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class AnswerExecution:
    """Gives a caller the outcome of its execution."""

    request_id: str
    answer: ExecutionAnswer


@dataclass(frozen=True, slots=True)
class DirectoryNode:
    """One entry node that callers may use."""

    node_id: str
    address: str
    zone: str


@dataclass(frozen=True, slots=True)
class AnswerDirectory:
    """Tells a caller which entry nodes to use."""

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
    """Closes the connection to an entry node that is gone."""

    peer_address: str


@dataclass(frozen=True, slots=True)
class ReadVmList:
    """Reads the platform's VM list."""


@dataclass(frozen=True, slots=True)
class WatchHead:
    """Waits in the store for a head newer than a generation."""

    generation: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class FetchBlobs:
    """Reads service content from the store."""

    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Claims an idempotency key in the store for a row of this node."""

    key: str
    service: str
    owner: ClaimOwner
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class StopFrontend:
    """Stops listening for callers; open requests go on."""


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
