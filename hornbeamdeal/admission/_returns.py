"""Times at which refused callers are told to come back."""

from random import Random

RETURN_SHARE = 0.5  # share of the throughput that is meant for returning callers
MIN_RETRY_AFTER = 0.25  # seconds
MAX_RETRY_AFTER = 30.0  # seconds
JITTER = 0.25  # relative spread around the place in the schedule


class ReturnSchedule:
    """Gives each refused caller its own place in time.

    Places follow each other at a share of the measured throughput, so that the
    callers of a surge don't come back as the next surge.
    """

    __slots__ = ("_next_at", "random")

    def __init__(self, random: Random):
        self.random = random
        self._next_at = 0.0

    def retry_after(self, throughput: float, now: float) -> float:
        """Return the seconds until the next free place."""
        place = min(max(self._next_at, now), now + MAX_RETRY_AFTER)
        self._next_at = place + 1.0 / (RETURN_SHARE * throughput)
        spread = self.random.uniform(1.0 - JITTER, 1.0 + JITTER)
        return (MIN_RETRY_AFTER + place - now) * spread
