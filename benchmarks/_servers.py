"""Simulated servers with slots, and the retry budget of a host."""

from collections import deque
from random import Random

from hornbeamdeal.kernel import BackendServer

SLOTS = 3
REPORT_DELAY_SECONDS = 0.5  # age of a reported load
MEAN_SHORT_SECONDS = 0.05
LONG_FACTOR = 50
SERVICE_TIME_SIGMA = 0.6  # of the lognormal distribution of service times
COLD_SECONDS = 3.0
COLD_FACTOR = 5.0
RETRY_BUDGET_SHARE = 0.1  # retries allowed per answer, if the budget is limited
RETRY_BUDGET_PER_SECOND = 1.0  # further retries allowed per second and host
RETRY_BUDGET_CAPACITY = 20.0  # maximum saved retries of a host


class SlotServer:
    """Simulated server that refuses requests while all its slots are busy."""

    def __init__(self, server: BackendServer, random: Random, reports_zero_load: bool):
        self.server = server
        self.random = random
        self.reports_zero_load = reports_zero_load
        self.cold_until = 0.0
        self.busy_slots = 0
        self.busy_seconds = 0.0
        self._busy_history: deque[tuple[float, int]] = deque([(0.0, 0)])

    def draw_service_seconds(self, long: bool, now: float) -> float:
        """Draw the service time of a job, in seconds."""
        mean = MEAN_SHORT_SECONDS * (LONG_FACTOR if long else 1)
        seconds = mean * self.random.lognormvariate(
            -SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2, SERVICE_TIME_SIGMA
        )
        return seconds * (COLD_FACTOR if now < self.cold_until else 1.0)

    def change_busy_slots(self, amount: int, now: float) -> None:
        """Add to the number of busy slots."""
        self.busy_slots += amount
        self._busy_history.append((now, self.busy_slots))

    def reported_load(self, now: float) -> float:
        """Return the reported share of busy slots: delayed, or always zero."""
        if self.reports_zero_load:
            return 0.0
        while (
            len(self._busy_history) > 1
            and self._busy_history[1][0] <= now - REPORT_DELAY_SECONDS
        ):
            self._busy_history.popleft()
        return self._busy_history[0][1] / self.server.slots


class RetryBudget:
    """Token bucket for the retries of one host after sheds; may be unlimited."""

    def __init__(self, is_limited: bool):
        self.is_limited = is_limited
        self.tokens = RETRY_BUDGET_CAPACITY
        self.refilled_at = 0.0

    def add_tokens(self, tokens: float) -> None:
        """Add tokens, up to the capacity."""
        self.tokens = min(RETRY_BUDGET_CAPACITY, self.tokens + tokens)

    def try_spend(self, now: float) -> bool:
        """Spend one token; return False if the budget is exhausted."""
        self.add_tokens((now - self.refilled_at) * RETRY_BUDGET_PER_SECOND)
        self.refilled_at = now
        if self.is_limited and self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
