"""Fleet reach: which part of the fleet this node hears.

Groups of nodes that do not hear each other get parts that add up to at most
the whole, up to the delay of heartbeats. In a large fleet, idle nodes send no
heartbeats to other zones, so the active nodes report how many they hear.
"""

from dataclasses import dataclass

from snipesaddle._internal.systems.forwarding import activity
from snipesaddle._internal.tables.forwarding.fleet import NodePhase, PeerNode
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# Shorter than `FleetSettings.missed_beats` by more than one heartbeat, so that
# a node that is cut off notices before the others choose nodes in its place.
_HEARD_BEATS = 2.0


@dataclass(slots=True)
class _ZoneCount:
    """The nodes of one zone.

    Attributes:
      heard: those that this node hears.
      reported: the most that a node of this zone hears, itself included.
    """

    size: int = 0
    heard: int = 0
    reported: int = 0


def zone_nodes_heard(world: ForwardWorld, now_ns: int) -> int:
    """Returns how many nodes of its zone this node hears, itself included."""
    max_age_ns = _max_age_ns(world)
    return 1 + sum(
        node.record.zone == world.this_node.zone
        and node.record.phase is not NodePhase.LEAVING
        and _heard_within(node, now_ns, max_age_ns)
        for node in world.fleet.nodes.values()
    )


def may_miss_nodes(world: ForwardWorld, now_ns: int) -> bool:
    """Returns whether nodes may serve that this one cannot learn of.

    Those that start do not find it in the store once its record has ended, and
    it finds them only in the store, or is told by a node that reads it.
    """
    if world.store.is_ok or now_ns < world.presence.kept_until_ns:
        return False
    return not any(
        node.record.store_ok and is_heard(world, node, now_ns)
        for node in world.fleet.nodes.values()
    )


def heard_ratio(world: ForwardWorld, keep_ns: int, now_ns: int) -> float:
    """Returns the part of the fleet that this node hears, 0 if unknown.

    Args:
      world: the tables.
      keep_ns: how long a node without a record in the store still counts.
      now_ns: the time of the tick.
    """
    if not world.fleet.recent_max_size or may_miss_nodes(world, now_ns):
        return 0.0
    max_age_ns = _max_age_ns(world)
    zones = {world.this_node.zone: _ZoneCount(size=1, heard=1)}
    for node in world.fleet.nodes.values():
        if _counts(node, now_ns, keep_ns):
            is_heard = _heard_within(node, now_ns, max_age_ns)
            zone = zones.setdefault(node.record.zone, _ZoneCount())
            zone.size += 1
            zone.heard += is_heard
            if is_heard:
                reported = node.record.zone_nodes_heard
                zone.reported = max(zone.reported, reported)
    heard = sum(
        min(zone.size, max(zone.heard, zone.reported))
        for zone in zones.values()
    )
    return heard / sum(zone.size for zone in zones.values())


def is_heard(world: ForwardWorld, node: PeerNode, now_ns: int) -> bool:
    """Returns whether a node has been heard lately, directly or not."""
    return _heard_within(node, now_ns, _max_age_ns(world))


def _max_age_ns(world: ForwardWorld) -> int:
    return int(activity.heartbeat_interval_ns(world) * _HEARD_BEATS)


def _counts(node: PeerNode, now_ns: int, keep_ns: int) -> bool:
    if node.record.phase is NodePhase.LEAVING:
        return False
    return node.registered or _heard_within(node, now_ns, keep_ns)


def _heard_within(node: PeerNode, now_ns: int, age_ns: int) -> bool:
    return bool(node.last_heard_ns) and now_ns - node.last_heard_ns <= age_ns
