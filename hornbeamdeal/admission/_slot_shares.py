"""Admission by home slots, borrowing and learned limits."""

from random import Random
from typing import Any

from hornbeamdeal.kernel import (
    BackendServer,
    Between,
    ServerAnswer,
    View,
    register,
    validate_parameters,
)

from ._base import Decision, RefusalReason, Refuse, Ticket
from ._home_hosts import elect_home_hosts, list_places
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
UNKNOWN_SERVICE_RETRY = 1.0  # seconds
# Averages and ejections of a service without work may be this late. Ticking all
# services each time took 3.7% of a core at the target size.
IDLE_TICK_SECONDS = 1.0


@register("admission", "slot_shares")
class SlotShares:
    """Home slots first, borrowed slots next, refusal at once after that.

    Borrowing samples two servers (Mitzenmacher, "The Power of Two Choices in
    Randomized Load Balancing", 2001). Times are in seconds.
    """

    __slots__ = (
        "_busy_services",
        "_closed",
        "_dealt_by_service",
        "_full_tick_due",
        "_pools",
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
        self._pools: dict[str, ServiceAdmission] = {}
        self._dealt_by_service: dict[str, tuple[Any, dict[str, HomeSlots]]] = {}
        self._service_by_ticket: dict[int, str] = {}
        # A dictionary keeps the order of arrival, so that seeded runs repeat.
        self._busy_services: dict[str, None] = {}
        self._full_tick_due = 0.0
        self._validated = False
        self._closed = False

    def update(self, view: View, now: float) -> list[Decision]:
        """Take a new view of servers and hosts."""
        self._validate()
        servers_by_service: dict[str, list[BackendServer]] = {}
        for server in view.servers_by_id.values():
            servers_by_service.setdefault(server.service, []).append(server)
        hosts = list_places(view)
        decisions: list[Decision] = []
        for service in self._pools.keys() | servers_by_service.keys():
            servers = servers_by_service.get(service, [])
            home = self._deal(service, servers, hosts, view.own_id)
            decisions += self._pool(service).update(servers, home, now)
        self._drop_unused(servers_by_service)
        return self._note(decisions)

    def offer(self, ticket: Ticket, now: float) -> list[Decision]:
        """Take a new ticket."""
        self._validate()
        pool = self._pools.get(ticket.service)
        if pool is None:
            reason = RefusalReason.NO_SERVER
            return [Refuse(ticket, reason, UNKNOWN_SERVICE_RETRY)]
        if self._closed:
            return [pool.refuse(ticket, RefusalReason.STOPPING, now)]
        self._service_by_ticket[ticket.ticket_id] = ticket.service
        self._busy_services[ticket.service] = None
        return self._note(pool.offer(ticket, now))

    def release(
        self, ticket_id: int, answer: ServerAnswer, now: float
    ) -> list[Decision]:
        """Take the end of a started ticket, and start others in its slot."""
        service = self._service_by_ticket.pop(ticket_id, None)
        if service not in self._pools:
            return []
        return self._note(self._pools[service].release(ticket_id, answer, now))

    def withdraw(self, ticket_id: int, now: float) -> list[Decision]:
        """Forget a waiting or started ticket whose caller gave up."""
        service = self._service_by_ticket.pop(ticket_id, None)
        if service not in self._pools:
            return []
        return self._note(self._pools[service].withdraw(ticket_id, now))

    def tick(self, now: float) -> list[Decision]:
        """Refuse what can no longer meet its deadline, and start what can."""
        decisions: list[Decision] = []
        for service in self._due_services(now):
            pool = self._pools[service]
            decisions += pool.tick(now)
            if pool.is_idle():
                self._busy_services.pop(service, None)
        return self._note(decisions)

    def close(self, now: float) -> list[Decision]:
        """Refuse all waiting tickets and every later one: the host is stopping."""
        self._closed = True
        decisions: list[Decision] = []
        for pool in self._pools.values():
            decisions += pool.refuse_all(RefusalReason.STOPPING, now)
        return self._note(decisions)

    def _due_services(self, now: float) -> list[str]:
        """Return the services to tick: the busy ones, and all once a second."""
        if now < self._full_tick_due:
            return [s for s in self._busy_services if s in self._pools]
        self._full_tick_due = now + IDLE_TICK_SECONDS
        return list(self._pools)

    def _validate(self) -> None:
        if not self._validated:
            validate_parameters(self, CONSTRAINTS_BY_NAME)
            self._validated = True

    def _pool(self, service: str) -> ServiceAdmission:
        if service not in self._pools:
            settings = ServiceAdmissionSettings(
                queue_share=self.queue_share,
                slow_start=self.slow_start,
                ejected_share=self.ejected_share,
                long_ratio=self.long_ratio,
                initial_service_time=self.initial_service_time,
            )
            self._pools[service] = ServiceAdmission(settings, self._random)
        return self._pools[service]

    def _deal(self, service, servers, hosts, own_id) -> dict[str, HomeSlots]:
        """Return the own home slots, computed anew only where the lists changed."""
        sizes = sorted((s.server_id, s.zone, s.slots) for s in servers)
        key = (tuple(sizes), tuple(hosts))
        dealt = self._dealt_by_service.get(service)
        if dealt is None or dealt[0] != key:
            owners = elect_home_hosts(service, servers, hosts)
            home = assign_home_slots(servers, owners, own_id, self.long_share)
            self._dealt_by_service[service] = dealt = (key, home)
        return dealt[1]

    def _drop_unused(self, servers_by_service) -> None:
        for service in list(self._pools):
            if service not in servers_by_service and self._pools[service].is_idle():
                del self._pools[service]
                self._busy_services.pop(service, None)
                self._dealt_by_service.pop(service, None)

    def _note(self, decisions: list[Decision]) -> list[Decision]:
        for decision in decisions:
            if isinstance(decision, Refuse):
                self._service_by_ticket.pop(decision.ticket.ticket_id, None)
        return decisions
