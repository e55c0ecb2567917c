"""Arrival checks: whether a new request is refused before any work."""

import abc
import enum

from snipesaddle._internal.systems.forwarding import (
    admission,
    config_freshness,
    config_proofs,
)
from snipesaddle._internal.systems.forwarding.refusals import (
    Refusal,
    bounded_retry_ms,
    not_run,
)
from snipesaddle._internal.tables.forwarding.commands import ErrorKind
from snipesaddle._internal.tables.forwarding.requests import Request
from snipesaddle._internal.tables.forwarding.world import ForwardWorld


class Hold(enum.Enum):
    """A request that waits for a decision before it is started."""

    HELD = enum.auto()


class ArrivalCheck(abc.ABC):
    """Decides whether a new request is refused before any work."""

    @abc.abstractmethod
    def refusal(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> Refusal | Hold | None:
        """Returns why a request is refused, or None.

        The last check may hold a request: it is in the table of requests, and
        another system starts or refuses it.
        """


class FreshnessCheck(ArrivalCheck):
    """Refuses requests whose keys may have been withdrawn meanwhile."""

    def refusal(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> Refusal | None:
        if not config_proofs.is_required(world):
            return None
        has_tenants = world.active_config.config.tenants is not None
        if not has_tenants or request.route.public:
            return None
        if config_freshness.demand(world, now_ns):
            return None
        world.counters.unproven_refusals += 1
        wait_ms = config_freshness.retry_after_ms(world, now_ns)
        return not_run("configuration not proven current", wait_ms)


class TenantCheck(ArrivalCheck):
    """Finds the tenant of a request, if the configuration has tenants."""

    def refusal(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> Refusal | None:
        tenants = world.active_config.config.tenants
        if tenants is None or request.route.public:
            return None
        keys = set(request.arrived.api_keys)
        if len(keys) == 1:
            request.tenant = tenants.find(keys.pop())
        if request.tenant is None:
            return Refusal(ErrorKind.UNAUTHORIZED, "no valid API key")
        return None


class LeavingCheck(ArrivalCheck):
    """Refuses what this node cannot finish before it exits."""

    def refusal(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> Refusal | None:
        return None if _may_finish(world, request) else not_run("leaving")


class EndpointRoomCheck(ArrivalCheck):
    """Refuses what too few endpoints have room for."""

    def refusal(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> Refusal | None:
        wait_ns = admission.wait_ns(world, request, now_ns)
        if not wait_ns:
            return None
        return not_run("endpoints want less work", bounded_retry_ms(wait_ns))


def _may_finish(world: ForwardWorld, request: Request) -> bool:
    """Returns whether this node can answer a request before it exits.

    A request that must run only once cannot be repeated when it is cut, so all
    of its time has to fit.
    """
    this_node = world.this_node
    if this_node.stop_requested:
        return False
    if not this_node.exit_deadline_ns:
        return True
    due_ns = (
        request.soft_deadline_ns
        if request.route.idempotent
        else request.deadline_ns
    )
    return due_ns <= this_node.exit_deadline_ns
