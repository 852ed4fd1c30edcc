"""Renders the metrics of a `BufferedJournal` with `prometheus_client`."""

from collections.abc import Iterator, Mapping

from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from ._histogram import BUCKET_BOUNDS_SECONDS, Histogram

NAME_PREFIX = "hornbeamdeal_"


class _FamilyCollector:
    """Collector of metric families whose values are counted elsewhere."""

    __slots__ = ("families",)

    def __init__(self, families: list[Metric]):
        self.families = families

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families."""
        yield from self.families


def render(
    counts_by_key: Mapping[tuple[str, str], int],
    histograms_by_name: Mapping[str, Histogram],
    gauges_by_name: Mapping[str, float],
) -> bytes:
    """Return all metrics in the Prometheus text format."""
    families: list[Metric] = []
    counters_by_name: dict[str, CounterMetricFamily] = {}
    for (name, reason), count in sorted(counts_by_key.items()):
        if name not in counters_by_name:
            help_text = name.replace("_", " ") + " by reason"
            counters_by_name[name] = CounterMetricFamily(
                NAME_PREFIX + name, help_text, labels=["reason"]
            )
        counters_by_name[name].add_metric([reason], count)
    families += counters_by_name.values()
    for name, histogram in sorted(histograms_by_name.items()):
        families.append(_histogram_family(name, histogram))
    for name, value in sorted(gauges_by_name.items()):
        help_text = name.replace("_", " ")
        families.append(GaugeMetricFamily(NAME_PREFIX + name, help_text, value=value))
    registry = CollectorRegistry()
    # Adds process_resident_memory_bytes and other metrics of the process.
    ProcessCollector(registry=registry)
    registry.register(_FamilyCollector(families))
    return generate_latest(registry)


def _histogram_family(name: str, histogram: Histogram) -> HistogramMetricFamily:
    bounds = [*map(str, BUCKET_BOUNDS_SECONDS), "+Inf"]
    cumulative_count, buckets = 0, []
    for bound, count in zip(bounds, histogram.counts, strict=True):
        cumulative_count += count
        buckets.append((bound, cumulative_count))
    return HistogramMetricFamily(
        NAME_PREFIX + name,
        name.replace("_", " "),
        buckets=buckets,
        sum_value=histogram.total_seconds,
    )
