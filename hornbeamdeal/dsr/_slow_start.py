"""Slow start of servers that are cold after their start or return.

A cold server bears few requests, and no host may ask another before it opens a flow.
So only a few home hosts of the server's zone open flows to it, each at a low rate.
"""

import math
from collections.abc import Iterable

import xxhash

from hornbeamdeal.kernel import Between, validate_parameters

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
# Last openings are kept for servers; older ones are dropped beyond this number.
MAXIMUM_OPENINGS = 256


class SlowStart:
    """Decides whether this host may open a flow to a cold or warming server.

    A server is cold for as long as its entry says, and all servers of a zone are after
    the zone's evacuation has ended. Home hosts are the first of the zone's hosts by
    rendezvous hashing (Thaler and Ravishankar 1998). For as long again after the cold
    time, the number of hosts that may choose the server grows to all of the zone:
    else every host would send its next flow to the server without requests.

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
    """

    __slots__ = (
        "catalog",
        "host_id",
        "overage",
        "slack",
        "zone",
        "_first_view_at",
        "_hosts",
        "_opened_at_by_id",
        "_ranks_by_id",
        "_seen_at_by_host",
    )

    def __init__(
        self,
        *,
        catalog: Catalog,
        host_id: str,
        zone: str,
        overage: float | None = None,
        slack: float = 0.0,
    ):
        self.catalog = catalog
        self.host_id = host_id
        self.zone = zone
        self.overage = overage
        self.slack = slack
        self._first_view_at: float | None = None
        self._hosts: tuple[str, ...] = ()
        self._opened_at_by_id: dict[str, float] = {}
        self._ranks_by_id: dict[str, int] = {}
        self._seen_at_by_host: dict[str, float] = {}
        validate_parameters(self, {"slack": Between(0, 1_000_000)})

    @property
    def is_enabled(self) -> bool:
        """Return whether the settings bound new flows to cold servers."""
        return self.overage is not None

    def set_zone_hosts(self, host_ids: Iterable[str], now: float) -> None:
        """Set the live hosts of this host's zone, this host included."""
        if self._first_view_at is None:
            self._first_view_at = now
        self._hosts = tuple(sorted(host_ids))
        self._ranks_by_id.clear()
        self._seen_at_by_host.update(dict.fromkeys(self._hosts, now))
        self._seen_at_by_host = {
            host: at
            for host, at in self._seen_at_by_host.items()
            if now - at < MEMBER_RETENTION_SECONDS
        }

    def permits(self, server: Server, now: float) -> bool:
        """Return whether this host may open a flow to a server now."""
        if not self.is_enabled or now >= self._cold_until(server):
            return True
        home_hosts = self._home_host_count(server)
        if not self._is_home_zone(server, now) or self._rank(server) >= home_hosts:
            return False
        opened_at = self._opened_at_by_id.get(server.server_id, float("-inf"))
        return now - opened_at >= HOME_INTERVAL_SECONDS

    def is_warming(self, server: Server, now: float) -> bool:
        """Return whether this host should still prefer other servers."""
        if not self.is_enabled:
            return False
        cold_until = self._cold_until(server)
        warm_up = self._warm_up_seconds(server)
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

    def record_opening(self, server: Server, now: float) -> None:
        """Record an opening packet sent to a server."""
        if not self.is_cold(server, now):
            return
        if len(self._opened_at_by_id) >= MAXIMUM_OPENINGS:
            self._opened_at_by_id = {
                server_id: at
                for server_id, at in self._opened_at_by_id.items()
                if now - at < HOME_INTERVAL_SECONDS
            }
        self._opened_at_by_id[server.server_id] = now

    def _cold_until(self, server: Server) -> float:
        returned_at = self.catalog.evacuations.returned_at(server.zone)
        return max(
            self.catalog.cold_until(server.server_id),
            returned_at + self._warm_up_seconds(server),
        )

    def _warm_up_seconds(self, server: Server) -> float:
        service = self.catalog.find_service(server.service)
        return service.cold_start_seconds if service else 0.0

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
        if now - self._first_view_at < VIEW_SETTLE_SECONDS:
            return False
        return len(self._hosts) >= MINIMUM_VIEW_SHARE * len(self._seen_at_by_host)

    def _rank(self, server: Server) -> int:
        """Return this host's place among the zone's hosts for a server, from 0."""
        rank = self._ranks_by_id.get(server.server_id)
        if rank is None:
            own = self._weight(self.host_id, server)
            others = (self._weight(h, server) for h in self._hosts if h != self.host_id)
            rank = sum(weight > own for weight in others)
            self._ranks_by_id[server.server_id] = rank
        return rank

    @staticmethod
    def _weight(host_id: str, server: Server) -> int:
        return xxhash.xxh64_intdigest(f"{host_id}/{server.server_id}".encode())
