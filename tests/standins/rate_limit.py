"""A limit that an endpoint has named, judged by what it has received."""

from collections.abc import Sequence

from standins.retry_budget import NS_PER_S

_WINDOW_S = 4
_STABLE_S = 4
_FACTOR = 1.5
_SLACK = 5


def limit_overrun(
    arrivals_ns: Sequence[int], named_ns: int, max_requests_per_s: float
) -> float:
    """Returns by how much the worst window exceeds what a limit allows.

    All nodes count, whether an answer has told them of the limit or not.

    Args:
      arrivals_ns: when attempts reached the endpoint.
      named_ns: when the endpoint first named the limit.
      max_requests_per_s: the limit.
    """
    allowed = _FACTOR * max_requests_per_s * _WINDOW_S + _SLACK
    start_ns = named_ns + _STABLE_S * NS_PER_S
    counted = [at_ns for at_ns in sorted(arrivals_ns) if at_ns >= start_ns]
    window_ns = _WINDOW_S * NS_PER_S
    worst = 0
    first = 0
    for last, at_ns in enumerate(counted):
        while counted[first] <= at_ns - window_ns:
            first += 1
        worst = max(worst, last - first + 1)
    return worst - allowed
