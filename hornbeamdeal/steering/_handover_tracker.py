"""Tracks handovers to decide when keys without a record get the new choice."""

from dataclasses import dataclass

from hornbeamdeal.kernel import BackendServer, ClusterView, Version

from ._history import ServiceHistory
from ._ownership import Ownership
from ._routes import Routes

# Counted from the first report of a newer version. Promise P6 allows 3 s after
# the first host has learned of a change, and the report takes up to 1 s.
REPORTED_SETTLE_SECONDS = 2.0
# All hosts have a document in force within 3 s, so a host that misses the settle
# bound hands over at most this much after it.
MAXIMUM_WAIT_SECONDS = 1.5


@dataclass(slots=True)
class HandoverCompletion:
    """A peer's report that it has handed over its records for a set of servers.

    `servers_digest` identifies these servers.
    """

    incarnation: int
    version_number: int
    servers_digest: bytes


class HandoverTracker:
    """Tracks the handovers of peers and the time limits on waiting for them.

    A leaving server (one that takes no new flows any more) may get flows without a
    record for at most `settle_seconds`. If the old choice is not leaving, promise
    P6 does not apply, and slow hosts have `handover_timeout_seconds` to hand over.
    """

    __slots__ = ("settle_seconds", "handover_timeout_seconds", "_routes", "_ownership")
    __slots__ += ("_completions_by_host", "_latest_seen_at", "_version", "_latest_seen")

    def __init__(self, settle_seconds, handover_timeout_seconds, routes, ownership):
        self.settle_seconds: float = settle_seconds
        self.handover_timeout_seconds: float = handover_timeout_seconds
        self._routes: Routes = routes
        self._ownership: Ownership = ownership
        self._completions_by_host: dict[str, HandoverCompletion] = {}
        self._version = 0
        self._latest_seen = 0
        self._latest_seen_at = 0.0

    def update(self, view: ClusterView, now: float) -> None:
        """Apply a view: this host's version and those that other hosts report."""
        self._version = _version_number(view.version)
        for host in view.live_hosts():
            self.observe_version(_version_number(host.version), now)

    def observe_version(self, version_number: int, now: float) -> None:
        """Record that some host has a version in force."""
        if version_number > max(self._latest_seen, self._version):
            self._latest_seen, self._latest_seen_at = version_number, now

    def record_completion(self, host_id: str, completion: HandoverCompletion) -> None:
        """Record that a peer has handed over its records."""
        self._completions_by_host[host_id] = completion

    def is_lagging(self) -> bool:
        """Return whether some host has a later version than this one."""
        return self._latest_seen > self._version

    def has_handed_over(self, host_id: str) -> bool:
        """Return whether a live peer has handed over for the servers of this host."""
        completion = self._completions_by_host.get(host_id)
        host = self._ownership.host(host_id)
        if completion is None or host is None:
            return False
        if completion.incarnation != host.incarnation:
            return False
        return (
            completion.servers_digest == self._routes.digest
            or completion.version_number > self._version
        )

    def all_handed_over(self) -> bool:
        """Return whether all live peers have handed over."""
        return all(self.has_handed_over(h.host_id) for h in self._ownership.peers())

    def must_wait(self, history: ServiceHistory, key: int, now: float) -> bool:
        """Return whether a packet of a key without a record has to wait.

        After the deadline the old choice, a leaving server, gets no new flow, but
        a slow host may still report the key as an open flow of that server.
        """
        if history.is_settled():
            return False
        old = history.settled_set.choose(key)
        leaving_since = history.leaving_since(old.server_id) if old else None
        if (
            leaving_since is None
            or old.server_id not in self._routes.view.servers_by_id
        ):
            return False
        deadline = self._leaving_deadline(leaving_since)
        return deadline <= now < deadline + MAXIMUM_WAIT_SECONDS

    def choose_unrecorded(
        self, history: ServiceHistory, key: int, now: float
    ) -> BackendServer | None:
        """Return the server of a key without a record, None if there is none."""
        if history.is_settled():
            return history.current_set.choose(key)
        old = history.settled_set.choose(key)
        listed = self._routes.view.servers_by_id.get(old.server_id) if old else None
        if listed is None or listed.service != old.service:
            return history.current_set.choose(key)
        leaving_since = history.leaving_since(old.server_id)
        if leaving_since is not None and now >= self._leaving_deadline(leaving_since):
            return history.current_set.choose(key)
        return listed

    def settle_due(self, histories: list[ServiceHistory], now: float) -> None:
        """Settle the changes that all peers have handed over for or that timed out."""
        if not histories:
            return
        latest = now - self.handover_timeout_seconds
        all_handed_over = self.all_handed_over()
        for history in histories:
            if all_handed_over or history.changed_at <= latest:
                history.settle()

    def _leaving_deadline(self, leaving_since: float) -> float:
        deadline = leaving_since + self.settle_seconds
        if self._latest_seen == self._version and self._latest_seen_at <= leaving_since:
            deadline = min(deadline, self._latest_seen_at + REPORTED_SETTLE_SECONDS)
        return deadline


def _version_number(version: Version | None) -> int:
    return version.number if version else 0
