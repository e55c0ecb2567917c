"""The leaf protocol's JSON bodies, validated on decoding."""

from typing import Any

import msgspec

from snipesaddle._internal.tables.events import LeafHealth, LeafStatus
from snipesaddle._internal.tables.leaves import (
    Holding,
    LeafState,
    ShardRange,
)


class SearchBody(msgspec.Struct):
    """The body of a search call; its id is unique among all nodes."""

    call_id: str
    shard: str
    snapshot: int
    query: Any
    deadline_ms: int


class ExecuteBody(msgspec.Struct):
    """The body of an execute call; its id is unique among all nodes."""

    call_id: str
    key: str
    body: Any
    deadline_ms: int


class ReplyBody(msgspec.Struct):
    """The reply to a call, answered or refused."""

    call_id: str = ""
    shard: str = ""
    snapshot: int = 0
    hits: list[Any] = []
    result: Any = None
    error: str = ""
    state: LeafState = LeafState.SERVING
    queue: int = 0
    snapshots: list[int] | None = None

    def status(self) -> LeafStatus | None:
        """Returns what the leaf says of itself, if it says anything."""
        if self.snapshots is None:
            return None
        return LeafStatus(self.state, self.queue, tuple(self.snapshots))


class ShardBody(msgspec.Struct):
    """A shard with its range of keys, [low, high)."""

    shard: str
    low: int
    high: int

    def to_range(self) -> ShardRange:
        """Returns the range as the tables hold it."""
        return ShardRange(self.shard, self.low, self.high)


class SnapshotBody(msgspec.Struct):
    """One snapshot that a leaf serves."""

    id: int
    held: list[ShardBody]
    shards: list[ShardBody]

    def __post_init__(self) -> None:
        """Checks that the shard map has neither gap nor overlap."""
        if self.id < 1 or not self.shards:
            raise ValueError("a snapshot needs an id from 1 and shards")
        ordered = sorted(self.shards, key=lambda shard: shard.low)
        if any(shard.low >= shard.high for shard in ordered):
            raise ValueError("a shard has an empty range")
        pairs = zip(ordered, ordered[1:], strict=False)
        if any(left.high != right.low for left, right in pairs):
            raise ValueError("the shard map has a gap or an overlap")

    def to_holding(self) -> Holding:
        """Returns the holding as the tables hold it."""
        return Holding(
            held=tuple(shard.to_range() for shard in self.held),
            shard_map=tuple(shard.to_range() for shard in self.shards),
        )


class HealthBody(msgspec.Struct):
    """A leaf's health report."""

    state: LeafState
    queue: int
    snapshots: list[SnapshotBody]

    def to_health(self) -> LeafHealth:
        """Returns the report as an event holds it."""
        holdings = {body.id: body.to_holding() for body in self.snapshots}
        return LeafHealth(self.state, self.queue, holdings)
