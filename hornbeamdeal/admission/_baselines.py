"""Baseline admission plug-ins with a single FIFO queue."""

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from hornbeamdeal.kernel import (
    BackendServer,
    Between,
    ClusterView,
    ServerAnswer,
    ServerState,
    register_plugin,
    validate_parameters,
)

from ._base import Decision, RefusalReason, RefuseDecision, StartDecision, Ticket

RETRY_AFTER_SECONDS = 1.0  # the same for each refusal


@dataclass(frozen=True, slots=True)
class _RunningTicket:
    ticket: Ticket
    server_id: str


class _FifoAdmission(ABC):
    """One bounded FIFO queue for all services; subclasses choose the server."""

    def __init__(self, random_state: int | None = None, queue_limit: int = 1000):
        self.random_state = random_state
        self.queue_limit = queue_limit
        self._random = Random(random_state)
        self._waiting: OrderedDict[int, Ticket] = OrderedDict()
        self._running: dict[int, _RunningTicket] = {}
        self._running_by_server: dict[str, int] = {}
        self._servers_by_service: dict[str, list[BackendServer]] = {}
        self._load_by_server: dict[str, float] = {}
        self._closed = False

    def update(self, view: ClusterView, now: float) -> list[Decision]:
        """Apply a new view of servers."""
        validate_parameters(self, {"queue_limit": Between(1, 1_000_000)})
        self._servers_by_service = {}
        for server_id in sorted(view.servers_by_id):
            server = view.servers_by_id[server_id]
            if server.state is ServerState.ACTIVE:
                self._servers_by_service.setdefault(server.service, []).append(server)
        return self._refuse_without_server() + self._start_waiting()

    def offer(self, ticket: Ticket, now: float) -> list[Decision]:
        """Start, queue or refuse a new ticket."""
        if self._closed:
            return [RefuseDecision(ticket, RefusalReason.STOPPING, RETRY_AFTER_SECONDS)]
        if not self._servers_by_service.get(ticket.service):
            return [
                RefuseDecision(ticket, RefusalReason.NO_SERVER, RETRY_AFTER_SECONDS)
            ]
        if len(self._waiting) >= self.queue_limit:
            return [
                RefuseDecision(ticket, RefusalReason.QUEUE_FULL, RETRY_AFTER_SECONDS)
            ]
        self._waiting[ticket.ticket_id] = ticket
        return self._start_waiting()

    def release(
        self, ticket_id: int, answer: ServerAnswer, now: float
    ) -> list[Decision]:
        """Record the result of a started ticket."""
        running = self._running.pop(ticket_id, None)
        if running is None:
            return []
        self._running_by_server[running.server_id] -= 1
        if answer.load is not None:
            self._load_by_server[running.server_id] = answer.load
        return self._start_waiting()

    def withdraw(self, ticket_id: int, now: float) -> list[Decision]:
        """Remove a ticket whose caller gave up."""
        self._waiting.pop(ticket_id, None)
        running = self._running.pop(ticket_id, None)
        if running is not None:
            self._running_by_server[running.server_id] -= 1
        return self._start_waiting()

    def tick(self, now: float) -> list[Decision]:
        """Refuse tickets whose deadline has passed."""
        expired = [t for t in self._waiting.values() if t.deadline <= now]
        return (
            self._refuse(expired, RefusalReason.DEADLINE_PASSED) + self._start_waiting()
        )

    def close(self, now: float) -> list[Decision]:
        """Refuse all waiting and later tickets."""
        self._closed = True
        return self._refuse(list(self._waiting.values()), RefusalReason.STOPPING)

    @abstractmethod
    def _choose(self, servers: Sequence[BackendServer]) -> BackendServer:
        """Choose one of the servers with a free slot."""

    def _refuse_without_server(self) -> list[Decision]:
        services = self._servers_by_service
        unserved = [t for t in self._waiting.values() if t.service not in services]
        return self._refuse(unserved, RefusalReason.NO_SERVER)

    def _refuse(self, tickets, reason) -> list[Decision]:
        for ticket in tickets:
            del self._waiting[ticket.ticket_id]
        return [
            RefuseDecision(ticket, reason, RETRY_AFTER_SECONDS) for ticket in tickets
        ]

    def _start_waiting(self) -> list[Decision]:
        decisions: list[Decision] = []
        while self._waiting and not self._closed:
            ticket = next(iter(self._waiting.values()))
            free = self._free_servers(ticket)
            if not free:
                break
            del self._waiting[ticket.ticket_id]
            decisions.append(self._start(ticket, self._choose(free)))
        return decisions

    def _free_servers(self, ticket: Ticket) -> list[BackendServer]:
        counts = self._running_by_server
        servers = self._servers_by_service.get(ticket.service, [])
        free = [s for s in servers if counts.get(s.server_id, 0) < s.slots]
        preferred = [s for s in free if s.server_id not in ticket.excluded]
        return preferred or free

    def _start(self, ticket: Ticket, server: BackendServer) -> StartDecision:
        server_id = server.server_id
        self._running[ticket.ticket_id] = _RunningTicket(ticket, server_id)
        count = self._running_by_server.get(server_id, 0)
        self._running_by_server[server_id] = count + 1
        return StartDecision(ticket, server)


@register_plugin("admission", "random")
class RandomAdmission(_FifoAdmission):
    """Admission that chooses any server with a free slot."""

    def _choose(self, servers: Sequence[BackendServer]) -> BackendServer:
        return self._random.choice(servers)


@register_plugin("admission", "round_robin")
class RoundRobinAdmission(_FifoAdmission):
    """Admission that chooses the servers with a free slot in turn."""

    def __init__(self, random_state: int | None = None, queue_limit: int = 1000):
        super().__init__(random_state, queue_limit)
        self._last_server_id = ""

    def _choose(self, servers: Sequence[BackendServer]) -> BackendServer:
        later = [s for s in servers if s.server_id > self._last_server_id]
        chosen = (later or servers)[0]
        self._last_server_id = chosen.server_id
        return chosen


@register_plugin("admission", "least_loaded")
class LeastLoadedAdmission(_FifoAdmission):
    """Admission that chooses the lowest local utilisation plus reported load."""

    def _choose(self, servers: Sequence[BackendServer]) -> BackendServer:
        def load_score(server):
            local = self._running_by_server.get(server.server_id, 0) / server.slots
            reported = self._load_by_server.get(server.server_id, 0.0)
            return local + reported, self._random.random()

        return min(servers, key=load_score)
