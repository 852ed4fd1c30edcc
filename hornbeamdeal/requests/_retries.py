"""Decide whether and when a request gets another attempt."""

from random import Random

from ._base import Limits
from ._budget import RetryBudget
from ._exchange import Exchange

MINIMUM_JITTER_FACTOR = 0.5
MAXIMUM_JITTER_FACTOR = 1.5


class RetryPolicy:
    """Retry budget, retry delays and attempt deadlines of one host."""

    __slots__ = ("budget_", "limits", "random_")

    def __init__(self, *, limits: Limits, random: Random):
        self.limits = limits
        self.random_ = random
        self.budget_ = RetryBudget(
            ratio=limits.retry_ratio, floor_per_second=limits.retry_floor_per_second
        )

    def record_success(self, now: float) -> None:
        """Count one answered request."""
        self.budget_.record_success(now)

    def attempt_deadline(self, exchange: Exchange, now: float) -> float:
        """Return when a dispatched attempt counts as lost.

        An attempt of long work may take until the exchange's deadline, because
        long work that runs twice costs more than the wait. So may an attempt of a
        request that is not idempotent, as it is never retried.
        """
        if not exchange.idempotent or exchange.route.work_class.long:
            return exchange.deadline
        return now + self.limits.attempt_share * (exchange.deadline - now)

    def may_move(self, exchange: Exchange, now: float) -> bool:
        """Return whether a refused request may be sent to another server."""
        return exchange.moves < self.limits.maximum_moves and now < exchange.deadline

    def try_acquire_retry(self, exchange: Exchange, now: float) -> bool:
        """Take a retry from the budget, and return whether one was granted.

        Only an idempotent request whose next attempt can start before its
        deadline is retried, at most `maximum_retries` times.
        """
        if not exchange.idempotent or exchange.retries >= self.limits.maximum_retries:
            return False
        longest = self._mean_delay(exchange) * MAXIMUM_JITTER_FACTOR
        return now + longest < exchange.deadline and self.budget_.try_acquire(now)

    def next_attempt_time(self, exchange: Exchange, now: float) -> float:
        """Return the jittered start time of the next attempt."""
        jitter = self.random_.uniform(MINIMUM_JITTER_FACTOR, MAXIMUM_JITTER_FACTOR)
        return now + self._mean_delay(exchange) * jitter

    def _mean_delay(self, exchange: Exchange) -> float:
        return self.limits.retry_delay * 2**exchange.retries
