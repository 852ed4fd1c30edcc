"""Schedule of the retry times sent to refused callers."""

from random import Random

RETRY_SHARE = 0.5  # share of the throughput planned for retries
MINIMUM_RETRY_AFTER_SECONDS = 0.25
MAXIMUM_RETRY_AFTER_SECONDS = 30.0  # before the minimum is added and jittered
RETRY_JITTER = 0.25  # relative to the delay


class RetrySchedule:
    """Assigns each refused caller its own time to retry.

    Retry times are spaced at a share of the measured throughput, so that the
    callers refused in a surge don't cause the next surge.
    """

    __slots__ = ("_next_at", "random")

    def __init__(self, random: Random):
        self.random = random
        self._next_at = 0.0

    def retry_after(self, throughput: float, now: float) -> float:
        """Return the seconds until the next free retry time, with jitter.

        `throughput` is in requests per second.
        """
        retry_at = min(max(self._next_at, now), now + MAXIMUM_RETRY_AFTER_SECONDS)
        self._next_at = retry_at + 1.0 / (RETRY_SHARE * throughput)
        jitter = self.random.uniform(1.0 - RETRY_JITTER, 1.0 + RETRY_JITTER)
        return (MINIMUM_RETRY_AFTER_SECONDS + retry_at - now) * jitter
