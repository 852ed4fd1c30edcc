"""Log lines and counts of a node whose start-up time callers wait for.

Lines have the format of `KeyValueFormatter`; the logging packages are not
loaded, and `prometheus_client` is loaded with the first scrape.
"""

import os
import time
from collections import deque
from typing import Any

from ._limiter import LogLimiter
from ._pairs import format_pairs

# Lines that wait for a reader of the output; older ones are dropped beyond.
BUFFERED_LINES = 2000
# A node of today places up to some tens of flows a second; a line costs 20 to 30
# microseconds of processor time, so that this is 0.1% of a core.
BURST_LINES = 200
LINES_PER_SECOND = 40.0
# Upper bounds of the histograms' buckets, in seconds.
BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


class Histogram:
    """Counts of durations by bucket."""

    __slots__ = ("counts", "total_seconds")

    def __init__(self):
        self.counts = [0] * (len(BUCKETS) + 1)
        self.total_seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Count one duration."""
        self.total_seconds += seconds
        for index, bound in enumerate(BUCKETS):
            if seconds <= bound:
                self.counts[index] += 1
                return
        self.counts[-1] += 1


class BufferedJournal:
    """Collects log lines and counts; writing out never waits.

    Parameters
    ----------
    host_id : str
        Identifier of this host, part of each line.
    descriptor : int
        Where lines are written.
    clock : Clock
        Source of monotonic time, for the limit on lines.
    """

    __slots__ = (
        "clock",
        "descriptor",
        "host_id",
        "counts_by_key_",
        "histograms_by_name_",
        "_limiter",
        "_lines",
        "_rest",
    )

    def __init__(self, *, host_id: str, clock: Any, descriptor: int = 1):
        self.host_id = host_id
        self.clock = clock
        self.descriptor = descriptor
        self.counts_by_key_: dict[tuple[str, str], int] = {}
        self.histograms_by_name_: dict[str, Histogram] = {}
        self._limiter = LogLimiter(BURST_LINES, LINES_PER_SECOND)
        self._lines: deque[str] = deque(maxlen=BUFFERED_LINES)
        self._rest = b""

    def event(self, name: str, **fields: Any) -> None:
        """Keep a log line, unless the event floods the log."""
        if not self._limiter.allows(name, self.clock.monotonic()):
            self.count("log_lines_suppressed", name)
            return
        suppressed = self._limiter.take_suppressed(name)
        if suppressed:
            fields["suppressed"] = suppressed
        if len(self._lines) == BUFFERED_LINES:
            self.count("log_lines_suppressed", "buffer_full")
        head = {"time": f"{time.time():.3f}", "event": name, "host": self.host_id}
        self._lines.append(format_pairs({**head, **fields}))

    def count(self, name: str, reason: str = "", amount: int = 1) -> None:
        """Add to a counter."""
        key = (name, reason)
        self.counts_by_key_[key] = self.counts_by_key_.get(key, 0) + amount

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        histogram = self.histograms_by_name_.get(name)
        if histogram is None:
            histogram = self.histograms_by_name_[name] = Histogram()
        histogram.observe(seconds)

    def flush(self) -> None:
        """Write what the output takes at once; the rest waits."""
        if not self._rest and not self._lines:
            return
        data = self._rest + "".join(line + "\n" for line in self._lines).encode()
        self._lines.clear()
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            written = 0
        self._rest = data[written:]
        if len(self._rest) > BUFFERED_LINES * 200:
            self.count("log_lines_suppressed", "output_blocked")
            self._rest = b""

    def render(self, gauges_by_name: dict[str, float]) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        from ._exposition import render

        return render(self.counts_by_key_, self.histograms_by_name_, gauges_by_name)
