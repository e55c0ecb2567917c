"""Endpoints, their registrations, and the connections to them."""

import enum
from collections import deque
from dataclasses import dataclass, field

# A second copy of an answer comes before the answers to later requests, so
# that only the last few requests can have one that is still to come.
_MAX_CARRIED_IDS = 16


class Registration(enum.Enum):
    """The state that an endpoint reports in its registration."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """A valid registration of an endpoint.

    Attributes:
      address: where it listens, as IP:PORT.
      slots: how many requests it runs at a time.
      warmup_left_ms: how much longer it is slow after its start.
      born_unix_ms: when it started; distinguishes instances that register
        under the same id.
    """

    endpoint_id: str
    service: str
    address: str
    zone: str
    slots: int
    registration: Registration
    warmup_left_ms: int = 0
    born_unix_ms: int = 0


@dataclass(frozen=True, slots=True)
class KnownEndpoint:
    """What was known of an endpoint when the store was restored.

    Attributes:
      entry: its last registration.
      is_gone: it was draining, or its registration had ended.
    """

    entry: EndpointEntry
    is_gone: bool


@dataclass(slots=True)
class RateLimit:
    """A limit that an endpoint has named in its answers.

    Attributes:
      max_requests_per_s: what it takes from all nodes together.
      named_ns: when an answer last named it.
      first_named_ns: when an answer first named it.
      refilled_ns: when tokens were last added.
      tokens: how many attempts this node may send now.
      sends: attempts that this node has sent since it was first named.
    """

    max_requests_per_s: float
    named_ns: int
    first_named_ns: int
    refilled_ns: int
    tokens: float = 0.0
    sends: int = 0


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The load that an endpoint states in an answer, from all nodes.

    Attributes:
      running: the requests that it runs.
      waiting: the requests that wait for a slot.
      slots: how many requests it runs at a time.
      duration_percent: how long work takes now, as a percentage of the usual
        time; None if not stated.
    """

    running: int
    waiting: int
    slots: int
    duration_percent: float | None = None


@dataclass(frozen=True, slots=True)
class StatedLoad:
    """What an endpoint last stated of the load that others cause.

    Attributes:
      others: requests running or waiting there that are not of this node.
      slots: how many requests it runs at a time.
      duration_ratio: how long work takes now, relative to the usual time; None
        if not stated.
      stated_ns: when the answer arrived.
    """

    others: int
    slots: int
    duration_ratio: float | None
    stated_ns: int


@dataclass(slots=True)
class Endpoint:
    """An endpoint and this node's statistics about it.

    Attributes:
      row_id: distinguishes rows of instances that register under the same id.
      registered: its registration is in the store.
      expires_at_ns: when it is removed after its registration expired in a
        store outage; 0 if it is registered.
      warm_from_ns: when its warm-up ends.
      idle_connection_ids: idle connections, the most recently used last.
      connection_count: connections of this node to it, in any state.
      in_flight: attempts on it, including abandoned ones.
      latency_ratio: moving average of the ratio of its latency to the route's
        expected work.
      latency_interval_ns: moving average of the time between its samples.
      expected_sum_ns: the expected work of the attempts on it.
      work_left_ns: how much of that was left at `work_left_at_ns`.
      no_answer_since_ns: since when attempts are outstanding without any
        answer; 0 if none is outstanding.
      consecutive_failures: failures since its last answer.
      ejected_until_ns: until when it gets no attempts after failures.
      error_rate: moving average of its failed attempts, from 0 to 1.
      backoff_until_ns: until when it has asked for no requests.
      overloaded_until_ns: until when a refusal raises its cost.
      rate_limit: how many requests it takes, as its answers say; None if they
        name no limit.
      leaving: it has said in an answer that it shuts down.
      evacuated: the operator wants nothing sent to the endpoints of its zone.
      stated_load: the load that it states; None if it states none.
    """

    entry: EndpointEntry
    row_id: int
    registered: bool = True
    expires_at_ns: int = 0
    warm_from_ns: int = 0
    idle_connection_ids: list[int] = field(default_factory=list)
    connection_count: int = 0
    in_flight: int = 0
    latency_ratio: float = 1.0
    latency_ratio_updated_ns: int = 0
    latency_interval_ns: float = 0.0
    expected_sum_ns: float = 0.0
    work_left_ns: float = 0.0
    work_left_at_ns: int = 0
    no_answer_since_ns: int = 0
    consecutive_failures: int = 0
    ejected_until_ns: int = 0
    error_rate: float = 0.0
    error_rate_updated_ns: int = 0
    backoff_until_ns: int = 0
    overloaded_until_ns: int = 0
    rate_limit: RateLimit | None = None
    leaving: bool = False
    evacuated: bool = False
    stated_load: StatedLoad | None = None

    @property
    def endpoint_id(self) -> str:
        """The id under which it is registered."""
        return self.entry.endpoint_id

    def take_over(self, earlier: "Endpoint") -> None:
        """Copies what an earlier row of the same run of it has recorded.

        Connections and requests stay with the earlier row.
        """
        self.latency_ratio = earlier.latency_ratio
        self.latency_ratio_updated_ns = earlier.latency_ratio_updated_ns
        self.latency_interval_ns = earlier.latency_interval_ns
        self.consecutive_failures = earlier.consecutive_failures
        self.ejected_until_ns = earlier.ejected_until_ns
        self.error_rate = earlier.error_rate
        self.error_rate_updated_ns = earlier.error_rate_updated_ns
        self.backoff_until_ns = earlier.backoff_until_ns
        self.overloaded_until_ns = earlier.overloaded_until_ns
        self.rate_limit = earlier.rate_limit

    def accepts_work(self) -> bool:
        """Returns whether it may be sent new work.

        An endpoint whose registration expired in a store outage may, until
        its grace period ends and its row is removed.
        """
        return (
            self.entry.registration is Registration.READY
            and not self.leaving
            and not self.evacuated
        )


class ConnectionState(enum.Enum):
    """The state of one connection to an endpoint."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"


@dataclass(slots=True)
class EndpointConnection:
    """A connection to an endpoint; it carries one attempt at a time.

    Attributes:
      endpoint_row_id: the row of the endpoint that it was opened to.
      state_since_ns: when it started to open or last became idle.
      attempt_id: the attempt on it, or waiting for it to open; 0 for none.
      reusable_until_ns: shortly before the endpoint may close it as idle; 0
        if unknown.
      carried_request_ids: the client ids of the last requests sent on it.
    """

    connection_id: int
    endpoint_id: str
    endpoint_row_id: int
    state: ConnectionState
    state_since_ns: int
    attempt_id: int = 0
    reusable_until_ns: int = 0
    carried_request_ids: deque[bytes] = field(
        default_factory=lambda: deque(maxlen=_MAX_CARRIED_IDS)
    )

    def record_carried(self, client_request_id: bytes) -> None:
        """Records that a request was sent on it."""
        self.carried_request_ids.append(client_request_id)

    def has_carried(self, client_request_id: bytes) -> bool:
        """Returns whether a request was sent on it recently."""
        return client_request_id in self.carried_request_ids


@dataclass(slots=True)
class ServicePool:
    """The endpoints of a service and the parts that wait for a connection.

    Attributes:
      removed_ns: when the endpoints that were removed lately were removed, by
        id.
      waiting: the waiting parts, as pairs of request id and part index.
    """

    service: str
    endpoints: list[Endpoint] = field(default_factory=list)
    removed_ns: dict[str, int] = field(default_factory=dict)
    waiting: deque[tuple[int, int]] = field(default_factory=deque)
