"""Shares of the openings of one service that are refused, by priority."""

import math

from ._caller_work import CallerWork

STEP_SECONDS = 0.5
# Shedding rises above the upper bound of the 90th percentile of answer times and falls
# below the lower one; both are multiples of the latency objective.
RISE_ABOVE = 1.0
FALL_BELOW = 0.8
RISE_STEP = 0.15
FALL_STEP = 0.15
# Step near the level that the demand calls for. Answer times follow a change of the
# level by 1 to 2 s, so larger steps make it oscillate by more than is refused.
PROBE_STEP = 0.025
# Step while the demand is less than this share of what the servers answered under
# overload, which ends the shedding within 5 s of the fall of the load.
RELEASE_STEP = 0.6
RELEASE_DEMAND_SHARE = 0.9
# Growth of this share with each step without overload, since rates of few requests vary.
RELEASE_DEMAND_GROWTH = 0.05
# Callers of a failed request mostly try again, and the answer to that counts as well.
FAILED_WEIGHT = 0.5
# Refused share beyond the one that the rates call for, since they are estimates.
TARGET_MARGIN = 0.1
# Weight of the newest count of answers in the capacity. A low count weighs less, since
# the estimate of answer times still tells of overload for 1 s after the load has fallen.
CAPACITY_WEIGHT = 0.25
CAPACITY_FALL_WEIGHT = 0.05
# Each priority keeps at least 10% of its openings.
MAXIMUM_REFUSED_SHARE = 0.9
# A priority counts while a request of its routes ended within this time.
PRIORITY_IDLE_SECONDS = 10.0
# Half-life of the rates of requests that ended and of openings.
RATE_HALF_LIFE_SECONDS = 0.6


class PriorityLoad:
    """Decayed counts of one priority's requests, and what is refused of it."""

    __slots__ = (
        "admitted",
        "answered",
        "callers",
        "failed",
        "floor_credit",
        "refused",
        "refused_share",
        "seen_at",
    )

    def __init__(self, now: float):
        self.seen_at = now
        self.answered = 0.0
        self.failed = 0.0
        self.admitted = 0.0
        # Refused openings, each once however often its caller repeats it.
        self.refused = 0.0
        self.refused_share = 0.0
        # Part of an opening that the floor has saved up.
        self.floor_credit = 0.0
        self.callers = CallerWork(now)

    def decay(self, factor: float) -> None:
        """Multiply all counts by a factor."""
        self.answered *= factor
        self.failed *= factor
        self.admitted *= factor
        self.refused *= factor

    @property
    def demand(self) -> float:
        """Return the decayed count of requests that there would be without refusals."""
        ended = self.answered + FAILED_WEIGHT * self.failed
        # A flow that was refused would have brought as many requests as others do.
        requests = max(1.0, ended / self.admitted) if self.admitted >= 1.0 else 1.0
        # Refused callers try again, mostly through other hosts, which can't tell.
        attempts = 1.0 + self.refused_share
        return ended + self.refused * requests / attempts


class ServiceShedding:
    """Adapts what is refused of one service to its answer times.

    Attributes
    ----------
    level : float
        Sum of the refused shares of the priorities in use, the lowest first.
    """

    __slots__ = (
        "level",
        "loads_by_priority",
        "step_due",
        "stepped_at",
        "_calm_steps",
        "_capacity",
    )

    def __init__(self, now: float):
        self.level = 0.0
        self.loads_by_priority: dict[int, PriorityLoad] = {}
        self.step_due = now + STEP_SECONDS
        # Decayed count of answers when the service was last overloaded.
        self._capacity = 0.0
        self._calm_steps = 0
        self.stepped_at = now

    def load_of(self, priority: int, now: float) -> PriorityLoad:
        """Return the load of a priority, which is new or known."""
        load = self.loads_by_priority.get(priority)
        if load is None:
            load = self.loads_by_priority[priority] = PriorityLoad(now)
        return load

    def step(self, estimate: float | None, now: float, may_rise: bool = True) -> None:
        """Adapt the level to the 90th percentile, None if it is not known."""
        factor = math.exp2((self.stepped_at - now) / RATE_HALF_LIFE_SECONDS)
        self.step_due = now + STEP_SECONDS
        self.stepped_at = now
        for priority, load in list(self.loads_by_priority.items()):
            load.decay(factor)
            if now - load.seen_at > PRIORITY_IDLE_SECONDS:
                del self.loads_by_priority[priority]
        was_shedding = self.level > 0.0
        self.level = self._next_level(estimate, may_rise)
        remaining = self.level
        for _, load in self._lowest_first():
            load.refused_share = min(remaining, MAXIMUM_REFUSED_SHARE)
            remaining -= load.refused_share
            if self.level > 0.0:
                load.callers.refresh(load.refused_share, now)
            elif was_shedding:
                load.callers, load.floor_credit = CallerWork(now), 0.0

    def refused_shares(self) -> dict[int, float]:
        """Return the refused share of each priority in use, the lowest first."""
        return {p: load.refused_share for p, load in self._lowest_first()}

    def _lowest_first(self) -> list[tuple[int, PriorityLoad]]:
        return sorted(self.loads_by_priority.items(), reverse=True)

    def _next_level(self, estimate: float | None, may_rise: bool) -> float:
        loads = self.loads_by_priority.values()
        if len(loads) < 2:
            return 0.0
        if estimate is None:
            return _lower(self.level, RELEASE_STEP)
        answered = sum(load.answered for load in loads)
        if not self.level:
            # What was answered in an earlier overload may no longer be possible.
            self._capacity = answered
        if estimate >= FALL_BELOW:
            self._calm_steps = 0
        if estimate > RISE_ABOVE:
            self._learn_capacity(answered)
            if not may_rise:
                return self.level
            highest = self._target_level() + TARGET_MARGIN
            step = RISE_STEP if self.level < highest else PROBE_STEP
            return min(self.level + step, len(loads) * MAXIMUM_REFUSED_SHARE)
        if answered > self._capacity:
            self._learn_capacity(answered)
        if estimate >= FALL_BELOW:
            return self.level
        demand = sum(load.demand for load in loads)
        share = RELEASE_DEMAND_SHARE + RELEASE_DEMAND_GROWTH * self._calm_steps
        self._calm_steps += 1
        if demand < share * self._capacity:
            return _lower(self.level, RELEASE_STEP)
        target = self._target_level()
        is_high = self.level > target + TARGET_MARGIN
        return _lower(self.level, FALL_STEP if is_high else PROBE_STEP)

    def _learn_capacity(self, answered: float) -> None:
        """Follow the count of answers slowly, since it is of few requests."""
        weight = CAPACITY_WEIGHT if answered > self._capacity else CAPACITY_FALL_WEIGHT
        self._capacity += weight * (answered - self._capacity)

    def _target_level(self) -> float:
        """Return the level at which the demand would be what the servers answer."""
        loads = [load for _, load in self._lowest_first()]
        excess = sum(load.demand for load in loads) - self._capacity
        level = 0.0
        for load in loads:
            if excess <= 0.0:
                break
            share = min(excess / max(load.demand, 1.0), MAXIMUM_REFUSED_SHARE)
            level += share
            excess -= share * load.demand
        return level


def _lower(level: float, step: float) -> float:
    # The sum of floating point steps must not leave a remainder.
    return level - step if level > 1.5 * step else 0.0
