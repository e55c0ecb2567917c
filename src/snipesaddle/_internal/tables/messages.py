"""Messages between entry nodes, independent of their encoding."""

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
    """The state of a node, as reported by itself.

    Attributes:
      generation: the configuration generation in force on the node.
      store_ok: whether the node reaches the store.
      sequence: increases with each record of one incarnation.
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
    """A heartbeat, sent to each neighbour.

    Attributes:
      node: the sender.
      view: digest of the nodes that the sender considers live.
    """

    node: NodeRecord
    view: int = 0


@dataclass(frozen=True, slots=True)
class NodeRumour:
    """Spreads a change of another node's state by gossip."""

    node: NodeRecord
    live: bool


@dataclass(frozen=True, slots=True)
class ViewSync:
    """All nodes that the sender considers live (anti-entropy)."""

    nodes: tuple[NodeRecord, ...]


@dataclass(frozen=True, slots=True)
class LeafRumour:
    """Spreads a change of a leaf's state by gossip.

    Attributes:
      origin: the incarnation that observed the change.
      version: increases with each change of that leaf that `origin` observes.
    """

    origin: str
    version: int
    leaf_id: str
    state: LeafState
    holdings: dict[int, Holding]


@dataclass(frozen=True, slots=True)
class HeadRequest:
    """Requests a peer's generation and the content that the sender lacks.

    Attributes:
      have: digests of the content that the sender has.
    """

    reply_address: str
    have: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HeadReply:
    """A generation, with the content that the requester lacks."""

    head: Head
    blobs: dict[str, ServiceSpec]


@dataclass(frozen=True, slots=True)
class RelayedExecution:
    """Relays an execution to the incarnation that owns its key."""

    request: ExecuteRequest


@dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """The answer to a relayed execution."""

    request_id: str
    answer: ExecutionAnswer


@dataclass(frozen=True, slots=True)
class NotOwner:
    """Refuses a relayed execution whose key the receiver does not own.

    Attributes:
      heir: the incarnation that took over the key space; empty if not known.
    """

    request_id: str
    heir: str


@dataclass(frozen=True, slots=True)
class HandedExecution:
    """An ended execution, handed over by a leaving node."""

    key: str
    service: str
    fingerprint: str
    incarnation: str
    is_ticket: bool
    answer: ExecutionAnswer


@dataclass(frozen=True, slots=True)
class Handover:
    """Transfers the key spaces of a leaving node to one heir, permanently.

    A key space is the set of execution keys that one incarnation owns.

    Attributes:
      sender: the incarnation of the leaving node.
      spaces_ms: how long unused tickets of each key space may still be run,
        by the incarnation that names the key space.
    """

    sender: str
    reply_address: str
    spaces_ms: dict[str, int]
    executions: tuple[HandedExecution, ...]


@dataclass(frozen=True, slots=True)
class HandoverReply:
    """Accepts or refuses a handover.

    Attributes:
      heir: the incarnation that replies.
    """

    heir: str
    accepted: bool


@dataclass(frozen=True, slots=True)
class HeirRequest:
    """Requests the incarnation that took over a key space.

    Attributes:
      space: the incarnation that names the key space.
    """

    space: str
    reply_address: str


@dataclass(frozen=True, slots=True)
class HeirRumour:
    """Reports which incarnation took over the key spaces of a node that left.

    Attributes:
      spaces: the incarnations that name the key spaces.
      heir: the incarnation that owns them now.
    """

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
