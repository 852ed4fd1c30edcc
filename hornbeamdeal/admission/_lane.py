"""Queue of one kind of work, short or long, bounded by deadlines."""

import math
from random import Random

from ._base import RefusalReason, Refuse, Ticket
from ._caller_fair_share import CallerFairShare
from ._fair_queue import FairQueue
from ._retry_schedule import RetrySchedule
from ._service_times import RunningMean

CONCURRENCY_MEMORY = 0.5  # seconds over which the concurrency is averaged
MAX_WAITING = 10_000  # bound on memory, far above what deadlines allow


class Lane:
    """Waiting and running tickets of one kind, and their throughput."""

    __slots__ = (
        "_caller_shares",
        "_concurrency",
        "_measured_at",
        "_retry_schedule",
        "queue",
        "queue_share",
        "running",
        "service_time",
    )

    def __init__(self, initial_service_time: float, queue_share: float, random: Random):
        self.queue = FairQueue()
        self.queue_share = queue_share
        self.running = 0
        self.service_time = RunningMean(initial_service_time)
        self._caller_shares = CallerFairShare()
        self._retry_schedule = RetrySchedule(random)
        self._concurrency = 0.0
        self._measured_at = 0.0

    def throughput(self) -> float:
        """Return the requests a second that this host gets served (Little's law)."""
        concurrency = max(1.0, self._concurrency, self.running)
        return concurrency / max(self.service_time.value, 1e-6)

    def try_push(self, ticket: Ticket, now: float) -> RefusalReason | None:
        """Queue the ticket; return the reason where it can't start in time."""
        self._caller_shares.record_offer(ticket.caller, now)
        reason = self._find_reason(ticket, now)
        if reason is None:
            self.accept(ticket, now)
            self.queue.push(ticket, now)
        return reason

    def accept(self, ticket: Ticket, now: float) -> None:
        """Charge the caller, once for all tries of a request."""
        if not ticket.excluded:
            self._caller_shares.record_offer(ticket.caller, now)
            self._caller_shares.record_accept(ticket.caller)

    def refuse(self, ticket: Ticket, reason: RefusalReason, now: float) -> Refuse:
        """Refuse a ticket with a time to come back."""
        retry_after = self._retry_schedule.retry_after(self.throughput(), now)
        return Refuse(ticket, reason, retry_after)

    def expire(self, now: float) -> list[Refuse]:
        """Refuse the tickets that would end after their deadline."""
        last_start = now + self.service_time.value
        late = [t for t in self.queue.tickets() if t.deadline < last_start]
        for ticket in late:
            self.queue.remove(ticket.ticket_id)
        reason = RefusalReason.DEADLINE_UNREACHABLE
        return [self.refuse(ticket, reason, now) for ticket in late]

    def refuse_all(self, reason: RefusalReason, now: float) -> list[Refuse]:
        """Empty the queue."""
        tickets = self.queue.tickets()
        for ticket in tickets:
            self.queue.remove(ticket.ticket_id)
        return [self.refuse(ticket, reason, now) for ticket in tickets]

    def count_running(self, change: int, now: float) -> None:
        """Count a start (1) or an end (-1)."""
        self._measure(now)
        self.running += change

    def tick(self, now: float) -> None:
        """Bring averages up to date."""
        self._measure(now)
        self._caller_shares.remove_idle(now)

    def _measure(self, now: float) -> None:
        elapsed = max(0.0, now - self._measured_at)
        gain = 1.0 - math.exp(-elapsed / CONCURRENCY_MEMORY)
        self._concurrency += (self.running - self._concurrency) * gain
        self._measured_at = now

    def _find_reason(self, ticket: Ticket, now: float) -> RefusalReason | None:
        remaining = ticket.deadline - now
        if remaining <= 0:
            return RefusalReason.DEADLINE_PASSED
        if len(self.queue) >= MAX_WAITING:
            return RefusalReason.QUEUE_FULL
        if ticket.excluded:
            return None
        budget = self.queue_share * remaining - self.service_time.value
        wait = (len(self.queue) + 1) / self.throughput()
        if wait > budget:
            return RefusalReason.DEADLINE_UNREACHABLE
        if not self._caller_shares.allows(ticket.caller, wait / budget):
            return RefusalReason.QUEUE_FULL
        return None
