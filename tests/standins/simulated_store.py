"""The platform's store of a simulated fleet: lists, watches and outages."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.fleet import NodeRecord
from snipesaddle._internal.tables.forwarding.store_ranges import (
    Change,
    Item,
    Range,
)

# Delivers an event to the node that made a call.
Deliver = Callable[[object], None]
_ANSWER_MS = 4.0
_REFUSAL_MS = 50.0


@dataclass(frozen=True)
class _Copy:
    """What the store held at some time."""

    revision: int
    items: dict[Range, dict[str, Item]]
    leases: dict[int, str]


class SimulatedStore:
    """A store whose clock is the queue of the fleet.

    A node has at most one call in flight for a range; a newer one replaces it.

    Attributes:
      revision: increases with each change.
      is_silent: calls get no answer, those that wait included, also not later.
      calls: all calls of lists and watches so far.
      answer_ms: how long an answer takes.
      era: increases with each restore; 0 if answers do not name it.
      leases: the node record that each lease keeps.
    """

    def __init__(self, at: Callable[[float, Callable[[], None]], None]) -> None:
        self.revision = 10
        self.is_silent = False
        self.calls = 0
        self.answer_ms = _ANSWER_MS
        self.era = 0
        self.leases: dict[int, str] = {}
        self._copy: _Copy | None = None
        self._at = at
        self._items: dict[Range, dict[str, Item]] = {kind: {} for kind in Range}
        self._changes: list[tuple[Range, Change]] = []
        self._numbers = itertools.count(1)
        self._keeps_watches = False
        self._oldest_revision = 0
        self._held_answers: list[Callable[[], None]] = []
        self._newest_call: dict[tuple[str, Range], int] = {}
        self._watches: dict[
            tuple[str, Range], tuple[commands.WatchRange, Deliver, int]
        ] = {}

    def fill(self, kind: Range, items: dict[str, Item]) -> None:
        """Puts the items of a range that were there from the beginning."""
        self._items[kind].update(items)

    def put(self, kind: Range, key: str, item: Item | None) -> None:
        """Writes an item, or removes it, and answers the watches."""
        self.revision += 1
        if item is None:
            self._items[kind].pop(key, None)
        else:
            self._items[kind][key] = item
        self._changes.append((kind, Change(key, item, self.revision)))
        for caller in list(self._watches):
            self._answer_watch(caller, only_changes=True)

    def take_copy(self) -> None:
        """Copies what the store holds."""
        items = {kind: dict(held) for kind, held in self._items.items()}
        self._copy = _Copy(self.revision, items, dict(self.leases))

    def restore(self) -> None:
        """Comes back from the copy; calls that wait are lost."""
        assert self._copy is not None
        self.era += 1
        copy = self._copy
        self.revision = copy.revision
        self._items = {kind: dict(held) for kind, held in copy.items.items()}
        self.leases = dict(copy.leases)
        self._changes = []
        self._oldest_revision = self.revision
        self._watches.clear()

    def write_presence(
        self, record: NodeRecord, lease_id: int
    ) -> events.PresenceWritten | events.PresenceFailed:
        """Writes a record under a lease, or under a new one."""
        if lease_id and self.leases.get(lease_id) != record.node_id:
            return events.PresenceFailed(True, "status 404", self.era)
        # Leases are assigned again after a restore.
        lease_id = lease_id or max(self.leases, default=0) + 1
        self.leases[lease_id] = record.node_id
        self.put(Range.NODES, record.node_id, record)
        return events.PresenceWritten(lease_id, self.era)

    def renew(
        self, lease_id: int
    ) -> events.PresenceWritten | events.PresenceFailed:
        """Renews a lease; one that is not known is lost."""
        if lease_id in self.leases:
            return events.PresenceWritten(lease_id, self.era)
        return events.PresenceFailed(True, "status 404", self.era)

    def expire(self, node_id: str) -> None:
        """Ends the lease of a node, which removes its record."""
        for lease_id, owner in list(self.leases.items()):
            if owner == node_id:
                del self.leases[lease_id]
        self.put(Range.NODES, node_id, None)

    def fall_silent(self, ms: float, *, keeps_watches: bool = False) -> None:
        """Answers nothing for a time; calls that are sent in it are lost.

        Args:
          ms: the time.
          keeps_watches: watches that wait are answered afterwards; otherwise
            they are lost, too.
        """
        self.is_silent = True
        self._keeps_watches = keeps_watches
        if not keeps_watches:
            self._watches.clear()
        self._at(ms, self._speak)

    def _speak(self) -> None:
        self.is_silent = False
        held, self._held_answers = self._held_answers, []
        for arrive in held:
            arrive()

    def call(
        self,
        caller: str,
        call: commands.ListRange | commands.WatchRange,
        deliver: Deliver,
        *,
        refused: bool,
        ignored: bool = False,
    ) -> None:
        """Takes a call of a node; a refused one fails soon."""
        self.calls += 1
        key = (caller, call.range)
        era = self.era
        number = self._newest_call[key] = next(self._numbers)
        self._watches.pop(key, None)

        def fail() -> None:
            if self._newest_call[key] == number:
                self._watches.pop(key, None)
                deliver(events.RangeFailed(call.range, False, "down"))

        def answer() -> None:
            if self._newest_call[key] != number or self.is_silent:
                return
            if era != self.era:
                # It was sent to the store before the restore.
                fail()
                return
            if isinstance(call, commands.ListRange):
                self._newest_call[key] = 0
                deliver(self._listed(call.range))
                return
            if call.revision > self.revision or (
                call.revision < self._oldest_revision
            ):
                self._newest_call[key] = 0
                lost = events.RangeFailed(call.range, True, "410", self.era)
                deliver(lost)
                return
            self._watches[key] = (call, deliver, number)
            self._answer_watch(key, only_changes=True)
            self._at(call.wait_ms, lambda: self._end_wait(key, number))

        if refused:
            self._at(_REFUSAL_MS, fail)
            return
        self._at(call.timeout_ms, fail)
        if not self.is_silent and not ignored:
            self._at(self.answer_ms, answer)

    def read_config(
        self,
        call: commands.ReadConfig,
        deliver: Deliver,
        *,
        refused: bool,
        ignored: bool,
    ) -> None:
        """Reads the configuration at some time between call and answer."""
        self.calls += 1
        failed = events.ConfigReadFailed(call.read_id, "down")
        self._at(
            _REFUSAL_MS if refused else call.timeout_ms, lambda: deliver(failed)
        )

        def read() -> None:
            item = self._items[Range.CONFIG].get("config")
            answer = events.ConfigRead(call.read_id, item, self.era)
            self._at(self.answer_ms / 2, lambda: self._answer(deliver, answer))

        if not (refused or ignored or self.is_silent):
            self._at(self.answer_ms / 2, read)

    def _answer(self, deliver: Deliver, answer: events.ConfigRead) -> None:
        if not self.is_silent:
            deliver(answer)

    def _listed(self, kind: Range) -> events.RangeListed:
        items = dict(self._items[kind])
        return events.RangeListed(
            kind, items, self.revision, "", False, self.revision, self.era
        )

    def _end_wait(self, key: tuple[str, Range], number: int) -> None:
        is_lost = self.is_silent and not self._keeps_watches
        if self._newest_call[key] == number and not is_lost:
            self._answer_watch(key, only_changes=False)

    def _answer_watch(
        self, key: tuple[str, Range], *, only_changes: bool
    ) -> None:
        waiting = self._watches.get(key)
        if waiting is None:
            return
        call, deliver, number = waiting
        changes = tuple(
            change
            for kind, change in self._changes
            if kind is call.range and change.revision > call.revision
        )
        if only_changes and not changes:
            return
        del self._watches[key]
        changed = events.RangeChanged(
            call.range, changes, self.revision, self.era
        )

        def arrive() -> None:
            if self.is_silent and self._keeps_watches:
                self._held_answers.append(arrive)
            elif self._newest_call[key] == number and not self.is_silent:
                self._newest_call[key] = 0
                deliver(changed)

        self._at(self.answer_ms, arrive)
