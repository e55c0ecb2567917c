"""Quota limits: how the limit of a tenant is divided, so that the rule holds.

The owner has one part, and the nodes' own shares, for when they cannot ask it,
have another that is reserved for them. docs/design/quotas.md has the sums.
"""

from dataclasses import dataclass

from snipesaddle._internal.systems.forwarding import fleet_shares
from snipesaddle._internal.systems.tick import NS_PER_S
from snipesaddle._internal.tables.forwarding.tenants import Tenant
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

_WINDOW_S = 5
_OVERAGE = 0.1
_SLACK = 20.0
# The parts of the overage and of the slack that the nodes' own shares may use
# in a window, and the part of the slack that they save together.
_SHARES_OF_OVERAGE = 0.7
_SHARES_OF_SLACK = 0.15
_SAVED_OF_SLACK = 0.1
# Parts of the slack for requests that find the quota used up: what an owner
# saves, and what it grants besides in a window. The rule allows these
# as well; what is left of the slack is for changes of the owner.
_GRACE_SAVED_OF_SLACK = 0.35
_GRACE_OF_SLACK = 0.1
# An owner starts with what its tenant may use in this time, and with this many
# tokens at least, but with no more than this part of the slack.
_START_S = 0.5
_MIN_START = 2.0
_START_OF_SLACK = 0.15
# A new owner reaches its full rate in this time, as others may take the one
# before for the owner until they have got its next heartbeats.
_RAMP_NS = 1 * NS_PER_S


@dataclass(frozen=True, slots=True)
class QuotaRule:
    """How exactly the quotas are kept by all nodes together."""

    window_ns: int
    overage: float
    slack: float


def rule(world: ForwardWorld) -> QuotaRule:
    """Returns the rule that the settings state, or the usual one."""
    settings = world.settings.quotas
    window_s = _WINDOW_S if settings.window_s is None else settings.window_s
    return QuotaRule(
        window_s * NS_PER_S,
        _OVERAGE if settings.overage is None else settings.overage,
        _SLACK if settings.slack is None else settings.slack,
    )


def owner_rate_per_s(tenant: Tenant, ratio: float) -> float:
    """Returns the rate that an owner grants.

    Args:
      tenant: whose limit it is.
      ratio: the part of the limit that the owner may grant.
    """
    return tenant.rate_per_s * ratio


def max_tokens(tenant: Tenant, ratio: float) -> float:
    """Returns the most tokens that an owner saves."""
    return max(1.0, tenant.burst * ratio)


def max_grace_tokens(world: ForwardWorld, ratio: float) -> float:
    """Returns what an owner saves beyond the quota."""
    return rule(world).slack * _GRACE_SAVED_OF_SLACK * ratio


def grace_per_window(world: ForwardWorld, ratio: float) -> float:
    """Returns what an owner grants beyond the quota and that in a window."""
    return rule(world).slack * _GRACE_OF_SLACK * ratio


def start_tokens(world: ForwardWorld, tenant: Tenant) -> float:
    """Returns the tokens of a new owner, which knows of no earlier use."""
    usual = max(_MIN_START, tenant.rate_per_s * _START_S)
    return min(usual, rule(world).slack * _START_OF_SLACK)


def own_share_per_s(world: ForwardWorld, tenant: Tenant) -> float:
    """Returns what this node may use without asking the owner."""
    limits = rule(world)
    in_window = limits.slack * _SHARES_OF_SLACK / limits.window_ns * NS_PER_S
    overage = tenant.rate_per_s * limits.overage * _SHARES_OF_OVERAGE
    # A tenant with a low limit gets no more than that.
    reserved = min(tenant.rate_per_s, overage + in_window)
    return fleet_shares.share_of(world, reserved)


def own_saved_tokens(world: ForwardWorld) -> float:
    """Returns the most tokens of its own share that this node saves."""
    return fleet_shares.share_of(world, rule(world).slack * _SAVED_OF_SLACK)


def ramped_ns(age_ns: int) -> float:
    """Returns for how long at full rate an owner of an age has granted."""
    if age_ns >= _RAMP_NS:
        return age_ns - _RAMP_NS / 2
    return age_ns * age_ns / (2 * _RAMP_NS)
