"""Admission of new flows to overloaded services, by priority and fair to callers."""

import random
from collections import Counter

from ._answer_times import AnswerTimes
from ._base import Journal
from ._records import Route, Server

STEP_SECONDS = 0.5
# Shedding rises above the upper bound of the 90th percentile of answer times and falls
# below the lower one; both are multiples of the latency objective.
RISE_ABOVE = 1.0
FALL_BELOW = 0.8
RISE_STEP = 0.1
FALL_STEP = 0.05
# After a second of answers within the objective the load has fallen, and the larger
# step ends all shedding within 5 s of that.
CALM_SECONDS = 1.0
CALM_FALL_STEP = 0.4
# Each priority keeps at least 10% of its openings.
MAXIMUM_REFUSED_SHARE = 0.9
# A priority counts while a request of its routes ended within this time.
PRIORITY_IDLE_SECONDS = 10.0
# Callers' work is counted over two windows, so over the last 2.5 to 5 s.
WINDOW_SECONDS = 2.5
# Callers counted in one window of one priority. Later ones count as light callers.
MAXIMUM_CALLERS = 1024


class CallerWork:
    """Recent work of the callers of one priority, and each one's fair share.

    Work is openings and answers. An opening that follows a refusal of the same caller
    repeats a request that was counted before.
    """

    __slots__ = ("allowance", "_current", "_previous", "_refused", "_rotated_at")

    def __init__(self, now: float):
        # Work up to which a caller is not refused; None if nothing is refused.
        self.allowance: float | None = None
        self._current: dict[int, int] = {}
        self._previous: dict[int, int] = {}
        self._refused: dict[int, int] = {}
        self._rotated_at = now

    def count(self, caller: int) -> int:
        """Return the recent work of a caller."""
        return self._current.get(caller, 0) + self._previous.get(caller, 0)

    def add(self, caller: int) -> None:
        """Count one answer or opening of a caller."""
        current = self._current
        if caller in current or len(current) < MAXIMUM_CALLERS:
            current[caller] = current.get(caller, 0) + 1

    def add_opening(self, caller: int) -> None:
        """Count an opening unless it repeats a refused one."""
        refused = self._refused.get(caller, 0)
        if not refused:
            self.add(caller)
        elif refused == 1:
            del self._refused[caller]
        else:
            self._refused[caller] = refused - 1

    def add_refusal(self, caller: int) -> None:
        """Record that a caller was refused and may come back."""
        if caller in self._refused or len(self._refused) < MAXIMUM_CALLERS:
            self._refused[caller] = self._refused.get(caller, 0) + 1

    def refresh(self, refused_share: float, now: float) -> None:
        """Rotate the windows and compute the allowance for a share to be refused.

        The allowance is max-min fair: the work beyond it, summed over all callers, is the
        share of all work that is to be refused.
        """
        if now - self._rotated_at >= WINDOW_SECONDS:
            is_recent = now - self._rotated_at < 2 * WINDOW_SECONDS
            self._previous = self._current if is_recent else {}
            self._current, self._refused = {}, {}
            self._rotated_at = now
        callers = self._current.keys() | self._previous.keys()
        callers_by_work = Counter(map(self.count, callers))
        kept = (1.0 - refused_share) * sum(w * n for w, n in callers_by_work.items())
        remaining = len(callers)
        self.allowance = 0.0
        for work, number in sorted(callers_by_work.items()):
            self.allowance = kept / remaining
            if self.allowance <= work:
                break
            kept -= work * number
            remaining -= number

    def refusal_probability(self, caller: int, refused_share: float) -> float:
        """Return the probability with which an opening of a caller is refused."""
        if self.allowance is None:
            return refused_share
        # A caller that is not counted is a light one.
        return max(0.0, 1.0 - self.allowance / max(self.count(caller), 1))


class ServiceLoad:
    """Shedding of one service.

    `level` is the sum of the refused shares of its priorities, the lowest first.
    """

    __slots__ = (
        "calm_since",
        "floor_credits",
        "level",
        "logged_level",
        "refused_shares",
        "seen_at_by_priority",
        "step_due",
        "work_by_priority",
    )

    def __init__(self):
        self.level = 0.0
        self.logged_level = 0
        self.calm_since: float | None = None
        self.step_due = float("-inf")
        self.refused_shares: dict[int, float] = {}
        self.seen_at_by_priority: dict[int, float] = {}
        self.work_by_priority: dict[int, CallerWork] = {}
        self.floor_credits: dict[int, float] = {}


class OverloadAdmission:
    """Refuses new flows while answers take longer than callers want to wait.

    Register it as an observer of answers in addition to `answer_times`. While no
    service sheds load, `admits` is a single comparison.

    Parameters
    ----------
    answer_times : AnswerTimes
        Estimates shared with the spill between zones.
    journal : Journal or None
        Receives events when shedding starts, changes and ends.
    random_state : int or None
        Seed of the random refusals.
    """

    __slots__ = (
        "answer_times",
        "journal",
        "loads_by_service_",
        "random_state",
        "_random",
        "_shedding",
    )

    def __init__(
        self,
        *,
        answer_times: AnswerTimes,
        journal: Journal | None = None,
        random_state: int | None = None,
    ):
        self.answer_times = answer_times
        self.journal = journal
        self.random_state = random_state
        self.loads_by_service_: dict[str, ServiceLoad] = {}
        self._random = random.Random(random_state)
        self._shedding: set[str] = set()

    def admits(self, route: Route, caller: int, now: float) -> bool:
        """Return whether a new flow of a route is served."""
        if not self._shedding:
            return True
        weights = route.weights_by_service
        services = [s for s in weights if weights[s] and s in self._shedding]
        if not services:
            return True
        total = sum(weights.values())
        probability = 0.0
        for service in services:
            load = self.loads_by_service_[service]
            self._step_if_due(service, load, now)
            share = weights[service] / total
            probability += share * self._refusal_probability(load, route, caller, now)
        # The service with the largest weight keeps the account of what is refused.
        load = self.loads_by_service_[max(services, key=weights.__getitem__)]
        priority = route.priority
        credit = load.floor_credits.get(priority, 0.0) + 1.0 - MAXIMUM_REFUSED_SHARE
        is_admitted = credit >= 1.0 or self._random.random() >= probability
        load.floor_credits[priority] = max(0.0, credit - 1.0) if is_admitted else credit
        if not is_admitted:
            work = load.work_by_priority.get(priority)
            if work is not None:
                work.add_refusal(caller)
        return is_admitted

    def record_work(self, route: Route, caller: int, now: float) -> None:
        """Count an answer as work of its caller, while its service sheds load."""
        if not self._shedding:
            return
        for service in route.weights_by_service:
            if service in self._shedding:
                load = self.loads_by_service_[service]
                self._work_of(load, route.priority, now).add(caller)

    def record_answer(
        self, route: Route, server: Server, seconds: float, now: float
    ) -> None:
        """Record that a route is in use, and adapt the shedding if it is time."""
        self._record_use(route, server.service, now)

    def record_failure(self, route: Route, server: Server, now: float) -> None:
        """Record that a route is in use, and adapt the shedding if it is time."""
        self._record_use(route, server.service, now)

    def refused_share(self, route: Route) -> float:
        """Return the largest share of a route's openings that a service refuses."""
        loads = [
            self.loads_by_service_[s]
            for s in route.weights_by_service
            if s in self._shedding
        ]
        shares = [load.refused_shares.get(route.priority, 0.0) for load in loads]
        return max(shares, default=0.0)

    def _record_use(self, route: Route, service: str, now: float) -> None:
        load = self.loads_by_service_.get(service)
        if load is None:
            load = self.loads_by_service_[service] = ServiceLoad()
        load.seen_at_by_priority[route.priority] = now
        self._step_if_due(service, load, now)

    def _refusal_probability(
        self, load: ServiceLoad, route: Route, caller: int, now: float
    ) -> float:
        work = self._work_of(load, route.priority, now)
        work.add_opening(caller)
        share = load.refused_shares.get(route.priority, 0.0)
        return work.refusal_probability(caller, share) if share else 0.0

    def _work_of(self, load: ServiceLoad, priority: int, now: float) -> CallerWork:
        work = load.work_by_priority.get(priority)
        if work is None:
            work = load.work_by_priority[priority] = CallerWork(now)
        return work

    def _step_if_due(self, service: str, load: ServiceLoad, now: float) -> None:
        if now < load.step_due:
            return
        load.step_due = now + STEP_SECONDS
        priorities = _priorities_in_use(load, now)
        estimate = self.answer_times.estimate(service, now)
        load.level = _next_level(load, estimate, len(priorities), now)
        load.refused_shares = _refused_shares(load.level, priorities)
        if load.level > 0.0:
            self._shedding.add(service)
            for priority, share in load.refused_shares.items():
                self._work_of(load, priority, now).refresh(share, now)
        else:
            self._shedding.discard(service)
            load.work_by_priority.clear()
            load.floor_credits.clear()
        self._log_level(service, load, estimate)

    def _log_level(
        self, service: str, load: ServiceLoad, estimate: float | None
    ) -> None:
        """Log the start and the end, and each change by a fifth of a priority's share."""
        level = -int(-load.level / (2 * RISE_STEP) // 1)
        if level == load.logged_level or self.journal is None:
            return
        started, ended = load.logged_level == 0, level == 0
        load.logged_level = level
        name = "started" if started else "ended" if ended else "changed"
        self.journal.event(
            f"shedding_{name}",
            service=service,
            refused=_describe_shares(load.refused_shares),
            p90_of_aim=-1 if estimate is None else round(estimate, 2),
        )
        self.journal.count("shedding", name)


def _priorities_in_use(load: ServiceLoad, now: float) -> list[int]:
    """Return the priorities of routes with recent requests, the lowest first."""
    seen_at = load.seen_at_by_priority
    for priority in [
        p for p, at in seen_at.items() if now - at > PRIORITY_IDLE_SECONDS
    ]:
        del seen_at[priority]
    return sorted(seen_at, reverse=True)


def _next_level(
    load: ServiceLoad, estimate: float | None, priority_count: int, now: float
) -> float:
    if priority_count < 2:
        return 0.0
    if estimate is not None and estimate >= FALL_BELOW:
        load.calm_since = None
        if estimate <= RISE_ABOVE:
            return load.level
        return min(load.level + RISE_STEP, priority_count * MAXIMUM_REFUSED_SHARE)
    if load.calm_since is None:
        load.calm_since = now
    is_calm = now - load.calm_since >= CALM_SECONDS
    level = load.level - (CALM_FALL_STEP if is_calm else FALL_STEP)
    # Differences of floating point steps must not keep the shedding on.
    return level if level > FALL_STEP / 2 else 0.0


def _refused_shares(level: float, priorities: list[int]) -> dict[int, float]:
    shares = {}
    for priority in priorities:
        share = min(level, MAXIMUM_REFUSED_SHARE)
        if share > 0.0:
            shares[priority] = share
        level -= share
    return shares


def _describe_shares(shares: dict[int, float]) -> str:
    return ",".join(f"{p}:{100 * share:.0f}%" for p, share in shares.items()) or "none"
