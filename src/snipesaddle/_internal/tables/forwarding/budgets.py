"""Retry budgets: limits retries and hedges to a share of the requests.

Each first send of a part adds a fraction of a token, and a retry or hedge takes
a whole one. Where there is none, it uses the slack, a number of sends within a
sliding window. The tokens are limited, so that what a run of the process has
saved, and the next run cannot know to be spent, stays small.
"""

import enum
from dataclasses import dataclass, field

# The window has the length of one bucket fewer, so that the buckets, of which
# the current one is incomplete, always cover all of it.
_BUCKET_COUNT = 20


class ExtraCharge(enum.Enum):
    """What pays for a send beyond the first of a part: a retry or a hedge."""

    TOKEN = "token"
    SLACK = "slack"


@dataclass(slots=True)
class RetryBudget:
    """The retry budget of one service.

    The window is divided into buckets; old counts expire bucket by bucket.

    Attributes:
      window_ns: the length of the window.
      bucket_number: the number of the current bucket since the clock's zero.
      requests: first sends of a part, by bucket modulo _BUCKET_COUNT.
      slack_sends: sends that the slack has paid for, likewise.
      request_sum: first sends in the window.
      slack_sum: sends in the window that the slack has paid for.
      tokens: how many sends the first sends have paid for.
      waiting_tokens: extra sends that wait for their connection and have taken
        a token.
      waiting_slack: those that the slack pays for; they enter the window when
        they are sent.
    """

    window_ns: int
    bucket_number: int = 0
    requests: list[int] = field(default_factory=lambda: [0] * _BUCKET_COUNT)
    slack_sends: list[int] = field(default_factory=lambda: [0] * _BUCKET_COUNT)
    request_sum: int = 0
    slack_sum: int = 0
    tokens: float = 0.0
    waiting_tokens: int = 0
    waiting_slack: int = 0

    def count_request(self, ratio: float, max_tokens: float) -> None:
        """Counts the first send of a part; `advance` comes before it.

        Args:
          ratio: tokens added for it.
          max_tokens: the most tokens, those of sends that wait included.
        """
        self.requests[self.bucket_number % _BUCKET_COUNT] += 1
        self.request_sum += 1
        free_tokens = max_tokens - self.waiting_tokens
        self.tokens = max(0.0, min(self.tokens + ratio, free_tokens))

    def slack_left(self, slack: float) -> float:
        """Returns how many more sends the slack allows now."""
        return slack - self.slack_sum - self.waiting_slack

    def reserve(
        self, slack: float, min_tokens: float = 1.0
    ) -> ExtraCharge | None:
        """Reserves an extra send; None if the budget does not allow it.

        Args:
          slack: the most sends within the window that no token pays for.
          min_tokens: with fewer tokens than this, the slack has to pay.
        """
        if self.tokens >= min_tokens:
            self.tokens -= 1
            self.waiting_tokens += 1
            return ExtraCharge.TOKEN
        if self.slack_left(slack) >= 1:
            self.waiting_slack += 1
            return ExtraCharge.SLACK
        return None

    def count_sent(self, charge: ExtraCharge) -> None:
        """Counts a reserved extra send as sent; `advance` comes before it."""
        if charge is ExtraCharge.TOKEN:
            self.waiting_tokens -= 1
            return
        self.waiting_slack -= 1
        self.slack_sends[self.bucket_number % _BUCKET_COUNT] += 1
        self.slack_sum += 1

    def release(self, charge: ExtraCharge) -> None:
        """Gives back a reserved extra send, which is never sent."""
        if charge is ExtraCharge.TOKEN:
            self.waiting_tokens -= 1
            self.tokens += 1
        else:
            self.waiting_slack -= 1

    def advance(self, now_ns: int) -> None:
        """Moves the window to the current time."""
        bucket_number = now_ns * (_BUCKET_COUNT - 1) // self.window_ns
        if bucket_number == self.bucket_number:
            return
        steps = min(bucket_number - self.bucket_number, _BUCKET_COUNT)
        for step in range(1, steps + 1):
            index = (bucket_number - steps + step) % _BUCKET_COUNT
            self.request_sum -= self.requests[index]
            self.slack_sum -= self.slack_sends[index]
            self.requests[index] = 0
            self.slack_sends[index] = 0
        if steps > 0:
            self.bucket_number = bucket_number
