"""Budgets that limit hedges and retries to a ratio of primary calls."""

from dataclasses import dataclass


@dataclass(slots=True)
class Budget:
    """A token bucket that is refilled by primary calls, not by time.

    It starts empty, since an earlier run of the process may have emptied it.

    Attributes:
      ratio: tokens added for each primary call.
      max_tokens: maximum number of tokens.
      tokens: tokens available now.
      paused_until_ns: no token can be taken before this time.
    """

    ratio: float
    max_tokens: float
    tokens: float = 0.0
    paused_until_ns: int = 0

    def deposit(self) -> None:
        """Adds the tokens for one primary call."""
        self.tokens = min(self.max_tokens, self.tokens + self.ratio)

    def try_withdraw(self, now_ns: int) -> bool:
        """Takes one token if possible and returns whether it was taken."""
        if now_ns < self.paused_until_ns or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
