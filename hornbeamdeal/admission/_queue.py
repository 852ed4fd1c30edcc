"""Queue of waiting tickets that is fair between callers."""

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TypeVar

from hornbeamdeal.kernel import Endpoint

from ._base import Ticket

URGENT_SHARE = 0.7  # share of a ticket's time after which it goes first

PlaceT = TypeVar("PlaceT")


@dataclass(slots=True, eq=False)
class Waiting:
    """A ticket in the queue."""

    ticket: Ticket
    since: float
    urgent_at: float
    removed: bool = False


class FairQueue:
    """Round robin over callers; tickets close to their deadline go first.

    A ticket that a server has already refused is urgent at once, since it has
    waited its turn before.
    """

    __slots__ = ("_by_caller", "_by_id", "_urgent")

    def __init__(self):
        self._by_id: dict[int, Waiting] = {}
        self._by_caller: OrderedDict[Endpoint, deque[Waiting]] = OrderedDict()
        self._urgent: list[tuple[float, int, Waiting]] = []

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, ticket_id: int) -> bool:
        return ticket_id in self._by_id

    def push(self, ticket: Ticket, now: float) -> None:
        """Add a ticket behind its caller's others."""
        urgent_at = now + URGENT_SHARE * (ticket.deadline - now)
        if ticket.excluded:
            urgent_at = now
        waiting = Waiting(ticket, now, urgent_at)
        self._by_id[ticket.ticket_id] = waiting
        self._by_caller.setdefault(ticket.caller, deque()).append(waiting)
        heapq.heappush(self._urgent, (urgent_at, ticket.ticket_id, waiting))

    def remove(self, ticket_id: int) -> Ticket | None:
        """Take a ticket out; return None where it does not wait."""
        waiting = self._by_id.pop(ticket_id, None)
        if waiting is None:
            return None
        waiting.removed = True
        self._remove_from_caller(waiting)
        self._trim_urgent()
        return waiting.ticket

    def take(
        self, now: float, place: Callable[[Waiting], PlaceT | None]
    ) -> tuple[Ticket, PlaceT] | None:
        """Take the first ticket for which `place` finds a place."""
        for waiting in self._in_order(now):
            found = place(waiting)
            if found is not None:
                self._rotate(waiting.ticket.caller)
                self.remove(waiting.ticket.ticket_id)
                return waiting.ticket, found
            if not waiting.ticket.excluded:
                # Only exclusions differ between tickets, so no other ticket
                # without them has a place either.
                return None
        return None

    def tickets(self) -> list[Ticket]:
        """Return all waiting tickets in order of arrival."""
        return [waiting.ticket for waiting in self._by_id.values()]

    def _in_order(self, now: float) -> Iterator[Waiting]:
        if self._urgent and self._urgent[0][0] <= now:
            first = self._urgent[0][2]
            yield first
            due = sorted(item for item in self._urgent if item[0] <= now)
            yield from (w for _, _, w in due if not w.removed and w is not first)
        for caller in list(self._by_caller):
            yield self._by_caller[caller][0]

    def _rotate(self, caller: Endpoint) -> None:
        self._by_caller.move_to_end(caller)

    def _remove_from_caller(self, waiting: Waiting) -> None:
        caller = waiting.ticket.caller
        tickets = self._by_caller[caller]
        tickets.remove(waiting)
        if not tickets:
            del self._by_caller[caller]

    def _trim_urgent(self) -> None:
        while self._urgent and self._urgent[0][2].removed:
            heapq.heappop(self._urgent)
        if len(self._urgent) > 2 * len(self._by_id) + 16:
            self._urgent = [item for item in self._urgent if not item[2].removed]
            heapq.heapify(self._urgent)
