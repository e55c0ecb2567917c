"""Events that adapters put into the inbox between ticks."""

from dataclasses import dataclass

from snipesaddle._internal.tables.forwarding.messages import FleetMessage
from snipesaddle._internal.tables.forwarding.requests import (
    ArrivedRequest,
    EndpointAnswer,
)
from snipesaddle._internal.tables.forwarding.routes import RouteConfig
from snipesaddle._internal.tables.forwarding.store_ranges import (
    Change,
    Item,
    Range,
)


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request was read completely."""

    request: ArrivedRequest
    arrived_ns: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """A client closed its connection before it got its answer."""

    client_id: int


@dataclass(frozen=True, slots=True)
class DirectoryRequested:
    """A client asked which nodes to use."""

    client_id: int
    host: bytes
    zone: str


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection to an endpoint was opened."""

    connection_id: int


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """A connection to an endpoint was closed or could not be opened.

    Attributes:
      opened: the connection had been open.
      detail: the cause.
    """

    connection_id: int
    opened: bool
    detail: str


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """An endpoint answered an attempt completely.

    Attributes:
      reusable: the connection can carry another attempt.
      keep_alive_ms: how long the endpoint keeps the connection open when
        idle; 0 if not given.
    """

    connection_id: int
    attempt_id: int
    answer: EndpointAnswer
    reusable: bool
    keep_alive_ms: int


@dataclass(frozen=True, slots=True)
class RangeListed:
    """A page of a range was read.

    Attributes:
      items: the items of the page, by key.
      revision: the revision of the store when it was read.
      last_key: the last key of the page.
      has_more: another page follows.
      item_revision: the highest revision of an item of the page.
      era: the era of the store that answered; 0 if it names none.
    """

    range: Range
    items: dict[str, Item]
    revision: int
    last_key: str
    has_more: bool
    item_revision: int = 0
    era: int = 0


@dataclass(frozen=True, slots=True)
class RangeChanged:
    """A watch of a range returned, with or without changes.

    Attributes:
      revision: the revision from which the next watch continues.
      era: the era of the store that answered; 0 if it names none.
    """

    range: Range
    changes: tuple[Change, ...]
    revision: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class RangeFailed:
    """A list or watch call for a range failed.

    Attributes:
      history_lost: the store no longer holds the requested changes; it is
        reachable, and the range has to be listed again.
      era: the era of the store that answered; 0 if it names none or did not
        answer.
    """

    range: Range
    history_lost: bool
    detail: str
    era: int = 0


@dataclass(frozen=True, slots=True)
class ConfigRead:
    """A read of the configuration's key was answered.

    Attributes:
      item: the configuration; None if the store holds none.
      era: the era of the store that answered; 0 if it names none.
    """

    read_id: int
    item: Item | None
    era: int = 0


@dataclass(frozen=True, slots=True)
class ConfigReadFailed:
    """A read of the configuration's key failed."""

    read_id: int
    detail: str


@dataclass(frozen=True, slots=True)
class PeerConfigReceived:
    """A peer sent a configuration, which is already decoded."""

    config: RouteConfig


@dataclass(frozen=True, slots=True)
class RelayUnsent:
    """A relay was not sent, because its node is not connected."""

    relay_id: int


@dataclass(frozen=True, slots=True)
class MessageUnsent:
    """A message was not sent, because its node is not connected."""

    peer_address: str
    message: FleetMessage


@dataclass(frozen=True, slots=True)
class PresenceWritten:
    """This node's record was written, or its lease was renewed.

    Attributes:
      era: the era of the store in which a new lease was granted, or an earlier
        one was used; 0 if the store names none.
    """

    lease_id: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class PresenceFailed:
    """A call to write this node's record or to renew its lease failed.

    Attributes:
      lease_lost: the lease no longer exists in the store.
      era: the era of the store that answered; 0 if it names none or did not
        answer.
    """

    lease_lost: bool
    detail: str
    era: int = 0


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The platform asked this node to stop."""
