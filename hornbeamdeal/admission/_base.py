"""Interface of admission plug-ins, which start, queue or refuse requests."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from hornbeamdeal.kernel import BackendServer, ClusterView, Endpoint, ServerAnswer


class RefusalReason(Enum):
    """Reasons to refuse a request that no server has started."""

    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    NO_SERVER = "no_server"
    SERVERS_SHED = "servers_shed"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Ticket:
    """One attempt of a request. `deadline` is in monotonic seconds.

    `excluded` holds the ids of the servers at which earlier attempts failed;
    they are used only if no other server is left.
    """

    ticket_id: int
    service: str
    work_class: str
    is_long: bool
    caller: Endpoint
    deadline: float
    excluded: frozenset[str] = field(default_factory=frozenset)


@dataclass(frozen=True, slots=True)
class StartDecision:
    """Decision to dispatch the ticket's request to the server now."""

    ticket: Ticket
    server: BackendServer


@dataclass(frozen=True, slots=True)
class RefuseDecision:
    """Decision to refuse the ticket's request. `retry_after` is in seconds."""

    ticket: Ticket
    reason: RefusalReason
    retry_after: float


Decision = StartDecision | RefuseDecision


class Admission(Protocol):
    """Admission of one entry host; each method returns decisions.

    A ticket without a decision waits in a queue. A refused ticket is never
    started afterwards.
    """

    def update(self, view: ClusterView, now: float) -> list[Decision]:
        """Apply a new view of servers and hosts."""

    def offer(self, ticket: Ticket, now: float) -> list[Decision]:
        """Start, queue or refuse a new ticket."""

    def release(
        self, ticket_id: int, answer: ServerAnswer, now: float
    ) -> list[Decision]:
        """Record the result of a started ticket, and start others in its slot."""

    def withdraw(self, ticket_id: int, now: float) -> list[Decision]:
        """Remove a waiting or started ticket whose caller gave up."""

    def tick(self, now: float) -> list[Decision]:
        """Refuse tickets that can no longer meet their deadline, and start others."""

    def close(self, now: float) -> list[Decision]:
        """Refuse all waiting and later tickets because the host is stopping."""
