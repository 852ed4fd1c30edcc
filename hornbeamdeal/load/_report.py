"""Summaries of request outcomes, latencies and watched flows."""

from collections import Counter, defaultdict

from hdrh.histogram import HdrHistogram

from ._caller import FlowObservations, RequestResult

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 99, 99.9)


def make_histogram() -> HdrHistogram:
    """Create a histogram of latencies in microseconds."""
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


class StepReport:
    """Counts and latencies of one step of a request profile."""

    __slots__ = ("name", "offered", "codes", "refusals", "latency_by_code")

    def __init__(self, *, name: str):
        self.name = name
        self.offered = 0
        self.codes: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.latency_by_code = defaultdict(make_histogram)

    def add(self, result: RequestResult) -> None:
        """Record the result of a request."""
        self.codes[result.code] += 1
        if result.code == "SERVICE_UNAVAILABLE":
            self.refusals[result.payload.decode(errors="replace")] += 1
        self.latency_by_code[result.code].record_value(int(result.seconds * 1e6))

    def summary(self) -> dict:
        """Return counts by code, and latency percentiles in milliseconds."""
        latency = {
            code: {
                f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000
                for percentile in PERCENTILES
            }
            for code, histogram in self.latency_by_code.items()
        }
        return {
            "phase": self.name,
            "offered": self.offered,
            "answered": self.codes["CONTENT"],
            "codes": dict(self.codes),
            "refusals": dict(self.refusals),
            "latency_ms": latency,
        }


def summarize_flows(flows: list[FlowObservations]) -> dict:
    """Return counts of broken flows, and flows by server with their imbalance."""
    answered = [flow for flow in flows if flow.notifications]
    broken = sum(flow.is_broken for flow in answered)
    flows_by_server = Counter(flow.server for flow in answered)
    mean = len(answered) / len(flows_by_server) if flows_by_server else 0
    largest = max(flows_by_server.values(), default=0)
    return {
        "flows": len(flows),
        "answered": len(answered),
        "broken": broken,
        "broken_per_1000": round(1000 * broken / max(1, len(answered)), 2),
        "flows_by_server": dict(sorted(flows_by_server.items())),
        "maximum_over_mean": round(largest / mean, 3) if mean else None,
    }
