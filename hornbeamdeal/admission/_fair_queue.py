"""Queue of waiting tickets with round robin between callers."""

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TypeVar

from hornbeamdeal.kernel import Endpoint

from ._base import Ticket

URGENT_SHARE = 0.7  # share of the time to the deadline after which a ticket is urgent

SlotT = TypeVar("SlotT")


@dataclass(slots=True, eq=False)
class WaitingTicket:
    """A ticket in the queue."""

    ticket: Ticket
    queued_at: float
    urgent_at: float
    removed: bool = False


class FairQueue:
    """Round robin over callers; tickets close to their deadline go first.

    A retried ticket is urgent at once, since it has waited its turn before.
    """

    __slots__ = ("_by_caller", "_by_id", "_urgency_heap")

    def __init__(self):
        self._by_id: dict[int, WaitingTicket] = {}
        self._by_caller: OrderedDict[Endpoint, deque[WaitingTicket]] = OrderedDict()
        self._urgency_heap: list[tuple[float, int, WaitingTicket]] = []

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, ticket_id: int) -> bool:
        return ticket_id in self._by_id

    def push(self, ticket: Ticket, now: float) -> None:
        """Add a ticket after the others of its caller."""
        urgent_at = now + URGENT_SHARE * (ticket.deadline - now)
        if ticket.excluded:
            urgent_at = now
        waiting = WaitingTicket(ticket, now, urgent_at)
        self._by_id[ticket.ticket_id] = waiting
        self._by_caller.setdefault(ticket.caller, deque()).append(waiting)
        heapq.heappush(self._urgency_heap, (urgent_at, ticket.ticket_id, waiting))

    def remove(self, ticket_id: int) -> Ticket | None:
        """Remove a ticket and return it, or None if it is not waiting."""
        waiting = self._by_id.pop(ticket_id, None)
        if waiting is None:
            return None
        waiting.removed = True
        self._remove_from_caller(waiting)
        self._discard_removed()
        return waiting.ticket

    def take(
        self, now: float, find_slot: Callable[[WaitingTicket], SlotT | None]
    ) -> tuple[Ticket, SlotT] | None:
        """Remove the first ticket for which `find_slot` returns a slot; return both."""
        for waiting in self._by_priority(now):
            slot = find_slot(waiting)
            if slot is not None:
                self._move_caller_last(waiting.ticket.caller)
                self.remove(waiting.ticket.ticket_id)
                return waiting.ticket, slot
            if not waiting.ticket.excluded:
                # Tickets differ in their excluded servers only, so there is no
                # slot for any other ticket without exclusions either.
                return None
        return None

    def tickets(self) -> list[Ticket]:
        """Return all waiting tickets in order of arrival."""
        return [waiting.ticket for waiting in self._by_id.values()]

    def _by_priority(self, now: float) -> Iterator[WaitingTicket]:
        if self._urgency_heap and self._urgency_heap[0][0] <= now:
            first = self._urgency_heap[0][2]
            yield first
            urgent = sorted(item for item in self._urgency_heap if item[0] <= now)
            yield from (w for _, _, w in urgent if not w.removed and w is not first)
        for caller in list(self._by_caller):
            yield self._by_caller[caller][0]

    def _move_caller_last(self, caller: Endpoint) -> None:
        self._by_caller.move_to_end(caller)

    def _remove_from_caller(self, waiting: WaitingTicket) -> None:
        caller = waiting.ticket.caller
        tickets = self._by_caller[caller]
        tickets.remove(waiting)
        if not tickets:
            del self._by_caller[caller]

    def _discard_removed(self) -> None:
        while self._urgency_heap and self._urgency_heap[0][2].removed:
            heapq.heappop(self._urgency_heap)
        if len(self._urgency_heap) > 2 * len(self._by_id) + 16:
            self._urgency_heap = [
                item for item in self._urgency_heap if not item[2].removed
            ]
            heapq.heapify(self._urgency_heap)
