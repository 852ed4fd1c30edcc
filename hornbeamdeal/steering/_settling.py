"""Decides when unknown ambiguous keys take the new choice."""

from dataclasses import dataclass

from hornbeamdeal.kernel import BackendServer, Version, View

from ._history import ServiceHistory
from ._ownership import Ownership
from ._routes import Routes

# Promise P6 is 3 s after the first host has learned of the change. This leaves
# a second for the report of the first host's version to arrive.
SIGHTING_SECONDS = 2.0


@dataclass(slots=True)
class Completion:
    """A peer's word that it has handed over for a state of the servers."""

    incarnation: int
    version_number: int
    servers_digest: bytes


class Settling:
    """Tracks hand-overs of peers and the bounds on waiting for them.

    `settle_seconds` bounds the time in which a leaving server may get flows that
    nobody has a record of. Where the old choice is not leaving, P6 does not
    apply, and slow hosts have `patience_seconds` to hand over.
    """

    __slots__ = ("settle_seconds", "patience_seconds", "_routes", "_ownership")
    __slots__ += ("_completions_by_host", "_sighted_at", "_version", "_sighted")

    def __init__(self, settle_seconds, patience_seconds, routes, ownership):
        self.settle_seconds: float = settle_seconds
        self.patience_seconds: float = patience_seconds
        self._routes: Routes = routes
        self._ownership: Ownership = ownership
        self._completions_by_host: dict[str, Completion] = {}
        self._version = 0
        self._sighted = 0
        self._sighted_at = 0.0

    def update(self, view: View, now: float) -> None:
        """Take own version and those that other hosts report."""
        self._version = _number(view.version)
        for host in view.live_hosts():
            self.sight(_number(host.version), now)

    def sight(self, version_number: int, now: float) -> None:
        """Take note that a host has a version in force."""
        if version_number > max(self._sighted, self._version):
            self._sighted, self._sighted_at = version_number, now

    def complete(self, host_id: str, completion: Completion) -> None:
        """Take note that a peer has handed over its records."""
        self._completions_by_host[host_id] = completion

    def is_lagging(self) -> bool:
        """Tell whether some host has a later version than this one."""
        return self._sighted > self._version

    def has_completed(self, host_id: str) -> bool:
        """Tell whether a live peer has handed over for the servers known here."""
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

    def all_completed(self) -> bool:
        """Tell whether all live peers have handed over."""
        return all(self.has_completed(h.host_id) for h in self._ownership.peers())

    def unknown_choice(
        self, history: ServiceHistory, key: int, now: float
    ) -> BackendServer | None:
        """Return the server of a key that nobody has a record of."""
        if history.is_settled():
            return history.current.choose(key)
        old = history.base.choose(key)
        listed = self._routes.view.servers_by_id.get(old.server_id) if old else None
        if listed is None or listed.service != old.service:
            return history.current.choose(key)
        left_at = history.left_at(old.server_id)
        if left_at is not None and now >= self._leaving_deadline(left_at):
            return history.current.choose(key)
        return listed

    def settle_due(self, histories: list[ServiceHistory], now: float) -> None:
        """Settle changes for which all peers have handed over or time is up."""
        if not histories:
            return
        latest = now - self.patience_seconds
        all_completed = self.all_completed()
        for history in histories:
            if all_completed or history.changed_at <= latest:
                history.settle()

    def _leaving_deadline(self, left_at: float) -> float:
        deadline = left_at + self.settle_seconds
        if self._sighted == self._version and self._sighted_at <= left_at:
            deadline = min(deadline, self._sighted_at + SIGHTING_SECONDS)
        return deadline


def _number(version: Version | None) -> int:
    return version.number if version else 0
