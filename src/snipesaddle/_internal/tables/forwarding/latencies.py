"""Running estimates per route: endpoint latency and client time limits."""

from dataclasses import dataclass

_MIN_STEP_RATIO = 0.05
_MIN_LATENCY_NS = 200_000.0
# Length of one window of time limits; the last two windows are kept.
_TIME_LIMIT_WINDOW_NS = 30_000_000_000


@dataclass(slots=True)
class RouteLatency:
    """Streaming quantile estimates of the latency of a route's attempts.

    Each new value moves each estimate by a small step towards it, weighted by
    the quantile (stochastic approximation: Robbins and Monro, 1951).

    Attributes:
      high_ns: the estimate of the quantile `high_quantile`, at least the
        median.
    """

    median_ns: float = 0.0
    high_ns: float = 0.0
    high_quantile: float = 0.92
    samples: int = 0

    def record(self, latency_ns: int) -> None:
        """Updates the estimates with one latency."""
        value = float(latency_ns)
        if value < _MIN_LATENCY_NS:
            value = _MIN_LATENCY_NS
        samples = self.samples = self.samples + 1
        if samples == 1:
            self.median_ns = value
            self.high_ns = value * 1.6
            return
        step = _MIN_STEP_RATIO
        if samples * _MIN_STEP_RATIO < 1.0:
            step = 1.0 / samples
        median_ns = self.median_ns
        median_ns *= 1 + (step if value > median_ns else -step)
        high_ns = self.high_ns
        if value > high_ns:
            high_ns *= 1 + step * 2 * self.high_quantile
        else:
            high_ns *= 1 - step * 2 * (1 - self.high_quantile)
        self.median_ns = median_ns
        self.high_ns = high_ns if high_ns > median_ns else median_ns


@dataclass(slots=True)
class LongestTimeLimit:
    """The longest time limit that a route's clients sent recently.

    Attributes:
      longest_ms: the longest since `window_start_ns`.
      previous_longest_ms: the longest of the window before that.
    """

    longest_ms: int = 0
    previous_longest_ms: int = 0
    window_start_ns: int = 0

    def record(self, limit_ms: int, now_ns: int) -> int:
        """Adds one time limit, and returns the longest of both windows."""
        if now_ns - self.window_start_ns > _TIME_LIMIT_WINDOW_NS:
            self.previous_longest_ms = self.longest_ms
            self.longest_ms = 0
            self.window_start_ns = now_ns
        self.longest_ms = max(self.longest_ms, limit_ms)
        return max(self.longest_ms, self.previous_longest_ms)
