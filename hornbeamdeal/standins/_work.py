"""Work model of the backend server stand-in: slots, service times, load report."""

import random
from collections import deque

# Time by which a load report lags behind, in seconds.
REPORT_LAG = 0.5


class WorkModel:
    """Slots of one backend server with its service times.

    A cold server is `cold_factor` times slower for its first `cold_seconds`.
    A lying server reports `lie` in place of its load.
    """

    __slots__ = (
        "slots",
        "seconds_by_path",
        "cold_seconds",
        "cold_factor",
        "lie",
        "draining",
        "random_",
        "started_at_",
        "busy_",
        "history_",
    )

    def __init__(
        self,
        *,
        slots,
        seconds_by_path,
        cold_seconds=0.0,
        cold_factor=3.0,
        lie=None,
        random_state=0,
        now=0.0,
    ):
        self.slots = slots
        self.seconds_by_path = seconds_by_path
        self.cold_seconds = cold_seconds
        self.cold_factor = cold_factor
        self.lie = lie
        self.draining = False
        self.random_ = random.Random(random_state)
        self.started_at_ = now
        self.busy_ = 0
        self.history_: deque[tuple[float, int]] = deque(maxlen=4096)

    def take_slot(self, now: float) -> bool:
        """Take a slot; False where the server sheds the work."""
        if self.draining or self.busy_ >= self.slots:
            return False
        self.busy_ += 1
        self.history_.append((now, self.busy_))
        return True

    def free_slot(self, now: float) -> None:
        """Give a slot back."""
        self.busy_ -= 1
        self.history_.append((now, self.busy_))

    def service_seconds(self, path: str, now: float) -> float:
        """Draw the service time of a request, half fixed and half exponential."""
        mean = self.seconds_by_path.get(path, 0.02)
        if now - self.started_at_ < self.cold_seconds:
            mean *= self.cold_factor
        return mean * (0.5 + 0.5 * self.random_.expovariate(1.0))

    def reported_load(self, now: float) -> float:
        """Return the load as reported: late, or wrong on purpose."""
        if self.lie is not None:
            return self.lie
        busy = 0
        for time, value in self.history_:
            if time > now - REPORT_LAG:
                break
            busy = value
        return busy / self.slots
