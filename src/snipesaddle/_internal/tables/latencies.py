"""Recent call latencies of a class, from which hedge delays are derived."""

from hdrh.histogram import HdrHistogram

_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 2
_WINDOW_NS = 10_000_000_000
_QUANTILE_CACHE_NS = 100_000_000
_MIN_SAMPLES = 50


class LatencyWindow:
    """Latency histograms of the current and the previous time window."""

    def __init__(self) -> None:
        self._current = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        self._previous = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        self._window_end_ns = 0
        self._cache_expires_ns = 0
        self._quantiles_ns: dict[float, int] = {}

    def record(self, latency_ns: int, now_ns: int) -> None:
        """Adds the latency of one call and starts a new window if it is due."""
        if now_ns >= self._window_end_ns:
            self._current, self._previous = self._previous, self._current
            self._current.reset()
            self._window_end_ns = now_ns + _WINDOW_NS
        self._current.record_value(max(1, latency_ns // 1_000))

    def quantile_ns(self, quantile: float, now_ns: int) -> int | None:
        """Returns a quantile of the window with more samples.

        The value is cached for 100 ms. Returns None if there are fewer than 50
        samples.
        """
        if now_ns >= self._cache_expires_ns:
            self._cache_expires_ns = now_ns + _QUANTILE_CACHE_NS
            self._quantiles_ns.clear()
        cached_ns = self._quantiles_ns.get(quantile)
        if cached_ns is not None:
            return cached_ns
        source = max(
            (self._current, self._previous), key=lambda h: h.total_count
        )
        if source.total_count < _MIN_SAMPLES:
            return None
        value_ns = source.get_value_at_percentile(quantile * 100) * 1_000
        self._quantiles_ns[quantile] = int(value_ns)
        return int(value_ns)
