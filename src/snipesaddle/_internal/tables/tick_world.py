"""The part of the tables that every tick uses, whatever they hold."""

import itertools
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from snipesaddle._internal.tables.inbox import Inbox
from snipesaddle._internal.tables.timers import Timers

CommandT = TypeVar("CommandT")


@dataclass(slots=True, kw_only=True)
class TickCounters:
    """Counters that every tick updates, since the start of the process.

    Attributes:
      unexpected_errors: errors in systems, commands and calls.
    """

    ticks: int = 0
    unexpected_errors: int = 0


@dataclass(slots=True, kw_only=True)
class TickWorld(Generic[CommandT]):
    """Tables that systems run over in ticks.

    Attributes:
      inbox: the events for the next tick.
      outbox: the commands that the systems have emitted in this tick.
      ids: the ids that rows and messages get, in their order.
    """

    inbox: Inbox = field(default_factory=Inbox)
    outbox: list[CommandT] = field(default_factory=list)
    timers: Timers = field(default_factory=Timers)
    counters: TickCounters = field(default_factory=TickCounters)
    ids: "itertools.count[int]" = field(
        default_factory=lambda: itertools.count(1)
    )

    def emit(self, command: CommandT) -> None:
        """Adds a command, to be carried out after the tick."""
        self.outbox.append(command)

    def next_id(self) -> int:
        """Returns an id that is unique within this process."""
        return next(self.ids)
