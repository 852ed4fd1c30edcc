"""Event queue that steps admission plug-ins against servers with slots.

The plug-ins are the real ones on a manual clock; servers, network and callers
are reduced to what admission can observe of them.
"""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

import hornbeamdeal.admission as admission
from hornbeamdeal.kernel import (
    BackendServer,
    Endpoint,
    EntryHost,
    ManualClock,
    Outcome,
    ServerAnswer,
    View,
    create,
)

HOSTS = 7
SERVERS = 7
SLOTS = 3
ONE_WAY = 0.0005  # seconds
TICK = 0.05  # seconds
REPORT_LAG = 0.5  # seconds
MAX_TRIES = 6  # servers that may shed one request before its caller hears of it
MEAN_SHORT = 0.05  # seconds
LONG_FACTOR = 50
SIGMA = 0.6  # of the logarithm of service times
COLD_SECONDS = 3.0
COLD_FACTOR = 5.0
SHED_RETRY_AFTER = 1.0  # seconds told to callers when all tries were refused


@dataclass(slots=True, eq=False)
class Job:
    """One request of a caller as it is seen from outside."""

    caller: int
    long: bool
    offered_at: float
    deadline: float
    host: int = 0
    tries: int = 0
    started: bool = False
    ended_at: float | None = None
    refused_at: float | None = None
    retry_after: float = 0.0
    excluded: set[str] = field(default_factory=set)
    on_refused: Callable[["Job"], None] | None = None


class SlotServer:
    """A server that refuses when its slots are taken."""

    def __init__(self, server: BackendServer, random: Random, lies: bool):
        self.server = server
        self.random = random
        self.lies = lies
        self.cold_until = 0.0
        self.busy = 0
        self.busy_seconds = 0.0
        self._history: deque[tuple[float, int]] = deque([(0.0, 0)])

    def draw(self, long: bool, now: float) -> float:
        """Draw a service time in seconds."""
        mean = MEAN_SHORT * (LONG_FACTOR if long else 1)
        seconds = mean * self.random.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)
        return seconds * (COLD_FACTOR if now < self.cold_until else 1.0)

    def change(self, amount: int, now: float) -> None:
        """Take or free a slot."""
        self.busy += amount
        self._history.append((now, self.busy))

    def report(self, now: float) -> float:
        """Return the reported load: late, or always zero."""
        if self.lies:
            return 0.0
        while len(self._history) > 1 and self._history[1][0] <= now - REPORT_LAG:
            self._history.popleft()
        return self._history[0][1] / self.server.slots


class Harness:
    """Hosts, servers and the queue of events between them."""

    def __init__(self, plugin: str, seed: int, lying: int = 2, absent: int = 0):
        self.random = Random(seed)
        self.clock = ManualClock()
        self.jobs: list[Job] = []
        self.sheds = 0
        self.starts = 0
        self._events: list = []
        self._order = count()
        self._ticket_ids = count()
        self._jobs_by_ticket: dict[int, Job] = {}
        self._servers = [self._make_server(i, i < lying) for i in range(SERVERS)]
        self._by_id = {s.server.server_id: s for s in self._servers}
        self._hosts = [
            create("admission", plugin, random_state=seed * HOSTS + i)
            for i in range(HOSTS)
        ]
        for index in range(HOSTS):
            self._update(index, SERVERS - absent)
            self.at(TICK * (index + 1) / HOSTS, self._tick, index)

    def at(self, time: float, action: Callable, *arguments) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (time, next(self._order), action, arguments))

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until:
            time, _, action, arguments = heapq.heappop(self._events)
            self.clock.seconds = time
            action(*arguments)

    def join_cold_server(self, at: float, spread: float) -> None:
        """Let the last server join; hosts learn of it at different times."""
        self._servers[-1].cold_until = at + COLD_SECONDS
        for index in range(HOSTS):
            self.at(at + self.random.uniform(0, spread), self._update, index, SERVERS)

    def offer(self, job: Job) -> None:
        """Offer a new job to a random host."""
        job.host = self.random.randrange(HOSTS)
        self.jobs.append(job)
        self._offer(job)

    def busy_seconds(self) -> float:
        """Return the seconds of service that all servers gave."""
        return sum(server.busy_seconds for server in self._servers)

    def _make_server(self, index: int, lies: bool) -> SlotServer:
        endpoint = Endpoint("127.0.0.1", 9000 + index)
        server = BackendServer(f"s{index}", "reservas", endpoint, "a", slots=SLOTS)
        return SlotServer(server, self.random, lies)

    def _update(self, index: int, servers: int) -> None:
        hosts = {
            f"h{i}": EntryHost(f"h{i}", i, Endpoint("127.0.0.1", 7000 + i), "a")
            for i in range(HOSTS)
        }
        listed = {s.server.server_id: s.server for s in self._servers[:servers]}
        view = View(f"h{index}", "a", servers_by_id=listed, hosts_by_id=hosts)
        self._apply(self._hosts[index].update(view, self.clock.monotonic()), index)

    def _tick(self, index: int) -> None:
        now = self.clock.monotonic()
        self._apply(self._hosts[index].tick(now), index)
        self.at(now + TICK, self._tick, index)

    def _offer(self, job: Job) -> None:
        job.tries += 1
        ticket = admission.Ticket(
            ticket_id=next(self._ticket_ids),
            service="reservas",
            work_class="photos" if job.long else "bookings",
            long=job.long,
            caller=Endpoint("10.0.0.1", job.caller),
            deadline=job.deadline,
            excluded=frozenset(job.excluded),
        )
        self._jobs_by_ticket[ticket.ticket_id] = job
        decisions = self._hosts[job.host].offer(ticket, self.clock.monotonic())
        self._apply(decisions, job.host)

    def _apply(self, decisions, index: int) -> None:
        now = self.clock.monotonic()
        for decision in decisions:
            ticket_id = decision.ticket.ticket_id
            if isinstance(decision, admission.Refuse):
                job = self._jobs_by_ticket.pop(ticket_id)
                self._refuse(job, decision.retry_after)
                continue
            self.starts += 1
            server = self._by_id[decision.server.server_id]
            self.at(now + ONE_WAY, self._arrive, server, index, ticket_id)

    def _refuse(self, job: Job, retry_after: float) -> None:
        job.refused_at = self.clock.monotonic()
        job.retry_after = retry_after
        if job.on_refused:
            job.on_refused(job)

    def _arrive(self, server: SlotServer, index: int, ticket_id: int) -> None:
        now = self.clock.monotonic()
        if server.busy >= server.server.slots:
            answer = ServerAnswer(Outcome.REFUSED, load=server.report(now))
            self.at(now + ONE_WAY, self._answer, index, ticket_id, server, answer)
            return
        server.change(1, now)
        self._jobs_by_ticket[ticket_id].started = True
        seconds = server.draw(self._jobs_by_ticket[ticket_id].long, now)
        self.at(now + seconds, self._complete, server, index, ticket_id, seconds)

    def _complete(self, server, index: int, ticket_id: int, seconds: float) -> None:
        now = self.clock.monotonic()
        server.change(-1, now)
        server.busy_seconds += seconds
        answer = ServerAnswer(Outcome.ANSWERED, load=server.report(now))
        self.at(now + ONE_WAY, self._answer, index, ticket_id, server, answer)

    def _answer(self, index: int, ticket_id: int, server, answer) -> None:
        now = self.clock.monotonic()
        job = self._jobs_by_ticket.pop(ticket_id)
        self._apply(self._hosts[index].release(ticket_id, answer, now), index)
        if answer.outcome is Outcome.ANSWERED:
            job.ended_at = now
            return
        self.sheds += 1
        job.excluded.add(server.server.server_id)
        if job.tries < MAX_TRIES:
            self._offer(job)
        else:
            self._refuse(job, SHED_RETRY_AFTER)
