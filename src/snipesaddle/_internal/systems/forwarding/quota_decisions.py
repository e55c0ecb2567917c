"""Quota decisions: whether a request may run, as far as this node can tell."""

import math

from snipesaddle._internal.systems.forwarding import (
    quota_buckets,
    quota_owners,
)
from snipesaddle._internal.systems.forwarding.refusals import Refusal
from snipesaddle._internal.systems.tick import NS_PER_MS, NS_PER_S
from snipesaddle._internal.tables.forwarding.commands import ErrorKind
from snipesaddle._internal.tables.forwarding.quotas import (
    QuotaCharge,
    QuotaSource,
)
from snipesaddle._internal.tables.forwarding.requests import Request
from snipesaddle._internal.tables.forwarding.tenants import Tenant
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# Refusals of a tenant are logged together, once in this time.
_LOG_INTERVAL_NS = 1 * NS_PER_S


def remembered_refusal(
    world: ForwardWorld, tenant: Tenant, now_ns: int
) -> Refusal | None:
    """Returns a refusal while the owner is known to have no room."""
    known = world.quotas.refusals.get(tenant.name)
    if known is None or now_ns >= known.no_room_until_ns:
        return None
    return over_quota(world, tenant, known.no_room_until_ns - now_ns, now_ns)


def decide_as_owner(
    world: ForwardWorld, request: Request, tenant: Tenant, wait_ns: int
) -> bool:
    """Charges a request that the owned quota has room for.

    Args:
      world: the tables.
      request: the request.
      tenant: its tenant.
      wait_ns: how long until the owned quota has room; 0 for now.
    """
    if wait_ns:
        return False
    world.counters.quota_grants += 1
    request.quota_charge = QuotaCharge(tenant.name, QuotaSource.OWNED)
    return True


def charge_own_share_or_wait_ns(
    world: ForwardWorld, request: Request, tenant: Tenant, now_ns: int
) -> int:
    """Charges a request to this node's own share if that has room.

    Returns:
      0 if it was charged, else how long in ns until there is room.
    """
    wait_ns = quota_buckets.take_share_or_wait_ns(world, tenant, now_ns)
    if not wait_ns:
        world.counters.quota_own_share_uses += 1
        request.quota_charge = QuotaCharge(tenant.name, QuotaSource.OWN_SHARE)
    return wait_ns


def decide_alone(
    world: ForwardWorld,
    request: Request,
    tenant: Tenant,
    max_wait_ns: int,
    now_ns: int,
) -> Refusal | None:
    """Decides by this node's own share.

    Args:
      world: the tables.
      request: the request.
      tenant: its tenant.
      max_wait_ns: how long until there may be room elsewhere.
      now_ns: the time of the tick.
    """
    wait_ns = charge_own_share_or_wait_ns(world, request, tenant, now_ns)
    if not wait_ns:
        return None
    return over_quota(world, tenant, min(wait_ns, max_wait_ns), now_ns)


def grants_whole_limit(world: ForwardWorld, now_ns: int) -> bool:
    """Returns whether this node, as an owner, grants all of a limit."""
    return quota_owners.candidates(world, now_ns).rate_ratio >= 1


def over_quota(
    world: ForwardWorld, tenant: Tenant, wait_ns: int, now_ns: int
) -> Refusal:
    """Returns the refusal of a request beyond its tenant's quota."""
    world.counters.quota_refusals += 1
    wait_ns = min(wait_ns, quota_buckets.MAX_WAIT_NS)
    row = world.quotas.refusals_of(tenant.name)
    row.unlogged += 1
    if now_ns >= row.log_due_ns:
        world.log(
            "tenant_over_quota",
            tenant=tenant.name,
            refused=row.unlogged,
            rate_per_s=tenant.rate_per_s,
            wait_ms=wait_ns // NS_PER_MS,
        )
        row.unlogged = 0
        row.log_due_ns = now_ns + _LOG_INTERVAL_NS
    retry_after_ms = max(1, math.ceil(wait_ns / NS_PER_MS))
    return Refusal(ErrorKind.OVER_QUOTA, "over quota", retry_after_ms)
