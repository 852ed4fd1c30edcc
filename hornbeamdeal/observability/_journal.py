"""Log and metrics of a node that must start quickly, as its callers wait.

To keep start-up short, the logging packages are not imported, and
`prometheus_client` is imported on the first scrape. Lines have the format of
`KeyValueFormatter`.
"""

import os
import time
from collections import deque
from typing import Any

from ._histogram import Histogram
from ._key_values import format_key_values
from ._limiter import LogLimiter

# Lines kept until the next flush; beyond that the oldest is dropped.
MAX_BUFFERED_LINES = 2000
# A node places up to some tens of flows per second. A line takes 20 to 30
# microseconds of CPU time, so this rate takes about 0.1% of a core.
BURST_LINES = 200
LINES_PER_SECOND = 40.0


class BufferedJournal:
    """Log and metrics of one node, written without blocking.

    Parameters
    ----------
    host_id : str
        Identifier of this host, written in each line.
    descriptor : int
        File descriptor that lines are written to.
    clock : Clock
        Source of monotonic time for the rate limit.
    """

    __slots__ = (
        "clock",
        "descriptor",
        "host_id",
        "counts_by_key_",
        "histograms_by_name_",
        "_limiter",
        "_lines",
        "_unwritten",
    )

    def __init__(self, *, host_id: str, clock: Any, descriptor: int = 1):
        self.host_id = host_id
        self.clock = clock
        self.descriptor = descriptor
        self.counts_by_key_: dict[tuple[str, str], int] = {}
        self.histograms_by_name_: dict[str, Histogram] = {}
        self._limiter = LogLimiter(BURST_LINES, LINES_PER_SECOND)
        self._lines: deque[str] = deque(maxlen=MAX_BUFFERED_LINES)
        self._unwritten = b""

    def event(self, name: str, **fields: Any) -> None:
        """Buffer a log line unless the event exceeds its rate limit."""
        if not self._limiter.take_token(name, self.clock.monotonic()):
            self.count("log_lines_suppressed", name)
            return
        suppressed = self._limiter.pop_suppressed_count(name)
        if suppressed:
            fields["suppressed"] = suppressed
        if len(self._lines) == MAX_BUFFERED_LINES:
            self.count("log_lines_suppressed", "buffer_full")
        common_fields = {
            "time": f"{time.time():.3f}",
            "event": name,
            "host": self.host_id,
        }
        self._lines.append(format_key_values({**common_fields, **fields}))

    def count(self, name: str, reason: str = "", amount: int = 1) -> None:
        """Increment a counter."""
        key = (name, reason)
        self.counts_by_key_[key] = self.counts_by_key_.get(key, 0) + amount

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration in seconds to a histogram."""
        histogram = self.histograms_by_name_.get(name)
        if histogram is None:
            histogram = self.histograms_by_name_[name] = Histogram()
        histogram.observe(seconds)

    def flush(self) -> None:
        """Write as much as the output accepts now; keep the remainder.

        A remainder that is too large is discarded.
        """
        if not self._unwritten and not self._lines:
            return
        text = "".join(line + "\n" for line in self._lines)
        # A key of the store may hold half of a surrogate pair.
        data = self._unwritten + text.encode(errors="backslashreplace")
        self._lines.clear()
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            written = 0
        self._unwritten = data[written:]
        if len(self._unwritten) > MAX_BUFFERED_LINES * 200:
            self.count("log_lines_suppressed", "output_blocked")
            self._unwritten = b""

    def render(self, gauges_by_name: dict[str, float]) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from ._exposition import render

        return render(self.counts_by_key_, self.histograms_by_name_, gauges_by_name)
