"""Latency histograms by class and outcome, in the Prometheus text format."""

from dataclasses import fields

from hdrh.histogram import HdrHistogram

from snipesaddle._internal.tables.forwarding.commands import RecordOutcome
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class OutcomeHistograms:
    """Records the outcomes and latencies of requests."""

    def __init__(self) -> None:
        self._by_key: dict[tuple[str, str], HdrHistogram] = {}

    def record(self, command: RecordOutcome) -> None:
        """Records one answered request."""
        key = (command.route_name, command.outcome)
        histogram = self._by_key.get(key)
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
            self._by_key[key] = histogram
        histogram.record_value(max(1, command.latency_ns // 1_000))

    def text(self, world: ForwardWorld) -> str:
        """Returns all metrics in the Prometheus text format."""
        lines = [
            f"snipesaddle_{item.name}_total "
            f"{getattr(world.counters, item.name)}"
            for item in fields(world.counters)
        ]
        lines.append(f"snipesaddle_open_requests {len(world.requests)}")
        lines.append(
            f"snipesaddle_config_version {world.active_config.version}"
        )
        lines.append(f"snipesaddle_store_ok {int(world.store.is_ok)}")
        lines.append(f"snipesaddle_work_estimates {len(world.work.rows)}")
        lines.append(f"snipesaddle_work_evictions_total {world.work.evictions}")
        for (route, outcome), histogram in self._by_key.items():
            labels = f'route="{route}",outcome="{outcome}"'
            count = histogram.get_total_count()
            lines.append(f"snipesaddle_latency_us_count{{{labels}}} {count}")
            for percentile in _PERCENTILES:
                value = histogram.get_value_at_percentile(percentile)
                quantile = f'quantile="{percentile / 100:g}"'
                lines.append(
                    f"snipesaddle_latency_us{{{labels},{quantile}}} {value}"
                )
        return "\n".join(lines) + "\n"
