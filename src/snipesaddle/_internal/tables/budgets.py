"""Budgets that bound extra load in proportion to primary load."""

from dataclasses import dataclass


@dataclass(slots=True)
class Budget:
    """A token bucket filled by primary calls.

    Attributes:
      ratio: tokens added by one primary call.
      cap: the most tokens that it holds.
      closed_until_ns: no token is given before this time.
    """

    ratio: float
    cap: float
    tokens: float
    closed_until_ns: int = 0

    def earn(self) -> None:
        """Adds the share of one primary call."""
        self.tokens = min(self.cap, self.tokens + self.ratio)

    def spend(self, now_ns: int) -> bool:
        """Takes one token, if there is one and the budget is open."""
        if now_ns < self.closed_until_ns or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
