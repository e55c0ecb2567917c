"""Range caches: local copies of ranges of the store, kept up by watches."""

import enum
from dataclasses import dataclass, field

from snipesaddle._internal.tables.forwarding.endpoints import EndpointEntry
from snipesaddle._internal.tables.forwarding.fleet import NodeRecord
from snipesaddle._internal.tables.forwarding.routes import RouteConfig


class Range(enum.Enum):
    """A range of the store that this node caches."""

    # The members are keys on the hot path; an enum hashes its name anew.
    __hash__ = object.__hash__

    CONFIG = "config"
    ENDPOINTS = "endpoints"
    NODES = "nodes"


class SyncStage(enum.Enum):
    """How far a mirror has come."""

    LIST = "list"
    WATCH = "watch"


@dataclass(frozen=True, slots=True)
class UnreadableItem:
    """An item that names nothing usable; why is logged."""

    detail: str


Item = RouteConfig | EndpointEntry | NodeRecord | UnreadableItem


@dataclass(frozen=True, slots=True)
class Change:
    """An item of a range as it was written, or None when it was removed."""

    key: str
    item: Item | None
    revision: int


@dataclass(slots=True)
class RangeCache:
    """The state of one mirrored range.

    Attributes:
      revision: the store's revision that the copy is at.
      item_revision: the copy holds all changes of its items up to this
        revision.
      listed_revision: the highest revision of an item listed so far.
      after_key: the last key of the pages listed so far.
      listed: the items of the pages listed so far.
      calling: a call for it is in flight.
      synced_ns: when the store last answered for it.
    """

    range: Range
    stage: SyncStage = SyncStage.LIST
    revision: int = 0
    list_revision: int = 0
    item_revision: int = 0
    listed_revision: int = 0
    after_key: str = ""
    listed: dict[str, Item] = field(default_factory=dict)
    calling: bool = False
    failures: int = 0
    synced_ns: int = 0


@dataclass(slots=True)
class StoreHealth:
    """Whether the store answers this node.

    Attributes:
      lost_ns: when it was lost; 0 while it answers.
      regained_ns: when it last came back.
    """

    lost_ns: int = 0
    regained_ns: int = 0

    @property
    def is_ok(self) -> bool:
        """Tells whether it answers."""
        return self.lost_ns == 0
