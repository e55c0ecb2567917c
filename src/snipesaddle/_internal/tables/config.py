"""The configuration in force: one generation and its services."""

import enum
from dataclasses import dataclass, field


class ServiceKind(enum.Enum):
    """What a service does."""

    SEARCH = "search"
    EXECUTE = "execute"


class WhenLate(enum.Enum):
    """What a class prefers when a shard is late."""

    PARTIAL = "partial"
    WAIT = "wait"


@dataclass(frozen=True, slots=True)
class LeafSpec:
    """A leaf as the service file declares it."""

    address: str
    zone: str
    slots: int
    connection_limit: int


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service in force, from its service file."""

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
        """Names the class for admission, hedging and metrics."""
        return f"{self.tenant}/{self.workload}"


@dataclass(frozen=True, slots=True)
class PublishRecord:
    """One accepted publish."""

    generation: int
    publish_id: str
    publisher: str
    at_unix_ms: int
    changed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Head:
    """A generation by digests; the content is fetched by digest.

    Attributes:
      services: the digest of each service's content, by service name.
      history: the newest publishes, newest last.
    """

    generation: int
    services: dict[str, str]
    history: tuple[PublishRecord, ...]


@dataclass(slots=True)
class Config:
    """The generation in force and the one being fetched.

    Attributes:
      blobs: service content by digest.
      fetching: a read of content from the store is in flight.
      watching: a watch of the store is in flight.
      watch_due_ns: when the store may be asked again.
      peer_request_due_ns: when to ask again for the pending generation.
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
