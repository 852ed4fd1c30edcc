"""Sends a share of new flows to other zones before the own zone's servers are full."""

import random

from ._answer_times import MAXIMUM_AGE_SECONDS, AnswerTimes
from ._base import Journal
from ._records import Route, Server

STEP_SECONDS = 0.5
# Part by which the time between two steps varies, so that hosts don't step together.
STEP_JITTER = 0.25
# The share rises while the 90th percentile of the own zone's answer times is above the
# upper bound, and falls below the lower one; both are multiples of the objective. A
# queue of 8 is nearly full at half of the objectives in use.
RISE_ABOVE = 0.5
FALL_BELOW = 0.35
RISE_STEP = 0.15
FALL_STEP = 0.1
# Step while no other zone is better.
RETREAT_STEP = 0.3
MAXIMUM_SHARE = 0.9
# A zone is better if its answer times are at most this part of the own zone's.
BETTER_RATIO = 0.7
# Share of new flows that test zones without an estimate.
PROBE_SHARE = 0.1
# Admission waits this long for the first answers of probes.
PROBE_SECONDS = 3.0
# Few requests go to other zones, so their answers count for longer and fewer suffice.
OTHER_HALF_LIFE_SECONDS = 2.0
OTHER_MINIMUM_SAMPLES = 1.0
OTHER_MINIMUM_BEYOND = 0.5
# A change of the share by less is not logged.
LOGGED_SHARE = 0.25


class ServiceSpill:
    """Spill of one service.

    `zones` are those to which flows go, `probed_zones` those without an estimate.
    """

    __slots__ = (
        "approached_at",
        "logged_share",
        "other_zones",
        "probed_zones",
        "share",
        "step_due",
        "stepped_at",
        "zones",
    )

    def __init__(self, step_due: float):
        self.step_due = self.stepped_at = step_due
        self.share = 0.0
        self.logged_share = 0
        # When the own zone's answer times began to approach the objective.
        self.approached_at: float | None = None
        # Zones of the latest candidates, None before the first.
        self.other_zones: set[str] | None = None
        self.zones: set[str] = set()
        self.probed_zones: set[str] = set()

    @property
    def is_active(self) -> bool:
        """Return whether flows go to other zones, or probes do."""
        return self.share > 0.0 or self.approached_at is not None


class ZoneSpill:
    """Chooses the zone of new flows by answer times.

    While the answer times of the own zone's servers stay away from the objective, all
    candidates are left to placement, which prefers the own zone. Register it as an
    observer of answers after `answer_times`.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    answer_times : AnswerTimes
        Estimates shared with admission.
    journal : Journal or None
        Receives events when the spill starts, changes and ends.
    random_state : int or None
        Seed of the random choices.
    """

    __slots__ = (
        "answer_times",
        "journal",
        "other_answer_times_",
        "random_state",
        "spills_by_service_",
        "zone",
        "_active",
        "_random",
    )

    def __init__(
        self,
        *,
        zone: str,
        answer_times: AnswerTimes,
        journal: Journal | None = None,
        random_state: int | None = None,
    ):
        self.zone = zone
        self.answer_times = answer_times
        self.journal = journal
        self.random_state = random_state
        self.other_answer_times_ = AnswerTimes(
            arrivals=answer_times.arrivals,
            is_out=answer_times.is_out,
            half_life=OTHER_HALF_LIFE_SECONDS,
            minimum_samples=OTHER_MINIMUM_SAMPLES,
            minimum_beyond=OTHER_MINIMUM_BEYOND,
        )
        self.spills_by_service_: dict[str, ServiceSpill] = {}
        self._active: dict[str, ServiceSpill] = {}
        self._random = random.Random(random_state)

    def filter(self, candidates: list[Server], now: float) -> list[Server]:
        """Return the candidates of one other zone for a share of new flows, else all."""
        if not self._active:
            return candidates
        spill = self._active.get(candidates[0].service)
        if spill is None:
            return candidates
        spill.other_zones = {s.zone for s in candidates if s.zone != self.zone}
        if now >= spill.step_due:
            self._step(candidates[0].service, spill, now)
        if len(spill.other_zones) == len({s.zone for s in candidates}):
            # The own zone has no candidates.
            return candidates
        drawn = self._random.random()
        zones, reason = spill.zones & spill.other_zones, "share"
        if drawn >= (spill.share if zones else 0.0):
            drawn -= spill.share if zones else 0.0
            zones, reason = spill.probed_zones & spill.other_zones, "probe"
            if drawn >= PROBE_SHARE:
                return candidates
        chosen = [s for s in candidates if s.zone in zones]
        if not chosen:
            return candidates
        zone = self._random.choice(chosen).zone
        if self.journal is not None:
            self.journal.count("flows_spilled", reason)
        return [s for s in chosen if s.zone == zone]

    def record_answer(
        self, route: Route, server: Server, seconds: float, now: float
    ) -> None:
        """Record an answer of another zone, and adapt the spill if it is due."""
        if server.zone != self.zone:
            self.other_answer_times_.record_answer(route, server, seconds, now)
        self._step_if_due(server.service, now)

    def record_failure(self, route: Route, server: Server, now: float) -> None:
        """Record a failure in another zone, and adapt the spill if it is due."""
        if server.zone != self.zone:
            self.other_answer_times_.record_failure(route, server, now)
        self._step_if_due(server.service, now)

    def is_rising(self, service: str, now: float) -> bool:
        """Return whether more flows will go to other zones, so none is refused yet."""
        spill = self.spills_by_service_.get(service)
        if spill is None or (spill.other_zones is not None and not spill.other_zones):
            return False
        if spill.approached_at is None:
            # The step that starts the spill is still to come.
            own = self.answer_times.estimate(service, now, self.zone)
            return own is not None and own > RISE_ABOVE
        if spill.zones:
            return spill.share < MAXIMUM_SHARE
        if now - spill.approached_at >= PROBE_SECONDS:
            return False
        return spill.other_zones is None or bool(spill.probed_zones)

    def describe(self) -> list[dict]:
        """Return the spill of each service from which flows or probes go elsewhere."""
        return [
            {
                "service": service,
                "percent": round(100 * spill.share),
                "zones": sorted(spill.zones),
                "probed_zones": sorted(spill.probed_zones),
            }
            for service, spill in self._active.items()
        ]

    def _step_if_due(self, service: str, now: float) -> None:
        spill = self.spills_by_service_.get(service)
        if spill is None:
            # The first step falls at a random time, unlike that of other hosts.
            step_due = now + STEP_SECONDS * self._random.random()
            spill = self.spills_by_service_[service] = ServiceSpill(step_due)
        if now >= spill.step_due:
            self._step(service, spill, now)

    def _step(self, service: str, spill: ServiceSpill, now: float) -> None:
        jitter = self._random.uniform(1.0 - STEP_JITTER, 1.0 + STEP_JITTER)
        spill.step_due = now + STEP_SECONDS * jitter
        if now - spill.stepped_at > MAXIMUM_AGE_SECONDS:
            spill.share = 0.0
        spill.stepped_at = now
        own = self.answer_times.estimate(service, now, self.zone)
        if own is None or own < FALL_BELOW:
            spill.approached_at = None
        elif own > RISE_ABOVE and spill.approached_at is None:
            spill.approached_at = now
        spill.zones, spill.probed_zones = set(), set()
        for zone in spill.other_zones or ():
            other = self.other_answer_times_.estimate(service, now, zone)
            if other is None:
                spill.probed_zones.add(zone)
            elif other < RISE_ABOVE and (
                own is None or own < RISE_ABOVE or other < BETTER_RATIO * own
            ):
                spill.zones.add(zone)
        if spill.approached_at is None:
            spill.probed_zones.clear()
        if not spill.zones:
            spill.share = _lower(spill.share, RETREAT_STEP)
        elif own is None or own < FALL_BELOW:
            spill.share = _lower(spill.share, FALL_STEP)
        elif own > RISE_ABOVE:
            spill.share = min(spill.share + RISE_STEP, MAXIMUM_SHARE)
        if spill.is_active:
            self._active[service] = spill
        else:
            self._active.pop(service, None)
        self._log_share(service, spill, own)

    def _log_share(self, service: str, spill: ServiceSpill, own: float | None) -> None:
        level = -int(-spill.share // LOGGED_SHARE)
        if level == spill.logged_share or self.journal is None:
            return
        change = (
            "changed"
            if level and spill.logged_share
            else ("started" if level else "ended")
        )
        spill.logged_share = level
        self.journal.count("spill", change)
        self.journal.event(
            f"spill_{change}",
            service=service,
            percent=round(100 * spill.share),
            zones=",".join(sorted(spill.zones)),
            p90_of_aim=None if own is None else round(own, 2),
        )


def _lower(share: float, step: float) -> float:
    # The sum of floating point steps must not leave a remainder.
    return share - step if share > 1.5 * step else 0.0
