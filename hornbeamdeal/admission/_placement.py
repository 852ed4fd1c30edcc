"""Choice of the server for a ticket among own and borrowed slots."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random

from hornbeamdeal.kernel import BackendServer, Outcome, ServerAnswer, ServerState

from ._health import HealthState, max_ejected
from ._home_slots import HomeSlots
from ._service_times import RunningMean
from ._tracked_server import TrackedServer

CHOICES = 2  # sampled servers when borrowing
SHED_GAIN = 0.02  # weight of the newest borrowing in the shed share
BORROW_PATIENCE = 6.0  # service times waited when all borrowing is refused
YIELD_PAUSE = 0.1  # seconds at a shed share of one
RETRY_PATIENCE = 2.0  # service times a refused ticket waits for a sure slot


@dataclass(frozen=True, slots=True)
class Demand:
    """What a ticket needs, and what its host does at this moment.

    `waited` and `service_time` are in seconds.
    """

    long: bool
    excluded: frozenset[str]
    waited: float
    service_time: float
    running: int
    long_running: int


class Placement:
    """The servers of one service as one host sees them."""

    __slots__ = (
        "_listed",
        "_random",
        "_servers",
        "_shed_share",
        "ejected_share",
        "slow_start",
    )

    def __init__(self, slow_start: float, ejected_share: float, random: Random):
        self.slow_start = slow_start
        self.ejected_share = ejected_share
        self._random = random
        self._servers: dict[str, TrackedServer] = {}
        self._listed: set[str] = set()
        self._shed_share = RunningMean(0.0, SHED_GAIN)

    def update(
        self,
        servers: Sequence[BackendServer],
        home_by_server: dict[str, HomeSlots],
        now: float,
    ) -> None:
        """Take the servers and the own home slots on them."""
        # A host that has just started knows no server, yet all may be warm.
        is_first = not self._servers
        self._listed = {server.server_id for server in servers}
        self._retire_unlisted()
        for server in servers:
            if server.server_id not in self._servers:
                self._add_server(server, is_first, now)
            home = home_by_server.get(server.server_id, HomeSlots())
            self._servers[server.server_id].update(server, home, now)

    def has_active_server(self) -> bool:
        """Tell whether any server may get new work."""
        states = (s.server.state for s in self._servers.values())
        return any(state is ServerState.ACTIVE for state in states)

    def find(self, demand: Demand, now: float) -> TrackedServer | None:
        """Find a slot: an own one, or a borrowed one by two random choices."""
        if demand.excluded:
            freed = self._find_freed(demand, now)
            if freed is not None:
                return freed
        servers = self._allowed_servers(demand.excluded)
        home = [s for s in servers if s.has_home_slot(demand.long, now)]
        if home:
            return min(home, key=lambda s: (s.load_score(now), self._random.random()))
        if not self._may_borrow(demand):
            return None
        lenders = [s for s in servers if s.can_borrow(demand.long, now)]
        sampled = self._random.sample(lenders, min(CHOICES, len(lenders)))
        return min(sampled, key=lambda s: s.load_score(now), default=None)

    def end_borrowing(self, slots: TrackedServer, now: float) -> None:
        """Leave the slot to its owner for a moment.

        Without the pause a borrower took a freed slot again within 1 ms, long
        before the owner could probe it.
        """
        slots.borrow_allowed_at = now + YIELD_PAUSE * self._shed_share.value

    def learn(
        self, slots: TrackedServer, answer: ServerAnswer, borrowed: bool, now: float
    ) -> None:
        """Learn from the end of a request."""
        slots.record_result(answer, borrowed, now)
        if borrowed:
            self._shed_share.record(float(answer.outcome is Outcome.REFUSED))
        if slots.health.is_outlier() and self._may_eject():
            slots.health.eject(now)

    def tick(self, now: float) -> None:
        """End ejections, and forget servers that are gone."""
        self._retire_unlisted()
        for slots in self._servers.values():
            slots.health.tick(now)

    def _add_server(self, server: BackendServer, is_first: bool, now: float) -> None:
        slots = TrackedServer(server, self.slow_start)
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
            if slots.running_count == 0:
                del self._servers[key]

    def _find_freed(self, demand: Demand, now: float) -> TrackedServer | None:
        """Find a slot that a request of this host has just left.

        A server that shed the ticket earlier qualifies too, unless requests
        fail there: in a surge all home servers of a host may have shed it once,
        and it waited in vain for others until its deadline.
        """
        if demand.long and demand.long_running >= max(1, self._long_home()):
            return None
        for server_id, slots in self._servers.items():
            if server_id in demand.excluded and slots.health.is_failing():
                continue
            if slots.is_just_freed(demand.long, now):
                return slots
        return None

    def _allowed_servers(self, excluded: frozenset[str]) -> list[TrackedServer]:
        usable = [s for s in self._servers.values() if s.is_usable()]
        if not excluded:
            return usable
        others = [s for s in usable if s.server.server_id not in excluded]
        return others or usable

    def _may_borrow(self, demand: Demand) -> bool:
        """Tell whether work that has waited so long may use a foreign slot.

        The more borrowing was refused lately, the longer work waits for an own
        slot first. Long work borrows only on a host without a long slot of its
        own, one request at a time: long work of many hosts would otherwise
        take all slots of a server.
        """
        if demand.long and (demand.long_running or self._long_home()):
            return False
        patience = BORROW_PATIENCE * self._shed_share.value
        if demand.excluded and demand.running:
            # Blind tries at 70% load were refused about one time in three.
            patience = max(patience, RETRY_PATIENCE)
        return demand.waited >= patience * demand.service_time

    def _long_home(self) -> int:
        # A server that is probed takes no long work, so its slots don't count:
        # a host would otherwise wait for them as long as nobody probes.
        healthy = (s for s in self._servers.values() if s.takes_long_work())
        return sum(s.home.long_count for s in healthy)

    def _may_eject(self) -> bool:
        states = [s.health.state for s in self._servers.values()]
        ejected = sum(state is not HealthState.HEALTHY for state in states)
        return ejected < max_ejected(len(states), self.ejected_share)
