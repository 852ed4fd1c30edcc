"""Admission of new flows to overloaded services, by priority and fair to callers."""

import random
from typing import Any

from ._answer_times import AnswerTimes
from ._base import Journal
from ._records import Route, Server
from ._shedding import MAXIMUM_REFUSED_SHARE, ServiceShedding
from ._zone_spill import ZoneSpill

# A change of the level by less is not logged.
LOGGED_LEVEL = 0.25
# State of a service without requests is dropped after this time.
UNUSED_SECONDS = 60.0


class OverloadAdmission:
    """Refuses new flows while answers take longer than callers want to wait.

    Register it as an observer of answers after `answer_times`. While no service sheds
    load, `admits` is a single comparison.

    Parameters
    ----------
    answer_times : AnswerTimes
        Estimates shared with the spill between zones.
    zone_spill : ZoneSpill or None
        Shedding does not rise while more flows will go to other zones.
    journal : Journal or None
        Receives events when shedding starts, changes and ends.
    random_state : int or None
        Seed of the random refusals.
    """

    __slots__ = (
        "answer_times",
        "journal",
        "random_state",
        "shedding_by_service_",
        "zone_spill",
        "_active",
        "_logged_levels",
        "_random",
    )

    def __init__(
        self,
        *,
        answer_times: AnswerTimes,
        zone_spill: ZoneSpill | None = None,
        journal: Journal | None = None,
        random_state: int | None = None,
    ):
        self.answer_times = answer_times
        self.zone_spill = zone_spill
        self.journal = journal
        self.random_state = random_state
        self.shedding_by_service_: dict[str, ServiceShedding] = {}
        self._random = random.Random(random_state)
        # The services of which something is refused.
        self._active: dict[str, ServiceShedding] = {}
        self._logged_levels: dict[str, int] = {}

    def admits(self, route: Route, caller: int, now: float) -> bool:
        """Return whether a new flow of a route is served."""
        if not self._active:
            return True
        for service, shedding in list(self._active.items()):
            if now >= shedding.step_due:
                self._step(service, shedding, now)
        weights = {s: w for s, w in route.weights_by_service.items() if w}
        active = [s for s in weights if s in self._active]
        if not active:
            return True
        # The service of a flow is not known here, so a route with several is refused by
        # the mean of its services' shares.
        probability = 0.0
        loads = []
        for service in active:
            load = self._active[service].load_of(route.priority, now)
            is_new = load.callers.add_opening(caller)
            loads.append((load, is_new))
            if load.refused_share:
                refused = load.callers.refusal_probability(caller, load.refused_share)
                probability += refused * weights[service] / sum(weights.values())
        # The floor holds for each service, so the one with the most credit decides.
        credit = max(load.floor_credit for load, _ in loads) + 1 - MAXIMUM_REFUSED_SHARE
        is_admitted = credit >= 1.0 or self._random.random() >= probability
        for load, is_new in loads:
            load.floor_credit = max(0.0, credit - 1.0) if is_admitted else credit
            if is_admitted:
                load.admitted += 1.0
                load.refused = max(0.0, load.refused - (not is_new))
            else:
                load.refused += is_new
                load.callers.add_refusal(caller)
        if not is_admitted and self.journal is not None:
            self.journal.count("overload_refused", f"priority_{route.priority}")
        return is_admitted

    def record_work(self, route: Route, caller: int, now: float) -> None:
        """Count an answer as work of its caller, while its service sheds load."""
        if not self._active:
            return
        for service in route.weights_by_service:
            if service in self._active:
                load = self._active[service].load_of(route.priority, now)
                load.callers.add_answer(caller)

    def record_answer(
        self, route: Route, server: Server, seconds: float, now: float
    ) -> None:
        """Count an answer of a route's priority, and adapt the shedding if it is due."""
        shedding = self._shedding_of(server.service, now)
        load = shedding.load_of(route.priority, now)
        load.answered += 1.0
        load.seen_at = now
        if now >= shedding.step_due:
            self._step(server.service, shedding, now)

    def record_failure(self, route: Route, server: Server, now: float) -> None:
        """Count a request without an answer, and adapt the shedding if it is due."""
        shedding = self._shedding_of(server.service, now)
        load = shedding.load_of(route.priority, now)
        load.failed += 1.0
        load.seen_at = now
        if now >= shedding.step_due:
            self._step(server.service, shedding, now)

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Return for operators what is refused of each service in use."""
        return [
            {
                "service": service,
                "p90_of_aim": _rounded(self.answer_times.estimate(service, now)),
                "refused_percent_by_priority": {
                    priority: round(100 * share)
                    for priority, share in shedding.refused_shares().items()
                },
            }
            for service, shedding in self.shedding_by_service_.items()
        ]

    def _shedding_of(self, service: str, now: float) -> ServiceShedding:
        shedding = self.shedding_by_service_.get(service)
        if shedding is None:
            self._discard_unused(now)
            shedding = self.shedding_by_service_[service] = ServiceShedding(now)
        return shedding

    def _discard_unused(self, now: float) -> None:
        """Drop the state of services without requests, which may be gone."""
        for service, shedding in list(self.shedding_by_service_.items()):
            if now - shedding.stepped_at > UNUSED_SECONDS:
                del self.shedding_by_service_[service]
                self._active.pop(service, None)
                self._logged_levels.pop(service, None)

    def _step(self, service: str, shedding: ServiceShedding, now: float) -> None:
        estimate = self.answer_times.estimate(service, now)
        spill = self.zone_spill
        may_rise = spill is None or not spill.is_rising(service, now)
        shedding.step(estimate, now, may_rise=may_rise)
        if shedding.level > 0.0:
            self._active[service] = shedding
        else:
            self._active.pop(service, None)
        self._log_level(service, shedding, estimate)

    def _log_level(
        self, service: str, shedding: ServiceShedding, estimate: float | None
    ) -> None:
        level = -int(-shedding.level // LOGGED_LEVEL)
        logged = self._logged_levels.get(service, 0)
        if level == logged or self.journal is None:
            return
        self._logged_levels[service] = level
        change = "changed" if level and logged else "started" if level else "ended"
        self.journal.count("shedding", change)
        self.journal.event(
            f"shedding_{change}",
            service=service,
            p90_of_aim=_rounded(estimate),
            **{
                f"priority_{p}_percent": round(100 * share)
                for p, share in shedding.refused_shares().items()
            },
        )


def _rounded(estimate: float | None) -> float | None:
    return None if estimate is None else round(estimate, 2)
