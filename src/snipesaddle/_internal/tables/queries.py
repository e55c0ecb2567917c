"""Queries, the shards that each query needs, and calls in flight."""

import enum
from dataclasses import dataclass, field
from typing import Any


class MissingReason(enum.Enum):
    """Why a shard is missing from an answer."""

    NO_LEAF = "no_leaf"
    TIMEOUT = "timeout"
    SHED = "shed"
    FAILED = "failed"
    WRONG_SNAPSHOT = "wrong_snapshot"
    SNAPSHOT_GONE = "snapshot_gone"


@dataclass(frozen=True, slots=True, order=True)
class ShardKey:
    """Identifies a shard of a service."""

    service: str
    shard: str


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """A search request from the front end.

    Attributes:
      target: a workload, or a single service.
      services: the services to search; empty for all services of the target.
      deadline_ms: time limit from arrival; 0 for the latency budget of the
        class.
    """

    request_id: str
    target: str
    services: tuple[str, ...]
    query: Any
    tenant: str
    deadline_ms: int


class TaskState(enum.Enum):
    """The state of one shard within a query."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    MISSING = "missing"


@dataclass(slots=True)
class ShardTask:
    """One shard that a query needs.

    Attributes:
      weight: the shard's fraction of the query, from 0 to 1.
      calls: ids of the calls in flight.
      tried: the leaves that were called, one entry per call.
      reason: why the shard is missing, once it is.
    """

    key: ShardKey
    weight: float
    state: TaskState = TaskState.PENDING
    calls: list[int] = field(default_factory=list)
    tried: list[str] = field(default_factory=list)
    hits: list[Any] = field(default_factory=list)
    reason: MissingReason = MissingReason.TIMEOUT
    hedged: bool = False


@dataclass(slots=True)
class Query:
    """A search in progress.

    Attributes:
      final_deadline_ns: the deadline, plus the grace of a class that waits for
        late shards.
      snapshot: the pinned snapshot; 0 if none is known.
      open_tasks: number of tasks that are pending or running.
      restarts: how often the query was planned again with a new snapshot.
      snapshot_lost: whether a shard can no longer serve the pinned snapshot.
      planned: whether its snapshot is pinned and its shards are listed.
      plan_deadline_ns: latest time to plan the query, with the health reports
        received by then.
    """

    query_id: int
    request: SearchRequest
    services: tuple[str, ...]
    class_name: str
    priority: int
    arrived_ns: int
    deadline_ns: int
    final_deadline_ns: int
    snapshot: int = 0
    tasks: dict[ShardKey, ShardTask] = field(default_factory=dict)
    open_tasks: int = 0
    restarts: int = 0
    snapshot_lost: bool = False
    planned: bool = False
    plan_deadline_ns: int = 0


class CallKind(enum.Enum):
    """Whether a call is a search or an execution."""

    SEARCH = "search"
    EXECUTE = "execute"


class CallResult(enum.Enum):
    """How a call ended, as far as this node can know.

    NOT_SENT and REFUSED are proof that the leaf did no work.
    """

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    SNAPSHOT_GONE = "snapshot_gone"
    FAILED = "failed"


@dataclass(slots=True)
class Call:
    """A request to a leaf that is in flight.

    Attributes:
      execution_key: key of the execution, for a call of that kind.
    """

    call_id: int
    kind: CallKind
    leaf_id: str
    link_id: int
    started_ns: int
    query_id: int = 0
    snapshot: int = 0
    shard: ShardKey | None = None
    execution_key: str = ""


@dataclass(frozen=True, slots=True)
class CheckedCall:
    """A call that ended in this tick, after its reply was checked.

    Attributes:
      execution_result: the result of an execution.
      wrong_snapshot: whether the reply names another snapshot than requested.
    """

    call: Call
    result: CallResult
    hits: list[Any]
    execution_result: Any
    wrong_snapshot: bool
    detail: str
