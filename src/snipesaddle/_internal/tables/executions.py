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
class ClaimOwner:
    """Who claimed an idempotency key: a row of an incarnation."""

    incarnation: str
    claim_id: str


@dataclass(frozen=True, slots=True)
class ExecuteRequest:
    """An execution as the front end, or a peer, hands it over.

    Attributes:
      key: the ticket or the caller's idempotency key.
      reply_to: the peer that relayed it, or empty for a local caller.
      owner: the incarnation that the relaying peer believes owns the key.
      claim_id: the row that claimed an idempotency key, when relayed.
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
    claim_id: str = ""


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
      claim_id: tells this row from an earlier one of the same key.
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
    claim_id: str = ""
    tried: list[str] = field(default_factory=list)
    is_ticket: bool = True
    claim_in_flight: bool = False


@dataclass(slots=True)
class Relay:
    """An execution that this node passed on to the owner of its key."""

    request: ExecuteRequest
    owner: str
    claim_id: str
    due_ns: int
