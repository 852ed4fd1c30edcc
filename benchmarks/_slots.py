"""Event queue that steps admission plug-ins against servers with slots.

The plug-ins are the real ones on a manual clock; servers, network and callers
are reduced to what admission can observe of them.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

import hornbeamdeal.admission as admission
from hornbeamdeal.kernel import (
    BackendServer,
    Endpoint,
    EntryHost,
    HostState,
    ManualClock,
    Outcome,
    Request,
    ServerAnswer,
    View,
    create,
)
from hornbeamdeal.requests._home_hosts import HomeHosts

from ._servers import BUDGET_SHARE, COLD_SECONDS, SLOTS, RetryBudget, SlotServer

SERVICE = "reservas"
HOSTS = 7
SERVERS = 7
ONE_WAY = 0.0005  # seconds
TICK = 0.05  # seconds
MAX_TRIES = 6  # servers that may shed one request before its caller hears of it
SHED_RETRY_AFTER = 1.0  # seconds told to callers when all tries were refused


def _request(job: "Job") -> Request:
    caller = Endpoint("10.0.0.1", job.caller)
    address = Endpoint("10.1.0.1", 5683)
    return Request(caller, address, b"", job.number, "POST", "/bookings", b"", False)


@dataclass(slots=True, eq=False)
class Job:
    """One request of a caller as it is seen from outside."""

    caller: int
    long: bool
    offered_at: float
    deadline: float
    host: int = 0
    number: int = 0
    tries: int = 0
    started: bool = False
    ended_at: float | None = None
    refused_at: float | None = None
    retry_after: float = 0.0
    excluded: set[str] = field(default_factory=set)
    on_refused: Callable[["Job"], None] | None = None


class Harness:
    """Hosts, servers and the queue of events between them."""

    def __init__(
        self,
        plugin: str,
        seed: int,
        lying: int = 2,
        absent: int = 0,
        keeps_budget: bool = False,
        hosts: int = HOSTS,
        servers: int = SERVERS,
    ):
        self.hosts = hosts
        self.servers = servers
        self.random = Random(seed)
        self.clock = ManualClock()
        self.jobs: list[Job] = []
        self.sheds = 0
        self.starts = 0
        self.relays = 0
        self._budgets = [RetryBudget(keeps_budget) for _ in range(hosts)]
        self._events: list = []
        self._order = count()
        self._ticket_ids = count()
        self._jobs_by_ticket: dict[int, Job] = {}
        self._servers = [self._make_server(i, i < lying) for i in range(servers)]
        self._by_id = {s.server.server_id: s for s in self._servers}
        self._hosts = [
            create("admission", plugin, random_state=seed * hosts + i)
            for i in range(hosts)
        ]
        self._homes = [HomeHosts() for _ in range(hosts)]
        for index in range(hosts):
            self._update(index, servers - absent)
            self.at(TICK * (index + 1) / hosts, self._tick, index)

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
        for index in range(self.hosts):
            known_at = at + self.random.uniform(0, spread)
            self.at(known_at, self._update, index, self.servers)

    def offer(self, job: Job) -> None:
        """Offer a new job to a random host."""
        job.host = self.random.randrange(self.hosts)
        job.number = len(self.jobs)
        self.jobs.append(job)
        self.receive(job)

    def receive(self, job: Job) -> None:
        """Let the host that got a job handle it, or relay it to its home host."""
        home = self._homes[job.host].find(_request(job), SERVICE)
        if home is None:
            self._offer(job)
            return
        self.relays += 1
        job.host = home.incarnation
        self.at(self.clock.monotonic() + ONE_WAY, self._offer, job)

    def busy_seconds(self) -> float:
        """Return the seconds of service that all servers gave."""
        return sum(server.busy_seconds for server in self._servers)

    def _make_server(self, index: int, lies: bool) -> SlotServer:
        endpoint = Endpoint("127.0.0.1", 9000 + index)
        server = BackendServer(f"s{index}", SERVICE, endpoint, "a", slots=SLOTS)
        return SlotServer(server, self.random, lies)

    def _update(self, index: int, servers: int) -> None:
        hosts = self._view_hosts(index)
        listed = {s.server.server_id: s.server for s in self._servers[:servers]}
        view = View(f"h{index}", "a", servers_by_id=listed, hosts_by_id=hosts)
        self._homes[index].update(view)
        self._apply(self._hosts[index].update(view, self.clock.monotonic()), index)

    def _view_hosts(self, index: int) -> dict[str, EntryHost]:
        return {f"h{i}": self._make_host(i) for i in range(self.hosts)}

    def _make_host(self, index: int, state: HostState = HostState.ALIVE) -> EntryHost:
        endpoint = Endpoint("127.0.0.1", 7000 + index)
        return EntryHost(f"h{index}", index, endpoint, "a", state)

    def _tick(self, index: int) -> None:
        now = self.clock.monotonic()
        self._apply(self._hosts[index].tick(now), index)
        self.at(now + TICK, self._tick, index)

    def _offer(self, job: Job) -> None:
        job.tries += 1
        ticket = admission.Ticket(
            ticket_id=next(self._ticket_ids),
            service=SERVICE,
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
            self._budgets[index].add(BUDGET_SHARE)
            return
        self.sheds += 1
        job.excluded.add(server.server.server_id)
        if job.tries < MAX_TRIES and self._budgets[index].try_spend(now):
            self._offer(job)
        else:
            self._refuse(job, SHED_RETRY_AFTER)
