"""Leaves, their connections (links) and what each one holds."""

import enum
from dataclasses import dataclass, field


class LeafState(enum.Enum):
    """What this node knows of a leaf."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class ShardRange:
    """One shard of a service in one snapshot; [low, high) of its keys."""

    shard: str
    low: int
    high: int


@dataclass(frozen=True, slots=True)
class Holding:
    """What one leaf serves of one snapshot.

    Attributes:
      held: the shards that the leaf answers for.
      shard_map: all shards of the service in this snapshot.
    """

    held: tuple[ShardRange, ...]
    shard_map: tuple[ShardRange, ...]


@dataclass(slots=True)
class Leaf:
    """A leaf as one node sees it."""

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
        """Tells whether new work may be sent to it."""
        return self.state in (LeafState.SERVING, LeafState.STARTING)


class LinkState(enum.Enum):
    """The state of one connection to a leaf."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"
    CLOSING = "closing"


@dataclass(slots=True)
class Link:
    """One connection to a leaf; it carries one call at a time."""

    link_id: int
    leaf_id: str
    state: LinkState
