"""Executions: work that must run at most once."""

import enum
from dataclasses import dataclass, field
from typing import Any


class Outcome(enum.Enum):
    """The outcome of an execution, as reported to its caller.

    NOT_RUN is proof that no leaf ran the work; UNKNOWN is not.
    """

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
    """The holder of an idempotency key: an execution of one incarnation."""

    incarnation: str
    claim_id: str


@dataclass(frozen=True, slots=True)
class ExecuteRequest:
    """A request for an execution, from the front end or from a peer.

    Attributes:
      key: the ticket or the caller's idempotency key.
      fingerprint: digest of the request, to detect reuse of a key.
      reply_to: address of the peer that relayed it; empty for a local caller.
      owner: the incarnation that owns the key, as known to the relaying peer.
      claim_id: the execution that claimed the idempotency key, if relayed.
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
    """The outcome of an execution.

    Attributes:
      result: the leaf's result if the outcome is DONE.
      conflict: whether the key was used before for another request.
    """

    outcome: Outcome
    result: Any = None
    detail: str = ""
    conflict: bool = False


@dataclass(slots=True)
class Execution:
    """An execution whose key is owned, or being claimed, by this node.

    Attributes:
      deadline_ns: the latest deadline of its waiters.
      incarnation: the incarnation under which the key was accepted.
      answer: the answer once the execution has ended.
      waiters: the requests that wait for the answer.
      claim_id: distinguishes this execution from an earlier one with the same
        key.
      tried: the leaves that were called for it.
      claim_in_flight: whether a claim in the store is under way.
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
    """An execution that this node relays to the owner of its key.

    Attributes:
      owner: the incarnation that owned the key when the relay began.
      claim_id: the execution that claimed the idempotency key, if any.
      due_ns: when the relay is abandoned.
    """

    request: ExecuteRequest
    owner: str
    claim_id: str
    due_ns: int
