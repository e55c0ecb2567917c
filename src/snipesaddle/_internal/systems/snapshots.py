"""Snapshots: chooses the one that a query pins, and reads shard maps."""

from collections import Counter

from snipesaddle._internal.tables.leaves import Leaf, ShardRange
from snipesaddle._internal.tables.queries import ShardKey
from snipesaddle._internal.tables.world import World

# Names the single shard that stands for a service without a known shard map.
WHOLE_SERVICE = "*"

ShardMap = tuple[ShardRange, ...]


def pin_snapshot(world: World, services: tuple[str, ...]) -> int:
    """Chooses the snapshot with the best coverage, the newest of equals.

    The choice is kept until unpin_snapshots clears it.

    Returns:
      The snapshot id, or 0 if no leaf that accepts work has reported any.
    """
    pinned = world.pinned_snapshots.get(services)
    if pinned is None:
        pinned = _best_snapshot(world, services)
        world.pinned_snapshots[services] = pinned
        covered = _coverage(world, services, pinned)
        world.fully_covered[services] = covered >= 1.0
    return pinned


def shard_weights(
    world: World, services: tuple[str, ...], snapshot: int
) -> dict[ShardKey, float]:
    """Returns the weight of each shard; all weights add up to 1.

    All services weigh the same; within a service, the weight of a shard is
    proportional to its key range in the snapshot's shard map. A service whose
    map is not known appears as one shard, WHOLE_SERVICE.
    """
    weights: dict[ShardKey, float] = {}
    for service in services:
        fractions = _shard_fractions(world, service, snapshot)
        for shard, fraction in fractions.items():
            weights[ShardKey(service, shard)] = fraction / len(services)
    return weights


def is_covered(world: World, service: str, snapshot: int) -> bool:
    """Returns whether every shard of a service has a leaf at a snapshot."""
    shards = shard_map(world, service, snapshot)
    return shards is not None and all(
        leaves_holding(world, ShardKey(service, part.shard), snapshot)
        for part in shards
    )


def leaves_holding(world: World, key: ShardKey, snapshot: int) -> list[Leaf]:
    """Returns the leaves that hold a shard and accept new work."""
    return [
        leaf
        for leaf in world.leaves_by_service.get(key.service, [])
        if leaf.accepts_work() and _holds(leaf, snapshot, key.shard)
    ]


def shard_map(world: World, service: str, snapshot: int) -> ShardMap | None:
    """Returns the map that most leaves of a service report, or None."""
    reported = Counter(
        leaf.holdings[snapshot].shard_map
        for leaf in world.leaves_by_service.get(service, [])
        if snapshot in leaf.holdings
    )
    return reported.most_common(1)[0][0] if reported else None


def _holds(leaf: Leaf, snapshot: int, shard: str) -> bool:
    holding = leaf.holdings.get(snapshot)
    return holding is not None and any(
        held.shard == shard for held in holding.held
    )


def _shard_fractions(
    world: World, service: str, snapshot: int
) -> dict[str, float]:
    shards = shard_map(world, service, snapshot)
    if shards is None:
        return {WHOLE_SERVICE: 1.0}
    total = sum(part.high - part.low for part in shards)
    return {part.shard: (part.high - part.low) / total for part in shards}


def _best_snapshot(world: World, services: tuple[str, ...]) -> int:
    candidates = {
        snapshot
        for service in services
        for leaf in world.leaves_by_service.get(service, [])
        if leaf.accepts_work()
        for snapshot in leaf.holdings
    }
    return max(
        candidates,
        key=lambda snapshot: (_coverage(world, services, snapshot), snapshot),
        default=0,
    )


def _coverage(world: World, services: tuple[str, ...], snapshot: int) -> float:
    weights = shard_weights(world, services, snapshot)
    covered = sum(
        weight
        for key, weight in weights.items()
        if leaves_holding(world, key, snapshot)
    )
    return round(covered, 9)
