"""Servers that have left, and the revisions at which they did."""

from ._provisional import REREGISTRATION_SECONDS
from ._records import NO_REVISION, Server

# Removed servers are kept for the flow lifetime plus this margin.
RETENTION_MARGIN_SECONDS = 10.0
# Revisions that are kept, the latest ones. Other writers' unusable entries count as removals
# as well, and the target size has 15,000 servers.
MAXIMUM_REVISIONS = 30_000


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


class Removals:
    """Removals of servers, kept as long as flows to them may last.

    Parameters
    ----------
    flow_lifetime : float
        Maximum duration of a flow in seconds.

    Attributes
    ----------
    by_id : dict of str to Removal
        Removals of servers that were listed here.
    complete_revision : int
        Latest revision of which all entries are known, from a full copy or the changes
        of a full read: a server not listed since has left.
    """

    __slots__ = (
        "by_id",
        "complete_revision",
        "flow_lifetime",
        "_revisions_by_id",
    )

    def __init__(self, *, flow_lifetime: float):
        self.flow_lifetime = flow_lifetime
        self.by_id: dict[str, Removal] = {}
        self.complete_revision = 0
        # Revision and time of each removal, including servers never listed here.
        self._revisions_by_id: dict[str, tuple[int, float]] = {}

    def servers(self) -> list[Server]:
        """Return the servers that were listed here."""
        return [removal.server for removal in self.by_id.values()]

    def revision_of(self, server_id: str) -> int:
        """Return the revision of a server's latest removal, NO_REVISION if none."""
        revision, _ = self._revisions_by_id.get(server_id, (NO_REVISION, 0.0))
        return revision

    def record(self, server_id: str, revision: int, now: float) -> None:
        """Record a removal, of which older news may arrive later."""
        last = self.revision_of(server_id)
        # The latest comes last, so that the first is the one to forget.
        self._revisions_by_id.pop(server_id, None)
        self._revisions_by_id[server_id] = (max(last, revision), now)
        if len(self._revisions_by_id) > MAXIMUM_REVISIONS:
            del self._revisions_by_id[next(iter(self._revisions_by_id))]

    def record_complete(self, revision: int) -> None:
        """Record that all entries of a revision are known."""
        self.complete_revision = max(self.complete_revision, revision)

    def has_left(self, server: Server, is_listed: bool, read_revision: int) -> bool:
        """Return whether a server is known to have left since the listing.

        `read_revision` is that of the store's full read that lists it, if one does. What
        is known of an earlier revision is then wrong, as a peer's copy can be.
        """
        removed_revision = self.revision_of(server.server_id)
        if server.revision == NO_REVISION:
            # The store doesn't list it now.
            return removed_revision > NO_REVISION
        left_revision = max(
            removed_revision, NO_REVISION if is_listed else self.complete_revision
        )
        return left_revision >= server.revision and left_revision > read_revision

    def is_gone(self, server_id: str, confirmed_at: float) -> bool:
        """Return whether a removed server's flows are certainly lost.

        Either the server was known to be dead when its entry was removed, or the
        store has been read since the removal, late enough that a live server
        would have registered again.
        """
        removal = self.by_id.get(server_id)
        if removal is None:
            return False
        missing_seconds = confirmed_at - removal.removed_at
        return removal.is_known_dead or missing_seconds >= REREGISTRATION_SECONDS

    def start_epoch(self) -> None:
        """Forget the revisions of another history of the store."""
        self.complete_revision = 0
        self._revisions_by_id = {}

    def expire(self, now: float) -> None:
        """Forget servers whose flows have ended by now."""
        retention = self.flow_lifetime + RETENTION_MARGIN_SECONDS
        for server_id, removal in list(self.by_id.items()):
            if now - removal.removed_at > retention:
                del self.by_id[server_id]
        self._revisions_by_id = {
            server_id: (revision, at)
            for server_id, (revision, at) in self._revisions_by_id.items()
            if now - at <= retention
        }
