"""Components of a host that differ between the variants of the benchmark."""

import random

from hornbeamdeal.dsr import (
    AnswerTimes,
    Catalog,
    OutstandingRequests,
    OverloadAdmission,
    ServerHealth,
    ServerSpeeds,
    SpeedExchange,
    ZoneSpill,
    make_placement,
)

# A placement, then components of section 4 of docs/load-and-zones.md.
VARIANTS = (
    "random",
    "least_outstanding",
    "expected_wait",
    "least_outstanding+overload",
    "least_outstanding+spill",
    "expected_wait+overload+spill",
)


class RandomPlacement:
    """Baseline that chooses any server of the host's zone, or of all if it has none."""

    def __init__(self, zone: str, random_state: int):
        self.zone = zone
        self._random = random.Random(random_state)

    def choose(self, candidates, now):
        local = [server for server in candidates if server.zone == self.zone]
        return self._random.choice(local or candidates)

    def record_placement(self, server, now):
        pass


class Components:
    """Placement, admission and observers of answers of one host."""

    def __init__(
        self, variant: str, zone: str, health: ServerHealth, journal, seed: int
    ):
        placement, *others = variant.split("+")
        self.journal, self.admission, self.observers = journal, None, []
        self.outstanding = OutstandingRequests()
        self.speeds: ServerSpeeds | None = None
        parameters = {"outstanding": self.outstanding}
        if placement == "expected_wait":
            self.speeds = parameters["server_speeds"] = ServerSpeeds(journal=journal)
            self.observers.append(self.speeds)
        if placement == "random":
            self.placement = RandomPlacement(zone, seed)
        else:
            self.placement = make_placement(
                placement, zone=zone, random_state=seed, **parameters
            )
        self.spill: ZoneSpill | None = None
        times = AnswerTimes(arrivals=health.arrivals, is_out=health.is_out)
        shared = {"answer_times": times, "journal": journal, "random_state": seed}
        if others:
            self.observers.append(times)
        if "spill" in others:
            self.spill = ZoneSpill(zone=zone, **shared)
            self.observers.append(self.spill)
        if "overload" in others:
            self.admission = OverloadAdmission(zone_spill=self.spill, **shared)
            self.observers.append(self.admission)

    def make_exchange(self, catalog: Catalog) -> SpeedExchange | None:
        """Return the exchange of speeds with peers, if the variant has speeds."""
        if self.speeds is None:
            return None
        return SpeedExchange(
            server_speeds=self.speeds, catalog=catalog, journal=self.journal
        )
