"""The base class of all systems, whatever tables they run over."""

import abc
from typing import Generic, TypeVar

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS

WorldT = TypeVar("WorldT")


class TickSystem(abc.ABC, Generic[WorldT]):
    """One group of decisions.

    A system reads events and rows, and writes rows and commands. It uses no
    socket, encoder or clock.
    """

    def start(self, world: WorldT, now_ns: int) -> None:
        """Sets the first timers; called once before the first tick."""
        del world, now_ns

    @abc.abstractmethod
    def run(self, world: WorldT, now_ns: int) -> None:
        """Handles the new events and the timers that are due at now_ns."""
