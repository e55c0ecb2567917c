"""Sliding counts that hold retries and hedges to a budget."""

from dataclasses import dataclass, field

_BUCKETS = 20


@dataclass(slots=True)
class RetryBudget:
    """Requests and extra arrivals of one service in a sliding window.

    The window is cut into buckets; a count ages out bucket by bucket.
    """

    window_ns: int
    bucket: int = 0
    requests: list[int] = field(default_factory=lambda: [0] * _BUCKETS)
    extras: list[int] = field(default_factory=lambda: [0] * _BUCKETS)
    request_sum: int = 0
    extra_sum: int = 0

    def count_request(self, now_ns: int) -> None:
        """Adds a first arrival."""
        self._advance(now_ns)
        self.requests[self.bucket % _BUCKETS] += 1
        self.request_sum += 1

    def count_extra(self, now_ns: int) -> None:
        """Adds an arrival beyond the first."""
        self._advance(now_ns)
        self.extras[self.bucket % _BUCKETS] += 1
        self.extra_sum += 1

    def remaining(self, now_ns: int, ratio: float, slack: float) -> float:
        """Returns how many more extra arrivals the budget allows now."""
        self._advance(now_ns)
        return ratio * self.request_sum + slack - self.extra_sum

    def _advance(self, now_ns: int) -> None:
        bucket = now_ns * (_BUCKETS - 1) // self.window_ns
        steps = min(bucket - self.bucket, _BUCKETS)
        for step in range(1, steps + 1):
            index = (bucket - steps + step) % _BUCKETS
            self.request_sum -= self.requests[index]
            self.extra_sum -= self.extras[index]
            self.requests[index] = 0
            self.extras[index] = 0
        if steps > 0:
            self.bucket = bucket
