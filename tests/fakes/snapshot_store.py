"""Fake of a store of routes and servers that answers as of any revision."""

from hornbeamdeal.dsr import Update, ZoneState

from .dsr_host import make_routes


class SnapshotStore:
    """Keeps all changes, each of which has a revision of its own."""

    def __init__(self):
        self.revision = 0
        self.changes = []

    def put(self, *, server=None, removed=None, zone=None, version=None):
        """Write one change: an entry, a removed id, (zone, is_evacuated) or a version."""
        self.revision += 1
        if server is not None:
            server.revision = self.revision
        self.changes.append((self.revision, server, removed, zone, version))

    def read(self, revision=None, newest_revision=None):
        """Return a full read.

        With a `newest_revision`, the entries are on pages that show this revision, while
        another page shows only `revision`.
        """
        revision = self.revision if revision is None else revision
        newest = revision if newest_revision is None else newest_revision
        update = self._changes_between(0, newest)
        return Update(
            base_revision=None,
            revision=revision,
            newest_revision=newest,
            servers=update.servers,
            routes=update.routes,
            zones=[state for state in update.zones if state.is_evacuated],
        )

    def read_pages(self, config_revision, servers_revision, zones_revision):
        """Return a full read of three pages that show different revisions."""
        revisions = (config_revision, servers_revision, zones_revision)
        update = self.read(min(revisions), max(revisions))
        update.routes = self.read(config_revision).routes
        update.servers = self.read(servers_revision).servers
        update.zones = self.read(zones_revision).zones
        return update

    def watch(self, after_revision):
        """Return the changes after a revision."""
        update = self._changes_between(after_revision, self.revision)
        update.base_revision = after_revision
        return update

    def _changes_between(self, after_revision, revision):
        servers_by_id, states_by_zone = {}, {}
        update = Update(base_revision=0, revision=revision)
        for changed_at, server, removed, zone, version in self.changes:
            if not after_revision < changed_at <= revision:
                continue
            if server is not None:
                servers_by_id[server.server_id] = server
                update.removed.pop(server.server_id, None)
            if removed is not None:
                servers_by_id.pop(removed, None)
                update.removed[removed] = changed_at
            if zone is not None:
                states_by_zone[zone[0]] = ZoneState(*zone, changed_at)
            if version is not None:
                update.routes = make_routes(version)
                update.routes_revision = changed_at
        update.servers = list(servers_by_id.values())
        update.zones = list(states_by_zone.values())
        return update
