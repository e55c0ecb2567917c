"""The fleet's retry budget, judged by what endpoints have received."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from snipesaddle._internal.models.forwarding import RetrySettings

NS_PER_S = 1_000_000_000


@dataclass(frozen=True)
class Arrival:
    """A request that an endpoint received."""

    at_ns: int
    request_id: bytes


def overrun(
    arrivals: Sequence[Arrival],
    asked_ns: Collection[int],
    settings: RetrySettings,
) -> float:
    """Returns by how much the worst window of a service exceeds its budget.

    Extra sends are the arrivals beyond the first of a request. They are allowed
    for the requests in their window, the one before or the one half a window
    before, whichever has most.

    Args:
      arrivals: those at all endpoints of one service.
      asked_ns: when clients sent the requests for it, arrived or not.
      settings: the budget.
    """
    seen: set[bytes] = set()
    extras_ns = []
    for arrival in sorted(arrivals, key=lambda arrival: arrival.at_ns):
        if arrival.request_id in seen:
            extras_ns.append(arrival.at_ns)
        seen.add(arrival.request_id)
    window_ns = settings.window_s * NS_PER_S
    worst = -settings.slack
    for start_ns in extras_ns:
        extras = _count_between(extras_ns, start_ns, window_ns)
        requests = max(
            _count_between(asked_ns, start_ns - shift_ns, window_ns)
            for shift_ns in (0, window_ns // 2, window_ns)
        )
        allowed = settings.ratio * requests + settings.slack
        worst = max(worst, extras - allowed)
    return worst


def _count_between(
    times_ns: Collection[int], start_ns: int, length_ns: int
) -> int:
    return sum(start_ns <= at_ns < start_ns + length_ns for at_ns in times_ns)
