"""Discrete-event simulation of admission plug-ins and servers with slots.

The admission plug-ins are the real ones, on a manual clock. Servers, network and
callers are modelled only as far as admission can observe them.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

import hornbeamdeal.admission as admission
from hornbeamdeal.kernel import (
    BackendServer,
    ClusterView,
    DispatchOutcome,
    Endpoint,
    EntryHost,
    HostState,
    ManualClock,
    Request,
    ServerAnswer,
    create_plugin,
)
from hornbeamdeal.requests._home_hosts import HomeHosts

from ._servers import COLD_SECONDS, RETRY_BUDGET_SHARE, SLOTS, RetryBudget, SlotServer

SERVICE = "reservas"
HOSTS = 7
SERVERS = 7
ONE_WAY_DELAY_SECONDS = 0.0005
TICK_SECONDS = 0.05
MAX_ATTEMPTS = 6  # servers that may shed a request before its caller is refused
SHED_RETRY_AFTER_SECONDS = (
    1.0  # retry delay sent to callers when all attempts were shed
)


def _make_request(job: "Job") -> Request:
    caller = Endpoint("10.0.0.1", job.caller)
    address = Endpoint("10.1.0.1", 5683)
    return Request(caller, address, b"", job.number, "POST", "/bookings", b"", False)


@dataclass(slots=True, eq=False)
class Job:
    """One request of a caller, with its timestamps in seconds."""

    caller: int
    long: bool
    offered_at: float
    deadline: float
    host: int = 0
    number: int = 0
    attempts: int = 0
    started: bool = False
    ended_at: float | None = None
    refused_at: float | None = None
    retry_after: float = 0.0
    excluded: set[str] = field(default_factory=set)
    on_refused: Callable[["Job"], None] | None = None


class Harness:
    """Simulated hosts and servers, and the event queue between them."""

    def __init__(
        self,
        plugin: str,
        seed: int,
        misreporting_servers: int = 2,
        unlisted_servers: int = 0,
        limits_retries: bool = False,
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
        self._budgets = [RetryBudget(limits_retries) for _ in range(hosts)]
        self._events: list = []
        self._order = count()
        self._ticket_ids = count()
        self._jobs_by_ticket: dict[int, Job] = {}
        self._servers = [
            self._make_server(i, i < misreporting_servers) for i in range(servers)
        ]
        self._servers_by_id = {s.server.server_id: s for s in self._servers}
        self._admissions = [
            create_plugin("admission", plugin, random_state=seed * hosts + i)
            for i in range(hosts)
        ]
        self._home_hosts = [HomeHosts() for _ in range(hosts)]
        for index in range(hosts):
            self._update(index, servers - unlisted_servers)
            self.schedule_at(TICK_SECONDS * (index + 1) / hosts, self._tick, index)

    def schedule_at(self, time: float, action: Callable, *arguments) -> None:
        """Schedule an action for a time in seconds."""
        heapq.heappush(self._events, (time, next(self._order), action, arguments))

    def run(self, until: float) -> None:
        """Run all events up to a time in seconds."""
        while self._events and self._events[0][0] <= until:
            time, _, action, arguments = heapq.heappop(self._events)
            self.clock.seconds = time
            action(*arguments)

    def add_cold_server(self, joins_at: float, spread: float) -> None:
        """Add the last server, cold; hosts list it within `spread` seconds."""
        self._servers[-1].cold_until = joins_at + COLD_SECONDS
        for index in range(self.hosts):
            listed_at = joins_at + self.random.uniform(0, spread)
            self.schedule_at(listed_at, self._update, index, self.servers)

    def offer(self, job: Job) -> None:
        """Offer a new job at a random host."""
        job.host = self.random.randrange(self.hosts)
        job.number = len(self.jobs)
        self.jobs.append(job)
        self.route(job)

    def route(self, job: Job) -> None:
        """Handle a job at the host that received it, or relay it to its home host."""
        home_host = self._home_hosts[job.host].find(_make_request(job), SERVICE)
        if home_host is None:
            self._offer_to_admission(job)
            return
        self.relays += 1
        job.host = home_host.incarnation
        self.schedule_at(
            self.clock.monotonic() + ONE_WAY_DELAY_SECONDS,
            self._offer_to_admission,
            job,
        )

    def busy_seconds(self) -> float:
        """Return the total service time of all servers, in seconds."""
        return sum(server.busy_seconds for server in self._servers)

    def _make_server(self, index: int, reports_zero_load: bool) -> SlotServer:
        endpoint = Endpoint("127.0.0.1", 9000 + index)
        server = BackendServer(f"s{index}", SERVICE, endpoint, "a", slots=SLOTS)
        return SlotServer(server, self.random, reports_zero_load)

    def _update(self, index: int, servers: int) -> None:
        hosts = self._listed_hosts(index)
        listed = {s.server.server_id: s.server for s in self._servers[:servers]}
        view = ClusterView(f"h{index}", "a", servers_by_id=listed, hosts_by_id=hosts)
        self._home_hosts[index].update(view)
        self._apply(self._admissions[index].update(view, self.clock.monotonic()), index)

    def _listed_hosts(self, index: int) -> dict[str, EntryHost]:
        return {f"h{i}": self._make_host(i) for i in range(self.hosts)}

    def _make_host(self, index: int, state: HostState = HostState.ALIVE) -> EntryHost:
        endpoint = Endpoint("127.0.0.1", 7000 + index)
        return EntryHost(f"h{index}", index, endpoint, "a", state)

    def _tick(self, index: int) -> None:
        now = self.clock.monotonic()
        self._apply(self._admissions[index].tick(now), index)
        self.schedule_at(now + TICK_SECONDS, self._tick, index)

    def _offer_to_admission(self, job: Job) -> None:
        job.attempts += 1
        ticket = admission.Ticket(
            ticket_id=next(self._ticket_ids),
            service=SERVICE,
            work_class="photos" if job.long else "bookings",
            is_long=job.long,
            caller=Endpoint("10.0.0.1", job.caller),
            deadline=job.deadline,
            excluded=frozenset(job.excluded),
        )
        self._jobs_by_ticket[ticket.ticket_id] = job
        decisions = self._admissions[job.host].offer(ticket, self.clock.monotonic())
        self._apply(decisions, job.host)

    def _apply(self, decisions, index: int) -> None:
        now = self.clock.monotonic()
        for decision in decisions:
            ticket_id = decision.ticket.ticket_id
            if isinstance(decision, admission.RefuseDecision):
                job = self._jobs_by_ticket.pop(ticket_id)
                self._refuse(job, decision.retry_after)
                continue
            self.starts += 1
            server = self._servers_by_id[decision.server.server_id]
            self.schedule_at(
                now + ONE_WAY_DELAY_SECONDS,
                self._handle_arrival,
                server,
                index,
                ticket_id,
            )

    def _refuse(self, job: Job, retry_after: float) -> None:
        job.refused_at = self.clock.monotonic()
        job.retry_after = retry_after
        if job.on_refused:
            job.on_refused(job)

    def _handle_arrival(self, server: SlotServer, index: int, ticket_id: int) -> None:
        now = self.clock.monotonic()
        if server.busy_slots >= server.server.slots:
            answer = ServerAnswer(
                DispatchOutcome.REFUSED, load=server.reported_load(now)
            )
            self.schedule_at(
                now + ONE_WAY_DELAY_SECONDS,
                self._handle_answer,
                index,
                ticket_id,
                server,
                answer,
            )
            return
        server.change_busy_slots(1, now)
        self._jobs_by_ticket[ticket_id].started = True
        seconds = server.draw_service_seconds(self._jobs_by_ticket[ticket_id].long, now)
        self.schedule_at(
            now + seconds, self._complete_service, server, index, ticket_id, seconds
        )

    def _complete_service(
        self, server, index: int, ticket_id: int, seconds: float
    ) -> None:
        now = self.clock.monotonic()
        server.change_busy_slots(-1, now)
        server.busy_seconds += seconds
        answer = ServerAnswer(DispatchOutcome.ANSWERED, load=server.reported_load(now))
        self.schedule_at(
            now + ONE_WAY_DELAY_SECONDS,
            self._handle_answer,
            index,
            ticket_id,
            server,
            answer,
        )

    def _handle_answer(self, index: int, ticket_id: int, server, answer) -> None:
        now = self.clock.monotonic()
        job = self._jobs_by_ticket.pop(ticket_id)
        self._apply(self._admissions[index].release(ticket_id, answer, now), index)
        if answer.outcome is DispatchOutcome.ANSWERED:
            job.ended_at = now
            self._budgets[index].add_tokens(RETRY_BUDGET_SHARE)
            return
        self.sheds += 1
        job.excluded.add(server.server.server_id)
        if job.attempts < MAX_ATTEMPTS and self._budgets[index].try_spend(now):
            self._offer_to_admission(job)
        else:
            self._refuse(job, SHED_RETRY_AFTER_SECONDS)
