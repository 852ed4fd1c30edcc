"""Histogram of durations, which `prometheus_client` renders later."""

# Upper bounds of the histogram buckets, in seconds.
BUCKET_BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


class Histogram:
    """Histogram of durations."""

    __slots__ = ("counts", "total_seconds")

    def __init__(self):
        self.counts = [0] * (len(BUCKET_BOUNDS_SECONDS) + 1)
        self.total_seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Add a duration in seconds."""
        self.total_seconds += seconds
        for index, bound in enumerate(BUCKET_BOUNDS_SECONDS):
            if seconds <= bound:
                self.counts[index] += 1
                return
        self.counts[-1] += 1
