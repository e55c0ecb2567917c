"""Active choice: the nodes that carry a load, chosen among those that are up.

Rendezvous hashing within each zone gives the same choice on all nodes. In a
fleet of equal nodes, the number of nodes decides. Where some nodes are weak,
their capacity does, and weak nodes are used only where strong ones do not
suffice.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from snipesaddle._internal.models.forwarding import FleetSettings
from snipesaddle._internal.systems import rendezvous
from snipesaddle._internal.systems.forwarding import capacity

_HASH_KEY = "active"
# With fewer strong nodes, the loss of one would leave none.
_MIN_STRONG_NODES = 2
# Where more nodes would be weak ones, a strong node carries so many times the
# load at which a fleet of equal nodes uses one more. Weak nodes answer late
# before strong ones do.
_STRONG_LOAD_FACTOR = 1.6


@dataclass(frozen=True, slots=True)
class Candidate:
    """A node that is up and serves.

    Attributes:
      capacity_per_s: its capacity in attempts per second; 0 if unknown.
      load_per_s: the attempts per second that it carries.
    """

    node_id: str
    zone: str
    capacity_per_s: int
    load_per_s: int


def by_number(
    candidates: Iterable[Candidate], load_per_s: int, settings: FleetSettings
) -> frozenset[str]:
    """Returns as many nodes as a load needs, evenly over the zones."""
    by_zone: dict[str, list[str]] = {}
    for candidate in candidates:
        by_zone.setdefault(candidate.zone, []).append(candidate.node_id)
    wanted = max(
        settings.min_active, load_per_s // settings.attempts_per_node + 1
    )
    zone_count = max(1, len(by_zone))
    active: list[str] = []
    for node_ids in by_zone.values():
        count = -(-wanted // zone_count)
        active += rendezvous.ranked(node_ids, _HASH_KEY, count)
    return frozenset(active)


def by_capacity(
    candidates: Sequence[Candidate], load_per_s: float, settings: FleetSettings
) -> frozenset[str]:
    """Returns strong nodes, and as many weak ones as these lack for a load."""
    strongest_per_s = max(
        (candidate.capacity_per_s for candidate in candidates), default=0
    )
    strong: list[Candidate] = []
    weak: list[Candidate] = []
    for candidate in candidates:
        is_weak = capacity.is_weak(candidate.capacity_per_s, strongest_per_s)
        (weak if is_weak else strong).append(candidate)
    needed = load_per_s / settings.attempts_per_node + 1
    carried = _sum(strong) * _STRONG_LOAD_FACTOR
    if len(strong) >= _MIN_STRONG_NODES and needed <= carried:
        return _fill([], strong, needed, settings.min_active)
    needed -= carried - _sum(strong)
    return _fill(strong, weak, needed, settings.min_active)


def _fill(
    chosen: Sequence[Candidate],
    others: Sequence[Candidate],
    needed: float,
    min_active: int,
) -> frozenset[str]:
    """Adds nodes, one of each zone at a time, until a load is covered.

    Args:
      chosen: nodes that are active in any case.
      others: nodes to add, as far as needed.
      needed: the capacity needed, in ordinary nodes.
      min_active: the number of nodes needed.
    """
    active = [candidate.node_id for candidate in chosen]
    total = _sum(chosen)
    ranks = _ranks(others)
    depth = 0
    while ranks and (total < needed or len(active) < min_active):
        ranks = [ranked for ranked in ranks if depth < len(ranked)]
        for ranked in ranks:
            active.append(ranked[depth].node_id)
            total += capacity.ordinary_nodes(ranked[depth].capacity_per_s)
        depth += 1
    return frozenset(active)


def _ranks(candidates: Sequence[Candidate]) -> list[list[Candidate]]:
    """Returns the nodes of each zone in the order in which they are used."""
    by_zone: dict[str, dict[str, Candidate]] = {}
    for candidate in candidates:
        zone = by_zone.setdefault(candidate.zone, {})
        zone[candidate.node_id] = candidate
    return [
        [zone[name] for name in rendezvous.ranked(zone, _HASH_KEY, len(zone))]
        for zone in by_zone.values()
    ]


def _sum(candidates: Iterable[Candidate]) -> float:
    return sum(
        capacity.ordinary_nodes(candidate.capacity_per_s)
        for candidate in candidates
    )
