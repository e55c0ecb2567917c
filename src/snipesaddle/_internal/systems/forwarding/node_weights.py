"""Node weights: how much of the new work unequal nodes get.

The weights follow from the capacities alone. Clients close their connections to
a node that a newer directory answer lacks, so answers that followed the load of
each moment would cost more than they spread.
"""

from collections.abc import Sequence

from snipesaddle._internal.systems import rendezvous
from snipesaddle._internal.systems.forwarding import capacity
from snipesaddle._internal.tables.forwarding.fleet import NodeRecord

_MAX_HASH = 1 << 64


def of(capacities_per_s: Sequence[int]) -> list[float]:
    """Returns the weights of nodes by their capacities, 1 for most.

    A weak node has the weight of its capacity against the strongest.
    """
    strongest_per_s = max(capacities_per_s, default=0)
    return [
        per_s / strongest_per_s
        if capacity.is_weak(per_s, strongest_per_s)
        else 1.0
        for per_s in capacities_per_s
    ]


def of_records(records: Sequence[NodeRecord]) -> list[float]:
    """Returns the weights of nodes by their records."""
    return of([record.capacity_per_s for record in records])


def is_listed(address: str, client_zone: str, weight: float) -> bool:
    """Returns whether the clients of a zone get to know a node.

    A weak node is listed for the clients of some zones, always the same.
    """
    return weight >= 1 or (
        rendezvous.weight(address, client_zone) < weight * _MAX_HASH
    )
