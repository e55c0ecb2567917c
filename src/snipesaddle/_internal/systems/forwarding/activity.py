"""Activity: which nodes are up, and which of them clients are sent to.

Clients are sent to the active nodes: as many as the load needs, some in each
zone, or the strong ones where the fleet has weak ones, too.
"""

import math
from collections.abc import Sequence

import xxhash

from snipesaddle._internal.systems.forwarding import (
    active_choice,
    capacity,
    connections,
    fleet_shares,
)
from snipesaddle._internal.systems.forwarding.active_choice import Candidate
from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.fleet import (
    NodePhase,
    PeerNode,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# The windows over which the load of an unequal fleet is averaged while it
# rises and falls. The load of one second varies by a fifth of its mean.
_RISE_WINDOW_NS = 2_000 * NS_PER_MS
_FALL_WINDOW_NS = 10_000 * NS_PER_MS
# How long a node of an unequal fleet stays active that the load does not need.
_SURPLUS_HOLD_NS = 5_000 * NS_PER_MS
# How long a node whose heartbeats were missing counts as down without them.
_SILENCE_MEMORY_NS = 30_000 * NS_PER_MS


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

    In a large fleet, idle nodes send heartbeats to the active nodes of their
    zone only. Where the fleet is unequal, so that the active nodes change with
    the load, the record counts for a node that has stopped sending heartbeats
    because it became idle.
    """
    interval_ns = heartbeat_interval_ns(world)
    suspect_ns = int(interval_ns * world.settings.fleet.missed_beats)
    if node.last_heard_ns and now_ns - node.last_heard_ns <= suspect_ns:
        return True
    if not node.registered:
        return False
    if world.fleet.is_unequal:
        if node.silent_since_ns:
            return now_ns - node.silent_since_ns > _SILENCE_MEMORY_NS
        expected_ns = heartbeats_expected_ns(world, node)
        if expected_ns is None or now_ns - expected_ns <= suspect_ns:
            return True
    if node.last_heard_ns:
        return False
    since_ns = max(node.active_since_ns, node.added_ns)
    return node.active_since_ns == 0 or now_ns - since_ns <= suspect_ns


def heartbeats_expected_ns(world: ForwardWorld, node: PeerNode) -> int | None:
    """Returns since when a node should send heartbeats to this one, if up.

    None if it sends none.
    """
    fleet = world.fleet
    is_small = len(fleet.nodes) < world.settings.fleet.small
    if is_small or not fleet.active_node_ids:
        return 0
    if node.record.node_id in fleet.active_node_ids:
        return node.active_since_ns
    if is_active(world) and node.record.zone == world.this_node.zone:
        return fleet.active_since_ns
    return None


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
    """
    return _choose(world, _candidates(world, now_ns), now_ns)


def _choose(
    world: ForwardWorld, candidates: Sequence[Candidate], now_ns: int
) -> frozenset[str]:
    settings = world.settings.fleet
    if world.fleet.is_unequal:
        load_per_s = _averaged_load(world, candidates, now_ns)
        return active_choice.by_capacity(candidates, load_per_s, settings)
    return active_choice.by_number(candidates, _load(candidates), settings)


def _candidates(world: ForwardWorld, now_ns: int) -> list[Candidate]:
    """Returns the nodes that are up and serve, this one included."""
    fleet = world.fleet
    candidates: list[Candidate] = []
    if world.this_node.phase is NodePhase.SERVING:
        this_node = Candidate(
            world.this_node.node_id,
            world.this_node.zone,
            capacity.attempts_per_s(world.settings.capacity),
            fleet.attempts_per_s,
        )
        candidates.append(this_node)
    for node_id, node in fleet.nodes.items():
        record = node.record
        if is_live(world, node, now_ns) and record.phase is NodePhase.SERVING:
            candidate = Candidate(
                node_id,
                record.zone,
                record.capacity_per_s,
                record.attempts_per_s,
            )
            candidates.append(candidate)
    return candidates


def _update_equality(world: ForwardWorld) -> None:
    """Updates whether the fleet has, or had, nodes of unequal capacity.

    The strongest node of the past counts, so that a fleet whose strong nodes
    are all down still counts the others by their capacity.
    """
    fleet = world.fleet
    capacities = [node.record.capacity_per_s for node in fleet.nodes.values()]
    capacities.append(capacity.attempts_per_s(world.settings.capacity))
    fleet.strongest_per_s = max(fleet.strongest_per_s, *capacities)
    fleet.is_unequal = any(
        capacity.is_weak(per_s, fleet.strongest_per_s) for per_s in capacities
    )


def _mark_silent(world: ForwardWorld, now_ns: int) -> None:
    """Marks active nodes whose heartbeats are missing.

    Otherwise a node that is down would count as up again as soon as it is no
    longer active, because no heartbeats of it are expected then.
    """
    fleet = world.fleet
    for node_id in fleet.active_node_ids:
        node = fleet.nodes.get(node_id)
        if node is not None and not is_live(world, node, now_ns):
            node.silent_since_ns = node.silent_since_ns or now_ns


def _load(candidates: Sequence[Candidate]) -> int:
    return sum(candidate.load_per_s for candidate in candidates)


def _averaged_load(
    world: ForwardWorld, candidates: Sequence[Candidate], now_ns: int
) -> float:
    """Returns the load of the fleet, averaged over some seconds.

    It falls more slowly than it rises: the load of nodes that have just died
    is no longer reported, but their clients come to the others.
    """
    fleet = world.fleet
    load_per_s = _load(candidates)
    if not fleet.load_updated_ns:
        return load_per_s
    difference = load_per_s - fleet.load_per_s
    window_ns = _RISE_WINDOW_NS if difference > 0 else _FALL_WINDOW_NS
    elapsed_ns = now_ns - fleet.load_updated_ns
    return fleet.load_per_s + difference * -math.expm1(-elapsed_ns / window_ns)


def refresh_active(world: ForwardWorld, now_ns: int) -> None:
    """Chooses the active nodes again, and updates what depends on them."""
    world.fleet.active_is_stale = False
    was_active = is_active(world)
    _set_active(world, now_ns)
    fleet_shares.update_active_share(world, now_ns)
    if was_active and not is_active(world):
        connections.close_excess(world)


def _set_active(world: ForwardWorld, now_ns: int) -> None:
    fleet = world.fleet
    _update_equality(world)
    _mark_silent(world, now_ns)
    candidates = _candidates(world, now_ns)
    fleet.load_per_s = _averaged_load(world, candidates, now_ns)
    fleet.load_updated_ns = now_ns
    active = _choose(world, candidates, now_ns)
    if fleet.is_unequal:
        active |= _held_nodes(world, candidates, active, now_ns)
    else:
        fleet.surplus_since_ns.clear()
    if active == fleet.active_node_ids:
        return
    for node_id, node in fleet.nodes.items():
        if node_id not in active:
            node.active_since_ns = 0
        elif not node.active_since_ns:
            node.active_since_ns = now_ns
    fleet.active_node_ids = active
    fleet.active_view = _digest(active)
    world.log(
        "active_nodes",
        nodes=sorted(active),
        candidates=len(candidates),
        load_per_s=round(fleet.load_per_s),
        held=len(fleet.surplus_since_ns),
    )


def _digest(node_ids: frozenset[str]) -> int:
    return xxhash.xxh3_64_intdigest("\0".join(sorted(node_ids)).encode())


def _held_nodes(
    world: ForwardWorld,
    candidates: Sequence[Candidate],
    wanted: frozenset[str],
    now_ns: int,
) -> frozenset[str]:
    """Returns the active nodes that stay active although they are not wanted.

    A short peak, or a strong node that comes back and goes down again, would
    otherwise move clients to cold nodes and back.
    """
    fleet = world.fleet
    held = frozenset(
        candidate.node_id
        for candidate in candidates
        if candidate.node_id in fleet.active_node_ids
        and candidate.node_id not in wanted
        and now_ns - fleet.surplus_since_ns.get(candidate.node_id, now_ns)
        < _SURPLUS_HOLD_NS
    )
    fleet.surplus_since_ns = {
        node_id: fleet.surplus_since_ns.get(node_id, now_ns) for node_id in held
    }
    return held
