"""Endpoints, as they register themselves, and the connections to them."""

import enum
from collections import deque
from dataclasses import dataclass, field


class Registration(enum.Enum):
    """What an endpoint says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One readable registration of an endpoint.

    Attributes:
      born_unix_ms: when it started; tells two lives under one id apart.
      warmup_left_ms: how much longer it stays slow after its start.
    """

    endpoint_id: str
    service: str
    address: str
    zone: str
    slots: int
    registration: Registration
    warmup_left_ms: int = 0
    born_unix_ms: int = 0


@dataclass(slots=True)
class Endpoint:
    """An endpoint as this node sees it.

    Attributes:
      listed: its registration stands in the store.
      gone_at_ns: when it counts as gone after its registration lapsed.
      idle: free connections, the one used last at the end.
      connections: connections of this node, in any state.
      in_flight: attempts on it, those nobody waits for included.
      latency_ratio: its latency over that of its peers, 1.0 for an average one.
      silent_since_ns: since when it owes answers without giving any; 0 when
        it owes none.
      consecutive_failures: transport failures in a row.
      ejected_until_ns: until when it is left aside after failures.
    """

    entry: EndpointEntry
    listed: bool = True
    gone_at_ns: int = 0
    warm_at_ns: int = 0
    idle: list[int] = field(default_factory=list)
    connections: int = 0
    in_flight: int = 0
    latency_ratio: float = 1.0
    latency_ratio_updated_ns: int = 0
    silent_since_ns: int = 0
    last_sent_ns: int = 0
    consecutive_failures: int = 0
    ejected_until_ns: int = 0
    error_rate: float = 0.0
    error_rate_updated_ns: int = 0
    shed_until_ns: int = 0

    @property
    def endpoint_id(self) -> str:
        """Returns its id."""
        return self.entry.endpoint_id

    def accepts_work(self) -> bool:
        """Tells whether new work may be sent to it.

        One whose registration lapsed in an outage still may, until it counts
        as gone and its row is removed.
        """
        return self.entry.registration is Registration.READY


class ConnectionState(enum.Enum):
    """The state of one connection to an endpoint."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"


@dataclass(slots=True)
class EndpointConnection:
    """One connection to an endpoint; it carries one attempt at a time.

    Attributes:
      attempt_id: the attempt on it, or waiting for it to open; 0 for none.
      since_ns: when it entered its state.
      reusable_until_ns: when the endpoint may close it as idle; 0: unknown.
    """

    connection_id: int
    endpoint_id: str
    state: ConnectionState
    since_ns: int
    attempt_id: int = 0
    reusable_until_ns: int = 0


@dataclass(slots=True)
class ServicePool:
    """The endpoints of one service and the parts that wait for one.

    Attributes:
      waiting: parts that wait for a free connection: request id and index.
    """

    service: str
    endpoints: list[Endpoint] = field(default_factory=list)
    waiting: deque[tuple[int, int]] = field(default_factory=deque)
