"""Quota buckets: takes tokens from, and returns them to, this node's buckets.

A node that has become the owner of a quota, or has not run for a while, does
not know what others have granted. It starts with few tokens, and at a low rate.
"""

from snipesaddle._internal.systems.forwarding import (
    activity,
    quota_limits,
    quota_owners,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, NS_PER_S
from snipesaddle._internal.tables.forwarding.quotas import (
    EndedQuota,
    OwnedQuota,
    OwnerCandidates,
    OwnShare,
    TokenBucket,
)
from snipesaddle._internal.tables.forwarding.tenants import Tenant
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# The longest wait that a refusal names.
MAX_WAIT_NS = 1 * NS_PER_S
# A share that is too small to save a whole token gets one only while it is
# wanted; otherwise all nodes of a large fleet would have one at the same time.
_SHARE_WANTED_NS = 1_000 * NS_PER_MS
# After this many heartbeat intervals without a review, this node has not run,
# and others may have taken over.
_MAX_REVIEW_GAP_BEATS = 2


def limited_tenant(world: ForwardWorld, name: str) -> Tenant | None:
    """Returns a tenant of the configuration that has a limit, or None."""
    tenants = world.active_config.config.tenants
    tenant = tenants.by_name(name) if tenants is not None else None
    return tenant if tenant is not None and tenant.rate_per_s > 0 else None


def review(world: ForwardWorld, now_ns: int) -> None:
    """Finds out which quotas this node owns, and refills their buckets."""
    quotas = world.quotas
    found = quota_owners.candidates(world, now_ns)
    if _has_paused(world, now_ns):
        for name in list(quotas.owned):
            _end(world, name, now_ns)
        quotas.reviewed_ids = frozenset()
    quotas.reviewed_ns = now_ns
    ids = frozenset(found.addresses)
    version = world.active_config.version
    if ids == quotas.reviewed_ids and version == quotas.reviewed_version:
        return
    quotas.reviewed_ids = ids
    quotas.reviewed_version = version
    _change_owned(world, found, now_ns)


def refill_all(world: ForwardWorld, now_ns: int) -> None:
    """Refills the buckets at the rate of now, and forgets old rows."""
    quotas = world.quotas
    found = quota_owners.candidates(world, now_ns)
    for name, owned in quotas.owned.items():
        owned_tenant = limited_tenant(world, name)
        if owned_tenant is not None:
            _refill(world, owned, owned_tenant, found.rate_ratio, now_ns)
    tenants = world.active_config.config.tenants
    for tenant in tenants.limited() if tenants is not None else ():
        own_share(world, tenant, now_ns)
    window_ns = quota_limits.rule(world).window_ns
    for name, ended in list(quotas.ended.items()):
        if now_ns - ended.ended_ns > window_ns:
            del quotas.ended[name]
    for rows in (quotas.own_shares, quotas.refusals):
        for name in [n for n in rows if limited_tenant(world, n) is None]:
            del rows[name]
    addresses = set(found.addresses.values())
    for address in [a for a in quotas.owner_peers if a not in addresses]:
        del quotas.owner_peers[address]


def take_owned_or_wait_ns(
    world: ForwardWorld, tenant: Tenant, now_ns: int
) -> int | None:
    """Takes a token of a quota that this node owns.

    Returns:
      0 if it was taken, else how long in ns until there is one; None if this
      node does not own the quota.
    """
    review(world, now_ns)
    owned = world.quotas.owned.get(tenant.name)
    if owned is None:
        return None
    ratio = quota_owners.candidates(world, now_ns).rate_ratio
    _refill(world, owned, tenant, ratio, now_ns)
    if owned.bucket.try_take() or owned.grace.try_take():
        return 0
    rate_per_s = quota_limits.owner_rate_per_s(tenant, ratio)
    return max(1, owned.bucket.wait_ns(rate_per_s, MAX_WAIT_NS))


def return_owned(world: ForwardWorld, tenant: Tenant, now_ns: int) -> None:
    """Puts a token back; does nothing if this node is not the owner."""
    owned = world.quotas.owned.get(tenant.name)
    if owned is not None:
        ratio = quota_owners.candidates(world, now_ns).rate_ratio
        _refill(world, owned, tenant, ratio, now_ns)
        most = quota_limits.max_tokens(tenant, ratio)
        owned.bucket.add(1.0, most, now_ns)


def own_share(world: ForwardWorld, tenant: Tenant, now_ns: int) -> OwnShare:
    """Returns this node's own share of a quota, refilled."""
    share = world.quotas.own_shares.get(tenant.name)
    if share is None:
        phase = world.rng.random()
        share = OwnShare(TokenBucket(phase, now_ns), phase)
        world.quotas.own_shares[tenant.name] = share
    bucket = share.bucket
    elapsed_s = (now_ns - bucket.refilled_ns) / NS_PER_S
    rate_per_s = quota_limits.own_share_per_s(world, tenant)
    most = share.phase + quota_limits.own_saved_tokens(world)
    if share.wanted_ns and now_ns - share.wanted_ns <= _SHARE_WANTED_NS:
        most = max(1.0, most)
    bucket.add(rate_per_s * elapsed_s, most, now_ns)
    return share


def take_share_or_wait_ns(
    world: ForwardWorld, tenant: Tenant, now_ns: int
) -> int:
    """Takes a token of this node's own share.

    Returns:
      0 if it was taken, else how long in ns until there is one.
    """
    share = own_share(world, tenant, now_ns)
    share.wanted_ns = now_ns
    bucket = share.bucket
    if bucket.try_take():
        return 0
    rate_per_s = quota_limits.own_share_per_s(world, tenant)
    return max(1, bucket.wait_ns(rate_per_s, MAX_WAIT_NS))


def return_share(world: ForwardWorld, tenant: Tenant) -> None:
    """Puts a token of this node's own share back."""
    share = world.quotas.own_shares.get(tenant.name)
    if share is not None:
        share.bucket.tokens += 1.0


def _has_paused(world: ForwardWorld, now_ns: int) -> bool:
    interval_ns = activity.heartbeat_interval_ns(world)
    gap_ns = now_ns - world.quotas.reviewed_ns
    return gap_ns > interval_ns * _MAX_REVIEW_GAP_BEATS


def _change_owned(
    world: ForwardWorld, found: OwnerCandidates, now_ns: int
) -> None:
    tenants = world.active_config.config.tenants
    this_id = world.this_node.node_id
    owned_names = set()
    for tenant in tenants.limited() if tenants is not None else ():
        if quota_owners.owner_of(found, tenant.name) == this_id:
            owned_names.add(tenant.name)
            if tenant.name not in world.quotas.owned:
                _begin(world, tenant, found, now_ns)
    for name in world.quotas.owned.keys() - owned_names:
        _end(world, name, now_ns)


def _begin(
    world: ForwardWorld, tenant: Tenant, found: OwnerCandidates, now_ns: int
) -> None:
    tokens = quota_limits.start_tokens(world, tenant)
    ended = world.quotas.ended.pop(tenant.name, None)
    if ended is not None:
        tokens = min(tokens, ended.tokens)
    bucket = TokenBucket(tokens, now_ns)
    grace = TokenBucket(0.0, now_ns)
    world.quotas.owned[tenant.name] = OwnedQuota(bucket, grace, now_ns)
    world.log(
        "quota_owned",
        tenant=tenant.name,
        rate_per_s=tenant.rate_per_s,
        burst=tenant.burst,
        tokens=round(tokens, 2),
        rate_ratio=round(found.rate_ratio, 3),
        candidates=len(found.addresses),
    )


def _end(world: ForwardWorld, name: str, now_ns: int) -> None:
    owned = world.quotas.owned.pop(name)
    world.quotas.ended[name] = EndedQuota(owned.bucket.tokens, now_ns)
    world.log("quota_released", tenant=name)


def _refill(
    world: ForwardWorld,
    owned: OwnedQuota,
    tenant: Tenant,
    ratio: float,
    now_ns: int,
) -> None:
    bucket = owned.bucket
    full_ns = quota_limits.ramped_ns(
        now_ns - owned.since_ns
    ) - quota_limits.ramped_ns(bucket.refilled_ns - owned.since_ns)
    rate_per_s = quota_limits.owner_rate_per_s(tenant, ratio)
    bucket.add(
        rate_per_s * full_ns / NS_PER_S,
        quota_limits.max_tokens(tenant, ratio),
        now_ns,
    )
    most = quota_limits.max_grace_tokens(world, ratio)
    elapsed_ns = now_ns - owned.grace.refilled_ns
    window_ns = quota_limits.rule(world).window_ns
    tokens = quota_limits.grace_per_window(world, ratio)
    owned.grace.add(tokens * elapsed_ns / window_ns, most, now_ns)
