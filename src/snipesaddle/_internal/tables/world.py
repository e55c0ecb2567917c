"""All tables of one entry node."""

import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from snipesaddle._internal.models.settings import Settings
from snipesaddle._internal.tables.budgets import Budget
from snipesaddle._internal.tables.commands import Command
from snipesaddle._internal.tables.config import Config
from snipesaddle._internal.tables.executions import Execution, Relay
from snipesaddle._internal.tables.inbox import Inbox
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
from snipesaddle._internal.tables.timers import Timers

# Priorities of classes: 0 is the most urgent.
PRIORITY_COUNT = 4


@dataclass(slots=True)
class Counters:
    """Counts since the start of the process."""

    primary_calls: int = 0
    hedge_calls: int = 0
    retry_calls: int = 0
    sheds: int = 0
    crossed_replies: int = 0
    wrong_snapshots: int = 0
    refused: int = 0
    claims: int = 0
    ticks: int = 0
    peer_messages_sent: int = 0
    peer_bytes_sent: int = 0


@dataclass(slots=True)
class Load:
    """How loaded this node is.

    Attributes:
      lag_sum_ns: how long events waited since the last adjustment, added up.
      limits: the most open queries at present, by priority.
      open_queries: the open queries, by priority.
    """

    lag_sum_ns: int = 0
    lag_count: int = 0
    limits: list[float] = field(default_factory=lambda: [0.0] * PRIORITY_COUNT)
    open_queries: list[int] = field(
        default_factory=lambda: [0] * PRIORITY_COUNT
    )
    adjusted_ns: int = 0


@dataclass(slots=True)
class World:
    """The tables that the systems run over.

    Attributes:
      pending_shards: shards that wait for a call to be started.
      waiting_shards: shards that wait for a free link, by service.
      fully_covered: whether that snapshot is covered in whole.
      checked_calls: calls that ended in this tick.
      pinned_snapshots: the snapshot chosen for a set of services, until one
        changes.
      config_changed: a generation came into force in this tick.
      freed_services: services with a link that came free in this tick.
      rumour_versions: the newest rumour by observing node and leaf.
      peers_digest: a digest of the live peers; None when it must be made.
      neighbour_ids: the neighbours at the last heartbeat.
      joined_peer_ids: peers whose incarnation is new in this tick.
      accepted_key_spaces: key spaces ever taken over from a leaving node.
      ready_executions: executions to start in this tick.
      waiting_executions: executions that wait for a free link, by service.
      owned_key_spaces: incarnations whose execution keys this node owns.
      key_space_expires_ns: when tickets of a space taken over may no more run.
      heir_requested_ns: when the neighbours were asked for an heir.
      heirs: who took over the key space of an incarnation that left.
    """

    settings: Settings
    this_node: ThisNode
    rng: random.Random
    inbox: Inbox = field(default_factory=Inbox)
    outbox: list[Command] = field(default_factory=list)
    timers: Timers = field(default_factory=Timers)
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
    counters: Counters = field(default_factory=Counters)
    ids: "itertools.count[int]" = field(
        default_factory=lambda: itertools.count(1)
    )

    def emit(self, command: Command) -> None:
        """Adds a command for the adapters."""
        self.outbox.append(command)

    def next_id(self) -> int:
        """Returns a number not used before in this process."""
        return next(self.ids)

    def latency_window(self, class_name: str) -> LatencyWindow:
        """Returns the recent latencies of a class."""
        window = self.latencies.get(class_name)
        if window is None:
            window = self.latencies[class_name] = LatencyWindow()
        return window
