"""Exposes a journal's counts through `prometheus_client`."""

from collections.abc import Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from ._journal import BUCKETS, Histogram

PREFIX = "hornbeamdeal_"


class _Collector:
    """Hands over families that were counted elsewhere."""

    __slots__ = ("families",)

    def __init__(self, families: list[Metric]):
        self.families = families

    def collect(self) -> Iterator[Metric]:
        """Yield the families."""
        yield from self.families


def render(
    counts_by_key: Mapping[tuple[str, str], int],
    histograms_by_name: Mapping[str, Histogram],
    gauges_by_name: Mapping[str, float],
) -> bytes:
    """Return all metrics in the text format."""
    families: list[Metric] = []
    counters: dict[str, CounterMetricFamily] = {}
    for (name, reason), count in sorted(counts_by_key.items()):
        if name not in counters:
            text = name.replace("_", " ") + " by reason"
            counters[name] = CounterMetricFamily(PREFIX + name, text, labels=["reason"])
        counters[name].add_metric([reason], count)
    families += counters.values()
    for name, histogram in sorted(histograms_by_name.items()):
        families.append(_histogram_family(name, histogram))
    for name, value in sorted(gauges_by_name.items()):
        text = name.replace("_", " ")
        families.append(GaugeMetricFamily(PREFIX + name, text, value=value))
    registry = CollectorRegistry()
    registry.register(_Collector(families))
    return generate_latest(registry)


def _histogram_family(name: str, histogram: Histogram) -> HistogramMetricFamily:
    bounds = [*map(str, BUCKETS), "+Inf"]
    total, buckets = 0, []
    for bound, count in zip(bounds, histogram.counts, strict=True):
        total += count
        buckets.append((bound, total))
    return HistogramMetricFamily(
        PREFIX + name,
        name.replace("_", " "),
        buckets=buckets,
        sum_value=histogram.total_seconds,
    )
