"""Events that adapters put into the inbox between ticks."""

from dataclasses import dataclass, field
from typing import Any

from snipesaddle._internal.tables.config import Head, ServiceSpec
from snipesaddle._internal.tables.executions import ClaimOwner, ExecuteRequest
from snipesaddle._internal.tables.leaves import Holding, LeafState
from snipesaddle._internal.tables.nodes import NodeState
from snipesaddle._internal.tables.queries import CallResult, SearchRequest


@dataclass(frozen=True, slots=True)
class SearchArrived:
    """A caller requested a search."""

    request: SearchRequest


@dataclass(frozen=True, slots=True)
class ExecutionArrived:
    """A caller requested an execution."""

    request: ExecuteRequest


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """A caller closed its connection before it was answered."""

    request_id: str


@dataclass(frozen=True, slots=True)
class DirectoryRequested:
    """A caller requested the entry nodes to use.

    Attributes:
      zone: the caller's availability zone.
      tickets: number of tickets requested.
    """

    request_id: str
    zone: str
    tickets: int


@dataclass(frozen=True, slots=True)
class LeafStatus:
    """Status that a leaf reports in a reply to a call.

    Attributes:
      snapshots: the snapshots that the leaf serves now.
    """

    state: LeafState
    queue_length: int
    snapshots: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class CallFinished:
    """A call to a leaf ended; emitted once per call, also if cancelled.

    Attributes:
      result: how the call ended.
      reply_id: call id echoed by the leaf; 0 if there was no reply, or if it
        belongs to a call of another node.
      reply_shard: shard named in the reply.
      reply_snapshot: snapshot named in the reply.
      hits: the hits of a search.
      execution_result: the result of an execution.
      link_usable: whether the connection can carry another call.
      detail: the error, if any.
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
    """A health report of a leaf, which may be out of date."""

    state: LeafState
    queue_length: int
    holdings: dict[int, Holding]


@dataclass(frozen=True, slots=True)
class ProbeFinished:
    """A health probe ended; a probe may have opened its link.

    Attributes:
      health: the report; None if the probe failed.
      link_usable: whether the connection can carry another call.
    """

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
    """A read of the VM list ended.

    Attributes:
      nodes: the entry VMs; None if the list could not be read.
      leaving_leaves: addresses of endpoint VMs that are leaving.
    """

    nodes: tuple[VmEntry, ...] | None
    leaving_leaves: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class HeadRead:
    """A read of the configuration head from the store ended.

    Attributes:
      head: the head; None if the store could not be reached.
    """

    head: Head | None


@dataclass(frozen=True, slots=True)
class BlobsRead:
    """A read of service content from the store ended; empty if it failed."""

    blobs: dict[str, ServiceSpec]


@dataclass(frozen=True, slots=True)
class ClaimFinished:
    """A claim of an idempotency key in the store ended.

    Attributes:
      owner: the holder of the claim; None if it is not known.
    """

    key: str
    service: str
    owner: ClaimOwner | None


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The operator or the platform requested that this node drain."""


@dataclass(frozen=True, slots=True)
class LinkClosed:
    """A connection to a leaf was closed on request."""

    link_id: int


@dataclass(frozen=True, slots=True)
class OpenRequestsReported:
    """The front end reported its number of open requests."""

    count: int
