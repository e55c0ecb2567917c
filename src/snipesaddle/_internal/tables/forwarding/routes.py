"""Routes: which requests go to which services, and how."""

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services that share the requests of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A route of the configuration.

    Exactly one of `targets` and `shards` is filled: requests of a route with
    targets go to one endpoint of one of them; requests of a route with shards
    go to one endpoint of each, and the parts are merged.

    Attributes:
      prefix: the start of the paths that the route takes.
      idempotent: its requests may run more than once.
      max_attempts: the most endpoints that one request, or one part of it,
        may be sent to.
      top_k: how many of the greatest records a merged answer holds.
      min_coverage: the least share of shards of a merged answer.
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

    @property
    def services(self) -> tuple[str, ...]:
        """Returns the services that requests of this route may go to."""
        if self.shards:
            return self.shards
        return tuple(target.service for target in self.targets)


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """What the configuration says of a service.

    Attributes:
      max_connections: what each of its endpoints accepts from all callers.
    """

    name: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on what a client may send, and how slowly."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 60_000


@dataclass(frozen=True, slots=True)
class RouteConfig:
    """One version of the configuration.

    Attributes:
      source: the bytes that it was decoded from, for peers that lack it.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceLimits]
    limits: ClientLimits
    source: bytes = b""


class RouteIndex:
    """Finds the route of a host and a path."""

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self._by_host: dict[bytes, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: bytes, path: bytes) -> Route | None:
        """Returns the route with the longest prefix of the path, or None."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def routes_for_host(self, host: bytes) -> list[Route]:
        """Returns the routes of a host."""
        return self._by_host.get(host.lower(), [])


@dataclass(slots=True)
class ActiveConfig:
    """The version in force; version 0 before any is known."""

    config: RouteConfig = field(
        default_factory=lambda: RouteConfig(0, (), {}, ClientLimits())
    )
    index: RouteIndex = field(default_factory=RouteIndex)
    in_force_since_ns: int = 0

    @property
    def version(self) -> int:
        """Returns the number of the version in force."""
        return self.config.version
