"""Activity: which nodes are up, and which of them clients are sent to.

Clients are sent to the active nodes: as many as the load needs, some in each
zone.
"""

from snipesaddle._internal.systems import rendezvous
from snipesaddle._internal.systems.forwarding import (
    connections,
    fleet_shares,
)
from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.fleet import (
    NodePhase,
    PeerNode,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld


def heartbeat_interval_ns(world: ForwardWorld) -> int:
    """Returns the time between two heartbeats of this node."""
    settings = world.settings.fleet
    factor = 1 if len(world.fleet.nodes) < settings.small else 2
    return settings.heartbeat_ms * factor * NS_PER_MS


def is_live(world: ForwardWorld, node: PeerNode, now_ns: int) -> bool:
    """Returns whether a node is assumed to be up.

    A node that has sent heartbeats is up while they keep arriving. One that
    has never sent any is up while the store holds its record; if it is
    active, only for the suspicion time, because the heartbeats of active nodes
    reach all others, directly or passed on.
    """
    interval_ns = heartbeat_interval_ns(world)
    suspect_ns = int(interval_ns * world.settings.fleet.missed_beats)
    if node.last_heard_ns and now_ns - node.last_heard_ns <= suspect_ns:
        return True
    if not node.registered or node.last_heard_ns:
        return False
    since_ns = max(node.active_since_ns, node.added_ns)
    return node.active_since_ns == 0 or now_ns - since_ns <= suspect_ns


def live_active_peers(world: ForwardWorld, now_ns: int) -> list[PeerNode]:
    """Returns the other active nodes that are serving and up."""
    return [
        node
        for node_id, node in world.fleet.nodes.items()
        if node_id in world.fleet.active_node_ids
        and node.record.phase is NodePhase.SERVING
        and is_live(world, node, now_ns)
    ]


def is_active(world: ForwardWorld) -> bool:
    """Returns whether clients are sent to this node."""
    return world.this_node.node_id in world.fleet.active_node_ids


def choose_active(world: ForwardWorld, now_ns: int) -> frozenset[str]:
    """Returns the ids of the nodes that the load of the fleet requires.

    Few nodes with warm connections serve better than many with cold ones.
    Rendezvous hashing within each zone gives the same choice on all nodes.
    """
    by_zone: dict[str, list[str]] = {}
    load = world.fleet.attempts_per_s
    if world.this_node.phase is NodePhase.SERVING:
        by_zone[world.this_node.zone] = [world.this_node.node_id]
    for node_id, node in world.fleet.nodes.items():
        is_up = is_live(world, node, now_ns)
        if is_up and node.record.phase is NodePhase.SERVING:
            by_zone.setdefault(node.record.zone, []).append(node_id)
            load += node.record.attempts_per_s
    settings = world.settings.fleet
    wanted = max(settings.min_active, load // settings.attempts_per_node + 1)
    zone_count = max(1, len(by_zone))
    active: list[str] = []
    for node_ids in by_zone.values():
        count = -(-wanted // zone_count)
        active += rendezvous.ranked(node_ids, "active", count)
    return frozenset(active)


def refresh_active(world: ForwardWorld, now_ns: int) -> None:
    """Chooses the active nodes again, and updates what depends on them."""
    world.fleet.active_is_stale = False
    was_active = is_active(world)
    _set_active(world, now_ns)
    fleet_shares.update_active_share(world, now_ns)
    if was_active and not is_active(world):
        connections.close_excess(world)


def _set_active(world: ForwardWorld, now_ns: int) -> None:
    active = choose_active(world, now_ns)
    if active == world.fleet.active_node_ids:
        return
    for node_id, node in world.fleet.nodes.items():
        if node_id not in active:
            node.active_since_ns = 0
        elif not node.active_since_ns:
            node.active_since_ns = now_ns
    world.fleet.active_node_ids = active
    world.log("active_nodes", nodes=sorted(active))
