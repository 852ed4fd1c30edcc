"""Admission of one service on one host."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from hornbeamdeal.kernel import BackendServer, DispatchOutcome, ServerAnswer

from ._base import Decision, RefusalReason, RefuseDecision, StartDecision, Ticket
from ._deadline_queue import DeadlineQueue
from ._fair_queue import WaitingTicket
from ._home_slots import HomeSlots
from ._server_selector import ServerSelector, SlotRequest
from ._service_times import ServiceTimes
from ._tracked_server import TrackedServer


@dataclass(frozen=True, slots=True)
class ServiceAdmissionSettings:
    """Parameters of the admission of a service; times are in seconds.

    Parameters
    ----------
    queue_share : float
        Share of the time to its deadline in which a queued ticket is expected to
        wait and run; retries are exempt.
    slow_start : float
        Time over which the slots of a new or recovered server open one by one.
    ejected_share : float
        Maximum share of the servers that are ejected or probed at a time; one of
        two or more may always be.
    long_ratio : float
        A class is long if its mean service time exceeds that of the fastest class
        by this factor, a running request if it exceeds its class's mean by it.
    initial_service_time : float
        Mean service time that is assumed before the first sample.
    """

    queue_share: float
    slow_start: float
    ejected_share: float
    long_ratio: float
    initial_service_time: float


@dataclass(slots=True)
class RunningTicket:
    """A started ticket.

    `long` becomes True when it takes more than `long_ratio` times the mean of its
    class.
    """

    ticket: Ticket
    tracked_server: TrackedServer
    started_at: float
    started_as_long: bool
    long: bool
    borrowed: bool


class ServiceAdmission:
    """Starts, queues and refuses the tickets of one service."""

    __slots__ = ("_queues", "_running", "_selector", "_service_times")

    def __init__(self, settings: ServiceAdmissionSettings, random: Random):
        self._selector = ServerSelector(
            settings.slow_start, settings.ejected_share, random
        )
        self._running: dict[int, RunningTicket] = {}
        self._service_times = ServiceTimes(
            settings.initial_service_time, settings.long_ratio
        )
        initial_service_time = settings.initial_service_time
        self._queues = {
            long: DeadlineQueue(initial_service_time, settings.queue_share, random)
            for long in (False, True)
        }

    def update(
        self,
        servers: Sequence[BackendServer],
        home_slots_by_server_id: dict[str, HomeSlots],
        now: float,
    ) -> list[Decision]:
        """Set the service's servers and this host's home slots."""
        self._selector.update(servers, home_slots_by_server_id, now)
        if not self._selector.has_active_server():
            return self.refuse_all(RefusalReason.NO_SERVER, now)
        return self._start_waiting(now)

    def offer(self, ticket: Ticket, now: float) -> list[Decision]:
        """Start, queue or refuse a ticket."""
        long = ticket.is_long or self._service_times.is_long_class(ticket.work_class)
        queue = self._queues[long]
        if not self._selector.has_active_server():
            return [queue.refuse(ticket, RefusalReason.NO_SERVER, now)]
        start = self._start_immediately(ticket, long, now)
        if start is not None:
            return [start]
        reason = queue.try_push(ticket, now)
        if reason is not None:
            return [queue.refuse(ticket, reason, now)]
        return self._start_waiting(now)

    def release(
        self, ticket_id: int, answer: ServerAnswer, now: float
    ) -> list[Decision]:
        """Record the result of a ticket, and start others in its slot."""
        running = self._finish(ticket_id, now)
        if running is None:
            return []
        self._selector.record_result(
            running.tracked_server, answer, running.borrowed, now
        )
        if answer.outcome in (DispatchOutcome.ANSWERED, DispatchOutcome.TIMED_OUT):
            self._record_service_time(running, now - running.started_at)
        return self._start_waiting(now)

    def withdraw(self, ticket_id: int, now: float) -> list[Decision]:
        """Remove a ticket, and start others in its slot."""
        for queue in self._queues.values():
            queue.waiting.remove(ticket_id)
        if self._finish(ticket_id, now) is None:
            return []
        return self._start_waiting(now)

    def tick(self, now: float) -> list[Decision]:
        """Update averages and overruns, and start tickets.

        Tickets that can no longer meet their deadline are refused.
        """
        decisions: list[Decision] = []
        self._mark_overruns(now)
        self._selector.tick(now)
        for queue in self._queues.values():
            queue.tick(now)
            decisions += queue.expire(now)
        return decisions + self._start_waiting(now)

    def refuse_all(self, reason: RefusalReason, now: float) -> list[Decision]:
        """Refuse all waiting tickets."""
        decisions: list[Decision] = []
        for queue in self._queues.values():
            decisions += queue.refuse_all(reason, now)
        return decisions

    def refuse(
        self, ticket: Ticket, reason: RefusalReason, now: float
    ) -> RefuseDecision:
        """Return the refusal of a ticket that is not queued."""
        return self._queues[ticket.is_long].refuse(ticket, reason, now)

    def is_idle(self) -> bool:
        """Return whether no ticket waits or runs."""
        waiting = any(len(queue.waiting) for queue in self._queues.values())
        return not waiting and not self._running

    def _start_immediately(
        self, ticket: Ticket, long: bool, now: float
    ) -> StartDecision | None:
        queue = self._queues[long]
        if len(queue.waiting) or ticket.deadline <= now:
            return None
        tracked = self._select_server(ticket, long, 0.0, now)
        if tracked is None:
            return None
        queue.charge_caller(ticket, now)
        return self._start(ticket, long, tracked, now)

    def _start_waiting(self, now: float) -> list[Decision]:
        """Start waiting tickets while slots are found, long work first."""
        decisions: list[Decision] = []
        for long in (True, False):
            while (start := self._start_next(long, now)) is not None:
                decisions.append(start)
        return decisions

    def _start_next(self, long: bool, now: float) -> StartDecision | None:
        def find_slot(waiting: WaitingTicket) -> TrackedServer | None:
            return self._select_server(
                waiting.ticket, long, now - waiting.queued_at, now
            )

        started = self._queues[long].waiting.take(now, find_slot)
        if started is None:
            return None
        ticket, tracked = started
        return self._start(ticket, long, tracked, now)

    def _select_server(
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
        self, ticket: Ticket, long: bool, tracked: TrackedServer, now: float
    ) -> StartDecision:
        borrowed = not tracked.has_home_slot(long, now)
        running = RunningTicket(ticket, tracked, now, long, long, borrowed)
        self._running[ticket.ticket_id] = running
        tracked.start(long)
        self._queues[long].adjust_running(1, now)
        return StartDecision(ticket, tracked.server)

    def _finish(self, ticket_id: int, now: float) -> RunningTicket | None:
        running = self._running.pop(ticket_id, None)
        if running is None:
            return None
        self._queues[running.long].adjust_running(-1, now)
        running.tracked_server.finish(running.long)
        if running.borrowed:
            self._selector.pause_borrowing(running.tracked_server, now)
        return running

    def _record_service_time(self, running: RunningTicket, seconds: float) -> None:
        # A timeout is a lower bound of the service time. Without it a class that
        # always times out would never be recognised as long.
        self._service_times.record(running.ticket.work_class, seconds)
        self._queues[running.started_as_long].service_time.record(seconds)

    def _mark_overruns(self, now: float) -> None:
        """Reclassify requests as long work that take much longer than their class.

        These take more than `long_ratio` times the mean of their class.
        """
        for running in self._running.values():
            seconds = now - running.started_at
            work_class = running.ticket.work_class
            if not running.long and self._service_times.is_overrun(work_class, seconds):
                self._queues[False].adjust_running(-1, now)
                self._queues[True].adjust_running(1, now)
                running.tracked_server.long_running_count += 1
                running.long = True
