"""Counters and gauges, kept in a `prometheus_client` registry."""

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from hornbeamdeal.kernel import IncrementCounter

LABEL_NAMES = ("service", "reason")


class Metrics:
    """Counters and gauges of one process.

    A counter is created on its first increment, so that components need not
    register theirs; every counter has the labels `service` and `reason`.
    """

    __slots__ = ("registry_", "counters_by_name_", "gauges_by_name_")

    def __init__(self):
        self.registry_ = CollectorRegistry()
        self.counters_by_name_: dict[str, Counter] = {}
        self.gauges_by_name_: dict[str, Gauge] = {}

    def count(self, action: IncrementCounter) -> None:
        """Increment a counter."""
        counter = self.counters_by_name_.get(action.name)
        if counter is None:
            counter = self._create_counter(action.name)
        counter.labels(action.service, action.reason).inc(action.amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge, and create it on first use."""
        gauge = self.gauges_by_name_.get(name)
        if gauge is None:
            help_text = name.replace("_", " ")
            gauge = Gauge(f"hornbeamdeal_{name}", help_text, registry=self.registry_)
            self.gauges_by_name_[name] = gauge
        gauge.set(value)

    def value(self, name: str, service: str = "", reason: str = "") -> float:
        """Return the value of a counter, or 0 if it was never incremented."""
        counter = self.counters_by_name_.get(name)
        if counter is None:
            return 0.0
        return counter.labels(service, reason)._value.get()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry_)

    def _create_counter(self, name: str) -> Counter:
        help_text = name.replace("_", " ") + " by service and reason"
        counter = Counter(
            f"hornbeamdeal_{name}", help_text, LABEL_NAMES, registry=self.registry_
        )
        self.counters_by_name_[name] = counter
        return counter
