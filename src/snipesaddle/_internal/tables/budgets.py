"""Budgets that bound extra load in proportion to primary load."""

from dataclasses import dataclass


@dataclass(slots=True)
class Budget:
    """A token bucket filled by primary calls.

    Attributes:
      ratio: tokens added by one primary call.
      max_tokens: the most tokens that it holds.
      paused_until_ns: no token is given before this time.
    """

    ratio: float
    max_tokens: float
    tokens: float
    paused_until_ns: int = 0

    def deposit(self) -> None:
        """Adds the share of one primary call."""
        self.tokens = min(self.max_tokens, self.tokens + self.ratio)

    def try_withdraw(self, now_ns: int) -> bool:
        """Takes one token, if there is one and the budget is open."""
        if now_ns < self.paused_until_ns or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
