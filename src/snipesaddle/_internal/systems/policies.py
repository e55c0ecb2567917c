"""Policies: choose the leaf of a call and the delay before a hedge."""

import abc

from snipesaddle._internal.systems.base import NS_PER_MS
from snipesaddle._internal.tables.config import ServiceSpec
from snipesaddle._internal.tables.leaves import Leaf
from snipesaddle._internal.tables.world import World

_MIN_HEDGE_DELAY_NS = 1 * NS_PER_MS
_FIXED_HEDGE_DELAY_NS = 10 * NS_PER_MS
_MIN_DELAY_MEDIAN_RATIO = 1.5
_MAX_DELAY_MEDIAN_RATIO = 3.0
_DEFAULT_LATENCY_NS = 5 * NS_PER_MS
_LATENCY_HALF_LIFE_NS = 2_000 * NS_PER_MS
# Added to the cost of a leaf without an idle link: a connection must be opened
# first.
_CONNECT_COST_NS = 6 * NS_PER_MS
# Random spread of costs, so that nodes do not all choose the same leaf.
_JITTER_RATIO = 0.1


class LeafPolicy(abc.ABC):
    """Chooses leaves and hedge delays."""

    @abc.abstractmethod
    def choose(self, world: World, leaves: list[Leaf], now_ns: int) -> Leaf:
        """Returns one of a non-empty list of leaves with a free link."""

    @abc.abstractmethod
    def hedge_delay_ns(
        self, world: World, spec: ServiceSpec, now_ns: int
    ) -> int | None:
        """Returns how long to wait before a hedge; None for no hedge."""

    def hedges_are_budgeted(self) -> bool:
        """Returns whether hedges are limited by the budget of extra load."""
        return True


class RoundRobinPolicy(LeafPolicy):
    """Chooses leaves in turn, without hedges; a baseline."""

    def __init__(self) -> None:
        self._turns: dict[str, int] = {}

    def choose(self, world: World, leaves: list[Leaf], now_ns: int) -> Leaf:
        del world, now_ns
        service = leaves[0].service
        turn = self._turns.get(service, 0)
        self._turns[service] = turn + 1
        return leaves[turn % len(leaves)]

    def hedge_delay_ns(
        self, world: World, spec: ServiceSpec, now_ns: int
    ) -> int | None:
        del world, spec, now_ns
        return None


class LeastLoadedPolicy(RoundRobinPolicy):
    """Chooses the leaf with the fewest calls from this node; a baseline."""

    def choose(self, world: World, leaves: list[Leaf], now_ns: int) -> Leaf:
        del now_ns
        return min(
            leaves, key=lambda leaf: (leaf.in_flight, world.rng.random())
        )


class RandomHedgedPolicy(LeafPolicy):
    """Chooses any leaf and hedges after a fixed delay; a baseline."""

    def choose(self, world: World, leaves: list[Leaf], now_ns: int) -> Leaf:
        del now_ns
        return world.rng.choice(leaves)

    def hedge_delay_ns(
        self, world: World, spec: ServiceSpec, now_ns: int
    ) -> int | None:
        del world, spec, now_ns
        return _FIXED_HEDGE_DELAY_NS

    def hedges_are_budgeted(self) -> bool:
        return False


class AdaptivePolicy(LeafPolicy):
    """Power of two choices by load and latency, with budgeted hedges.

    Sources: Mitzenmacher, "The power of two choices in randomized load
    balancing" (2001); Dean and Barroso, "The tail at scale" (2013).
    """

    def choose(self, world: World, leaves: list[Leaf], now_ns: int) -> Leaf:
        pair = leaves
        if len(leaves) > 2:
            pair = world.rng.sample(leaves, 2)
        return min(pair, key=lambda leaf: self._cost(world, leaf, now_ns))

    def hedge_delay_ns(
        self, world: World, spec: ServiceSpec, now_ns: int
    ) -> int | None:
        window = world.latency_window(spec.class_name)
        delay_ns = window.quantile_ns(spec.hedge_quantile, now_ns)
        median_ns = window.quantile_ns(0.5, now_ns)
        if delay_ns is None or median_ns is None:
            return None
        low_ns = int(median_ns * _MIN_DELAY_MEDIAN_RATIO)
        high_ns = int(median_ns * _MAX_DELAY_MEDIAN_RATIO)
        bounded_ns = min(max(delay_ns, low_ns), high_ns)
        return max(bounded_ns, _MIN_HEDGE_DELAY_NS)

    def _cost(self, world: World, leaf: Leaf, now_ns: int) -> float:
        load = 1 + (leaf.in_flight + leaf.queue_length) / leaf.slots
        connect_ns = 0 if leaf.idle_links else _CONNECT_COST_NS
        cost_ns = _decayed_latency_ns(leaf, now_ns) * load + connect_ns
        return cost_ns * (1 + _JITTER_RATIO * world.rng.random())


def preference_tier(leaf: Leaf, now_ns: int) -> int:
    """Returns the preference of a leaf: 0 is best, ejected leaves come last.

    An ejected leaf stays a last resort, so that no shard loses all its leaves.
    """
    if now_ns < leaf.ejected_until_ns:
        return 10
    return 0


def _decayed_latency_ns(leaf: Leaf, now_ns: int) -> float:
    # An old average decays, so that a leaf that has recovered is tried again.
    if leaf.latency_ns == 0:
        return _DEFAULT_LATENCY_NS
    age_ns = now_ns - leaf.latency_updated_ns
    decayed_ns: float = leaf.latency_ns * 0.5 ** (
        age_ns / _LATENCY_HALF_LIFE_NS
    )
    return max(decayed_ns, _DEFAULT_LATENCY_NS)


def make_policy(name: str) -> LeafPolicy:
    """Returns the policy with the name given in the settings."""
    policies: dict[str, type[LeafPolicy]] = {
        "adaptive": AdaptivePolicy,
        "round_robin": RoundRobinPolicy,
        "random_hedged": RandomHedgedPolicy,
        "least_loaded": LeastLoadedPolicy,
    }
    return policies[name]()
