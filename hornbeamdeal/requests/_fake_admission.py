"""Fake of admission for traces, tests and benchmarks."""

from hornbeamdeal.admission._base import Decision, RefusalReason, Refuse, Start, Ticket
from hornbeamdeal.kernel import BackendServer, ServerAnswer, View

REFUSAL_RETRY_AFTER = 1.0


class DirectAdmission:
    """Starts each ticket at the first server that is not excluded.

    While `is_queueing` is set, tickets wait; `start_waiting` starts them.
    """

    def __init__(self, servers: list[BackendServer]):
        self.servers = servers
        self.is_queueing = False
        self.is_closed = False
        self.waiting: dict[int, Ticket] = {}
        self.started: dict[int, str] = {}

    def update(self, view: View, now: float) -> list[Decision]:
        """Take a new view; the fake keeps its servers."""
        return []

    def offer(self, ticket: Ticket, now: float) -> list[Decision]:
        """Start a ticket, queue it while held, refuse it once closed."""
        if self.is_closed:
            return [self._refuse(ticket, RefusalReason.STOPPING)]
        if self.is_queueing:
            self.waiting[ticket.ticket_id] = ticket
            return []
        return [self._start(ticket)]

    def release(
        self, ticket_id: int, answer: ServerAnswer, now: float
    ) -> list[Decision]:
        """Free a slot."""
        del self.started[ticket_id]
        return []

    def withdraw(self, ticket_id: int, now: float) -> list[Decision]:
        """Forget a ticket."""
        self.waiting.pop(ticket_id, None)
        self.started.pop(ticket_id, None)
        return []

    def tick(self, now: float) -> list[Decision]:
        """Start what waits unless tickets are held."""
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
        """Refuse what waits and what comes."""
        self.is_closed = True
        tickets, self.waiting = list(self.waiting.values()), {}
        return [self._refuse(ticket, RefusalReason.STOPPING) for ticket in tickets]

    def _start(self, ticket: Ticket) -> Start:
        allowed = [s for s in self.servers if s.server_id not in ticket.excluded]
        server = (allowed or self.servers)[0]
        self.started[ticket.ticket_id] = server.server_id
        return Start(ticket, server)

    def _refuse(self, ticket: Ticket, reason: RefusalReason) -> Refuse:
        return Refuse(ticket, reason, REFUSAL_RETRY_AFTER)
