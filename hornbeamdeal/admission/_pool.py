"""Queues and running tickets of one service on one host."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from hornbeamdeal.kernel import BackendServer, Outcome, ServerAnswer

from ._base import Decision, RefusalReason, Refuse, Start, Ticket
from ._deadline_queue import DeadlineQueue
from ._fair_queue import WaitingTicket
from ._home_slots import HomeSlots
from ._server_selector import ServerSelector, SlotRequest
from ._service_times import ServiceTimes
from ._tracked_server import TrackedServer


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Parameters of a pool; times are in seconds."""

    queue_share: float
    slow_start: float
    ejected_share: float
    long_ratio: float
    initial_service_time: float


@dataclass(slots=True)
class Running:
    """A started ticket. `long` may turn True while it runs."""

    ticket: Ticket
    slots: TrackedServer
    since: float
    queued_long: bool
    long: bool
    borrowed: bool


class ServicePool:
    """Starts, queues and refuses the tickets of one service."""

    __slots__ = ("_queues", "_selector", "_running", "_times")

    def __init__(self, settings: PoolSettings, random: Random):
        self._selector = ServerSelector(
            settings.slow_start, settings.ejected_share, random
        )
        self._running: dict[int, Running] = {}
        self._times = ServiceTimes(settings.initial_service_time, settings.long_ratio)
        initial = settings.initial_service_time
        self._queues = {
            long: DeadlineQueue(initial, settings.queue_share, random)
            for long in (False, True)
        }

    def update(
        self,
        servers: Sequence[BackendServer],
        home_by_server: dict[str, HomeSlots],
        now: float,
    ) -> list[Decision]:
        """Take the service's servers and the own home slots."""
        self._selector.update(servers, home_by_server, now)
        if not self._selector.has_active_server():
            return self.refuse_all(RefusalReason.NO_SERVER, now)
        return self._fill(now)

    def offer(self, ticket: Ticket, now: float) -> list[Decision]:
        """Start, queue or refuse a ticket."""
        long = ticket.long or self._times.is_long_class(ticket.work_class)
        queue = self._queues[long]
        if not self._selector.has_active_server():
            return [queue.refuse(ticket, RefusalReason.NO_SERVER, now)]
        start = self._start_at_once(ticket, long, now)
        if start is not None:
            return [start]
        reason = queue.try_push(ticket, now)
        if reason is not None:
            return [queue.refuse(ticket, reason, now)]
        return self._fill(now)

    def release(
        self, ticket_id: int, answer: ServerAnswer, now: float
    ) -> list[Decision]:
        """Learn from the end of a ticket, and use its slot."""
        running = self._finish(ticket_id, now)
        if running is None:
            return []
        self._selector.record_result(running.slots, answer, running.borrowed, now)
        if answer.outcome in (Outcome.ANSWERED, Outcome.TIMED_OUT):
            self._record_service_time(running, now - running.since)
        return self._fill(now)

    def withdraw(self, ticket_id: int, now: float) -> list[Decision]:
        """Forget a ticket, and use the slot that it had."""
        for queue in self._queues.values():
            queue.waiting.remove(ticket_id)
        if self._finish(ticket_id, now) is None:
            return []
        return self._fill(now)

    def tick(self, now: float) -> list[Decision]:
        """Refuse late tickets, note overruns, and start what can."""
        decisions: list[Decision] = []
        self._mark_overruns(now)
        self._selector.tick(now)
        for queue in self._queues.values():
            queue.tick(now)
            decisions += queue.expire(now)
        return decisions + self._fill(now)

    def refuse_all(self, reason: RefusalReason, now: float) -> list[Decision]:
        """Refuse all waiting tickets."""
        decisions: list[Decision] = []
        for queue in self._queues.values():
            decisions += queue.refuse_all(reason, now)
        return decisions

    def refuse(self, ticket: Ticket, reason: RefusalReason, now: float) -> Refuse:
        """Refuse one ticket that is not queued."""
        return self._queues[ticket.long].refuse(ticket, reason, now)

    def is_idle(self) -> bool:
        """Tell whether no ticket waits or runs."""
        waiting = any(len(queue.waiting) for queue in self._queues.values())
        return not waiting and not self._running

    def _start_at_once(self, ticket: Ticket, long: bool, now: float) -> Start | None:
        queue = self._queues[long]
        if len(queue.waiting) or ticket.deadline <= now:
            return None
        slots = self._find(ticket, long, 0.0, now)
        if slots is None:
            return None
        queue.charge_caller(ticket, now)
        return self._start(ticket, long, slots, now)

    def _fill(self, now: float) -> list[Decision]:
        """Start waiting tickets while they find places; long work first."""
        decisions: list[Decision] = []
        for long in (True, False):
            while (start := self._start_next(long, now)) is not None:
                decisions.append(start)
        return decisions

    def _start_next(self, long: bool, now: float) -> Start | None:
        def place(waiting: WaitingTicket) -> TrackedServer | None:
            return self._find(waiting.ticket, long, now - waiting.queued_at, now)

        taken = self._queues[long].waiting.take(now, place)
        if taken is None:
            return None
        ticket, slots = taken
        return self._start(ticket, long, slots, now)

    def _find(
        self, ticket: Ticket, long: bool, waited_seconds: float, now: float
    ) -> TrackedServer | None:
        request = SlotRequest(
            long=long,
            excluded=ticket.excluded,
            waited_seconds=waited_seconds,
            service_time=self._queues[long].service_time.value,
            running_count=len(self._running),
            long_running_count=self._queues[True].running_count,
        )
        return self._selector.select(request, now)

    def _start(
        self, ticket: Ticket, long: bool, slots: TrackedServer, now: float
    ) -> Start:
        borrowed = not slots.has_home_slot(long, now)
        running = Running(ticket, slots, now, long, long, borrowed)
        self._running[ticket.ticket_id] = running
        slots.start(long)
        self._queues[long].adjust_running(1, now)
        return Start(ticket, slots.server)

    def _finish(self, ticket_id: int, now: float) -> Running | None:
        running = self._running.pop(ticket_id, None)
        if running is None:
            return None
        self._queues[running.long].adjust_running(-1, now)
        running.slots.finish(running.long)
        if running.borrowed:
            self._selector.pause_borrowing(running.slots, now)
        return running

    def _record_service_time(self, running: Running, seconds: float) -> None:
        # A timeout is a lower bound; without it a class that always times out
        # would never be known as slow.
        self._times.record(running.ticket.work_class, seconds)
        self._queues[running.queued_long].service_time.record(seconds)

    def _mark_overruns(self, now: float) -> None:
        """Count requests that run far longer than their class as long work."""
        for running in self._running.values():
            seconds = now - running.since
            work_class = running.ticket.work_class
            if not running.long and self._times.is_overrun(work_class, seconds):
                self._queues[False].adjust_running(-1, now)
                self._queues[True].adjust_running(1, now)
                running.slots.long_running_count += 1
                running.long = True
