"""Takes a host out of rotation that reaches no server for new flows."""

from ._base import Journal
from ._catalog import Catalog
from ._server_health import ServerHealth

# Hosts hear several messages a second from each zone, and routers need a second more
# to leave a host out.
SILENCE_SECONDS = 1.5
# A host without flows can't notice that servers answer again, only hear hosts.
MAXIMUM_WITHDRAWAL_SECONDS = 60.0


class ZoneReach:
    """Decides whether routers should leave this host out, as its links have failed.

    Routers may still reach a host that is cut off from the servers: one whose own link
    fails, or each host of an evacuated zone that is cut off from the others. If they
    leave it out, hosts that reach servers get the callers' packets.

    A zone is out of reach if for `SILENCE_SECONDS` no host of it was heard and no server
    of it seen alive, while one of its servers left openings unanswered. Servers alone may
    have crashed or be full, hosts alone may have stopped.

    Parameters
    ----------
    catalog : Catalog
        Servers in force and the zones that take new flows.
    server_health : ServerHealth
        When servers were seen alive.
    journal : Journal
        Receives log events and counters.

    Attributes
    ----------
    is_withdrawn_ : bool
        Whether routers should send no packets to this host.
    """

    __slots__ = (
        "catalog",
        "is_withdrawn_",
        "journal",
        "server_health",
        "_changed_at",
        "_heard_at_by_zone",
    )

    def __init__(
        self, *, catalog: Catalog, server_health: ServerHealth, journal: Journal
    ):
        self.catalog = catalog
        self.server_health = server_health
        self.journal = journal
        self.is_withdrawn_ = False
        self._changed_at = float("-inf")
        self._heard_at_by_zone: dict[str, float] = {}

    def record_message(self, zone: str, now: float) -> None:
        """Record a message from another host of a zone."""
        self._heard_at_by_zone[zone] = now

    def update(self, now: float) -> None:
        """Withdraw this host or return it to rotation, and log the change."""
        is_expired = now - self._changed_at >= MAXIMUM_WITHDRAWAL_SECONDS
        if self.is_withdrawn_ and is_expired:
            self._change(False, "expired", now)
            return
        is_cut_off = self._is_cut_off(now)
        if is_cut_off != self.is_withdrawn_:
            self._change(is_cut_off, "cut_off" if is_cut_off else "in_reach", now)

    def _change(self, is_withdrawn: bool, reason: str, now: float) -> None:
        self.is_withdrawn_ = is_withdrawn
        self._changed_at = now
        name = "readiness_withdrawn" if is_withdrawn else "readiness_returned"
        self.journal.count("readiness_changes", name)
        self.journal.event(
            name,
            reason=reason,
            zones=",".join(sorted(self.catalog.accepting_zones)),
            silence_ms=self._silence_ms(now),
        )

    def _is_cut_off(self, now: float) -> bool:
        zones = self.catalog.accepting_zones
        if not zones:
            return False
        # Most zones are heard, so that the servers are rarely looked at.
        if any(self._is_heard(zone, now) for zone in zones):
            return False
        return all(self._has_silent_servers(zone, now) for zone in zones)

    def _is_heard(self, zone: str, now: float) -> bool:
        """Return whether a host of a zone was heard, or might have been meanwhile."""
        heard_at = self._heard_at_by_zone.get(zone)
        if heard_at is None:
            return True
        returned_at = float("-inf") if self.is_withdrawn_ else self._changed_at
        resumed_at = self.server_health.arrivals.resumed_at
        return now - max(heard_at, returned_at, resumed_at) < SILENCE_SECONDS

    def _has_silent_servers(self, zone: str, now: float) -> bool:
        """Return whether no server of a zone answers, and some should have."""
        health = self.server_health
        servers = self.catalog.servers_by_id.values()
        server_ids = [server.server_id for server in servers if server.zone == zone]
        if any(now - health.progress_at(i) < SILENCE_SECONDS for i in server_ids):
            return False
        return any(health.is_out(i) for i in server_ids)

    def _silence_ms(self, now: float) -> int:
        heard_at = [
            self._heard_at_by_zone.get(zone, now)
            for zone in self.catalog.accepting_zones
        ]
        return round(1000 * (now - max(heard_at, default=now)))
