"""JSON bodies of the protocol with leaves, validated on decoding."""

from typing import Any

import msgspec

from snipesaddle._internal.tables.events import LeafHealth, LeafStatus
from snipesaddle._internal.tables.leaves import (
    Holding,
    LeafState,
    ShardRange,
)


class SearchBody(msgspec.Struct):
    """The body of a search call; `call_id` is unique among all nodes."""

    call_id: str
    shard: str
    snapshot: int
    query: Any
    deadline_ms: int


class ExecuteBody(msgspec.Struct):
    """The body of an execute call; `call_id` is unique among all nodes."""

    call_id: str
    key: str
    body: Any
    deadline_ms: int


class ReplyBody(msgspec.Struct):
    """The reply to a call, whether it was answered or refused.

    `state`, `queue` and `snapshots` report the leaf's own status; `snapshots`
    is None in a reply without a status.
    """

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
        """Returns the status that the leaf reported, or None."""
        if self.snapshots is None:
            return None
        return LeafStatus(self.state, self.queue, tuple(self.snapshots))


class ShardBody(msgspec.Struct):
    """A shard and its key range, [low, high)."""

    shard: str
    low: int
    high: int

    def to_range(self) -> ShardRange:
        """Converts to the type that the tables use."""
        return ShardRange(self.shard, self.low, self.high)


class SnapshotBody(msgspec.Struct):
    """One snapshot that a leaf serves.

    Attributes:
      held: the shards that the leaf answers for.
      shards: all shards of the service in this snapshot.
    """

    id: int
    held: list[ShardBody]
    shards: list[ShardBody]

    def __post_init__(self) -> None:
        """Checks the id and that the shard map has no gaps or overlaps.

        Raises:
          ValueError: a check failed; msgspec reports it as a ValidationError.
        """
        if self.id < 1 or not self.shards:
            raise ValueError(
                "a snapshot needs an id of at least 1 and at least one shard"
            )
        ordered = sorted(self.shards, key=lambda shard: shard.low)
        if any(shard.low >= shard.high for shard in ordered):
            raise ValueError("a shard has an empty range")
        pairs = zip(ordered, ordered[1:], strict=False)
        if any(left.high != right.low for left, right in pairs):
            raise ValueError("the shard map has a gap or an overlap")

    def to_holding(self) -> Holding:
        """Converts to the type that the tables use."""
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
        """Converts to the type that events use."""
        holdings = {body.id: body.to_holding() for body in self.snapshots}
        return LeafHealth(self.state, self.queue, holdings)
