"""Entry nodes: this one, the candidates of the VM list, and live peers."""

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
      incarnation: names one run of the process; empty until first heard.
      listed: the VM list names it.
      view_mismatches: how many of its heartbeats in a row told another view.
      store_ok: its last word on whether it reaches the store.
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
    """How far a leaving node has come."""

    NONE = "none"
    SERVING_OUT = "serving_out"
    FINISHING = "finishing"
    HANDING_OVER = "handing_over"
    DONE = "done"


@dataclass(slots=True)
class ThisNode:
    """This entry node."""

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
