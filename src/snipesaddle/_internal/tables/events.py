"""Events: what adapters put into the inbox between ticks."""

from dataclasses import dataclass, field
from typing import Any

from snipesaddle._internal.tables.config import Head, ServiceSpec
from snipesaddle._internal.tables.executions import ClaimOwner, ExecuteRequest
from snipesaddle._internal.tables.leaves import Holding, LeafState
from snipesaddle._internal.tables.nodes import NodeState
from snipesaddle._internal.tables.queries import CallResult, SearchRequest


@dataclass(frozen=True, slots=True)
class SearchArrived:
    """A caller asks a search."""

    request: SearchRequest


@dataclass(frozen=True, slots=True)
class ExecutionArrived:
    """A caller asks an execution."""

    request: ExecuteRequest


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """A caller closed its connection before the answer."""

    request_id: str


@dataclass(frozen=True, slots=True)
class DirectoryRequested:
    """A caller asks which entry nodes to use."""

    request_id: str
    zone: str
    tickets: int


@dataclass(frozen=True, slots=True)
class LeafStatus:
    """What a leaf says of itself in a reply.

    Attributes:
      snapshots: the snapshots that it serves now.
    """

    state: LeafState
    queue_length: int
    snapshots: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class CallFinished:
    """A call to a leaf ended, cancelled or not; one event for each call.

    Attributes:
      reply_id: the call id that the leaf echoed; 0 when there was no reply.
      hits: the hits of a search.
      execution_result: the result of an execution.
      link_usable: the connection can carry another call.
    """

    call_id: int
    leaf_id: str
    link_id: int
    result: CallResult
    reply_id: int = 0
    reply_shard: str = ""
    reply_snapshot: int = 0
    hits: list[Any] = field(default_factory=list)
    execution_result: Any = None
    status: LeafStatus | None = None
    link_usable: bool = True
    detail: str = ""


@dataclass(frozen=True, slots=True)
class LeafHealth:
    """A leaf's health report, which may lag."""

    state: LeafState
    queue_length: int
    holdings: dict[int, Holding]


@dataclass(frozen=True, slots=True)
class ProbeFinished:
    """A health probe, or the opening of a link by one, ended."""

    leaf_id: str
    link_id: int
    health: LeafHealth | None
    link_usable: bool


@dataclass(frozen=True, slots=True)
class VmEntry:
    """One entry of the platform's VM list."""

    node_id: str
    http_address: str
    peer_address: str
    zone: str
    state: NodeState


@dataclass(frozen=True, slots=True)
class VmListRead:
    """The VM list was read, or could not be.

    Attributes:
      nodes: the entry VMs; None when the list could not be read.
      leaving_leaves: addresses of endpoint VMs that leave.
    """

    nodes: tuple[VmEntry, ...] | None
    leaving_leaves: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The configuration head was read from the store, or could not be.

    Attributes:
      head: the head; None when the store could not be reached.
    """

    head: Head | None


@dataclass(frozen=True, slots=True)
class BlobsRead:
    """Service content came from the store; empty when it could not be."""

    blobs: dict[str, ServiceSpec]


@dataclass(frozen=True, slots=True)
class ClaimFinished:
    """A claim of an idempotency key was settled, or could not be.

    Attributes:
      owner: who holds the claim; None when not known.
    """

    key: str
    service: str
    owner: ClaimOwner | None


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The operator or the platform asks this node to leave."""


@dataclass(frozen=True, slots=True)
class LinkClosed:
    """A connection to a leaf was closed on request."""

    link_id: int


@dataclass(frozen=True, slots=True)
class OpenRequestsReported:
    """The front end reports how many requests it holds."""

    count: int
