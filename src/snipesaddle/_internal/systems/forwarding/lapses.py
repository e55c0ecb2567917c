"""Lapses: notices that registrations ended because the store was silent.

Answers the load pattern of a silence that is too short to delay any call, but
long enough for leases to lapse: the removals of many endpoints arrive together
while these answer requests. That is taken for the end of an outage, so that
the registrations stay in use for the grace period. A few removals, and those
of endpoints that do not answer, take effect at once.
"""

from collections.abc import Iterable

from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.endpoints import Endpoint
from snipesaddle._internal.tables.forwarding.store_ranges import Change
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# Fewer may have been removed each for itself.
_MIN_LAPSES = 3
# How recent an answer shows that an endpoint still runs. It is shorter than a
# lease, so an endpoint that ended without a word has answered before that.
_MAX_ANSWER_AGE_NS = 2_000 * NS_PER_MS


def notice(world: ForwardWorld, changes: Iterable[Change], now_ns: int) -> None:
    """Notes the end of an outage if many endpoints in use have lapsed.

    Args:
      world: the tables.
      changes: what one answer of the store tells of the endpoints.
      now_ns: the time of the tick.
    """
    changes = tuple(changes)
    # One that announced a drain and was removed since has not lapsed.
    announced = {change.key for change in changes if change.item is not None}
    lapsed = [
        endpoint
        for change in changes
        if change.key not in announced
        and (endpoint := world.endpoints.get(change.key)) is not None
        and _still_answers(endpoint, now_ns)
    ]
    if len(lapsed) < _MIN_LAPSES:
        return
    world.store.recovered_ns = now_ns
    world.log("lapsed_together", endpoints=len(lapsed))


def _still_answers(endpoint: Endpoint, now_ns: int) -> bool:
    return (
        endpoint.registered
        and endpoint.accepts_work()
        and not endpoint.consecutive_failures
        and endpoint.latency_ratio_updated_ns > 0
        and now_ns - endpoint.latency_ratio_updated_ns <= _MAX_ANSWER_AGE_NS
    )
