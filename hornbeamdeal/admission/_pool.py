"""Servers and queues of one service on one host."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random

from hornbeamdeal.kernel import BackendServer, Outcome, ServerAnswer, ServerState

from ._base import Decision, RefusalReason, Refuse, Start, Ticket
from ._health import HealthState, max_ejected
from ._home import HomeSlots
from ._lane import Lane
from ._queue import Waiting
from ._server import ServerSlots
from ._service_times import RunningMean, ServiceTimes

CHOICES = 2  # sampled servers when borrowing
SHED_GAIN = 0.02  # weight of the newest borrowing in the shed share
BORROW_PATIENCE = 6.0  # service times waited when all borrowing is refused
RETRY_PATIENCE = 2.0  # service times a refused ticket waits for a sure slot


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Parameters of a pool; times are in seconds."""

    long_share: float
    queue_share: float
    slow_start: float
    ejected_share: float
    long_ratio: float
    initial_service_time: float


@dataclass(slots=True)
class Running:
    """A started ticket. `long` may turn True while it runs."""

    ticket: Ticket
    server: ServerSlots
    since: float
    declared_long: bool
    long: bool
    borrowed: bool


class ServicePool:
    """Places the tickets of one service on home slots and borrowed ones."""

    __slots__ = (
        "_lanes",
        "_listed",
        "_random",
        "_running",
        "_servers",
        "_settings",
        "_shed_share",
        "_times",
    )

    def __init__(self, settings: PoolSettings, random: Random):
        self._settings = settings
        self._random = random
        self._servers: dict[str, ServerSlots] = {}
        self._listed: set[str] = set()
        self._running: dict[int, Running] = {}
        self._times = ServiceTimes(settings.initial_service_time, settings.long_ratio)
        self._shed_share = RunningMean(0.0, SHED_GAIN)
        self._lanes = {long: self._make_lane() for long in (False, True)}

    def update(
        self,
        servers: Sequence[BackendServer],
        home_by_server: dict[str, HomeSlots],
        now: float,
    ) -> list[Decision]:
        """Take the service's servers and the own home slots."""
        is_first = not self._servers
        self._listed = {server.server_id for server in servers}
        self._retire_unlisted()
        for server in servers:
            if server.server_id not in self._servers:
                self._add_server(server, is_first, now)
            home = home_by_server.get(server.server_id, HomeSlots())
            self._servers[server.server_id].update(server, home, now)
        if not self._has_active_server():
            return self.refuse_all(RefusalReason.NO_SERVER, now)
        return self._fill(now)

    def offer(self, ticket: Ticket, now: float) -> list[Decision]:
        """Start, queue or refuse a ticket."""
        long = ticket.long or self._times.is_long_class(ticket.work_class)
        lane = self._lanes[long]
        if not self._has_active_server():
            return [lane.refuse(ticket, RefusalReason.NO_SERVER, now)]
        start = self._start_at_once(ticket, long, now)
        if start is not None:
            return [start]
        reason = lane.try_push(ticket, now)
        if reason is not None:
            return [lane.refuse(ticket, reason, now)]
        return self._fill(now)

    def release(
        self, ticket_id: int, answer: ServerAnswer, now: float
    ) -> list[Decision]:
        """Learn from the end of a ticket, and use its slot."""
        running = self._finish(ticket_id, now)
        if running is None:
            return []
        running.server.learn(answer, now)
        self._eject_if_outlier(running.server, now)
        self._record(running, answer, now)
        return self._fill(now)

    def withdraw(self, ticket_id: int, now: float) -> list[Decision]:
        """Forget a ticket, and use the slot that it had."""
        for lane in self._lanes.values():
            lane.queue.remove(ticket_id)
        if self._finish(ticket_id, now) is None:
            return []
        return self._fill(now)

    def tick(self, now: float) -> list[Decision]:
        """Refuse late tickets, note overruns, and start what can."""
        decisions: list[Decision] = []
        self._mark_overruns(now)
        self._retire_unlisted()
        for server in self._servers.values():
            server.health.tick(now)
        for lane in self._lanes.values():
            lane.tick(now)
            decisions += lane.expire(now)
        return decisions + self._fill(now)

    def refuse_all(self, reason: RefusalReason, now: float) -> list[Decision]:
        """Refuse all waiting tickets."""
        decisions: list[Decision] = []
        for lane in self._lanes.values():
            decisions += lane.refuse_all(reason, now)
        return decisions

    def refuse(self, ticket: Ticket, reason: RefusalReason, now: float) -> Refuse:
        """Refuse one ticket that is not queued."""
        return self._lanes[ticket.long].refuse(ticket, reason, now)

    def is_idle(self) -> bool:
        """Tell whether no ticket waits or runs."""
        return not self._running and not any(
            len(lane.queue) for lane in self._lanes.values()
        )

    def _make_lane(self) -> Lane:
        settings = self._settings
        return Lane(settings.initial_service_time, settings.queue_share, self._random)

    def _add_server(self, server, is_first, now) -> None:
        slots = ServerSlots(server, self._settings.slow_start)
        if not is_first:
            slots.begin_slow_start(now)
        self._servers[server.server_id] = slots

    def _retire_unlisted(self) -> None:
        """Give unlisted servers no new work, and forget them once idle.

        A server that is listed again while old requests run must not get a full
        set of slots on top of them.
        """
        for key in self._servers.keys() - self._listed:
            slots = self._servers[key]
            slots.server = replace(slots.server, state=ServerState.DRAINING)
            if slots.running == 0:
                del self._servers[key]

    def _has_active_server(self) -> bool:
        states = (s.server.state for s in self._servers.values())
        return any(state is ServerState.ACTIVE for state in states)

    def _start_at_once(self, ticket: Ticket, long: bool, now: float) -> Start | None:
        lane = self._lanes[long]
        if len(lane.queue) or ticket.deadline <= now:
            return None
        server = self._find_server(ticket, long, 0.0, now)
        if server is None:
            return None
        lane.record_accept(ticket)
        return self._start(ticket, long, server, now)

    def _fill(self, now: float) -> list[Decision]:
        """Start waiting tickets while they find places; long work first."""
        decisions: list[Decision] = []
        for long in (True, False):
            while (start := self._start_next(long, now)) is not None:
                decisions.append(start)
        return decisions

    def _start_next(self, long: bool, now: float) -> Start | None:
        def place(waiting: Waiting) -> ServerSlots | None:
            return self._find_server(waiting.ticket, long, now - waiting.since, now)

        taken = self._lanes[long].take(now, place)
        if taken is None:
            return None
        ticket, server = taken
        return self._start(ticket, long, server, now)

    def _find_server(
        self, ticket: Ticket, long: bool, waited: float, now: float
    ) -> ServerSlots | None:
        servers = self._allowed_servers(ticket)
        if ticket.excluded:
            freed = self._find_freed(servers, long, now)
            if freed is not None:
                return freed
        home = [s for s in servers if s.has_home_slot(long, now)]
        if home:
            return min(home, key=lambda s: (s.score(now), self._random.random()))
        if ticket.excluded and self._awaits_sure_slot(long, waited):
            return None
        if not self._may_borrow(long, waited):
            return None
        lenders = [s for s in servers if s.can_lend(long, now)]
        if not lenders:
            return None
        sampled = self._random.sample(lenders, min(CHOICES, len(lenders)))
        return min(sampled, key=lambda s: s.score(now))

    def _awaits_sure_slot(self, long: bool, waited: float) -> bool:
        """Tell whether a refused ticket should wait for a slot known to be free.

        Blind tries at 70% load were refused about one time in three, so that
        three tries in a row lost 2% of all requests.
        """
        patience = RETRY_PATIENCE * self._lanes[long].service_time.value
        return bool(self._running) and waited < patience

    def _find_freed(
        self, servers: list[ServerSlots], long: bool, now: float
    ) -> ServerSlots | None:
        """Find a slot that a request of this host has just left."""
        if long and self._lanes[True].running >= max(1, self._long_home()):
            return None
        freed = (s for s in servers if s.is_just_freed(long, now))
        return next(freed, None)

    def _allowed_servers(self, ticket: Ticket) -> list[ServerSlots]:
        usable = [s for s in self._servers.values() if s.is_usable()]
        if not ticket.excluded:
            return usable
        others = [s for s in usable if s.server.server_id not in ticket.excluded]
        return others or usable

    def _may_borrow(self, long: bool, waited: float) -> bool:
        """Tell whether work that has waited so long may use a foreign slot.

        The more borrowing was refused lately, the longer work waits for an own
        slot first. Long work borrows only on a host without a long slot of its
        own, one request at a time: long work of many hosts would otherwise
        take all slots of a server.
        """
        lane = self._lanes[long]
        if long and (lane.running or self._long_home()):
            return False
        patience = BORROW_PATIENCE * self._shed_share.value
        return waited >= patience * lane.service_time.value

    def _long_home(self) -> int:
        return sum(s.home.long for s in self._servers.values() if s.is_usable())

    def _start(
        self, ticket: Ticket, long: bool, server: ServerSlots, now: float
    ) -> Start:
        borrowed = not server.has_home_slot(long, now)
        running = Running(ticket, server, now, long, long, borrowed)
        self._running[ticket.ticket_id] = running
        server.start(long)
        self._lanes[long].count_running(1, now)
        return Start(ticket, server.server)

    def _finish(self, ticket_id: int, now: float) -> Running | None:
        running = self._running.pop(ticket_id, None)
        if running is None:
            return None
        self._lanes[running.long].count_running(-1, now)
        running.server.finish(running.long)
        return running

    def _record(self, running: Running, answer: ServerAnswer, now: float) -> None:
        if running.borrowed:
            self._shed_share.record(float(answer.outcome is Outcome.REFUSED))
        if answer.outcome not in (Outcome.ANSWERED, Outcome.TIMED_OUT):
            return
        seconds = now - running.since
        self._times.record(running.ticket.work_class, seconds)
        self._lanes[running.declared_long].service_time.record(seconds)

    def _mark_overruns(self, now: float) -> None:
        for running in self._running.values():
            work_class = running.ticket.work_class
            if running.long or not self._times.is_overrun(
                work_class, now - running.since
            ):
                continue
            running.long = True
            self._lanes[False].count_running(-1, now)
            self._lanes[True].count_running(1, now)
            running.server.long_running += 1

    def _eject_if_outlier(self, server: ServerSlots, now: float) -> None:
        if not server.health.is_outlier():
            return
        states = [s.health.state for s in self._servers.values()]
        ejected = sum(state is not HealthState.HEALTHY for state in states)
        if ejected < max_ejected(len(states), self._settings.ejected_share):
            server.health.eject(now)
