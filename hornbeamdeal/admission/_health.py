"""Outlier ejection of servers that fail or time out."""

from enum import Enum

CONSECUTIVE_FAILURES_TO_EJECT = 5
MAXIMUM_FAILURE_RATE = 0.5  # the server is ejected above this rate
FAILURE_RATE_WEIGHT = 0.1  # weight of the newest result
MINIMUM_RESULTS_FOR_RATE = 10  # results before the failure rate is used
BASE_EJECTION_SECONDS = 2.0
MAXIMUM_EJECTION_SECONDS = 60.0


class HealthState(Enum):
    """Whether a server is in use, ejected, or probed after an ejection."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"


class ServerHealth:
    """Recent results of one server, as observed by this host."""

    __slots__ = (
        "_consecutive_failures",
        "_ejected_until",
        "_ejection_seconds",
        "_failure_rate",
        "_result_count",
        "state",
    )

    def __init__(self):
        self.state = HealthState.HEALTHY
        self._ejection_seconds = BASE_EJECTION_SECONDS
        self._ejected_until = 0.0
        self._reset_results()

    def record_result(self, failed: bool, now: float) -> bool:
        """Record a result; return whether a probe made the server healthy again."""
        if self.state is HealthState.PROBING:
            return self._record_probe(failed, now)
        self._result_count += 1
        self._consecutive_failures = self._consecutive_failures + 1 if failed else 0
        self._failure_rate += (float(failed) - self._failure_rate) * FAILURE_RATE_WEIGHT
        return False

    def is_failing(self) -> bool:
        """Return whether the latest result was a failure."""
        return self._consecutive_failures > 0

    def is_outlier(self) -> bool:
        """Return whether the results justify an ejection."""
        if self.state is not HealthState.HEALTHY:
            return False
        if self._consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT:
            return True
        return (
            self._result_count >= MINIMUM_RESULTS_FOR_RATE
            and self._failure_rate > MAXIMUM_FAILURE_RATE
        )

    def eject(self, now: float) -> None:
        """Eject the server; each consecutive ejection lasts twice as long."""
        self.state = HealthState.EJECTED
        self._ejected_until = now + self._ejection_seconds
        self._ejection_seconds = min(
            self._ejection_seconds * 2, MAXIMUM_EJECTION_SECONDS
        )

    def tick(self, now: float) -> None:
        """Start probing once the ejection has ended."""
        if self.state is HealthState.EJECTED and now >= self._ejected_until:
            self.state = HealthState.PROBING

    def _record_probe(self, failed: bool, now: float) -> bool:
        if failed:
            self.eject(now)
            return False
        self.state = HealthState.HEALTHY
        self._ejection_seconds = BASE_EJECTION_SECONDS
        self._reset_results()
        return True

    def _reset_results(self) -> None:
        self._consecutive_failures = 0
        self._result_count = 0
        self._failure_rate = 0.0


def max_ejected(server_count: int, max_share: float) -> int:
    """Return how many servers of a service may be ejected at a time.

    One of two or more servers may always be ejected; the last one never is.
    """
    if server_count < 2:
        return 0
    return max(1, int(server_count * max_share))
