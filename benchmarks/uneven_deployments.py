"""Deployments, cases and timeline of the benchmark of uneven load."""

import math
from dataclasses import dataclass

EVENT_AT_SECONDS = 5.0  # the burst or failure begins
EVENT_SECONDS = 8.0
END_SECONDS = 19.0  # no request is asked later
SWING_PERIOD_SECONDS = 26.0  # demand rises and falls for 13 s each
CALLERS = 240
# A tenth of the callers asks for everything above normal demand in the burst "few".
FEW_CALLERS_SHARE = 0.1
SLOTS = 2
# docs/load-and-zones.md tells flows with many requests, but not how many.
REQUESTS_PER_LONG_FLOW = 25


@dataclass(frozen=True, slots=True)
class Kind:
    """Requests of one kind; times are in seconds, `work` is the range at speed 1."""

    name: str
    rate: float
    work: tuple[float, float]
    aim: float
    timeout: float
    service: str = "main"
    priority: int = 0
    requests_per_flow: int = 1


@dataclass(frozen=True, slots=True)
class Deployment:
    """Hosts, demand and servers of one deployment, spread evenly over zones."""

    hosts: int
    zones: int
    kinds: tuple[Kind, ...]
    speeds: tuple[float, ...] = (1.0,)
    long_share: float = 0.0  # of requests that take seven times as long
    swing: float = 0.0  # of demand around its mean
    is_uneven: bool = False  # one zone has half of all callers
    servers_by_service: tuple[tuple[str, int], ...] = (("main", 60), ("bulk", 15))


def _kinds(reads, writes, bulk, bulk_name, writes_per_flow, aims, timeouts):
    """Return the kinds; the page gives ranges of work times, priorities are chosen."""
    long = REQUESTS_PER_LONG_FLOW
    return (
        Kind("safe", reads, (0.019, 0.040), aims[0], timeouts[0], "main", 1, long),
        Kind(
            "unsafe", writes, (0.025, 0.052), aims[0], timeouts[0], "main", 0,
            writes_per_flow,
        ),
        Kind(bulk_name, bulk, (0.004, 0.005), aims[1], timeouts[1], "bulk", 2),
    )  # fmt: skip


DEPLOYMENTS = {
    "tandem": Deployment(
        82, 3, _kinds(433, 214, 37, "upload", 1, (0.326, 0.872), (2.3, 6.5))
    ),
    "swancoast": Deployment(
        89, 4, _kinds(656, 188, 56, "download", 25, (0.390, 1.1), (2.75, 7.7))
    ),
    "kildevang": Deployment(
        71,
        3,
        _kinds(578, 165, 49.5, "download", 1, (0.453, 1.345), (3.2, 9.0)),
        speeds=(0.6, 1.0, 1.6),
        long_share=0.03,
        swing=0.55,
        is_uneven=True,
    ),
    # A fifth of kildevang, for the short cases.
    "small": Deployment(
        14,
        3,
        _kinds(116, 33, 10, "download", 1, (0.453, 1.345), (3.2, 9.0)),
        speeds=(0.6, 1.0, 1.6),
        long_share=0.03,
        swing=0.55,
        is_uneven=True,
        servers_by_service=(("main", 12), ("bulk", 3)),
    ),
}


@dataclass(frozen=True, slots=True)
class Case:
    """One run: `burst` is a kind, "all", or "few"; `hosts` 0 is the deployment's.

    `sheds` is "reset" if servers shed by a reset, of which hosts see nothing, and "answer"
    if by an error that callers acknowledge like an answer.
    """

    deployment: str
    variant: str
    factor: float
    burst: str
    demand: str
    failure: str
    hosts: int
    sheds: str
    seed: int

    @property
    def is_uneven(self) -> bool:
        """Return whether one zone has half of all callers."""
        return self.demand == "uneven" or (
            self.demand == "usual" and DEPLOYMENTS[self.deployment].is_uneven
        )

    def demand_factor(self, kind: Kind, now: float) -> float:
        """Return the demand for a kind as a multiple of its mean rate."""
        swing = DEPLOYMENTS[self.deployment].swing
        demand = 1 + swing * math.sin(2 * math.pi * now / SWING_PERIOD_SECONDS)
        is_hit = self.burst in ("all", "few", kind.name)
        return demand * (self.factor if is_hit and is_event(now) else 1.0)


def is_event(now: float) -> bool:
    """Return whether the burst or failure is under way."""
    return EVENT_AT_SECONDS <= now < EVENT_AT_SECONDS + EVENT_SECONDS
