"""Quota charges: returns the tokens of counted requests that have not run."""

from snipesaddle._internal.systems.forwarding import quota_buckets
from snipesaddle._internal.tables.forwarding.commands import SendToNode
from snipesaddle._internal.tables.forwarding.messages import QuotaReturn
from snipesaddle._internal.tables.forwarding.quotas import (
    QuotaCharge,
    QuotaSource,
)
from snipesaddle._internal.tables.forwarding.requests import Request
from snipesaddle._internal.tables.forwarding.world import ForwardWorld


def give_back(world: ForwardWorld, request: Request, now_ns: int) -> None:
    """Returns the token of a request that certainly has not run, if any."""
    charge = request.quota_charge
    request.quota_charge = None
    if charge is not None:
        _return(world, charge, now_ns)


def return_unused(world: ForwardWorld, tenant: str, peer_address: str) -> None:
    """Returns a token to its owner that came too late for its request."""
    world.counters.quota_returns += 1
    world.emit(SendToNode(peer_address, QuotaReturn(tenant)))


def _return(world: ForwardWorld, charge: QuotaCharge, now_ns: int) -> None:
    if charge.source is QuotaSource.OTHER_NODE:
        return_unused(world, charge.tenant, charge.peer_address)
        return
    world.counters.quota_returns += 1
    tenant = quota_buckets.limited_tenant(world, charge.tenant)
    if tenant is None:
        return
    if charge.source is QuotaSource.OWNED:
        quota_buckets.return_owned(world, tenant, now_ns)
    else:
        quota_buckets.return_share(world, tenant)
