"""Limit on the log lines of one event, so that a flood can't fill the log."""

BURST_LINES = 20
LINES_PER_SECOND = 5.0


class LogLimiter:
    """Token bucket for each event name; counts what it suppresses.

    Every received datagram may cause a line, and a stranger on the network can
    send them without end. Counters are not limited.

    Parameters
    ----------
    burst : int
        Lines of one event that may be written at once.
    lines_per_second : float
        Lines of one event that may be written in the long run.
    """

    __slots__ = (
        "burst",
        "buckets_by_event_",
        "lines_per_second",
        "suppressed_by_event_",
    )

    def __init__(
        self, burst: int = BURST_LINES, lines_per_second: float = LINES_PER_SECOND
    ):
        self.burst = burst
        self.lines_per_second = lines_per_second
        self.buckets_by_event_: dict[str, tuple[float, float]] = {}
        self.suppressed_by_event_: dict[str, int] = {}

    def allows(self, event: str, now: float) -> bool:
        """Tell whether a line of the event may be written now."""
        tokens, filled_at = self.buckets_by_event_.get(event, (self.burst, now))
        tokens = min(self.burst, tokens + (now - filled_at) * self.lines_per_second)
        if tokens < 1:
            self.buckets_by_event_[event] = (tokens, now)
            suppressed = self.suppressed_by_event_.get(event, 0)
            self.suppressed_by_event_[event] = suppressed + 1
            return False
        self.buckets_by_event_[event] = (tokens - 1, now)
        return True

    def take_suppressed(self, event: str) -> int:
        """Return how many lines of the event were suppressed since the last one."""
        return self.suppressed_by_event_.pop(event, 0)
