"""Slow start of servers that are cold after their start or return.

A cold server bears few requests, and no host may ask another before it opens a flow.
So only a few home hosts of the server's zone open flows to it, each at a low rate.
"""

import math
import random
from collections.abc import Iterable

import xxhash

from hornbeamdeal.kernel import Between, validate_parameters

from ._arrival_bound import ArrivalBound
from ._catalog import Catalog
from ._records import Server

# Minimum interval between two openings from one home host. The part beyond a second
# covers differing delays on the way, which could squeeze two into one second.
HOME_INTERVAL_SECONDS = 1.25
# Share of the bound that the home hosts use. The rest is for hosts that take
# themselves for home hosts because their views of the members differ.
HOME_SHARE = 0.5
# A host that has just started knows only some members of its zone.
VIEW_SETTLE_SECONDS = 2.0
# Hosts of the zone seen within this time count as members for the majority below.
MEMBER_RETENTION_SECONDS = 60.0
# A host that has lost sight of half of its zone may itself be cut off, and the other
# hosts then have elected other home hosts.
MINIMUM_VIEW_SHARE = 0.5
# A lost host keeps its rank this long. If it is cut off, it opens flows until its own
# view has shrunk: nothing is declared dead for 17.5 s, then 20% of the members a second
# (docs/design/fleet.md), and its peers notice the loss after 3 s or more.
LOST_RANK_SECONDS = 20.0
# With a catalog older than this, a host that resumes after a pause may have missed the
# restart of any server. Openings that it can't place with such a catalog are dropped.
MISSED_RESTART_AGE_SECONDS = 2.0
# The first hosts by rank choose a warming server with a probability that grows to twice
# its share: one of few hosts in a zone could fill the server's queue alone. With 1 to 3
# hosts, 76 to 82 of 150 flows in the first second were shed otherwise.
GRADUAL_HOSTS = 3
NEVER = float("-inf")


class SlowStart:
    """Decides whether this host may open a flow to a cold or warming server.

    A server is cold for as long as its entry says, and all servers of a zone are for
    `cold_start_seconds` after the zone's evacuation has ended. Home hosts are the first
    of the zone's hosts by rendezvous hashing (Thaler and Ravishankar 1998). During
    `cold_start_seconds` after the cold time, the number of hosts that may choose the
    server grows to all of the zone: else every host would send its next flow to the
    server without requests.

    Parameters
    ----------
    catalog : Catalog
        Servers, their cold times and the returned zones.
    host_id : str
        Identifier of this host.
    zone : str
        Availability zone of this host.
    overage : float or None
        Bound of openings in any second as a multiple of what a cold server bears.
        Slow start is off if None.
    slack : float
        Openings in any second beyond that multiple.
    arrivals : ArrivalBound or None
        Says since when this host has kept up with its packets.
    random_state : int or None
        Seed of the random choices during a warm-up.
    """

    __slots__ = (
        "arrivals",
        "catalog",
        "host_id",
        "overage",
        "slack",
        "zone",
        "_first_view_at",
        "_hosts",
        "_lost_at_by_host",
        "_lost_check_at",
        "_opened_at_by_id",
        "_openings_check_at",
        "_random",
        "_ranked_hosts",
        "_ranks_by_id",
    )

    def __init__(
        self,
        *,
        catalog: Catalog,
        host_id: str,
        zone: str,
        overage: float | None = None,
        slack: float = 0.0,
        arrivals: ArrivalBound | None = None,
        random_state: int | None = None,
    ):
        self.arrivals = arrivals or ArrivalBound()
        self.catalog = catalog
        self.host_id = host_id
        self.zone = zone
        self.overage = overage
        self.slack = slack
        self._first_view_at: float | None = None
        self._hosts: frozenset[str] = frozenset()
        self._lost_at_by_host: dict[str, float] = {}
        self._lost_check_at = math.inf
        self._opened_at_by_id: dict[str, float] = {}
        self._openings_check_at = NEVER
        self._random = random.Random(random_state)
        self._ranked_hosts: frozenset[str] = frozenset()
        self._ranks_by_id: dict[str, int] = {}
        validate_parameters(self, {"slack": Between(0, 1_000_000)})

    @property
    def is_enabled(self) -> bool:
        """Return whether the settings bound new flows to cold servers."""
        return self.overage is not None

    @property
    def has_view(self) -> bool:
        """Return whether the zone's hosts were set."""
        return self._first_view_at is not None

    def set_zone_hosts(
        self, host_ids: Iterable[str], now: float, leaving: Iterable[str] = ()
    ) -> None:
        """Set the live hosts of this host's zone, and those that stop as planned."""
        if self._first_view_at is None:
            self._first_view_at = now
        hosts = frozenset(host_ids)
        lost = dict.fromkeys(self._hosts - hosts, now) | self._lost_at_by_host
        known = hosts.union(leaving)
        self._hosts = hosts
        self._lost_at_by_host = {h: at for h, at in lost.items() if h not in known}
        self._forget_lost(now)

    def permitted(
        self, service: str, servers: list[Server], now: float
    ) -> list[Server]:
        """Return the servers of a service to which this host may open a flow now."""
        if self._may_have_missed_restarts(now):
            return [s for s in servers if self.permits(s, now)]
        if not self._may_limit(service, now):
            return servers
        until_by_id = self.catalog.cold_times.until_by_id
        if self._latest_return() + self._warm_up_seconds(service) > now:
            return [s for s in servers if self.permits(s, now)]
        return [
            s
            for s in servers
            if until_by_id.get(s.server_id, NEVER) <= now or self._has_budget(s, now)
        ]

    def permits(self, server: Server, now: float) -> bool:
        """Return whether this host may open a flow to a server now."""
        if self._may_have_missed_restarts(now) and self._opened_recently(server, now):
            return False
        return not self.is_cold(server, now) or self._has_budget(server, now)

    def without_warming(self, servers: list[Server], now: float) -> list[Server]:
        """Return the servers that this host considers for a flow to one service."""
        if not servers or not self._may_limit(servers[0].service, now):
            return servers
        warm_up = self._warm_up_seconds(servers[0].service)
        return [
            s
            for s in servers
            if not 0 <= (elapsed := now - self._cold_until(s)) < warm_up
            or self._takes_turn(s, elapsed / warm_up / len(servers), now)
        ]

    def _takes_turn(self, server: Server, share: float, now: float) -> bool:
        """Return whether this host considers a warming server for a flow.

        `share` is the server's share of the flows, times the elapsed part of the warm-up.
        """
        if self.is_warming(server, now):
            return False
        if self._rank(server) >= max(GRADUAL_HOSTS, self._home_host_count(server)):
            return True
        return self._random.random() < 2 * share

    def is_warming(self, server: Server, now: float) -> bool:
        """Return whether this host should still prefer other servers."""
        if not self.is_enabled:
            return False
        cold_until = self._cold_until(server)
        warm_up = self._warm_up_seconds(server.service)
        if now < cold_until or now >= cold_until + warm_up:
            return False
        if not self._is_home_zone(server, now):
            return True
        home_hosts = self._home_host_count(server)
        growth = (len(self._hosts) - home_hosts) * (now - cold_until) / warm_up
        return self._rank(server) >= home_hosts + growth

    def is_cold(self, server: Server, now: float) -> bool:
        """Return whether a server is cold."""
        return self.is_enabled and now < self._cold_until(server)

    def record_opening(self, server: Server, departs_at: float) -> None:
        """Record an opening packet that leaves this host at a monotonic time.

        Openings to warm servers are recorded too, since the server may have restarted
        without this host knowing.
        """
        if not self.is_enabled:
            return
        if departs_at >= self._openings_check_at:
            self._openings_check_at = departs_at + HOME_INTERVAL_SECONDS
            self._opened_at_by_id = {
                server_id: at
                for server_id, at in self._opened_at_by_id.items()
                if departs_at - at < HOME_INTERVAL_SECONDS
            }
        self._opened_at_by_id[server.server_id] = departs_at

    def _may_limit(self, service: str, now: float) -> bool:
        """Return whether any server may be cold or warming up."""
        if not self.is_enabled:
            return False
        warm_up = self._warm_up_seconds(service)
        cold_until = max(
            self.catalog.cold_times.latest_until, self._latest_return() + warm_up
        )
        return now < cold_until + warm_up

    def _latest_return(self) -> float:
        evacuations = self.catalog.evacuations
        zones = evacuations.records_by_zone
        return max(map(evacuations.returned_at, zones), default=NEVER)

    def _cold_until(self, server: Server) -> float:
        cold_until = self.catalog.cold_times.until(server.server_id)
        returned_at = self.catalog.evacuations.returned_at(server.zone)
        if returned_at == NEVER:
            return cold_until
        return max(cold_until, returned_at + self._warm_up_seconds(server.service))

    def _warm_up_seconds(self, service_name: str) -> float:
        service = self.catalog.find_service(service_name)
        return service.cold_start_seconds if service else 0.0

    def _has_budget(self, server: Server, now: float) -> bool:
        """Return whether this host is a home host and may send an opening packet.

        After a pause, a packet counted before may have left just now.
        """
        if not self._is_home_zone(server, now):
            return False
        if self._has_resumed(now) or self._opened_recently(server, now):
            return False
        return self._rank(server) < self._home_host_count(server)

    def _opened_recently(self, server: Server, now: float) -> bool:
        opened_at = self._opened_at_by_id.get(server.server_id, NEVER)
        return now - opened_at < HOME_INTERVAL_SECONDS

    def _has_resumed(self, now: float) -> bool:
        return now - self.arrivals.resumed_at < HOME_INTERVAL_SECONDS

    def _may_have_missed_restarts(self, now: float) -> bool:
        """Return whether this host resumes with a catalog that is old."""
        is_old = self.catalog.age(now) > MISSED_RESTART_AGE_SECONDS
        return is_old and self.is_enabled and self._has_resumed(now)

    def _home_host_count(self, server: Server) -> int:
        """Return how many hosts may open flows to a cold server."""
        service = self.catalog.find_service(server.service)
        cold_per_second = service.cold_requests_per_second if service else 0.0
        bound = cold_per_second * self.overage + self.slack
        if bound < 1:
            return 0
        return max(1, math.floor(HOME_SHARE * bound))

    def _is_home_zone(self, server: Server, now: float) -> bool:
        """Return whether this host's view suffices to be a home host of a server."""
        if server.zone != self.zone or self._first_view_at is None:
            return False
        if now >= self._lost_check_at:
            self._forget_lost(now)
        if now - self._first_view_at < VIEW_SETTLE_SECONDS:
            return False
        known = len(self._hosts) + len(self._lost_at_by_host)
        has_majority = len(self._hosts) >= MINIMUM_VIEW_SHARE * known
        return has_majority and self.host_id in self._hosts

    def _forget_lost(self, now: float) -> None:
        """Update the ranks, and drop hosts that were lost long ago."""
        lost = self._lost_at_by_host
        lost = {h: at for h, at in lost.items() if now - at < MEMBER_RETENTION_SECONDS}
        self._lost_at_by_host = lost
        ranked = {h for h, at in lost.items() if now - at < LOST_RANK_SECONDS}
        self._update_ranks(self._hosts | ranked)
        self._lost_check_at = min(
            (
                at + (LOST_RANK_SECONDS if h in ranked else MEMBER_RETENTION_SECONDS)
                for h, at in lost.items()
            ),
            default=math.inf,
        )

    def _update_ranks(self, hosts: frozenset[str]) -> None:
        """Adjust the known ranks, which costs less than computing them anew."""
        added, removed = hosts - self._ranked_hosts, self._ranked_hosts - hosts
        self._ranked_hosts = hosts
        servers_by_id = self.catalog.servers_by_id
        self._ranks_by_id = {
            server_id: rank
            + self._count_above(server_id, added)
            - self._count_above(server_id, removed)
            for server_id, rank in self._ranks_by_id.items()
            if server_id in servers_by_id
        }

    def _rank(self, server: Server) -> int:
        """Return this host's place among the zone's hosts for a server, from 0."""
        server_id = server.server_id
        rank = self._ranks_by_id.get(server_id)
        if rank is None:
            rank = self._count_above(server_id, self._ranked_hosts)
            self._ranks_by_id[server_id] = rank
        return rank

    def _count_above(self, server_id: str, host_ids: Iterable[str]) -> int:
        """Return how many of the hosts rank before this host for a server."""
        own = _weight(self.host_id, server_id)
        return sum(_weight(h, server_id) > own for h in host_ids if h != self.host_id)


def _weight(host_id: str, server_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{host_id}/{server_id}".encode())
