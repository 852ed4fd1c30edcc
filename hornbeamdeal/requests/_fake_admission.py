"""Fake admission for traces, tests and benchmarks."""

from hornbeamdeal.admission._base import (
    Decision,
    RefusalReason,
    RefuseDecision,
    StartDecision,
    Ticket,
)
from hornbeamdeal.kernel import BackendServer, ClusterView, ServerAnswer

REFUSAL_RETRY_AFTER = 1.0


class DirectAdmission:
    """Admission that starts each ticket at the first server not excluded.

    While `is_queueing` is set, new tickets wait until `start_waiting`.
    """

    def __init__(self, servers: list[BackendServer]):
        self.servers = servers
        self.is_queueing = False
        self.is_closed = False
        self.waiting: dict[int, Ticket] = {}
        self.started: dict[int, str] = {}

    def update(self, view: ClusterView, now: float) -> list[Decision]:
        """Ignore a new view; the servers stay as they are."""
        return []

    def offer(self, ticket: Ticket, now: float) -> list[Decision]:
        """Start or queue a ticket; refuse it once closed."""
        if self.is_closed:
            return [self._refuse(ticket, RefusalReason.STOPPING)]
        if self.is_queueing:
            self.waiting[ticket.ticket_id] = ticket
            return []
        return [self._start(ticket)]

    def release(
        self, ticket_id: int, answer: ServerAnswer, now: float
    ) -> list[Decision]:
        """Remove a started ticket."""
        del self.started[ticket_id]
        return []

    def withdraw(self, ticket_id: int, now: float) -> list[Decision]:
        """Remove a waiting or started ticket."""
        self.waiting.pop(ticket_id, None)
        self.started.pop(ticket_id, None)
        return []

    def tick(self, now: float) -> list[Decision]:
        """Start the waiting tickets unless `is_queueing` is set."""
        return [] if self.is_queueing else self.start_waiting()

    def start_waiting(self) -> list[Decision]:
        """Start all waiting tickets."""
        tickets, self.waiting = list(self.waiting.values()), {}
        return [self._start(ticket) for ticket in tickets]

    def refuse_waiting(self) -> list[Decision]:
        """Refuse all waiting tickets."""
        tickets, self.waiting = list(self.waiting.values()), {}
        return [self._refuse(ticket, RefusalReason.QUEUE_FULL) for ticket in tickets]

    def close(self, now: float) -> list[Decision]:
        """Refuse the waiting tickets and all later ones."""
        self.is_closed = True
        tickets, self.waiting = list(self.waiting.values()), {}
        return [self._refuse(ticket, RefusalReason.STOPPING) for ticket in tickets]

    def _start(self, ticket: Ticket) -> StartDecision:
        allowed = [s for s in self.servers if s.server_id not in ticket.excluded]
        server = (allowed or self.servers)[0]
        self.started[ticket.ticket_id] = server.server_id
        return StartDecision(ticket, server)

    def _refuse(self, ticket: Ticket, reason: RefusalReason) -> RefuseDecision:
        return RefuseDecision(ticket, reason, REFUSAL_RETRY_AFTER)
