"""Load balancing policies that choose the server of a new flow.

They compare this host's own recent placements and outstanding requests, which
needs neither messages nor probes. Hosts of a zone choose independently of each
other.
"""

import math
import random
from typing import Protocol

from hornbeamdeal.kernel import (
    Between,
    create_plugin,
    register_plugin,
    validate_parameters,
)

from ._outstanding_requests import OutstandingRequests
from ._records import Server

# Half-life of a placement's weight, the duration of several requests.
HALF_LIFE_SECONDS = 2.0
# Lead in load by which a server of another zone is chosen instead of a local one.
# Traffic between zones costs money, and a partitioned zone can't be reached.
ZONE_SLACK = 2.0
# Weight of a recent placement relative to an outstanding request.
RECENT_PLACEMENT_WEIGHT = 0.25
# Counts below this no longer affect a choice and are dropped.
NEGLIGIBLE_COUNT = 0.01
# Number of counts from which on negligible ones are swept.
MINIMUM_SWEEP_SIZE = 64


class Placement(Protocol):
    """Chooses the server of a new flow."""

    def choose(self, candidates: list[Server], now: float) -> Server:
        """Return one of the candidates, of which there is at least one."""

    def record_placement(self, server: Server, now: float) -> None:
        """Record a new flow placed on a server."""


class DecayingCounts:
    """Counts by server that decay exponentially and are dropped when negligible."""

    __slots__ = ("_counts_by_id", "_sweep_size")

    def __init__(self):
        self._counts_by_id: dict[str, tuple[float, float]] = {}
        self._sweep_size = MINIMUM_SWEEP_SIZE

    def __len__(self) -> int:
        return len(self._counts_by_id)

    def add(self, server_id: str, now: float) -> None:
        """Add one to a server's count."""
        self._counts_by_id[server_id] = (self.value(server_id, now) + 1.0, now)
        if len(self) > self._sweep_size:
            self._drop_negligible(now)

    def value(self, server_id: str, now: float) -> float:
        """Return a server's count decayed to monotonic time `now`."""
        count, at = self._counts_by_id.get(server_id, (0.0, now))
        return count * math.exp2((at - now) / HALF_LIFE_SECONDS)

    def _drop_negligible(self, now: float) -> None:
        for server_id in list(self._counts_by_id):
            if self.value(server_id, now) < NEGLIGIBLE_COUNT:
                del self._counts_by_id[server_id]
        self._sweep_size = max(MINIMUM_SWEEP_SIZE, 2 * len(self))


@register_plugin("placement", "two_choices")
class TwoChoices:
    """Choose the less loaded of two random servers (Mitzenmacher 2001).

    Parameters
    ----------
    zone : str
        Availability zone of this host, whose servers are preferred.
    zone_slack : float
        Difference in load above which a server of another zone is chosen.
    random_state : int or None
        Seed of the random choices.
    """

    __slots__ = ("random_state", "zone", "zone_slack", "counts_", "_random")

    def __init__(
        self,
        *,
        zone: str,
        zone_slack: float = ZONE_SLACK,
        random_state: int | None = None,
    ):
        self.zone = zone
        self.zone_slack = zone_slack
        self.random_state = random_state
        self.counts_ = DecayingCounts()
        self._random = random.Random(random_state)
        validate_parameters(self, {"zone_slack": Between(0, 1_000_000)})

    def choose(self, candidates: list[Server], now: float) -> Server:
        """Return one of the candidates."""
        local = [server for server in candidates if server.zone == self.zone]
        local_best = self._pick_least_loaded(local, now) if local else None
        remote = [server for server in candidates if server.zone != self.zone]
        if not remote:
            return local_best
        remote_best = self._pick_least_loaded(remote, now)
        if local_best is None:
            return remote_best
        difference = self._load(local_best, now) - self._load(remote_best, now)
        return remote_best if difference > self.zone_slack else local_best

    def record_placement(self, server: Server, now: float) -> None:
        """Count a placement."""
        self.counts_.add(server.server_id, now)

    def _pick_least_loaded(self, servers: list[Server], now: float) -> Server:
        sample = self._random.sample(servers, min(2, len(servers)))
        return min(sample, key=lambda server: self._load(server, now))

    def _load(self, server: Server, now: float) -> float:
        return self.counts_.value(server.server_id, now) / max(server.slots, 1)


@register_plugin("placement", "fewest_placed")
class FewestPlaced(TwoChoices):
    """Choose the server with the fewest recent placements per slot.

    All servers of the zone are compared, so that one host's placements differ by
    at most one between servers, as in round robin.
    """

    __slots__ = ()

    def _pick_least_loaded(self, servers: list[Server], now: float) -> Server:
        start = self._random.randrange(len(servers))
        rotated = servers[start:] + servers[:start]
        return min(rotated, key=lambda server: self._load(server, now))


@register_plugin("placement", "least_outstanding")
class LeastOutstanding(FewestPlaced):
    """Choose the server with the fewest outstanding requests per slot.

    Recent placements have a small weight, so that servers without outstanding
    requests take turns.

    Parameters
    ----------
    outstanding : OutstandingRequests
        Outstanding requests as seen by this host.
    """

    __slots__ = ("outstanding",)

    def __init__(self, *, outstanding: OutstandingRequests, **parameters):
        super().__init__(**parameters)
        self.outstanding = outstanding

    def _load(self, server: Server, now: float) -> float:
        under_way = self.outstanding.count(server.server_id)
        placed = self.counts_.value(server.server_id, now)
        return (under_way + RECENT_PLACEMENT_WEIGHT * placed) / max(server.slots, 1)


def make_placement(name: str, **parameters) -> Placement:
    """Return a new placement policy by its registered name."""
    return create_plugin("placement", name, **parameters)
