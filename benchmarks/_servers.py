"""Servers with slots, and the retry budget of a host."""

from collections import deque
from random import Random

from hornbeamdeal.kernel import BackendServer

SLOTS = 3
REPORT_LAG = 0.5  # seconds
MEAN_SHORT = 0.05  # seconds
LONG_FACTOR = 50
SIGMA = 0.6  # of the logarithm of service times
COLD_SECONDS = 3.0
COLD_FACTOR = 5.0
BUDGET_SHARE = 0.1  # tries after a shed for each answer, where a budget is kept
BUDGET_FLOOR = 1.0  # further tries a second and host
BUDGET_CAP = 20.0  # saved tries of a host


class SlotServer:
    """A server that refuses when its slots are taken."""

    def __init__(self, server: BackendServer, random: Random, lies: bool):
        self.server = server
        self.random = random
        self.lies = lies
        self.cold_until = 0.0
        self.busy = 0
        self.busy_seconds = 0.0
        self._history: deque[tuple[float, int]] = deque([(0.0, 0)])

    def draw(self, long: bool, now: float) -> float:
        """Draw a service time in seconds."""
        mean = MEAN_SHORT * (LONG_FACTOR if long else 1)
        seconds = mean * self.random.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)
        return seconds * (COLD_FACTOR if now < self.cold_until else 1.0)

    def change(self, amount: int, now: float) -> None:
        """Take or free a slot."""
        self.busy += amount
        self._history.append((now, self.busy))

    def report(self, now: float) -> float:
        """Return the reported load: late, or always zero."""
        if self.lies:
            return 0.0
        while len(self._history) > 1 and self._history[1][0] <= now - REPORT_LAG:
            self._history.popleft()
        return self._history[0][1] / self.server.slots


class RetryBudget:
    """Bound on the tries after a shed of one host, without bound where not kept."""

    def __init__(self, kept: bool):
        self.kept = kept
        self.tokens = BUDGET_CAP
        self.filled_at = 0.0

    def add(self, tokens: float) -> None:
        """Save tries."""
        self.tokens = min(BUDGET_CAP, self.tokens + tokens)

    def try_spend(self, now: float) -> bool:
        """Take one try, or tell that none is left."""
        self.add((now - self.filled_at) * BUDGET_FLOOR)
        self.filled_at = now
        if self.kept and self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
