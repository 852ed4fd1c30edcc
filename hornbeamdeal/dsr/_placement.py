"""Load balancing policies that choose the server of a new flow.

They compare this host's own recent placements and outstanding requests, which
needs neither messages nor probes. Hosts of a zone choose independently of each
other. `expected_wait` also uses estimates of the servers' speeds.
"""

import math
import random
from typing import Any, Protocol

from hornbeamdeal.kernel import (
    Between,
    create_plugin,
    register_plugin,
    validate_parameters,
)

from ._outstanding_requests import OutstandingRequests
from ._records import Server
from ._server_speeds import ServerSpeeds

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

    def describe(self, server: Server, now: float) -> dict[str, Any]:
        """Return for operators what the policy knows of a server."""

    def gauges(self, now: float) -> dict[str, float]:
        """Return the policy's gauges by name."""


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

    def describe(self, server: Server, now: float) -> dict[str, Any]:
        """Return nothing, as this policy learns nothing of servers."""
        return {}

    def gauges(self, now: float) -> dict[str, float]:
        """Return no gauges."""
        return {}

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


@register_plugin("placement", "expected_wait")
class ExpectedWait(LeastOutstanding):
    """Choose the server with the least expected wait.

    The wait is (outstanding requests + 1 + weighted recent placements) x slowness /
    slots. Where no candidate's slowness is outside the dead band, the choice is that of
    `least_outstanding` with the same seed.

    Within a zone, the 1 is replaced by a random number of mean 1 for each server. A host
    mostly has no outstanding requests at any server, and all hosts would choose the
    fastest one at once. With exponentially distributed numbers, a host without requests
    chooses each server in proportion to its speed (the least of several exponential
    variables).

    Parameters
    ----------
    server_speeds : ServerSpeeds
        Slowness of the servers.
    """

    __slots__ = ("server_speeds", "_slowness_by_id")

    def __init__(self, *, server_speeds: ServerSpeeds, **parameters):
        super().__init__(**parameters)
        self.server_speeds = server_speeds
        self._slowness_by_id: dict[str, float] = {}

    def choose(self, candidates: list[Server], now: float) -> Server:
        """Return one of the candidates."""
        found = self.server_speeds.slowness_by_id(now)
        is_uneven = found and any(s.server_id in found for s in candidates)
        self._slowness_by_id = found if is_uneven else {}
        return super().choose(candidates, now)

    def describe(self, server: Server, now: float) -> dict[str, Any]:
        """Return the server's slowness, its age and where it is from."""
        return self.server_speeds.describe(server.server_id, now)

    def gauges(self, now: float) -> dict[str, float]:
        """Return how many servers are slower and faster than the dead band."""
        slow, fast = self.server_speeds.count_slow_and_fast(now)
        return {"servers_slow": float(slow), "servers_fast": float(fast)}

    def _pick_least_loaded(self, servers: list[Server], now: float) -> Server:
        if not self._slowness_by_id:
            return super()._pick_least_loaded(servers, now)
        draw = self._random.random
        return min(servers, key=lambda s: self._wait(s, -math.log(1.0 - draw()), now))

    def _load(self, server: Server, now: float) -> float:
        if not self._slowness_by_id:
            return super()._load(server, now)
        return self._wait(server, 1.0, now)

    def _wait(self, server: Server, own_service: float, now: float) -> float:
        under_way = self.outstanding.count(server.server_id)
        placed = self.counts_.value(server.server_id, now)
        requests = under_way + own_service + RECENT_PLACEMENT_WEIGHT * placed
        slowness = self._slowness_by_id.get(server.server_id, 1.0)
        return requests * slowness / max(server.slots, 1)


def make_placement(name: str, **parameters) -> Placement:
    """Return a new placement policy by its registered name."""
    return create_plugin("placement", name, **parameters)
