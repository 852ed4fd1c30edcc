"""Work model of the backend server stand-in: slots, service times, reported load."""

import random
from collections import deque

# Age of the load that a server reports.
REPORT_DELAY_SECONDS = 0.5


class WorkModel:
    """Slots and service times of one backend server.

    Service times are `cold_factor` times longer during the first `cold_seconds`.
    If `fixed_load` is set, it is reported instead of the measured load.
    """

    __slots__ = (
        "slots",
        "seconds_by_path",
        "cold_seconds",
        "cold_factor",
        "fixed_load",
        "draining",
        "random_",
        "started_at_",
        "busy_slots_",
        "busy_history_",
    )

    def __init__(
        self,
        *,
        slots,
        seconds_by_path,
        cold_seconds=0.0,
        cold_factor=3.0,
        fixed_load=None,
        random_state=0,
        now=0.0,
    ):
        self.slots = slots
        self.seconds_by_path = seconds_by_path
        self.cold_seconds = cold_seconds
        self.cold_factor = cold_factor
        self.fixed_load = fixed_load
        self.draining = False
        self.random_ = random.Random(random_state)
        self.started_at_ = now
        self.busy_slots_ = 0
        self.busy_history_: deque[tuple[float, int]] = deque(maxlen=4096)

    def acquire_slot(self, now: float) -> bool:
        """Acquire a slot; return False if draining or all slots are busy."""
        if self.draining or self.busy_slots_ >= self.slots:
            return False
        self.busy_slots_ += 1
        self.busy_history_.append((now, self.busy_slots_))
        return True

    def release_slot(self, now: float) -> None:
        """Release a slot."""
        self.busy_slots_ -= 1
        self.busy_history_.append((now, self.busy_slots_))

    def draw_service_seconds(self, path: str, now: float) -> float:
        """Draw a service time in seconds, half constant and half exponential."""
        mean = self.seconds_by_path.get(path, 0.02)
        if now - self.started_at_ < self.cold_seconds:
            mean *= self.cold_factor
        return mean * (0.5 + 0.5 * self.random_.expovariate(1.0))

    def reported_load(self, now: float) -> float:
        """Return the reported share of busy slots: delayed, or `fixed_load`."""
        if self.fixed_load is not None:
            return self.fixed_load
        reported = 0
        for changed_at, busy_slots in self.busy_history_:
            if changed_at > now - REPORT_DELAY_SECONDS:
                break
            reported = busy_slots
        return reported / self.slots
