"""Base classes of the systems and of their order, whatever tables they use."""

import abc
from collections.abc import Sequence
from typing import Any, Generic, TypeVar

from snipesaddle._internal.tables.tick_world import TickWorld

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS

WorldT = TypeVar("WorldT", bound=TickWorld[Any])
CommandT = TypeVar("CommandT")


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


class TickSchedule(abc.ABC, Generic[WorldT, CommandT]):
    """Runs systems over the tables in a fixed order."""

    def __init__(
        self, systems: Sequence[TickSystem[WorldT]], max_passes: int
    ) -> None:
        """Initializes the schedule.

        Args:
          systems: in the order in which they run.
          max_passes: the most runs of all systems in one tick.
        """
        self._systems = tuple(systems)
        self._max_passes = max_passes

    def start(self, world: WorldT, now_ns: int) -> None:
        """Starts each system, which sets its first timers."""
        for system in self._systems:
            system.start(world, now_ns)

    def tick(self, world: WorldT, now_ns: int) -> list[CommandT]:
        """Runs the systems and returns the commands that they emitted.

        An error that a system does not contain itself ends its run only.
        Further passes follow, up to a maximum, while a system has left work
        for an earlier one.
        """
        world.counters.ticks += 1
        for _ in range(self._max_passes):
            for system in self._systems:
                try:
                    system.run(world, now_ns)
                except Exception as error:
                    self._report(world, error, now_ns)
            if not self._needs_another_pass(world):
                break
        commands, world.outbox = world.outbox, []
        return commands

    @abc.abstractmethod
    def _needs_another_pass(self, world: WorldT) -> bool:
        """Returns whether a system has left work for an earlier one."""

    @abc.abstractmethod
    def _report(self, world: WorldT, error: Exception, now_ns: int) -> None:
        """Counts an unexpected error, and has it logged."""
