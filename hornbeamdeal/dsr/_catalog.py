"""One host's replica of the routes and servers, and its age."""

from ._cold_times import ColdTimes
from ._evacuations import ZoneEvacuations
from ._fingerprint import EntryFingerprint
from ._handles import HandleIndex
from ._provisional import ENTRY_LIFETIME_SECONDS, ProvisionalServers
from ._records import NO_REVISION, Route, RouteTable, Server, Service, Update
from ._removals import Removal, Removals

# Precedes all epochs of the store.
UNKNOWN_EPOCH = -1
# Default maximum duration of a flow.
FLOW_LIFETIME_SECONDS = 60.0


class Catalog:
    """Routes and servers in force on one host.

    The configuration version never decreases, nor does the revision of a server's
    entry within one epoch of the store. Revisions of different epochs are never
    compared: another epoch begins with a full copy, or with the changes to exactly
    the position at which this catalog stands.

    Parameters
    ----------
    flow_lifetime : float
        Maximum duration of a flow in seconds.
    entry_lifetime : float
        Seconds after which the store drops the entry of a silent server.

    Attributes
    ----------
    epoch : int
        Epoch of the store that `revision` belongs to.
    revision : int
        Store revision up to which all changes are applied; 0 before the first.
    newest_revision : int
        Store revision after which no entry was read; above `revision` after a full
        read whose pages differed in age, until the changes between them are applied.
    confirmed_at : float
        Monotonic time at which the store was known to hold nothing newer.
    evacuations : ZoneEvacuations
        Zones whose servers get no new flows.
    handles : HandleIndex
        Handles of the servers that are listed or were removed recently.
    accepting_zones : set of str
        Zones with servers that take new flows.
    changed_zones : list of str
        Zones of which the latest update or expiry told a newer state.
    cold_times : ColdTimes
        When servers stop or stopped being cold.
    removals : Removals
        Servers that have left recently.
    """

    __slots__ = (
        "accepting_zones",
        "changed_zones",
        "cold_times",
        "confirmed_at",
        "epoch",
        "evacuations",
        "handles",
        "newest_revision",
        "provisional",
        "removals",
        "revision",
        "routes",
        "servers_by_id",
        "_accepting_servers_by_service",
        "_evacuated_services",
        "_fingerprint",
    )

    def __init__(
        self,
        *,
        flow_lifetime: float = FLOW_LIFETIME_SECONDS,
        entry_lifetime: float = ENTRY_LIFETIME_SECONDS,
    ):
        self.provisional = ProvisionalServers(entry_lifetime=entry_lifetime)
        self.evacuations = ZoneEvacuations()
        self.accepting_zones: set[str] = set()
        self.changed_zones: list[str] = []
        self.epoch = 0
        self.revision = 0
        self.newest_revision = 0
        self.confirmed_at = float("-inf")
        self.routes: RouteTable | None = None
        self.servers_by_id: dict[str, Server] = {}
        self._fingerprint = EntryFingerprint()
        self.removals = Removals(flow_lifetime=flow_lifetime)
        self.handles = HandleIndex()
        self._accepting_servers_by_service: dict[str, list[Server]] = {}
        # Kept because a refused opening asks for it, and there are 15,000 servers.
        self._evacuated_services: set[str] = set()
        self.cold_times = ColdTimes()

    @property
    def is_complete(self) -> bool:
        """Return whether a configuration and the servers are loaded."""
        return self.routes is not None and self.revision > 0

    @property
    def is_exact(self) -> bool:
        """Return whether no entry is newer than the catalog's revision."""
        return self.newest_revision <= self.revision

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 before the first."""
        return self.routes.version if self.routes else 0

    def fingerprint(self, now: float) -> int | None:
        """Return the fingerprint of the entries at the revision, None if not exact."""
        if not self.is_exact:
            return None
        return self._fingerprint.value_with(self.evacuations.evacuated_states(now))

    def age(self, now: float) -> float:
        """Return the seconds since the catalog was last known to be current."""
        return now - self.confirmed_at

    def find_route(self, address_key: bytes) -> Route | None:
        """Return the route for an address, or None if there is none."""
        return self.routes.routes_by_key.get(address_key) if self.routes else None

    def accepting_servers(self, service: str) -> list[Server]:
        """Return the servers of a service that take new flows."""
        return self._accepting_servers_by_service.get(service, [])

    def accepting_entry(self, server_id: str) -> Server | None:
        """Return a server's present entry, None if it takes no new flows."""
        server = self.servers_by_id.get(server_id)
        return server if server is not None and self._is_accepting(server) else None

    def has_evacuated_servers(self, service: str) -> bool:
        """Return whether servers of a service get no flows as zones are evacuated."""
        return service in self._evacuated_services

    def find_server(self, handle: int, now: float) -> Server | None:
        """Return the server of a flow by the handle in its packets, or None.

        The handle of a server that is gone may be in use again at hosts that never
        knew that server.
        """
        server = self.handles.find(handle)
        if server is not None and self.is_gone(server, now):
            return self.handles.find_choice(handle)
        return server

    def find_service(self, name: str) -> Service | None:
        """Return a service's properties, or None if the configuration has none."""
        return self.routes.services_by_name.get(name) if self.routes else None

    def is_gone(self, server: Server, now: float) -> bool:
        """Return whether a server is not listed and its flows are certainly lost."""
        server_id = server.server_id
        return server_id not in self.servers_by_id and self.removals.is_gone(
            server_id, self.confirmed_at
        )

    def mark_dead(self, server_id: str) -> None:
        """Record that a removed server was dead before its entry was removed."""
        removal = self.removals.by_id.get(server_id)
        if removal is not None:
            removal.is_known_dead = True

    def gone_ids(self, now: float) -> set[str]:
        """Return the ids of removed servers whose flows are certainly lost."""
        servers = self.removals.servers()
        return {s.server_id for s in servers if self.is_gone(s, now)}

    def can_apply(self, update: Update) -> bool:
        """Return whether the update's base is known here, or nothing in it is needed.

        Changes from one epoch to the next need exactly their base: an entry that the
        base has and a later revision of its epoch has not could be missing in them, and
        so could one that was read ahead of the base.
        """
        if update.base_revision is None or update.epoch < self.epoch:
            return True
        if self.is_at_or_after(update):
            return True
        if update.base_epoch != self.epoch:
            return False
        if update.epoch != self.epoch or update.needs_exact_base:
            return self.is_exact and update.base_revision == self.revision
        return update.base_revision <= self.revision

    def is_at_or_after(self, update: Update) -> bool:
        """Return whether all changes up to the update's position are applied."""
        position = (update.epoch, update.revision)
        return (self.epoch, self.revision) >= position

    def lose_history(self) -> None:
        """Start anew with the next full copy, whatever its epoch."""
        self.epoch = UNKNOWN_EPOCH

    def apply(self, update: Update, now: float) -> list[tuple[str, Server]]:
        """Apply newer changes; return pairs of the kind of change and the server.

        Kinds are "listed" and "removed"; in a copy of a restored store "unconfirmed"
        and "withheld" servers as well.
        """
        self.changed_zones = []
        if update.epoch < self.epoch:
            # Only versions of the configuration are comparable between histories.
            if update.routes is not None:
                self._update_routes(update.routes)
            return []
        changes, superseded_ids, evacuated_zones = [], [], []
        read_revision = update.revision if update.needs_exact_base else NO_REVISION
        is_new_epoch = update.epoch > self.epoch
        is_complete_after = self._is_completed_by(update)
        if is_new_epoch:
            superseded_ids = self._superseded_ids(update.servers)
            changes += self._start_history(update)
            evacuated_zones = self.evacuations.start_epoch(now)
        for server in update.servers:
            if self._add_server(server, now, is_new_epoch, read_revision):
                changes.append(("listed", server))
        for server_id in superseded_ids:
            self.provisional.withhold(server_id, now)
            changes.append(("withheld", self.servers_by_id[server_id]))
        changes += self._adopt_withheld(update, now)
        for server_id, revision in self._removals_of(update).items():
            removed = self._remove_server(server_id, revision, now)
            if removed is not None:
                changes.append(("removed", removed))
        lists_all = is_new_epoch or update.base_revision is None
        self.changed_zones = self.evacuations.apply(
            update.zones, update.revision if lists_all else None, now, read_revision
        )
        # Those that the store has lost are news as well.
        lost_zones = [z for z in evacuated_zones if z not in self.changed_zones]
        self.changed_zones += lost_zones
        if update.routes is not None:
            self._update_routes(update.routes)
        self.revision = max(self.revision, update.revision)
        self.newest_revision = max(self.newest_revision, update.newest_revision)
        if lists_all or is_complete_after:
            self.removals.record_complete(update.revision)
            self.evacuations.record_complete(update.revision)
        if changes or self.changed_zones or update.routes is not None:
            self._rebuild_indexes(now)
        return changes

    def expire(self, now: float) -> list[tuple[str, Server]]:
        """Remove or release provisional servers whose time is over.

        Return pairs of "removed" or "released" and the server. Unconfirmed evacuations
        end as well.
        """
        self.changed_zones = self.evacuations.expire(now)
        if self.provisional.is_empty and not self.changed_zones:
            return []
        changes = []
        for server_id in self.provisional.lapsed_ids(self.confirmed_at):
            removed_at = self.provisional.unconfirmed_since(server_id)
            removed = self._remove_server(server_id, self.revision, removed_at)
            changes.append(("removed", removed))
        for server_id in self.provisional.releasable_ids(self.confirmed_at):
            self.provisional.release(server_id)
            changes.append(("released", self.servers_by_id[server_id]))
        if changes or self.changed_zones:
            self._rebuild_indexes(now)
        return changes

    def confirm(self, at: float) -> None:
        """Record that the store held nothing newer at this monotonic time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def as_update(self, now: float) -> Update:
        """Return a full copy of the catalog for another host."""
        return Update(
            base_revision=None,
            epoch=self.epoch,
            revision=self.revision,
            servers=list(self.servers_by_id.values()),
            routes=self.routes,
            withheld=self.provisional.withheld_remaining(self.confirmed_at),
            zones=self.evacuations.evacuated_states(now),
            newest_revision=self.newest_revision,
            fingerprint=self.fingerprint(now),
            version=self.version,
        )

    def _is_completed_by(self, update: Update) -> bool:
        """Return whether an update holds a full read's changes to this very catalog.

        All entries at the update's revision are then known.
        """
        base = (update.base_epoch, update.base_revision)
        is_at_base = self.is_exact and base == (self.epoch, self.revision)
        return update.needs_exact_base and is_at_base

    def _superseded_ids(self, entries: list[Server]) -> list[str]:
        """Return the accepting servers of a copy that are known to leave or be dead.

        Their later entries are among the changes that the restored store has lost.
        """
        return [
            entry.server_id
            for entry in entries
            if not entry.is_draining and self._is_superseded(entry)
        ]

    def _is_superseded(self, entry: Server) -> bool:
        known = self.servers_by_id.get(entry.server_id)
        if known is not None:
            is_leaving = known.is_draining or self.provisional.is_withheld(
                known.server_id
            )
            is_older = entry.revision < known.revision
            return is_leaving and (is_older or known.revision == NO_REVISION)
        removal = self.removals.by_id.get(entry.server_id)
        if removal is None or entry.revision >= removal.revision:
            return False
        return removal.server.is_draining or removal.is_known_dead

    def _start_history(self, update: Update) -> list[tuple[str, Server]]:
        """Discard all revisions; return known servers that the update doesn't list."""
        entries_by_id = {server.server_id: server for server in update.servers}
        is_full = update.base_revision is None
        changes = []
        for server_id, known in list(self.servers_by_id.items()):
            entry = entries_by_id.get(server_id)
            is_unchanged = not is_full if entry is None else entry.is_same(known)
            if is_unchanged:
                continue
            unconfirmed = known.with_revision(NO_REVISION)
            self._put_server(unconfirmed)
            if entry is None or entry.revision == NO_REVISION:
                changes.append(("unconfirmed", unconfirmed))
        self.epoch, self.revision, self.newest_revision = update.epoch, 0, 0
        self.removals.start_epoch()
        self.provisional.clear()
        return changes

    def _adopt_withheld(self, update: Update, now: float) -> list[tuple[str, Server]]:
        """Withhold what the sender withholds, unless a newer entry is known here."""
        changes = []
        for entry in update.servers if update.withheld else ():
            server_id = entry.server_id
            remaining = update.withheld.get(server_id)
            known = self.servers_by_id.get(server_id)
            is_known = known is not None and known.revision == entry.revision
            if remaining and is_known and not self.provisional.is_withheld(server_id):
                self.provisional.withhold(server_id, now, remaining)
                changes.append(("withheld", known))
        return changes

    def _removals_of(self, update: Update) -> dict[str, int]:
        removed = dict(update.removed)
        if update.base_revision is None:
            listed = {s.server_id for s in update.servers if s.revision != NO_REVISION}
            for server_id, known in self.servers_by_id.items():
                if (
                    server_id not in listed
                    and NO_REVISION < known.revision <= update.revision
                ):
                    removed.setdefault(server_id, update.revision)
        return removed

    def _add_server(
        self, server: Server, now: float, is_new_epoch: bool, read_revision: int
    ) -> bool:
        known = self.servers_by_id.get(server.server_id)
        if known is not None and known.revision >= server.revision:
            return False
        if self.removals.has_left(server, known is not None, read_revision):
            return False
        self.provisional.release(server.server_id)
        self.removals.by_id.pop(server.server_id, None)
        self._put_server(server)
        self.cold_times.update(server, now, is_new_epoch)
        return True

    def _remove_server(
        self, server_id: str, revision: int, now: float
    ) -> Server | None:
        known = self.servers_by_id.get(server_id)
        if known is not None and known.revision > revision:
            return None
        # Updates may arrive out of order, a removal even before the server's listing.
        self.removals.record(server_id, revision, now)
        if known is None:
            return None
        del self.servers_by_id[server_id]
        self._fingerprint.replace(known, None)
        self.cold_times.discard(server_id)
        self.provisional.release(server_id)
        self.removals.by_id[server_id] = Removal(known, revision, now)
        return known

    def _put_server(self, server: Server) -> None:
        self._fingerprint.replace(self.servers_by_id.get(server.server_id), server)
        self.servers_by_id[server.server_id] = server

    def _update_routes(self, routes: RouteTable) -> None:
        if self.routes is None or routes.version > self.routes.version:
            self.routes = routes

    def _warm_up_seconds(self, server_id: str) -> float:
        service = self.find_service(self.servers_by_id[server_id].service)
        return service.cold_start_seconds if service else 0.0

    def _is_accepting(self, server: Server) -> bool:
        is_withheld = self.provisional.is_withheld(server.server_id)
        is_evacuated = self.evacuations.is_evacuated(server.zone)
        return not (server.is_draining or is_withheld or is_evacuated)

    def _rebuild_indexes(self, now: float) -> None:
        self.removals.expire(now)
        self.cold_times.expire(now, self._warm_up_seconds)
        self.provisional.set_unconfirmed(
            {i for i, s in self.servers_by_id.items() if s.revision == NO_REVISION}, now
        )
        listed = sorted(self.servers_by_id.values(), key=lambda s: s.server_id)
        self.handles.update(listed, self.removals.servers())
        self._accepting_servers_by_service = {}
        self._evacuated_services = set()
        self.accepting_zones = set()
        for server in listed:
            if self.handles.handle_of(server) is None:
                continue
            if self.evacuations.is_evacuated(server.zone):
                self._evacuated_services.add(server.service)
            if self._is_accepting(server):
                self.accepting_zones.add(server.zone)
                self._accepting_servers_by_service.setdefault(
                    server.service, []
                ).append(server)
