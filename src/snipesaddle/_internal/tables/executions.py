"""Executions: work that runs at most once."""

import enum
from dataclasses import dataclass, field
from typing import Any


class Outcome(enum.Enum):
    """What a caller is told of an execution."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ExecutionState(enum.Enum):
    """The state of an execution on the node that owns its key."""

    CLAIMING = "claiming"
    READY = "ready"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class ExecuteRequest:
    """An execution as the front end, or a peer, hands it over.

    Attributes:
      key: the ticket or the caller's idempotency key.
      reply_to: the peer that relayed it, or empty for a local caller.
      owner: the incarnation that the relaying peer believes owns the key.
    """

    request_id: str
    service: str
    key: str
    is_ticket: bool
    body: Any
    fingerprint: str
    tenant: str
    deadline_ms: int
    reply_to: str = ""
    owner: str = ""
    hops: int = 0


@dataclass(frozen=True, slots=True)
class ExecutionAnswer:
    """The outcome of an execution, with the leaf's result when done."""

    outcome: Outcome
    result: Any = None
    detail: str = ""
    conflict: bool = False


@dataclass(slots=True)
class Execution:
    """An execution whose key belongs to this incarnation, or may.

    Attributes:
      incarnation: the incarnation under which the key was accepted.
    """

    key: str
    service: str
    fingerprint: str
    body: Any
    tenant: str
    state: ExecutionState
    deadline_ns: int
    incarnation: str
    answer: ExecutionAnswer | None = None
    waiters: list[ExecuteRequest] = field(default_factory=list)
    call_id: int = 0
    tried: list[str] = field(default_factory=list)
    is_ticket: bool = True
    claim_in_flight: bool = False


@dataclass(slots=True)
class Relay:
    """An execution that this node passed on to the owner of its key."""

    request: ExecuteRequest
    owner: str
    due_ns: int
