"""Bounds the share of the event loop's time that some kind of work takes."""

import time

# For each unit of time that the work takes, the loop is left to everything
# else for so many.
_OTHERS_TIME_RATIO = 4


class TimeShare:
    """Work that is done in pieces, by several connections together."""

    def __init__(self) -> None:
        self._free_at_s = 0.0

    def delay_s(self, spent_s: float) -> float:
        """Returns how long to wait before the next piece.

        Args:
          spent_s: how long the last piece took.
        """
        now_s = time.perf_counter()
        free_since_s = max(now_s, self._free_at_s)
        self._free_at_s = free_since_s + spent_s * _OTHERS_TIME_RATIO
        return self._free_at_s - now_s
