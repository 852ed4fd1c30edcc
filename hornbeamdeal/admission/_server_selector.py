"""Selection of a server with a free home slot or a slot to borrow."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random

from hornbeamdeal.kernel import (
    BackendServer,
    DispatchOutcome,
    ServerAnswer,
    ServerState,
)

from ._health import HealthState, max_ejected
from ._home_slots import HomeSlots
from ._service_times import RunningMean
from ._tracked_server import TrackedServer

BORROW_SAMPLE_SIZE = 2
BORROW_REFUSAL_WEIGHT = 0.02  # weight of the newest attempt to borrow
MAXIMUM_BORROW_WAIT = 6.0  # service times, when all attempts to borrow are refused
REBORROW_PAUSE_SECONDS = 0.1  # when all attempts to borrow are refused
RETRY_BORROW_WAIT = 2.0  # service times that a retry waits before it borrows


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Requirements of a ticket, and the running requests of its host.

    `service_time` is in seconds.
    """

    long: bool
    excluded: frozenset[str]
    waited_seconds: float
    service_time: float
    running_count: int
    long_running_count: int


class ServerSelector:
    """Selects among the servers of one service, as tracked by one host."""

    __slots__ = (
        "_borrow_refusal_rate",
        "_listed_ids",
        "_random",
        "_servers",
        "ejected_share",
        "slow_start",
    )

    def __init__(self, slow_start: float, ejected_share: float, random: Random):
        self.slow_start = slow_start
        self.ejected_share = ejected_share
        self._random = random
        self._servers: dict[str, TrackedServer] = {}
        self._listed_ids: set[str] = set()
        self._borrow_refusal_rate = RunningMean(0.0, BORROW_REFUSAL_WEIGHT)

    def update(
        self,
        servers: Sequence[BackendServer],
        home_slots_by_server_id: dict[str, HomeSlots],
        now: float,
    ) -> None:
        """Set the servers and this host's home slots on them."""
        # A host that has just started knows no servers, but all may be warm.
        is_first_update = not self._servers
        self._listed_ids = {server.server_id for server in servers}
        self._drain_unlisted()
        for server in servers:
            if server.server_id not in self._servers:
                self._add_server(server, is_first_update, now)
            home = home_slots_by_server_id.get(server.server_id, HomeSlots())
            self._servers[server.server_id].update(server, home, now)

    def has_active_server(self) -> bool:
        """Return whether any server is active."""
        states = (s.server.state for s in self._servers.values())
        return any(state is ServerState.ACTIVE for state in states)

    def select(self, request: SlotRequest, now: float) -> TrackedServer | None:
        """Return a server with a home slot, or one to borrow by two random choices."""
        if request.excluded:
            just_freed = self._find_just_freed(request, now)
            if just_freed is not None:
                return just_freed
        servers = self._usable_servers(request.excluded)
        home = [s for s in servers if s.has_home_slot(request.long, now)]
        if home:
            return min(home, key=lambda s: (s.load_score(now), self._random.random()))
        if not self._may_borrow(request):
            return None
        candidates = [s for s in servers if s.can_borrow(request.long, now)]
        sampled = self._random.sample(
            candidates, min(BORROW_SAMPLE_SIZE, len(candidates))
        )
        return min(sampled, key=lambda s: s.load_score(now), default=None)

    def pause_borrowing(self, tracked: TrackedServer, now: float) -> None:
        """Pause borrowing at the server, so that the owner can use the slot.

        Without the pause a borrower took a freed slot again within 1 ms, long
        before the owner could try it.
        """
        tracked.borrow_allowed_at = (
            now + REBORROW_PAUSE_SECONDS * self._borrow_refusal_rate.value
        )

    def record_result(
        self, tracked: TrackedServer, answer: ServerAnswer, borrowed: bool, now: float
    ) -> None:
        """Record the result of a request, and eject the server if it is an outlier."""
        tracked.record_result(answer, borrowed, now)
        if borrowed:
            self._borrow_refusal_rate.record(
                float(answer.outcome is DispatchOutcome.REFUSED)
            )
        if tracked.health.is_outlier() and self._may_eject():
            tracked.health.eject(now)

    def tick(self, now: float) -> None:
        """End ejections, and remove idle servers that are no longer listed."""
        self._drain_unlisted()
        for tracked in self._servers.values():
            tracked.health.tick(now)

    def _add_server(
        self, server: BackendServer, is_first_update: bool, now: float
    ) -> None:
        tracked = TrackedServer(server, self.slow_start)
        if not is_first_update:
            tracked.begin_slow_start(now)
        self._servers[server.server_id] = tracked

    def _drain_unlisted(self) -> None:
        """Drain unlisted servers, and remove them once idle.

        A server that is listed again while old requests still run must not get
        work for all its slots in addition to them.
        """
        for key in self._servers.keys() - self._listed_ids:
            tracked = self._servers[key]
            tracked.server = replace(tracked.server, state=ServerState.DRAINING)
            if tracked.running_count == 0:
                del self._servers[key]

    def _find_just_freed(
        self, request: SlotRequest, now: float
    ) -> TrackedServer | None:
        """Return a server where a request of this host has just freed a slot.

        Includes servers that have refused the ticket before, unless requests
        fail there: in a surge all home servers of a host may have refused it
        once, and it waited for other servers until its deadline.
        """
        if request.long and request.long_running_count >= max(
            1, self._count_long_home_slots()
        ):
            return None
        for server_id, tracked in self._servers.items():
            if server_id in request.excluded and tracked.health.is_failing():
                continue
            if tracked.is_just_freed(request.long, now):
                return tracked
        return None

    def _usable_servers(self, excluded: frozenset[str]) -> list[TrackedServer]:
        usable = [s for s in self._servers.values() if s.is_usable()]
        if not excluded:
            return usable
        others = [s for s in usable if s.server.server_id not in excluded]
        return others or usable

    def _may_borrow(self, request: SlotRequest) -> bool:
        """Return whether a ticket has waited long enough to borrow a slot.

        The more attempts to borrow were refused recently, the longer a ticket
        waits for a home slot first. Long work borrows only on a host without a
        home slot for long work, one request at a time: otherwise long work of
        many hosts would take all slots of a server.
        """
        if request.long and (
            request.long_running_count or self._count_long_home_slots()
        ):
            return False
        required_wait = MAXIMUM_BORROW_WAIT * self._borrow_refusal_rate.value
        if request.excluded and request.running_count:
            # At 70% load, borrowing without waiting was refused about one time
            # in three.
            required_wait = max(required_wait, RETRY_BORROW_WAIT)
        return request.waited_seconds >= required_wait * request.service_time

    def _count_long_home_slots(self) -> int:
        # A probing server takes no long work, so its slots are not counted: the
        # host would otherwise wait for them as long as no probe is sent.
        healthy = (s for s in self._servers.values() if s.takes_long_work())
        return sum(s.home.long_count for s in healthy)

    def _may_eject(self) -> bool:
        states = [s.health.state for s in self._servers.values()]
        ejected = sum(state is not HealthState.HEALTHY for state in states)
        return ejected < max_ejected(len(states), self.ejected_share)
