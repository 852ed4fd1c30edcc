"""Local state of one backend server: load, health, limits and running requests."""

import math

from hornbeamdeal.kernel import (
    BackendServer,
    DispatchOutcome,
    ServerAnswer,
    ServerState,
)

from ._concurrency_limit import AdaptiveConcurrencyLimit
from ._health import HealthState, ServerHealth
from ._home_slots import HomeSlots

LOAD_REPORT_DECAY_SECONDS = 0.5  # time constant of a load report's weight
JUST_FREED_SECONDS = 0.002  # other hosts rarely take a freed slot in this time
FULL_LOAD = 0.9  # decayed load from which a server counts as full
HOME_MAXIMUM_RECOVERY_SECONDS = 0.08  # per slot; owners may soon try again
BORROW_MAXIMUM_RECOVERY_SECONDS = 5.12  # per slot


class TrackedServer:
    """Requests of this host at a server, and its estimated load and health."""

    __slots__ = (
        "_freed_at",
        "_reported_at",
        "_reported_load",
        "_slow_start_since",
        "borrow_allowed_at",
        "borrow_limit",
        "health",
        "home",
        "home_limit",
        "long_running_count",
        "running_count",
        "server",
        "slow_start",
    )

    def __init__(self, server: BackendServer, slow_start: float):
        self.server = server
        self.slow_start = slow_start
        self.home = HomeSlots()
        # Successes on home slots say nothing about borrowed ones: with a single
        # limit a busy owner kept trying to borrow slots of the same server.
        self.home_limit = AdaptiveConcurrencyLimit(
            server.slots, HOME_MAXIMUM_RECOVERY_SECONDS
        )
        self.borrow_limit = AdaptiveConcurrencyLimit(
            server.slots, BORROW_MAXIMUM_RECOVERY_SECONDS
        )
        self.health = ServerHealth()
        self.borrow_allowed_at = -math.inf
        self.running_count = 0
        self.long_running_count = 0
        self._freed_at = -math.inf
        self._reported_load = 0.0
        self._reported_at = -math.inf
        self._slow_start_since = -math.inf

    def update(self, server: BackendServer, home: HomeSlots, now: float) -> None:
        """Set the server's current record and this host's home slots on it."""
        was_inactive = self.server.state is not ServerState.ACTIVE
        if was_inactive and server.state is ServerState.ACTIVE:
            self.begin_slow_start(now)
        self.server = server
        self.home = home
        self.home_limit.resize(server.slots)
        self.borrow_limit.resize(server.slots)

    def begin_slow_start(self, now: float) -> None:
        """Start opening the slots one after another."""
        self._slow_start_since = now

    def is_usable(self) -> bool:
        """Return whether the server may get new work."""
        if self.server.state is not ServerState.ACTIVE or self.server.slots < 1:
            return False
        return self.health.state is not HealthState.EJECTED

    def takes_long_work(self) -> bool:
        """Return whether the server may get long work, regardless of free slots."""
        return self.is_usable() and self.health.state is HealthState.HEALTHY

    def has_home_slot(self, long: bool, now: float) -> bool:
        """Return whether a home slot is free for this kind of work."""
        if not self._accepts(long) or not self.home_limit.allows(
            self.running_count, now
        ):
            return False
        if long and self.long_running_count >= self.home.long_count:
            return False
        return self.running_count < self._count_open_home_slots(now)

    def can_borrow(self, long: bool, now: float) -> bool:
        """Return whether a slot that this host does not own may be tried."""
        if now < self.borrow_allowed_at or self.decayed_load(now) >= FULL_LOAD:
            return False
        if not self.borrow_limit.allows(self.running_count, now):
            return False
        return self._may_use_any_slot(long, now)

    def is_just_freed(self, long: bool, now: float) -> bool:
        """Return whether a request of this host has just freed a slot."""
        if now - self._freed_at > JUST_FREED_SECONDS:
            return False
        return self._may_use_any_slot(long, now)

    def load_score(self, now: float) -> float:
        """Return the estimated load: local utilisation plus the decayed report."""
        return self.running_count / self.server.slots + self.decayed_load(now)

    def decayed_load(self, now: float) -> float:
        """Return the last reported load, decayed exponentially with its age."""
        return self._reported_load * math.exp(
            (self._reported_at - now) / LOAD_REPORT_DECAY_SECONDS
        )

    def start(self, long: bool) -> None:
        """Count a dispatched request."""
        self._freed_at = -math.inf
        self.running_count += 1
        self.long_running_count += long

    def finish(self, long: bool) -> None:
        """Count a request that ended or was withdrawn."""
        self.running_count -= 1
        self.long_running_count -= long

    def record_result(self, answer: ServerAnswer, borrowed: bool, now: float) -> None:
        """Record the result of a request on a home slot or a borrowed one."""
        limit = self.borrow_limit if borrowed else self.home_limit
        if answer.load is not None:
            self._record_load(answer.load, now)
        if answer.outcome is DispatchOutcome.REFUSED:
            self._record_load(1.0, now)
            limit.record_refusal(self.running_count, now)
        elif answer.outcome is DispatchOutcome.ANSWERED:
            limit.record_success()
            self._freed_at = now
            self._record_health(False, now)
        elif answer.outcome in (DispatchOutcome.FAILED, DispatchOutcome.TIMED_OUT):
            self._record_health(True, now)

    def _record_health(self, failed: bool, now: float) -> None:
        if self.health.record_result(failed, now):
            self.begin_slow_start(now)

    def _record_load(self, load: float, now: float) -> None:
        self._reported_load = min(1.0, max(0.0, load))
        self._reported_at = now

    def _may_use_any_slot(self, long: bool, now: float) -> bool:
        if not self._accepts(long) or self._slow_start_progress(now) < 1.0:
            return False
        return not long or self.long_running_count < max(1, self.server.slots - 1)

    def _accepts(self, long: bool) -> bool:
        if not self.is_usable() or self.running_count >= self.server.slots:
            return False
        if self.health.state is HealthState.PROBING:
            return self.running_count == 0 and not long
        return True

    def _slow_start_progress(self, now: float) -> float:
        if self.slow_start <= 0:
            return 1.0
        return min(1.0, (now - self._slow_start_since) / self.slow_start)

    def _count_open_home_slots(self, now: float) -> int:
        # Slot numbers are the same on all hosts, so the hosts together open one
        # slot of a new server first without coordination.
        opened = max(1, math.ceil(self._slow_start_progress(now) * self.server.slots))
        return sum(index < opened for index in self.home.indices)
