"""Capacity: how many attempts per second a node's machine can carry.

A node derives its own capacity from its settings and reports it to the
others. Where a fleet has nodes of very different capacity, the weak ones would
make requests late while strong ones have room.
"""

from snipesaddle._internal.models.forwarding import CapacitySettings
from snipesaddle._internal.systems.tick import NS_PER_S

# The cost of one attempt: processor time of a whole core, and bytes on the
# link of the node.
ATTEMPT_CORE_NS = 350_000
ATTEMPT_BYTES = 1_300
_BITS_PER_BYTE = 8
_BITS_PER_MBIT = 1_000_000
# An ordinary node has 0.717 of a core and 100 Mbit/s. The setting
# `attempts_per_node` is the load for one active node of this kind.
ORDINARY_ATTEMPTS_PER_S = 1_689
# A node below this part of the strongest node's capacity is weak.
_WEAK_RATIO = 0.5


def processor_ns(settings: CapacitySettings) -> float:
    """Returns how long the processor works on one attempt; 0 if unknown."""
    if settings.cpu_share is None:
        return 0.0
    return ATTEMPT_CORE_NS / settings.cpu_share


def link_ns(
    settings: CapacitySettings, attempt_bytes: float = ATTEMPT_BYTES
) -> float:
    """Returns how long the link is busy with one attempt; 0 if unknown."""
    if settings.link_mbps is None:
        return 0.0
    bits_per_s = settings.link_mbps * _BITS_PER_MBIT
    return attempt_bytes * _BITS_PER_BYTE * NS_PER_S / bits_per_s


def attempt_ns(settings: CapacitySettings) -> float:
    """Returns the time for which one attempt occupies a node.

    0 if neither the processor share nor the link is known.
    """
    return processor_ns(settings) + link_ns(settings)


def attempts_per_s(settings: CapacitySettings) -> int:
    """Returns the capacity of a node in attempts per second; 0 if unknown."""
    duration_ns = attempt_ns(settings)
    return max(1, round(NS_PER_S / duration_ns)) if duration_ns else 0


def ordinary_nodes(capacity_per_s: int) -> float:
    """Returns for how many ordinary nodes a node of a capacity stands."""
    if capacity_per_s <= 0:
        return 1.0
    return capacity_per_s / ORDINARY_ATTEMPTS_PER_S


def is_weak(capacity_per_s: int, strongest_per_s: int) -> bool:
    """Returns whether a node is weak compared with the strongest one.

    A node of unknown capacity is not.
    """
    return 0 < capacity_per_s < _WEAK_RATIO * strongest_per_s
