"""Retry budgets: limits retries and hedges to a share of the requests."""

from dataclasses import dataclass, field

# The window has the length of one bucket fewer, so that the buckets, of which
# the current one is incomplete, always cover all of it.
_BUCKET_COUNT = 20


@dataclass(slots=True)
class RetryBudget:
    """The retry budget of one service, from counts in a sliding window.

    The window is divided into buckets; old counts expire bucket by bucket.

    Attributes:
      window_ns: the length of the window.
      bucket_number: the number of the current bucket since the clock's zero.
      requests: first sends of a part, by bucket modulo _BUCKET_COUNT.
      extras: sends beyond the first (retries and hedges), likewise.
      request_sum: first sends in the window.
      extra_sum: extra sends in the window.
      waiting_extras: extra sends that wait for their connection; they enter
        the window when they are sent.
    """

    window_ns: int
    bucket_number: int = 0
    requests: list[int] = field(default_factory=lambda: [0] * _BUCKET_COUNT)
    extras: list[int] = field(default_factory=lambda: [0] * _BUCKET_COUNT)
    request_sum: int = 0
    extra_sum: int = 0
    waiting_extras: int = 0

    def count_request(self, now_ns: int) -> None:
        """Counts the first send of a part."""
        self._advance(now_ns)
        self.requests[self.bucket_number % _BUCKET_COUNT] += 1
        self.request_sum += 1

    def count_extra(self, now_ns: int) -> None:
        """Counts a send beyond the first: a retry or a hedge."""
        self._advance(now_ns)
        self.extras[self.bucket_number % _BUCKET_COUNT] += 1
        self.extra_sum += 1

    def reserve_extra(self) -> None:
        """Counts an extra send that is about to be sent."""
        self.waiting_extras += 1

    def release_extra(self) -> None:
        """Stops counting a reserved extra send; it was sent, or never will."""
        self.waiting_extras -= 1

    def remaining(self, now_ns: int, ratio: float, slack: float) -> float:
        """Returns how many more retries and hedges the budget allows now.

        The budget is `ratio` times the requests in the window, plus `slack`.
        """
        self._advance(now_ns)
        return (
            ratio * self.request_sum
            + slack
            - self.extra_sum
            - self.waiting_extras
        )

    def _advance(self, now_ns: int) -> None:
        bucket_number = now_ns * (_BUCKET_COUNT - 1) // self.window_ns
        steps = min(bucket_number - self.bucket_number, _BUCKET_COUNT)
        for step in range(1, steps + 1):
            index = (bucket_number - steps + step) % _BUCKET_COUNT
            self.request_sum -= self.requests[index]
            self.extra_sum -= self.extras[index]
            self.requests[index] = 0
            self.extras[index] = 0
        if steps > 0:
            self.bucket_number = bucket_number
