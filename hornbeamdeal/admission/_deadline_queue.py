"""Queue for one kind of work, short or long, bounded by deadlines."""

import math
from random import Random

from ._base import RefusalReason, RefuseDecision, Ticket
from ._caller_fair_share import CallerFairShare
from ._fair_queue import FairQueue
from ._retry_schedule import RetrySchedule
from ._service_times import RunningMean

CONCURRENCY_AVERAGING_SECONDS = 0.5
MAXIMUM_WAITING_TICKETS = 10_000  # limits memory; deadlines allow far fewer


class DeadlineQueue:
    """Waiting tickets of one kind of work, and the throughput of running ones."""

    __slots__ = (
        "_caller_shares",
        "_concurrency",
        "_concurrency_updated_at",
        "_retry_schedule",
        "queue_share",
        "running_count",
        "service_time",
        "waiting",
    )

    def __init__(self, initial_service_time: float, queue_share: float, random: Random):
        self.waiting = FairQueue()
        self.queue_share = queue_share
        self.running_count = 0
        self.service_time = RunningMean(initial_service_time)
        self._caller_shares = CallerFairShare()
        self._retry_schedule = RetrySchedule(random)
        self._concurrency = 0.0
        self._concurrency_updated_at = 0.0

    def throughput(self) -> float:
        """Return this host's throughput in requests per second (Little's law)."""
        concurrency = max(1.0, self._concurrency, self.running_count)
        return concurrency / max(self.service_time.value, 1e-6)

    def try_push(self, ticket: Ticket, now: float) -> RefusalReason | None:
        """Queue the ticket, or return the reason for its refusal."""
        self._caller_shares.record_offer(ticket.caller, now)
        reason = self._find_refusal_reason(ticket, now)
        if reason is None:
            self.charge_caller(ticket, now)
            self.waiting.push(ticket, now)
        return reason

    def charge_caller(self, ticket: Ticket, now: float) -> None:
        """Count a request against its caller's fair share; retries are not counted."""
        if not ticket.excluded:
            self._caller_shares.record_offer(ticket.caller, now)
            self._caller_shares.record_accept(ticket.caller)

    def refuse(
        self, ticket: Ticket, reason: RefusalReason, now: float
    ) -> RefuseDecision:
        """Return a refusal with the time to retry."""
        retry_after = self._retry_schedule.retry_after(self.throughput(), now)
        return RefuseDecision(ticket, reason, retry_after)

    def expire(self, now: float) -> list[RefuseDecision]:
        """Refuse the tickets that would end after their deadline if started now."""
        earliest_end = now + self.service_time.value
        unreachable = [t for t in self.waiting.tickets() if t.deadline < earliest_end]
        for ticket in unreachable:
            self.waiting.remove(ticket.ticket_id)
        reason = RefusalReason.DEADLINE_UNREACHABLE
        return [self.refuse(ticket, reason, now) for ticket in unreachable]

    def refuse_all(self, reason: RefusalReason, now: float) -> list[RefuseDecision]:
        """Refuse all waiting tickets."""
        tickets = self.waiting.tickets()
        for ticket in tickets:
            self.waiting.remove(ticket.ticket_id)
        return [self.refuse(ticket, reason, now) for ticket in tickets]

    def adjust_running(self, change: int, now: float) -> None:
        """Change the number of running tickets by one start (1) or end (-1)."""
        self._update_concurrency(now)
        self.running_count += change

    def tick(self, now: float) -> None:
        """Update the average concurrency and remove idle callers."""
        self._update_concurrency(now)
        self._caller_shares.remove_idle(now)

    def _update_concurrency(self, now: float) -> None:
        elapsed = max(0.0, now - self._concurrency_updated_at)
        weight = 1.0 - math.exp(-elapsed / CONCURRENCY_AVERAGING_SECONDS)
        self._concurrency += (self.running_count - self._concurrency) * weight
        self._concurrency_updated_at = now

    def _find_refusal_reason(self, ticket: Ticket, now: float) -> RefusalReason | None:
        remaining = ticket.deadline - now
        if remaining <= 0:
            return RefusalReason.DEADLINE_PASSED
        if len(self.waiting) >= MAXIMUM_WAITING_TICKETS:
            return RefusalReason.QUEUE_FULL
        if ticket.excluded:
            return None
        wait_budget = self.queue_share * remaining - self.service_time.value
        wait = (len(self.waiting) + 1) / self.throughput()
        if wait > wait_budget:
            return RefusalReason.DEADLINE_UNREACHABLE
        if not self._caller_shares.allows(ticket.caller, wait / wait_budget):
            return RefusalReason.QUEUE_FULL
        return None
