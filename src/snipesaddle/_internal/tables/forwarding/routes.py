"""Routes: which requests go to which services, and with what limits."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from snipesaddle._internal.tables.forwarding.tenants import TenantIndex


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a weighted share of the requests of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A route of the configuration.

    Exactly one of `targets` and `shards` is non-empty. A request of a route
    with targets goes to one endpoint of one target. A request of a route with
    shards goes to one endpoint of each shard, and the answers are merged.

    Attributes:
      prefix: the path prefix that the route matches.
      idempotent: whether its requests may run more than once.
      timeout_ms: the longest time until a request gets its final answer.
      target_latency_ms: the time within which an answer has its full value.
      max_attempts: the most endpoints that may run one part of a request.
      top_k: the number of greatest records in a merged answer.
      min_coverage: the smallest share of shards in a merged answer, 0 to 1.
      public: its requests need no API key.
    """

    name: str
    host: bytes
    prefix: bytes
    idempotent: bool
    timeout_ms: int
    target_latency_ms: int
    max_attempts: int
    priority: int
    targets: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top_k: int = 0
    min_coverage: float = 1.0
    public: bool = False

    @property
    def services(self) -> tuple[str, ...]:
        """Returns the services that requests of this route may be sent to."""
        if self.shards:
            return self.shards
        return tuple(target.service for target in self.targets)


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """The configured limits of a service.

    Attributes:
      max_connections: the connections that each of its endpoints accepts from
        all callers together.
    """

    name: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size and the slowness of client requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 60_000


@dataclass(frozen=True, slots=True)
class RouteConfig:
    """One version of the configuration.

    Attributes:
      tenants: whose requests are served; None if requests need no API key.
      source: the bytes that it was decoded from, sent to peers that lack it.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceLimits]
    limits: ClientLimits
    source: bytes = field(default=b"", repr=False)
    tenants: TenantIndex | None = None


class RouteIndex:
    """Finds the route of a host and a path."""

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self._by_host: dict[bytes, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: bytes, path: bytes) -> Route | None:
        """Returns the route with the longest matching prefix, or None."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def routes_for_host(self, host: bytes) -> list[Route]:
        """Returns the routes of a host."""
        return self._by_host.get(host.lower(), [])


@dataclass(slots=True)
class ActiveConfig:
    """The configuration in force; version 0 until one is known."""

    config: RouteConfig = field(
        default_factory=lambda: RouteConfig(0, (), {}, ClientLimits())
    )
    index: RouteIndex = field(default_factory=RouteIndex)

    @property
    def version(self) -> int:
        """Returns the number of the version in force."""
        return self.config.version
