"""Messages between entry nodes, apart from their encoding."""

from dataclasses import dataclass

from snipesaddle._internal.tables.config import Head, ServiceSpec
from snipesaddle._internal.tables.executions import (
    ExecuteRequest,
    ExecutionAnswer,
)
from snipesaddle._internal.tables.leaves import Holding, LeafState
from snipesaddle._internal.tables.nodes import NodeState


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """What one node says of itself.

    Attributes:
      sequence: grows with each record of one incarnation.
    """

    node_id: str
    incarnation: str
    http_address: str
    peer_address: str
    zone: str
    state: NodeState
    generation: int
    store_ok: bool
    sequence: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Tells a neighbour that the sender is alive.

    Attributes:
      view: a digest of the nodes that the sender holds live.
    """

    node: NodeRecord
    view: int = 0


@dataclass(frozen=True, slots=True)
class NodeRumour:
    """Passes on a change of another node's state."""

    node: NodeRecord
    live: bool


@dataclass(frozen=True, slots=True)
class ViewSync:
    """Gives a neighbour all nodes that the sender holds live."""

    nodes: tuple[NodeRecord, ...]


@dataclass(frozen=True, slots=True)
class LeafRumour:
    """Passes on a change of a leaf that the sender observed.

    Attributes:
      origin: the incarnation that observed it.
      version: grows with each observation of that leaf by that incarnation.
    """

    origin: str
    version: int
    leaf_id: str
    state: LeafState
    holdings: dict[int, Holding]


@dataclass(frozen=True, slots=True)
class HeadRequest:
    """Asks a peer for its generation and the content that is lacking."""

    reply_address: str
    have: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HeadReply:
    """Gives a generation with the content that the asker lacked."""

    head: Head
    blobs: dict[str, ServiceSpec]


@dataclass(frozen=True, slots=True)
class RelayedExecution:
    """Passes an execution to the incarnation that owns its key."""

    request: ExecuteRequest


@dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """Answers a relayed execution."""

    request_id: str
    answer: ExecutionAnswer


@dataclass(frozen=True, slots=True)
class NotOwner:
    """Refuses a relayed execution that the receiver does not own.

    Attributes:
      heir: the incarnation that the key space went to, or empty.
    """

    request_id: str
    heir: str


@dataclass(frozen=True, slots=True)
class HandedExecution:
    """An ended execution, handed over by a node that leaves."""

    key: str
    service: str
    fingerprint: str
    incarnation: str
    is_ticket: bool
    answer: ExecutionAnswer


@dataclass(frozen=True, slots=True)
class Handover:
    """Gives key spaces of a leaving node to one heir, for ever.

    Attributes:
      spaces_ms: by incarnation whose key space is handed over, how long its
        unused tickets may still be run.
    """

    sender: str
    reply_address: str
    spaces_ms: dict[str, int]
    executions: tuple[HandedExecution, ...]


@dataclass(frozen=True, slots=True)
class HandoverReply:
    """Accepts or refuses a handover."""

    heir: str
    accepted: bool


@dataclass(frozen=True, slots=True)
class HeirRequest:
    """Asks who took over the key space of an incarnation."""

    space: str
    reply_address: str


@dataclass(frozen=True, slots=True)
class HeirRumour:
    """Tells who took over the key spaces of an incarnation that left."""

    spaces: tuple[str, ...]
    heir: str


PeerMessage = (
    Heartbeat
    | NodeRumour
    | ViewSync
    | LeafRumour
    | HeadRequest
    | HeadReply
    | RelayedExecution
    | RelayedAnswer
    | NotOwner
    | Handover
    | HandoverReply
    | HeirRequest
    | HeirRumour
)
