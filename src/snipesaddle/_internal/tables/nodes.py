"""Entry nodes: this node, and the peers listed by the platform or live."""

import enum
from dataclasses import dataclass


class NodeState(enum.Enum):
    """The life cycle of an entry node."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    STOPPED = "stopped"


@dataclass(slots=True)
class Peer:
    """Another entry node.

    Attributes:
      incarnation: identifies one run of the process; empty until the first
        message about the peer.
      generation: the highest generation that it reported.
      store_ok: whether it reaches the store, as last reported.
      listed: whether the VM list contains it.
      live: whether it is considered live, from heartbeats and gossip.
      last_heard_ns: time of its last record, or when this node began to
        monitor it.
      sequence: sequence of its last record.
      view_mismatches: number of consecutive heartbeats whose view differed from
        this node's.
    """

    node_id: str
    incarnation: str
    http_address: str
    peer_address: str
    zone: str
    state: NodeState = NodeState.STARTING
    generation: int = 0
    store_ok: bool = True
    listed: bool = False
    live: bool = False
    last_heard_ns: int = 0
    sequence: int = 0
    view_mismatches: int = 0


class DrainPhase(enum.Enum):
    """The phase of a drain.

    SERVING_OUT: keeps serving while callers may use an old directory answer.
    FINISHING: accepts no connections and finishes open requests.
    HANDING_OVER: transfers its execution keys to an heir.
    """

    NONE = "none"
    SERVING_OUT = "serving_out"
    FINISHING = "finishing"
    HANDING_OVER = "handing_over"
    DONE = "done"


@dataclass(slots=True)
class ThisNode:
    """This entry node.

    Attributes:
      sequence: sequence of its last record.
      open_requests: number of requests that the front end holds.
      phase_due_ns: end of the drain phase.
      heir: the incarnation to which a handover was offered; empty if none.
    """

    node_id: str
    incarnation: str
    http_address: str
    peer_address: str
    zone: str
    state: NodeState = NodeState.STARTING
    store_ok: bool = True
    started_ns: int = 0
    sequence: int = 0
    open_requests: int = 0
    phase: DrainPhase = DrainPhase.NONE
    phase_due_ns: int = 0
    heir: str = ""
