"""One host's replica of the routes and servers, and its age."""

from ._records import Route, RouteTable, Server, Update

# Servers whose entries expired during an outage of the store register again
# within two seconds of its return; the third second covers propagation to all hosts.
REREGISTRATION_SECONDS = 3.0
# Default maximum duration of a flow.
FLOW_LIFETIME_SECONDS = 60.0
# Removed servers are kept for the flow lifetime plus this margin.
RETENTION_MARGIN_SECONDS = 10.0


class Removal:
    """A server whose entry was removed from the store.

    `removed_at` is in monotonic seconds. `is_known_dead` is set if health checks
    had found the server dead before its entry was removed.
    """

    __slots__ = ("is_known_dead", "removed_at", "revision", "server")

    def __init__(self, server: Server, revision: int, removed_at: float):
        self.is_known_dead = False
        self.server = server
        self.revision = revision
        self.removed_at = removed_at


class Catalog:
    """Routes and servers in force on one host.

    Neither the configuration version nor the revision of a server's entry ever
    decreases. Where two listed servers share a handle, later packets can't
    distinguish them, so only the first by identifier gets new flows.

    Parameters
    ----------
    flow_lifetime : float
        Maximum duration of a flow in seconds.

    Attributes
    ----------
    revision : int
        Store revision up to which all changes are applied; 0 before the first.
    confirmed_at : float
        Monotonic time at which the store was known to hold nothing newer.
    """

    __slots__ = (
        "confirmed_at",
        "flow_lifetime",
        "servers_by_handle",
        "removals_by_id",
        "revision",
        "routes",
        "servers_by_id",
        "_accepting_servers_by_service",
        "_removed_revisions_by_id",
    )

    def __init__(self, *, flow_lifetime: float = FLOW_LIFETIME_SECONDS):
        self.flow_lifetime = flow_lifetime
        self.revision = 0
        self.confirmed_at = float("-inf")
        self.routes: RouteTable | None = None
        self.servers_by_id: dict[str, Server] = {}
        self.removals_by_id: dict[str, Removal] = {}
        self.servers_by_handle: dict[int, Server] = {}
        self._accepting_servers_by_service: dict[str, list[Server]] = {}
        # Revision and time of each removal, including servers never listed here.
        self._removed_revisions_by_id: dict[str, tuple[int, float]] = {}

    @property
    def is_complete(self) -> bool:
        """Return whether a configuration and the servers are loaded."""
        return self.routes is not None and self.revision > 0

    def age(self, now: float) -> float:
        """Return the seconds since the catalog was last known to be current."""
        return now - self.confirmed_at

    def find_route(self, address_key: bytes) -> Route | None:
        """Return the route for an address, or None if there is none."""
        return self.routes.routes_by_key.get(address_key) if self.routes else None

    def accepting_servers(self, service: str) -> list[Server]:
        """Return the servers of a service that take new flows."""
        return self._accepting_servers_by_service.get(service, [])

    def is_gone(self, server: Server, now: float) -> bool:
        """Return whether a removed server's flows are certainly lost.

        Either the server was known to be dead when its entry was removed, or the
        store has been read since the removal, late enough that a live server
        would have registered again.
        """
        removal = self.removals_by_id.get(server.server_id)
        if removal is None or server.server_id in self.servers_by_id:
            return False
        missing_seconds = self.confirmed_at - removal.removed_at
        return removal.is_known_dead or missing_seconds >= REREGISTRATION_SECONDS

    def mark_dead(self, server_id: str) -> None:
        """Record that a removed server was dead before its entry was removed."""
        removal = self.removals_by_id.get(server_id)
        if removal is not None:
            removal.is_known_dead = True

    def gone_ids(self, now: float) -> set[str]:
        """Return the ids of removed servers whose flows are certainly lost."""
        removals_by_id = self.removals_by_id.items()
        return {i for i, removal in removals_by_id if self.is_gone(removal.server, now)}

    def can_apply(self, update: Update) -> bool:
        """Return whether the update's base revision is known here."""
        return update.base_revision is None or update.base_revision <= self.revision

    def apply(self, update: Update, now: float) -> list[tuple[str, Server]]:
        """Apply newer changes; return pairs of "listed" or "removed" and the server."""
        changes = []
        for server in update.servers:
            if self._add_server(server):
                changes.append(("listed", server))
        for server_id, revision in self._removals_of(update).items():
            removed = self._remove_server(server_id, revision, now)
            if removed is not None:
                changes.append(("removed", removed))
        if update.routes is not None:
            self._update_routes(update.routes)
        self.revision = max(self.revision, update.revision)
        if changes or update.routes is not None:
            self._rebuild_indexes(now)
        return changes

    def confirm(self, at: float) -> None:
        """Record that the store held nothing newer at this monotonic time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def as_update(self) -> Update:
        """Return a full copy of the catalog for another host."""
        return Update(
            base_revision=None,
            revision=self.revision,
            servers=list(self.servers_by_id.values()),
            routes=self.routes,
        )

    def _removals_of(self, update: Update) -> dict[str, int]:
        removed = dict(update.removed)
        if update.base_revision is None:
            listed = {server.server_id for server in update.servers}
            for server_id, known in self.servers_by_id.items():
                if server_id not in listed and known.revision <= update.revision:
                    removed.setdefault(server_id, update.revision)
        return removed

    def _add_server(self, server: Server) -> bool:
        known = self.servers_by_id.get(server.server_id)
        if known is not None and known.revision >= server.revision:
            return False
        removed_revision, _ = self._removed_revisions_by_id.get(
            server.server_id, (0, 0)
        )
        if removed_revision >= server.revision:
            return False
        self.removals_by_id.pop(server.server_id, None)
        self.servers_by_id[server.server_id] = server
        return True

    def _remove_server(
        self, server_id: str, revision: int, now: float
    ) -> Server | None:
        known = self.servers_by_id.get(server_id)
        if known is not None and known.revision > revision:
            return None
        # Updates may arrive out of order, a removal even before the server's listing.
        last, _ = self._removed_revisions_by_id.get(server_id, (0, now))
        self._removed_revisions_by_id[server_id] = (max(last, revision), now)
        if known is None:
            return None
        del self.servers_by_id[server_id]
        self.removals_by_id[server_id] = Removal(known, revision, now)
        return known

    def _update_routes(self, routes: RouteTable) -> None:
        if self.routes is None or routes.version > self.routes.version:
            self.routes = routes

    def _rebuild_indexes(self, now: float) -> None:
        retention = self.flow_lifetime + RETENTION_MARGIN_SECONDS
        for server_id, removal in list(self.removals_by_id.items()):
            if now - removal.removed_at > retention:
                del self.removals_by_id[server_id]
        self._removed_revisions_by_id = {
            server_id: (revision, at)
            for server_id, (revision, at) in self._removed_revisions_by_id.items()
            if now - at <= retention
        }
        gone = [removal.server for removal in self.removals_by_id.values()]
        listed = sorted(self.servers_by_id.values(), key=lambda s: s.server_id)
        self.servers_by_handle = {server.handle: server for server in gone}
        self._accepting_servers_by_service = {}
        listed_by_handle: dict[int, Server] = {}
        for server in listed:
            if listed_by_handle.setdefault(server.handle, server) is not server:
                continue
            if not server.is_draining:
                self._accepting_servers_by_service.setdefault(
                    server.service, []
                ).append(server)
        self.servers_by_handle.update(listed_by_handle)
