"""Admission by home slots, borrowed slots and adaptive limits."""

from random import Random
from typing import Any

from hornbeamdeal.kernel import (
    BackendServer,
    Between,
    ClusterView,
    ServerAnswer,
    register_plugin,
    validate_parameters,
)

from ._base import Decision, RefusalReason, RefuseDecision, Ticket
from ._home_hosts import elect_home_hosts, list_home_host_candidates
from ._home_slots import HomeSlots, assign_home_slots
from ._service_admission import ServiceAdmission, ServiceAdmissionSettings

CONSTRAINTS_BY_NAME = {
    "long_share": Between(0.0, 0.9),
    "queue_share": Between(0.05, 0.9),
    "slow_start": Between(0.0, 60.0),
    "ejected_share": Between(0.0, 0.5),
    "long_ratio": Between(2.0, 100.0),
    "initial_service_time": Between(0.001, 60.0),
}
UNKNOWN_SERVICE_RETRY_SECONDS = 1.0
# Averages and ejections of an idle service are updated at most this much later.
# Updating all services on every tick took 3.7% of a core at the target size.
IDLE_SERVICE_TICK_SECONDS = 1.0


@register_plugin("admission", "slot_shares")
class SlotSharesAdmission:
    """Admission that uses home slots first and borrowed slots next.

    Tickets that can't start in time are refused at once. Borrowing samples two
    servers (Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", 2001). Times are in seconds.

    Parameters
    ----------
    long_share : float
        Share of the slots of a service that are open to long work.
    queue_share : float
        Share of the time to its deadline in which a queued ticket is expected to
        wait and run; retries are exempt.
    ejected_share : float
        Maximum share of the servers that are ejected or probed at a time; one of
        two or more may always be.
    long_ratio : float
        A class is long if its mean service time exceeds that of the fastest class
        by this factor, a running request if it exceeds its class's mean by it.
    """

    __slots__ = (
        "_admission_by_service",
        "_busy_services",
        "_closed",
        "_full_tick_due",
        "_home_slots_cache",
        "_random",
        "_service_by_ticket",
        "_validated",
        "ejected_share",
        "initial_service_time",
        "long_ratio",
        "long_share",
        "queue_share",
        "random_state",
        "slow_start",
    )

    def __init__(
        self,
        random_state: int | None = None,
        long_share: float = 1 / 3,
        queue_share: float = 0.5,
        slow_start: float = 3.0,
        ejected_share: float = 0.3,
        long_ratio: float = 10.0,
        initial_service_time: float = 0.1,
    ):
        self.random_state = random_state
        self.long_share = long_share
        self.queue_share = queue_share
        self.slow_start = slow_start
        self.ejected_share = ejected_share
        self.long_ratio = long_ratio
        self.initial_service_time = initial_service_time
        self._random = Random(random_state)
        self._admission_by_service: dict[str, ServiceAdmission] = {}
        self._home_slots_cache: dict[str, tuple[Any, dict[str, HomeSlots]]] = {}
        self._service_by_ticket: dict[int, str] = {}
        # A dictionary keeps the order of arrival, so that seeded runs repeat.
        self._busy_services: dict[str, None] = {}
        self._full_tick_due = 0.0
        self._validated = False
        self._closed = False

    def update(self, view: ClusterView, now: float) -> list[Decision]:
        """Apply a new view of servers and hosts."""
        self._validate()
        servers_by_service: dict[str, list[BackendServer]] = {}
        for server in view.servers_by_id.values():
            servers_by_service.setdefault(server.service, []).append(server)
        hosts = list_home_host_candidates(view)
        decisions: list[Decision] = []
        for service in self._admission_by_service.keys() | servers_by_service.keys():
            servers = servers_by_service.get(service, [])
            home_slots = self._find_home_slots(service, servers, hosts, view.own_id)
            decisions += self._get_service_admission(service).update(
                servers, home_slots, now
            )
        self._remove_unused(servers_by_service)
        return self._forget_refused(decisions)

    def offer(self, ticket: Ticket, now: float) -> list[Decision]:
        """Start, queue or refuse a new ticket."""
        self._validate()
        admission = self._admission_by_service.get(ticket.service)
        if admission is None:
            reason = RefusalReason.NO_SERVER
            return [RefuseDecision(ticket, reason, UNKNOWN_SERVICE_RETRY_SECONDS)]
        if self._closed:
            return [admission.refuse(ticket, RefusalReason.STOPPING, now)]
        self._service_by_ticket[ticket.ticket_id] = ticket.service
        self._busy_services[ticket.service] = None
        return self._forget_refused(admission.offer(ticket, now))

    def release(
        self, ticket_id: int, answer: ServerAnswer, now: float
    ) -> list[Decision]:
        """Record the result of a started ticket, and start others in its slot."""
        service = self._service_by_ticket.pop(ticket_id, None)
        if service not in self._admission_by_service:
            return []
        return self._forget_refused(
            self._admission_by_service[service].release(ticket_id, answer, now)
        )

    def withdraw(self, ticket_id: int, now: float) -> list[Decision]:
        """Remove a waiting or started ticket whose caller gave up."""
        service = self._service_by_ticket.pop(ticket_id, None)
        if service not in self._admission_by_service:
            return []
        return self._forget_refused(
            self._admission_by_service[service].withdraw(ticket_id, now)
        )

    def tick(self, now: float) -> list[Decision]:
        """Refuse tickets that can no longer meet their deadline, and start others."""
        decisions: list[Decision] = []
        for service in self._due_services(now):
            admission = self._admission_by_service[service]
            decisions += admission.tick(now)
            if admission.is_idle():
                self._busy_services.pop(service, None)
        return self._forget_refused(decisions)

    def close(self, now: float) -> list[Decision]:
        """Refuse all waiting and later tickets because the host is stopping."""
        self._closed = True
        decisions: list[Decision] = []
        for admission in self._admission_by_service.values():
            decisions += admission.refuse_all(RefusalReason.STOPPING, now)
        return self._forget_refused(decisions)

    def _due_services(self, now: float) -> list[str]:
        """Return the busy services, or all services once a second."""
        if now < self._full_tick_due:
            return [s for s in self._busy_services if s in self._admission_by_service]
        self._full_tick_due = now + IDLE_SERVICE_TICK_SECONDS
        return list(self._admission_by_service)

    def _validate(self) -> None:
        if not self._validated:
            validate_parameters(self, CONSTRAINTS_BY_NAME)
            self._validated = True

    def _get_service_admission(self, service: str) -> ServiceAdmission:
        if service not in self._admission_by_service:
            settings = ServiceAdmissionSettings(
                queue_share=self.queue_share,
                slow_start=self.slow_start,
                ejected_share=self.ejected_share,
                long_ratio=self.long_ratio,
                initial_service_time=self.initial_service_time,
            )
            self._admission_by_service[service] = ServiceAdmission(
                settings, self._random
            )
        return self._admission_by_service[service]

    def _find_home_slots(self, service, servers, hosts, own_id) -> dict[str, HomeSlots]:
        """Return this host's home slots, recomputed only if the lists have changed."""
        server_slots = sorted((s.server_id, s.zone, s.slots) for s in servers)
        key = (tuple(server_slots), tuple(hosts))
        cached = self._home_slots_cache.get(service)
        if cached is None or cached[0] != key:
            home_hosts = elect_home_hosts(service, servers, hosts)
            home_slots = assign_home_slots(servers, home_hosts, own_id, self.long_share)
            self._home_slots_cache[service] = cached = (key, home_slots)
        return cached[1]

    def _remove_unused(self, servers_by_service) -> None:
        for service in list(self._admission_by_service):
            if (
                service not in servers_by_service
                and self._admission_by_service[service].is_idle()
            ):
                del self._admission_by_service[service]
                self._busy_services.pop(service, None)
                self._home_slots_cache.pop(service, None)

    def _forget_refused(self, decisions: list[Decision]) -> list[Decision]:
        for decision in decisions:
            if isinstance(decision, RefuseDecision):
                self._service_by_ticket.pop(decision.ticket.ticket_id, None)
        return decisions
