"""The base class of the systems."""

import abc

from snipesaddle._internal.tables.world import World

NS_PER_MS = 1_000_000
# Periodic work falls on this grid, so that one wake-up serves many timers.
_GRID_NS = 250 * NS_PER_MS


def on_grid(due_ns: int, interval_ns: int) -> int:
    """Returns the due time of periodic work, moved back to the grid.

    An interval below the grid is kept as it is.
    """
    if interval_ns < _GRID_NS:
        return due_ns
    return due_ns // _GRID_NS * _GRID_NS


class System(abc.ABC):
    """One group of decisions.

    A system reads events and rows, and writes rows and commands. It touches
    no socket, no encoder and no clock.
    """

    def start(self, world: World, now_ns: int) -> None:
        """Sets the first timers; called once before the first tick."""
        del world, now_ns

    @abc.abstractmethod
    def run(self, world: World, now_ns: int) -> None:
        """Decides on all that is new or due at now_ns."""
