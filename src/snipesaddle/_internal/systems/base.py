"""The base class of the systems."""

import abc

from snipesaddle._internal.tables.world import World

NS_PER_MS = 1_000_000


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
