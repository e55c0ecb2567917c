"""Snapshots: which one a query pins, and its shard map."""

from collections import Counter

from snipesaddle._internal.tables.leaves import Leaf, ShardRange
from snipesaddle._internal.tables.queries import ShardKey
from snipesaddle._internal.tables.world import World

# Stands for all shards of a service whose shard map is not known.
WHOLE_SERVICE = "*"

ShardMap = tuple[ShardRange, ...]


def pin(world: World, services: tuple[str, ...]) -> int:
    """Returns the snapshot that the leaves cover best, the newest of equals.

    Returns:
      The snapshot id, or 0 when no leaf has told of any.
    """
    pinned = world.pinned_snapshots.get(services)
    if pinned is None:
        pinned = _choose(world, services)
        world.pinned_snapshots[services] = pinned
        covered = _coverage(world, services, pinned)
        world.fully_covered[services] = covered >= 1.0
    return pinned


def weigh(
    world: World, services: tuple[str, ...], snapshot: int
) -> dict[ShardKey, float]:
    """Returns the weight of each shard; all weights add up to 1.

    Each service weighs the same; within it, a shard weighs as its range in
    the shard map of the snapshot. A service whose map is not known comes as
    one shard, WHOLE_SERVICE.
    """
    weights: dict[ShardKey, float] = {}
    for service in services:
        shares = _shares(world, service, snapshot)
        for shard, share in shares.items():
            weights[ShardKey(service, shard)] = share / len(services)
    return weights


def is_covered(world: World, service: str, snapshot: int) -> bool:
    """Tells whether a service is covered in whole at a snapshot."""
    known = shard_map(world, service, snapshot)
    return known is not None and all(
        holders(world, ShardKey(service, part.shard), snapshot)
        for part in known
    )


def holders(world: World, key: ShardKey, snapshot: int) -> list[Leaf]:
    """Returns the leaves that hold a shard and accept new work."""
    return [
        leaf
        for leaf in world.leaves_by_service.get(key.service, [])
        if leaf.accepts_work() and _holds(leaf, snapshot, key.shard)
    ]


def shard_map(world: World, service: str, snapshot: int) -> ShardMap | None:
    """Returns the map that most leaves of a service tell, or None."""
    told = Counter(
        leaf.holdings[snapshot].shard_map
        for leaf in world.leaves_by_service.get(service, [])
        if snapshot in leaf.holdings
    )
    return told.most_common(1)[0][0] if told else None


def _holds(leaf: Leaf, snapshot: int, shard: str) -> bool:
    holding = leaf.holdings.get(snapshot)
    return holding is not None and any(
        held.shard == shard for held in holding.held
    )


def _shares(world: World, service: str, snapshot: int) -> dict[str, float]:
    known = shard_map(world, service, snapshot)
    if known is None:
        return {WHOLE_SERVICE: 1.0}
    total = sum(part.high - part.low for part in known)
    return {part.shard: (part.high - part.low) / total for part in known}


def _choose(world: World, services: tuple[str, ...]) -> int:
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
    weights = weigh(world, services, snapshot)
    covered = sum(
        weight
        for key, weight in weights.items()
        if holders(world, key, snapshot)
    )
    return round(covered, 9)
