"""Rate limit on log lines per event name, so that no event can fill the log."""

BURST_LINES = 20
LINES_PER_SECOND = 5.0


class LogLimiter:
    """Token bucket per event name that counts the suppressed lines.

    Every received datagram may cause a log line, and any sender on the network
    can send any number of datagrams. Metrics are not limited.

    Parameters
    ----------
    burst : int
        Lines of one event that may be written in a burst.
    lines_per_second : float
        Sustained rate of lines of one event.
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

    def take_token(self, event: str, now: float) -> bool:
        """Take a token for the event; return whether its line may be written now."""
        tokens, refilled_at = self.buckets_by_event_.get(event, (self.burst, now))
        tokens = min(self.burst, tokens + (now - refilled_at) * self.lines_per_second)
        if tokens < 1:
            self.buckets_by_event_[event] = (tokens, now)
            suppressed = self.suppressed_by_event_.get(event, 0)
            self.suppressed_by_event_[event] = suppressed + 1
            return False
        self.buckets_by_event_[event] = (tokens - 1, now)
        return True

    def pop_suppressed_count(self, event: str) -> int:
        """Return and reset the number of suppressed lines of the event."""
        return self.suppressed_by_event_.pop(event, 0)
