"""Outlier ejection of servers that fail or time out."""

from enum import Enum

CONSECUTIVE_FAILURES = 5
FAILURE_SHARE = 0.5
FAILURE_GAIN = 0.1  # weight of the newest result in the failure share
MIN_RESULTS = 10  # results before the failure share counts
BASE_EJECTION = 2.0  # seconds
MAX_EJECTION = 60.0  # seconds


class HealthState(Enum):
    """What an ejection means for new work."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"


class ServerHealth:
    """Recent results of one server as seen by this host."""

    __slots__ = (
        "_consecutive",
        "_ejected_until",
        "_ejection",
        "_failure_share",
        "_results",
        "state",
    )

    def __init__(self):
        self.state = HealthState.HEALTHY
        self._ejection = BASE_EJECTION
        self._ejected_until = 0.0
        self._clear()

    def record(self, failed: bool, now: float) -> bool:
        """Add a result; return True where a probe brought the server back."""
        if self.state is HealthState.PROBING:
            return self._end_probe(failed, now)
        self._results += 1
        self._consecutive = self._consecutive + 1 if failed else 0
        self._failure_share += (float(failed) - self._failure_share) * FAILURE_GAIN
        return False

    def is_failing(self) -> bool:
        """Tell whether the newest result was a failure."""
        return self._consecutive > 0

    def is_outlier(self) -> bool:
        """Tell whether the results justify an ejection."""
        if self.state is not HealthState.HEALTHY:
            return False
        if self._consecutive >= CONSECUTIVE_FAILURES:
            return True
        return self._results >= MIN_RESULTS and self._failure_share > FAILURE_SHARE

    def eject(self, now: float) -> None:
        """Take the server out; each ejection in a row lasts twice as long."""
        self.state = HealthState.EJECTED
        self._ejected_until = now + self._ejection
        self._ejection = min(self._ejection * 2, MAX_EJECTION)

    def tick(self, now: float) -> None:
        """Begin to probe when the ejection ends."""
        if self.state is HealthState.EJECTED and now >= self._ejected_until:
            self.state = HealthState.PROBING

    def _end_probe(self, failed: bool, now: float) -> bool:
        if failed:
            self.eject(now)
            return False
        self.state = HealthState.HEALTHY
        self._ejection = BASE_EJECTION
        self._clear()
        return True

    def _clear(self) -> None:
        self._consecutive = 0
        self._results = 0
        self._failure_share = 0.0


def max_ejected(servers: int, share: float) -> int:
    """Return how many servers of a service may be out at one time.

    One of two or more may always go; the last one never does.
    """
    if servers < 2:
        return 0
    return max(1, int(servers * share))
