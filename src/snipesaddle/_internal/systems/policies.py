"""Policies: which leaf gets a call, and when a second one is tried."""

import abc

from snipesaddle._internal.systems.base import NS_PER_MS
from snipesaddle._internal.tables.config import ServiceSpec
from snipesaddle._internal.tables.leaves import Leaf
from snipesaddle._internal.tables.world import World

_MIN_HEDGE_DELAY_NS = 1 * NS_PER_MS
_NAIVE_HEDGE_DELAY_NS = 10 * NS_PER_MS
_DELAY_OVER_MEDIAN_MIN = 1.5
_DELAY_OVER_MEDIAN_MAX = 3.0
_UNKNOWN_LATENCY_NS = 5 * NS_PER_MS
_LATENCY_HALF_LIFE_NS = 2_000 * NS_PER_MS
_SET_UP_NS = 6 * NS_PER_MS
# Parts leaves of equal cost, so that nodes do not all choose the same one.
_JITTER = 0.1


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

    def budgeted(self) -> bool:
        """Tells whether hedges are held to the budget of extra load."""
        return True


class RoundRobinPolicy(LeafPolicy):
    """Takes leaves in turn, without hedges; a baseline."""

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
    """Takes the leaf with the fewest own calls in flight; a baseline."""

    def choose(self, world: World, leaves: list[Leaf], now_ns: int) -> Leaf:
        del now_ns
        return min(
            leaves, key=lambda leaf: (leaf.in_flight, world.rng.random())
        )


class RandomHedgedPolicy(LeafPolicy):
    """Takes any leaf and hedges after a fixed delay; a baseline."""

    def choose(self, world: World, leaves: list[Leaf], now_ns: int) -> Leaf:
        del now_ns
        return world.rng.choice(leaves)

    def hedge_delay_ns(
        self, world: World, spec: ServiceSpec, now_ns: int
    ) -> int | None:
        del world, spec, now_ns
        return _NAIVE_HEDGE_DELAY_NS

    def budgeted(self) -> bool:
        return False


class AdaptivePolicy(LeafPolicy):
    """Power of two choices on own load and latency, with budgeted hedges.

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
        low_ns = int(median_ns * _DELAY_OVER_MEDIAN_MIN)
        high_ns = int(median_ns * _DELAY_OVER_MEDIAN_MAX)
        bounded_ns = min(max(delay_ns, low_ns), high_ns)
        return max(bounded_ns, _MIN_HEDGE_DELAY_NS)

    def _cost(self, world: World, leaf: Leaf, now_ns: int) -> float:
        load = 1 + (leaf.in_flight + leaf.queue_length) / leaf.slots
        set_up_ns = 0 if leaf.idle_links else _SET_UP_NS
        cost_ns = _remembered_latency_ns(leaf, now_ns) * load + set_up_ns
        return cost_ns * (1 + _JITTER * world.rng.random())


def tier(leaf: Leaf, now_ns: int) -> int:
    """Returns 0 for a leaf in good order, more for one to use last.

    An ejected leaf stays a last resort, so that no shard loses all leaves.
    """
    if now_ns < leaf.ejected_until_ns:
        return 10
    return 0


def _remembered_latency_ns(leaf: Leaf, now_ns: int) -> float:
    # An old slow reading fades, so that a leaf which recovered is tried.
    if leaf.latency_ns == 0:
        return _UNKNOWN_LATENCY_NS
    age_ns = now_ns - leaf.latency_updated_ns
    faded_ns: float = leaf.latency_ns * 0.5 ** (age_ns / _LATENCY_HALF_LIFE_NS)
    return max(faded_ns, _UNKNOWN_LATENCY_NS)


def make_policy(name: str) -> LeafPolicy:
    """Returns the policy that the settings name."""
    policies: dict[str, type[LeafPolicy]] = {
        "adaptive": AdaptivePolicy,
        "round_robin": RoundRobinPolicy,
        "random_hedged": RandomHedgedPolicy,
        "least_loaded": LeastLoadedPolicy,
    }
    return policies[name]()
