"""Retry budget: a share of the recent successes plus a small floor.

Since the budget depends on successes, retries do not multiply the load when
most requests fail; see the chapter on overload in "Site Reliability
Engineering" (Beyer et al. 2016).
"""

WINDOW_SECONDS = 10


class RetryBudget:
    """Limits retries by the successes of the last `WINDOW_SECONDS` seconds.

    Parameters
    ----------
    ratio : float
        Retries allowed per success in the window.
    floor_per_second : float
        Retries per second that are allowed in addition.
    """

    __slots__ = ("floor_per_second", "ratio", "retries_", "second_", "successes_")

    def __init__(self, *, ratio: float, floor_per_second: float):
        self.ratio = ratio
        self.floor_per_second = floor_per_second
        self.successes_ = [0] * WINDOW_SECONDS
        self.retries_ = [0] * WINDOW_SECONDS
        self.second_ = 0

    def record_success(self, now: float) -> None:
        """Count one answered request."""
        self._advance(now)
        self.successes_[self.second_ % WINDOW_SECONDS] += 1

    def try_acquire(self, now: float) -> bool:
        """Count one retry and return True, or return False if none is left."""
        self._advance(now)
        allowed = self.ratio * sum(self.successes_)
        allowed += self.floor_per_second * WINDOW_SECONDS
        if sum(self.retries_) + 1 > allowed:
            return False
        self.retries_[self.second_ % WINDOW_SECONDS] += 1
        return True

    def _advance(self, now: float) -> None:
        """Clear the counts of the seconds that left the window."""
        steps = int(now) - self.second_
        for step in range(1, min(steps, WINDOW_SECONDS) + 1):
            slot = (self.second_ + step) % WINDOW_SECONDS
            self.successes_[slot] = 0
            self.retries_[slot] = 0
        self.second_ = max(self.second_, int(now))
