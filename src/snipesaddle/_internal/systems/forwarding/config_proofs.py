"""Config proofs: whether one is required, and how old it may be."""

from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

_DEFAULT_MAX_MS = 5_000
# Reserved for what happens between the check and the send.
_MARGIN_NS = 250 * NS_PER_MS


def is_required(world: ForwardWorld) -> bool:
    """Returns whether requests with an API key need a proof."""
    return bool(world.settings.key_revocation.strict)


def share_ns(world: ForwardWorld, share: float) -> int:
    """Returns a share of the longest time for which a key may be accepted."""
    return int(_max_ns(world) * share)


def max_age_ns(world: ForwardWorld) -> int:
    """Returns the greatest age of a proof with which requests are served."""
    return _max_ns(world) - _MARGIN_NS


def is_older(world: ForwardWorld, age_ns: int, now_ns: int) -> bool:
    """Returns whether there is no proof of at most this age."""
    proven_ns = world.freshness.proven_ns
    return proven_ns is None or now_ns - proven_ns > age_ns


def started_since_restore(world: ForwardWorld, as_of_ns: int) -> bool:
    """Returns whether a call to the store started after the last restore.

    Its answer says nothing of what the store held before that.
    """
    restored_ns = world.store.restored_ns
    return restored_ns is None or as_of_ns >= restored_ns


def age_due_ns(world: ForwardWorld, age_ns: int, now_ns: int) -> int:
    """Returns when the proof reaches an age; now if there is none."""
    proven_ns = world.freshness.proven_ns
    return now_ns if proven_ns is None else proven_ns + age_ns


def _max_ns(world: ForwardWorld) -> int:
    max_ms = world.settings.key_revocation.max_ms or _DEFAULT_MAX_MS
    return max_ms * NS_PER_MS
