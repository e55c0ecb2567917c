"""Local caches of the ranges of the store, updated by watches."""

import enum
from dataclasses import dataclass, field

from snipesaddle._internal.tables.forwarding.endpoints import EndpointEntry
from snipesaddle._internal.tables.forwarding.evacuations import (
    ZoneEvacuation,
)
from snipesaddle._internal.tables.forwarding.fleet import NodeRecord
from snipesaddle._internal.tables.forwarding.routes import RouteConfig


class Range(enum.Enum):
    """A range of the store that this node caches."""

    # Members are dictionary keys on the hot path, and Enum.__hash__ hashes the
    # name on every call.
    __hash__ = object.__hash__

    CONFIG = "config"
    ENDPOINTS = "endpoints"
    NODES = "nodes"


class SyncStage(enum.Enum):
    """The next call for a range: list it, or watch it."""

    LIST = "list"
    WATCH = "watch"


@dataclass(frozen=True, slots=True)
class UnreadableItem:
    """An item that could not be decoded.

    Attributes:
      detail: the reason, for the log.
    """

    detail: str


Item = (
    RouteConfig | ZoneEvacuation | EndpointEntry | NodeRecord | UnreadableItem
)


@dataclass(frozen=True, slots=True)
class Change:
    """A change of an item.

    Attributes:
      item: the new item; None if it was removed.
    """

    key: str
    item: Item | None
    revision: int


@dataclass(slots=True)
class RangeCache:
    """The state of one cached range.

    Attributes:
      revision: the store revision from which the next watch continues.
      first_page_revision: the store revision at the first page of the list.
      item_revision: the revision of the newest change of an item up to which
        all changes are known.
      max_listed_revision: the highest revision of an item listed so far.
      after_key: the last key of the pages listed so far.
      listed_items: the items of the pages listed so far.
      call_in_flight: a list or watch call is in flight.
      call_started_ns: when the last call started.
      stalled_calls: watches in a row that were replaced because they delivered
        no changes while other nodes received some.
      consecutive_failures: failed calls since the last successful one.
      last_reply_ns: when the store last answered a call for it; 0 for never.
      confirmed_ns: when an answer last showed that all changes are known; 0
        for never.
      waits: the call in flight is a watch that waits for changes.
      answer_due_ns: when that watch is answered at the latest, with or without
        changes, if the store is not silent.
      overdue: nobody has confirmed the data for too long, so that a watch in
        flight may be lost; until the next answer.
      call_era: the known era of the store when the last call started.
      revision_before_restore: where the range stood before a restore of the
        store, until it has been listed again; None otherwise.
    """

    range: Range
    stage: SyncStage = SyncStage.LIST
    revision: int = 0
    first_page_revision: int = 0
    item_revision: int = 0
    max_listed_revision: int = 0
    after_key: str = ""
    listed_items: dict[str, Item] = field(default_factory=dict)
    call_in_flight: bool = False
    call_started_ns: int = 0
    stalled_calls: int = 0
    consecutive_failures: int = 0
    last_reply_ns: int = 0
    confirmed_ns: int = 0
    waits: bool = False
    answer_due_ns: int = 0
    overdue: bool = False
    call_era: int = 0
    revision_before_restore: int | None = None

    def forget(self) -> None:
        """Forgets the revisions, which a restore of the store has ended."""
        if self.revision_before_restore is None:
            self.revision_before_restore = self.revision
        self.stage = SyncStage.LIST
        self.revision = 0
        self.first_page_revision = 0
        self.item_revision = 0
        self.max_listed_revision = 0
        self.after_key = ""
        self.listed_items = {}
        self.call_in_flight = False
        self.stalled_calls = 0
        self.confirmed_ns = 0
        self.waits = False
        self.overdue = False


# How long ago the store recovered, if it was never out of reach.
NEVER_RECOVERED = -1
_NS_PER_MS = 1_000_000


@dataclass(slots=True)
class StoreHealth:
    """Whether the store is reachable from this node.

    Attributes:
      lost_since_ns: when it became unreachable; 0 while it is reachable.
      recovered_ns: when it last became reachable again; 0 for never.
      peer_confirmed_ns: when a peer whose data are no newer than those held
        here last had answers; 0 for never.
      peer_answered_ns: when a peer last had answers, whatever data it holds; 0
        for never.
      peer_overdue_ns: when a peer last told that answers of the store to it are
        overdue; 0 if none has since the last answer.
      era: the highest era of the store known here; 0 if it names none.
      restored_ns: when this node learned of the last restore; None for never.
    """

    lost_since_ns: int = 0
    recovered_ns: int = 0
    peer_confirmed_ns: int = 0
    peer_answered_ns: int = 0
    peer_overdue_ns: int = 0
    era: int = 0
    restored_ns: int | None = None

    @property
    def is_ok(self) -> bool:
        """Whether the store is reachable."""
        return self.lost_since_ns == 0

    def recovered_ago_ms(self, now_ns: int) -> int:
        """Returns how long ago it recovered, or NEVER_RECOVERED."""
        if not self.recovered_ns:
            return NEVER_RECOVERED
        return (now_ns - self.recovered_ns) // _NS_PER_MS

    def record_peer_recovery(self, recovered_ago_ms: int, now_ns: int) -> None:
        """Records when it recovered for a peer, if that was later."""
        if recovered_ago_ms != NEVER_RECOVERED:
            recovered_ns = now_ns - recovered_ago_ms * _NS_PER_MS
            self.recovered_ns = max(self.recovered_ns, recovered_ns)
