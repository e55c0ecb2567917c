"""The entry nodes of the fleet, this one included."""

import enum
from dataclasses import dataclass, field

import msgspec


class NodePhase(enum.Enum):
    """The life cycle of an entry node."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a node says of itself, to the store and to its peers.

    Attributes:
      incarnation: names one run of its process; later runs sort higher.
      endpoints_revision: the revision of the last change of an endpoint that
        it knows.
      sequence: grows with each record of one incarnation.
    """

    node_id: str
    incarnation: str
    front_address: str
    peer_address: str
    zone: str
    phase: NodePhase
    config_version: int = 0
    store_ok: bool = True
    endpoints_revision: int = 0
    sequence: int = 0
    attempts_per_s: int = 0


@dataclass(slots=True)
class PeerNode:
    """Another node.

    Attributes:
      registered: the store holds its record.
      last_heard_ns: when its last heartbeat came; 0 for never.
      shared_ns: when it was last sent what it lacked.
      behind_revision: the revision of endpoints that it was seen to lack; 0
        for none.
      behind_since_ns: since when it lacks that.
      active_since_ns: since when it is held to be active, and so has to send
        heartbeats to all; 0 while it is not.
      no_relays_until_ns: until when nothing is relayed to it, since it left
        a relay without an answer.
    """

    record: NodeRecord
    registered: bool = False
    added_ns: int = 0
    last_heard_ns: int = 0
    shared_ns: int = 0
    behind_revision: int = 0
    behind_since_ns: int = 0
    active_since_ns: int = 0
    no_relays_until_ns: int = 0


@dataclass(slots=True)
class ThisNode:
    """This node.

    Attributes:
      leave_ns: when it was asked to leave; 0 for never.
      exit_by_ns: when its process ends at the latest.
      stopping: it has asked for the end of its process.
    """

    node_id: str
    incarnation: str
    front_address: str
    peer_address: str
    zone: str
    phase: NodePhase = NodePhase.STARTING
    sequence: int = 0
    leave_ns: int = 0
    exit_by_ns: int = 0
    stopping: bool = False


@dataclass(slots=True)
class Presence:
    """This node's registration in the store.

    Attributes:
      lease_id: the lease that carries it; 0 for none.
      calling: a call for it is in flight.
      stale: the record in the store differs from the one of now.
    """

    lease_id: int = 0
    calling: bool = False
    stale: bool = True


@dataclass(slots=True)
class Fleet:
    """What this node knows of the fleet.

    Attributes:
      active_node_ids: the ids of the nodes that clients are sent to.
      active_is_stale: a node came, changed or was heard again.
      attempts_counted: this node's attempts at the last heartbeat.
      last_heartbeat_ns: when the last heartbeat was sent.
      recent_max_size: the most nodes known at once lately, this one included.
    """

    nodes: dict[str, PeerNode] = field(default_factory=dict)
    active_node_ids: frozenset[str] = frozenset()
    active_is_stale: bool = True
    attempts_counted: int = 0
    attempts_per_s: int = 0
    last_heartbeat_ns: int = 0
    recent_max_size: int = 1
    recent_max_seen_ns: int = 0
