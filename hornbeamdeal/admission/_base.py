"""Contract of admission: which request starts where, waits or is refused."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from hornbeamdeal.kernel import BackendServer, Endpoint, ServerAnswer, View


class RefusalReason(Enum):
    """Why a request was refused before any server started it."""

    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    NO_SERVER = "no_server"
    SERVERS_SHED = "servers_shed"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Ticket:
    """One try of a request. `deadline` is in monotonic seconds.

    `excluded` names the servers that failed earlier tries; they are used only
    where no other is left.
    """

    ticket_id: int
    service: str
    work_class: str
    long: bool
    caller: Endpoint
    deadline: float
    excluded: frozenset[str] = field(default_factory=frozenset)


@dataclass(frozen=True, slots=True)
class Start:
    """Dispatch the ticket's request to the server now."""

    ticket: Ticket
    server: BackendServer


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the ticket's request. `retry_after` is in seconds."""

    ticket: Ticket
    reason: RefusalReason
    retry_after: float


Decision = Start | Refuse


class Admission(Protocol):
    """Admission of one entry host; each verb returns decisions.

    A ticket without a decision waits in a queue. A ticket that was refused is
    never started afterwards.
    """

    def update(self, view: View, now: float) -> list[Decision]:
        """Take a new view of servers and hosts."""

    def offer(self, ticket: Ticket, now: float) -> list[Decision]:
        """Take a new ticket."""

    def release(
        self, ticket_id: int, answer: ServerAnswer, now: float
    ) -> list[Decision]:
        """Take the end of a started ticket, and start others in its slot."""

    def withdraw(self, ticket_id: int, now: float) -> list[Decision]:
        """Forget a waiting or started ticket whose caller gave up."""

    def tick(self, now: float) -> list[Decision]:
        """Refuse what can no longer meet its deadline, and start what can."""

    def close(self, now: float) -> list[Decision]:
        """Refuse all waiting tickets and every later one: the host is stopping."""
