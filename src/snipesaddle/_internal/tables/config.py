"""The configuration in force: a generation and its services."""

import enum
from dataclasses import dataclass, field


class ServiceKind(enum.Enum):
    """Whether a service answers searches or runs executions."""

    SEARCH = "search"
    EXECUTE = "execute"


class WhenLate(enum.Enum):
    """Whether a query returns a partial answer or waits for late shards."""

    PARTIAL = "partial"
    WAIT = "wait"


@dataclass(frozen=True, slots=True)
class LeafSpec:
    """A leaf as declared in the service file.

    Attributes:
      slots: number of requests that the leaf serves at once.
      connection_limit: number of connections that the leaf accepts, over all
        entry nodes.
    """

    address: str
    zone: str
    slots: int
    connection_limit: int


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service, as published from its service file.

    Attributes:
      priority: 0 is the most urgent.
      latency_budget_ms: the deadline of requests that name none.
      hedge_quantile: latency quantile after which a call is hedged.
      hedge_extra_load: maximum ratio of hedges to primary calls.
      min_coverage: answers that cover a smaller fraction are refused.
      grace_ms: how long past the deadline a query waits for late shards if
        `when_late` is WAIT.
      shards: the leaves of each shard, by shard name.
    """

    name: str
    workload: str
    kind: ServiceKind
    tenant: str
    priority: int
    latency_budget_ms: int
    hedge_quantile: float
    hedge_extra_load: float
    min_coverage: float
    when_late: WhenLate
    grace_ms: int
    shards: dict[str, tuple[LeafSpec, ...]]

    @property
    def class_name(self) -> str:
        """Returns the name of the class for hedging, retries and metrics."""
        return f"{self.tenant}/{self.workload}"


@dataclass(frozen=True, slots=True)
class PublishRecord:
    """One accepted publish.

    Attributes:
      changed: names of the services that were added, changed or removed.
    """

    generation: int
    publish_id: str
    publisher: str
    at_unix_ms: int
    changed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Head:
    """A generation of the configuration, with a digest for each service.

    Attributes:
      services: digest of each service's content, by service name.
      history: the most recent publishes, newest last.
    """

    generation: int
    services: dict[str, str]
    history: tuple[PublishRecord, ...]


@dataclass(slots=True)
class Config:
    """The generation in force and the one being fetched.

    Attributes:
      services_by_workload: names of the services of each workload.
      blobs: content of services, by digest.
      pending: a newer generation whose content is not complete yet.
      in_force_since_ns: when the generation in force was adopted.
      store_confirmed_ns: last time that the store returned a head at least as
        new as the one in force.
      watching: whether a watch of the store is in flight.
      fetching: whether a read of content from the store is in flight.
      watch_failures: consecutive failed watches, for exponential backoff.
      watch_due_ns: earliest time of the next watch.
      peer_request_due_ns: earliest time of the next request to a peer for a
        newer generation.
    """

    head: Head = field(default_factory=lambda: Head(0, {}, ()))
    services: dict[str, ServiceSpec] = field(default_factory=dict)
    services_by_workload: dict[str, tuple[str, ...]] = field(
        default_factory=dict
    )
    blobs: dict[str, ServiceSpec] = field(default_factory=dict)
    pending: Head | None = None
    in_force_since_ns: int = 0
    store_confirmed_ns: int = 0
    watching: bool = False
    fetching: bool = False
    watch_failures: int = 0
    watch_due_ns: int = 0
    peer_request_due_ns: int = 0

    @property
    def generation(self) -> int:
        """Returns the number of the generation in force; 0 for none."""
        return self.head.generation
