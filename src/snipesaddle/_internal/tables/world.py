"""All tables of one entry node."""

import random
from collections import deque
from dataclasses import dataclass, field

from snipesaddle._internal.models.settings import Settings
from snipesaddle._internal.tables.budgets import Budget
from snipesaddle._internal.tables.commands import Command
from snipesaddle._internal.tables.config import Config
from snipesaddle._internal.tables.executions import Execution, Relay
from snipesaddle._internal.tables.latencies import LatencyWindow
from snipesaddle._internal.tables.leaves import Leaf, Link
from snipesaddle._internal.tables.nodes import Peer, ThisNode
from snipesaddle._internal.tables.queries import (
    Call,
    CheckedCall,
    Query,
    ShardKey,
)
from snipesaddle._internal.tables.table import Table
from snipesaddle._internal.tables.tick_world import TickCounters, TickWorld

# Number of class priorities; priority 0 is the most urgent.
PRIORITY_COUNT = 4


@dataclass(slots=True)
class Counters(TickCounters):
    """Counters since the start of the process.

    Attributes:
      sheds: calls that a leaf refused.
      crossed_replies: replies that belong to another call.
      wrong_snapshots: replies for another snapshot than requested.
      refused: searches that admission refused.
      claims: claims of idempotency keys.
    """

    primary_calls: int = 0
    hedge_calls: int = 0
    retry_calls: int = 0
    sheds: int = 0
    crossed_replies: int = 0
    wrong_snapshots: int = 0
    refused: int = 0
    claims: int = 0
    peer_messages_sent: int = 0
    peer_bytes_sent: int = 0


@dataclass(slots=True)
class Load:
    """The load of this node.

    Attributes:
      lag_sum_ns: sum of the lags since the last adjustment; a lag is the time
        from the first event after a tick to the next tick.
      lag_count: number of lags in `lag_sum_ns`.
      limits: current maximum of open queries, by priority.
      open_queries: number of open queries, by priority.
      adjusted_ns: time of the last adjustment of `limits`.
    """

    lag_sum_ns: int = 0
    lag_count: int = 0
    limits: list[float] = field(default_factory=lambda: [0.0] * PRIORITY_COUNT)
    open_queries: list[int] = field(
        default_factory=lambda: [0] * PRIORITY_COUNT
    )
    adjusted_ns: int = 0


@dataclass(slots=True)
class World(TickWorld[Command]):
    """The tables that the systems run over.

    A key space is the set of execution keys that one incarnation owns; it is
    identified by that incarnation.

    Attributes:
      leaves_by_service: the leaves in use, by service.
      query_id_by_request: id of each open query, by request id.
      pending_shards: query id and shard of each task that waits for a call.
      waiting_shards: heap of tasks that wait for a free link, by service; most
        urgent priority first, then earliest deadline.
      owned_key_spaces: key spaces that this node owns.
      key_space_expires_ns: when tickets of a key space taken over expire.
      heirs: the incarnation that took over a key space.
      heir_requested_ns: when the neighbours were last asked for the heir of a
        key space.
      hedge_budgets: token bucket for hedges, by class.
      retry_budgets: token bucket for retries, by class.
      latencies: recent call latencies, by class.
      checked_calls: calls that ended in this tick.
      rumour_versions: origin and version of the newest rumour, by observing
        node and leaf.
      leaving_leaves: leaves whose VM is leaving, from the VM list.
      pinned_snapshots: the snapshot chosen for a set of services; discarded
        whenever the state of a leaf changes.
      fully_covered: whether the leaves cover every shard of the snapshot in
        `pinned_snapshots`.
      opening_links: number of links that a probe is opening.
      config_changed: whether a generation came into force in this tick.
      peers_digest: digest of the live peers; None if it must be computed.
      neighbour_ids: the neighbours at the last heartbeat.
      joined_peer_ids: ids of peers whose incarnation is new in this tick.
      accepted_key_spaces: key spaces ever taken over from a leaving node.
      ready_executions: keys of executions to start in this tick.
      running_executions: keys of executions in flight to a leaf.
      waiting_executions: keys of executions that wait for a free link, by
        service.
      declined_heirs: incarnations that refused a handover from this node.
      freed_services: services for which a link may have become free.
      system_errors: unexpected errors of systems in this tick, to be logged.
    """

    settings: Settings
    this_node: ThisNode
    rng: random.Random
    config: Config = field(default_factory=Config)
    peers: Table[str, Peer] = field(default_factory=Table)
    leaves: Table[str, Leaf] = field(default_factory=Table)
    links: Table[int, Link] = field(default_factory=Table)
    leaves_by_service: dict[str, list[Leaf]] = field(default_factory=dict)
    queries: Table[int, Query] = field(default_factory=Table)
    query_id_by_request: dict[str, int] = field(default_factory=dict)
    calls: Table[int, Call] = field(default_factory=Table)
    pending_shards: deque[tuple[int, ShardKey]] = field(default_factory=deque)
    waiting_shards: dict[str, list[tuple[int, int, int, ShardKey]]] = field(
        default_factory=dict
    )
    executions: Table[str, Execution] = field(default_factory=Table)
    relays: Table[str, Relay] = field(default_factory=Table)
    owned_key_spaces: set[str] = field(default_factory=set)
    key_space_expires_ns: dict[str, int] = field(default_factory=dict)
    heirs: dict[str, str] = field(default_factory=dict)
    heir_requested_ns: dict[str, int] = field(default_factory=dict)
    hedge_budgets: dict[str, Budget] = field(default_factory=dict)
    retry_budgets: dict[str, Budget] = field(default_factory=dict)
    latencies: dict[str, LatencyWindow] = field(default_factory=dict)
    checked_calls: list[CheckedCall] = field(default_factory=list)
    rumour_versions: dict[tuple[str, str], tuple[str, int]] = field(
        default_factory=dict
    )
    leaving_leaves: frozenset[str] = frozenset()
    pinned_snapshots: dict[tuple[str, ...], int] = field(default_factory=dict)
    fully_covered: dict[tuple[str, ...], bool] = field(default_factory=dict)
    opening_links: int = 0
    config_changed: bool = False
    peers_digest: int | None = None
    neighbour_ids: set[str] = field(default_factory=set)
    joined_peer_ids: list[str] = field(default_factory=list)
    accepted_key_spaces: set[str] = field(default_factory=set)
    ready_executions: list[str] = field(default_factory=list)
    running_executions: set[str] = field(default_factory=set)
    waiting_executions: dict[str, list[str]] = field(default_factory=dict)
    declined_heirs: set[str] = field(default_factory=set)
    freed_services: set[str] = field(default_factory=set)
    load: Load = field(default_factory=Load)
    system_errors: list[Exception] = field(default_factory=list)
    counters: Counters = field(default_factory=Counters, kw_only=True)

    def latency_window(self, class_name: str) -> LatencyWindow:
        """Returns the latency window of a class, creating it if necessary."""
        window = self.latencies.get(class_name)
        if window is None:
            window = self.latencies[class_name] = LatencyWindow()
        return window
