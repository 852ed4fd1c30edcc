"""One host's account of one backend server."""

import math

from hornbeamdeal.kernel import BackendServer, Outcome, ServerAnswer, ServerState

from ._concurrency_limit import AdaptiveConcurrencyLimit
from ._health import HealthState, ServerHealth
from ._home_slots import HomeSlots

REPORT_AGEING = 0.5  # seconds in which a load report loses most of its weight
JUST_FREED = 0.002  # seconds in which another host rarely takes a freed slot
FULL = 0.9  # aged load above which a server counts as full
HOME_MAX_RECOVERY = 0.08  # seconds per slot; an owner is not kept out for long
FOREIGN_MAX_RECOVERY = 5.12  # seconds per slot


class ServerSlots:
    """Requests of this host at a server, and what the host believes of it."""

    __slots__ = (
        "_freed_at",
        "_load",
        "_reported_at",
        "_slow_since",
        "foreign_limit",
        "health",
        "home",
        "home_limit",
        "lend_again_at",
        "long_running",
        "running",
        "server",
        "slow_start",
    )

    def __init__(self, server: BackendServer, slow_start: float):
        self.server = server
        self.slow_start = slow_start
        self.home = HomeSlots()
        # Answers on own slots say nothing about foreign ones, so a single limit
        # let a busy owner try foreign slots of the same server all the time.
        self.home_limit = AdaptiveConcurrencyLimit(server.slots, HOME_MAX_RECOVERY)
        self.foreign_limit = AdaptiveConcurrencyLimit(
            server.slots, FOREIGN_MAX_RECOVERY
        )
        self.health = ServerHealth()
        self.lend_again_at = -math.inf
        self.running = 0
        self.long_running = 0
        self._freed_at = -math.inf
        self._load = 0.0
        self._reported_at = -math.inf
        self._slow_since = -math.inf

    def update(self, server: BackendServer, home: HomeSlots, now: float) -> None:
        """Take the server's new record and the home slots on it."""
        returned = self.server.state is not ServerState.ACTIVE
        if returned and server.state is ServerState.ACTIVE:
            self.begin_slow_start(now)
        self.server = server
        self.home = home
        self.home_limit.resize(server.slots)
        self.foreign_limit.resize(server.slots)

    def begin_slow_start(self, now: float) -> None:
        """Open the slots one after another from now on."""
        self._slow_since = now

    def is_usable(self) -> bool:
        """Tell whether the server may get any new work."""
        if self.server.state is not ServerState.ACTIVE or self.server.slots < 1:
            return False
        return self.health.state is not HealthState.EJECTED

    def takes_long_work(self) -> bool:
        """Tell whether long work may be sent, room aside."""
        return self.is_usable() and self.health.state is HealthState.HEALTHY

    def has_home_slot(self, long: bool, now: float) -> bool:
        """Tell whether an own slot is free for the kind of work."""
        if not self._is_open(long) or not self.home_limit.allows(self.running, now):
            return False
        if long and self.long_running >= self.home.long_count:
            return False
        return self.running < self._open_home_slots(now)

    def can_lend(self, long: bool, now: float) -> bool:
        """Tell whether a slot of another host, or an unowned one, may be tried."""
        if now < self.lend_again_at or self.aged_load(now) >= FULL:
            return False
        if not self.foreign_limit.allows(self.running, now):
            return False
        return self._has_foreign_slot(long, now)

    def is_just_freed(self, long: bool, now: float) -> bool:
        """Tell whether a request of this host has left a slot a moment ago."""
        if now - self._freed_at > JUST_FREED:
            return False
        return self._has_foreign_slot(long, now)

    def score(self, now: float) -> float:
        """Return the believed load: own work plus the aged report."""
        return self.running / self.server.slots + self.aged_load(now)

    def aged_load(self, now: float) -> float:
        """Return the last reported load, weakened by its age."""
        return self._load * math.exp((self._reported_at - now) / REPORT_AGEING)

    def start(self, long: bool) -> None:
        """Count a request that is sent."""
        self._freed_at = -math.inf
        self.running += 1
        self.long_running += long

    def finish(self, long: bool) -> None:
        """Count a request that ended or was withdrawn."""
        self.running -= 1
        self.long_running -= long

    def learn(self, answer: ServerAnswer, borrowed: bool, now: float) -> None:
        """Learn from the end of a request on an own or a borrowed slot."""
        limit = self.foreign_limit if borrowed else self.home_limit
        if answer.load is not None:
            self._report(answer.load, now)
        if answer.outcome is Outcome.REFUSED:
            self._report(1.0, now)
            limit.record_refusal(self.running, now)
        elif answer.outcome is Outcome.ANSWERED:
            limit.record_success()
            self._freed_at = now
            self._record_result(False, now)
        elif answer.outcome in (Outcome.FAILED, Outcome.TIMED_OUT):
            self._record_result(True, now)

    def _record_result(self, failed: bool, now: float) -> None:
        if self.health.record_result(failed, now):
            self.begin_slow_start(now)

    def _report(self, load: float, now: float) -> None:
        self._load = min(1.0, max(0.0, load))
        self._reported_at = now

    def _has_foreign_slot(self, long: bool, now: float) -> bool:
        if not self._is_open(long) or self._ramp(now) < 1.0:
            return False
        return not long or self.long_running < max(1, self.server.slots - 1)

    def _is_open(self, long: bool) -> bool:
        if not self.is_usable() or self.running >= self.server.slots:
            return False
        if self.health.state is HealthState.PROBING:
            return self.running == 0 and not long
        return True

    def _ramp(self, now: float) -> float:
        if self.slow_start <= 0:
            return 1.0
        return min(1.0, (now - self._slow_since) / self.slow_start)

    def _open_home_slots(self, now: float) -> int:
        # Slot numbers are the same on all hosts, so the hosts together open
        # one slot of a new server first, although they do not see each other.
        opened = max(1, math.ceil(self._ramp(now) * self.server.slots))
        return sum(index < opened for index in self.home.indices)
