"""Latency histograms by class and by tenant."""

from hdrh.histogram import HdrHistogram

_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 2
# Bounds memory; further tenants are counted together as _OTHER_TENANT.
_MAX_TENANTS = 64
_OTHER_TENANT = "other"
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Histograms:
    """Records the latencies and outcomes of answered requests."""

    def __init__(self) -> None:
        self._by_class: dict[str, HdrHistogram] = {}
        self._by_tenant: dict[str, HdrHistogram] = {}
        self._complete: dict[str, int] = {}

    def record(
        self, class_name: str, tenant: str, latency_ns: int, complete: bool
    ) -> None:
        """Records one answer."""
        latency_us = max(1, latency_ns // 1_000)
        self._histogram(self._by_class, class_name).record_value(latency_us)
        known = tenant in self._by_tenant
        if not known and len(self._by_tenant) >= _MAX_TENANTS:
            tenant = _OTHER_TENANT
        self._histogram(self._by_tenant, tenant).record_value(latency_us)
        if complete:
            self._complete[class_name] = self._complete.get(class_name, 0) + 1

    def summary(self) -> dict[str, object]:
        """Returns counts, and latency percentiles in microseconds."""
        return {
            "classes": {
                name: _summarise(histogram)
                | {"complete": self._complete.get(name, 0)}
                for name, histogram in self._by_class.items()
            },
            "tenants": {
                name: _summarise(histogram)
                for name, histogram in self._by_tenant.items()
            },
        }

    def _histogram(
        self, group: dict[str, HdrHistogram], name: str
    ) -> HdrHistogram:
        histogram = group.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
            group[name] = histogram
        return histogram


def _summarise(histogram: HdrHistogram) -> dict[str, int]:
    summary = {"count": histogram.get_total_count()}
    for percentile in _PERCENTILES:
        name = f"p{percentile:g}_us".replace(".", "_")
        summary[name] = int(histogram.get_value_at_percentile(percentile))
    return summary
