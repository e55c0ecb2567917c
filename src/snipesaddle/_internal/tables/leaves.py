"""Leaves, the connections to them (links), and the shards they hold."""

import enum
from dataclasses import dataclass, field


class LeafState(enum.Enum):
    """The state of a leaf, as known to this node."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class ShardRange:
    """The key range [low, high) of one shard in one snapshot."""

    shard: str
    low: int
    high: int


@dataclass(frozen=True, slots=True)
class Holding:
    """The shards of one snapshot that a leaf serves.

    Attributes:
      held: the shards that the leaf serves.
      shard_map: all shards of the service in this snapshot.
    """

    held: tuple[ShardRange, ...]
    shard_map: tuple[ShardRange, ...]


@dataclass(slots=True)
class Leaf:
    """A leaf as observed by this node.

    Attributes:
      slots: number of requests that the leaf serves at once.
      link_limit: maximum number of links that this node may open to it.
      holdings: the shards that the leaf serves, by snapshot.
      observed_ns: when a reply, probe or rumour last reported its state.
      in_flight: number of calls of this node.
      queue_length: length of the leaf's queue, as last reported.
      latency_ns: exponentially weighted moving average of call latencies.
      latency_updated_ns: when `latency_ns` was last updated.
      consecutive_failures: failed calls and probes since the last success.
      ejected_until_ns: end of the outlier ejection.
      drain_hold_until_ns: until this time, a draining leaf stays draining
        whatever its health report says, as the report may be out of date.
      probing: whether a probe is in flight.
      probe_due_ns: time of the next probe.
      probe_wanted: whether the next probe is sent even if another node is the
        prober of this leaf.
      refresh_requested_ns: when a query last requested a probe.
      version: version of the latest rumour from this node about the leaf.
      open_links: number of links, including those that are closing.
      reopen_ns: earliest time to open a link in advance.
    """

    leaf_id: str
    service: str
    zone: str
    slots: int
    link_limit: int
    state: LeafState = LeafState.STARTING
    holdings: dict[int, Holding] = field(default_factory=dict)
    observed_ns: int = 0
    in_flight: int = 0
    queue_length: int = 0
    latency_ns: float = 0.0
    latency_updated_ns: int = 0
    consecutive_failures: int = 0
    ejected_until_ns: int = 0
    drain_hold_until_ns: int = 0
    probing: bool = False
    probe_due_ns: int = 0
    probe_wanted: bool = False
    refresh_requested_ns: int = 0
    version: int = 0
    idle_links: list[int] = field(default_factory=list)
    open_links: int = 0
    reopen_ns: int = 0

    def accepts_work(self) -> bool:
        """Returns whether new work may be sent to the leaf."""
        return self.state in (LeafState.SERVING, LeafState.STARTING)


class LinkState(enum.Enum):
    """The state of one connection to a leaf."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"
    CLOSING = "closing"


@dataclass(slots=True)
class Link:
    """A connection to a leaf, which carries one call at a time."""

    link_id: int
    leaf_id: str
    state: LinkState
