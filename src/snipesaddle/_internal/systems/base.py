"""The base class of the systems."""

from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.world import World

__all__ = ["NS_PER_MS", "System", "align_to_grid"]

# Periodic work falls on this grid, so that one wake-up serves many timers.
_GRID_NS = 250 * NS_PER_MS


def align_to_grid(due_ns: int, interval_ns: int) -> int:
    """Returns the due time of periodic work, moved back to the grid.

    An interval below the grid is kept as it is.
    """
    if interval_ns < _GRID_NS:
        return due_ns
    return due_ns // _GRID_NS * _GRID_NS


class System(TickSystem[World]):
    """One group of decisions over the tables of searches and executions."""
