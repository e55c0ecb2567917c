"""Events: what adapters put into the inbox between ticks."""

from dataclasses import dataclass

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
    """A client's request was read in whole."""

    request: ArrivedRequest
    arrived_ns: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """A client closed its connection before its answer."""

    client_id: int


@dataclass(frozen=True, slots=True)
class DirectoryRequested:
    """A client asks where to connect."""

    client_id: int
    host: bytes
    zone: str


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection to an endpoint is up."""

    connection_id: int


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """A connection ended, or did not come up.

    Attributes:
      opened: it had been up.
    """

    connection_id: int
    opened: bool
    detail: str


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """An endpoint answered an attempt in whole.

    Attributes:
      reusable: the connection can carry another attempt.
      keep_alive_ms: how long the endpoint keeps it when idle; 0: not said.
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
      last_key: the last key of the page.
      item_revision: the highest revision of an item of the page.
    """

    range: Range
    items: dict[str, Item]
    revision: int
    last_key: str
    has_more: bool
    item_revision: int = 0


@dataclass(frozen=True, slots=True)
class RangeChanged:
    """A watch of a range returned, with changes or without."""

    range: Range
    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class RangeFailed:
    """A call for a range failed.

    Attributes:
      history_lost: the store no longer holds the changes asked for.
      answered: the store did answer, so it is reachable.
    """

    range: Range
    history_lost: bool
    detail: str


@dataclass(frozen=True, slots=True)
class PeerConfigReceived:
    """A peer gave a configuration, decoded already."""

    config: RouteConfig


@dataclass(frozen=True, slots=True)
class RelayUnsent:
    """A relay could not be sent: its node is not connected."""

    relay_id: int


@dataclass(frozen=True, slots=True)
class PresenceWritten:
    """This node's record lies in the store under a lease."""

    lease_id: int


@dataclass(frozen=True, slots=True)
class PresenceFailed:
    """A call for this node's record failed.

    Attributes:
      lease_lost: the store no longer knows the lease.
    """

    lease_lost: bool
    detail: str


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The platform asks this node to stop."""
