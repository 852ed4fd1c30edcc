"""Detection of unreachable servers, for the assignment of new flows."""

from collections.abc import Sequence
from random import Random
from typing import Any

from hornbeamdeal.kernel import (
    BackendServer,
    ClusterView,
    IncrementCounter,
    LogEvent,
    PauseDetected,
)

from ._exclusion import excluded_ids
from ._server_health import ServerHealth

# A check visits all servers with unanswered opening packets, at most some 2,100
# in a region of the supported size (15,000 servers).
CHECK_INTERVAL_SECONDS = 0.1


class Reachability:
    """Detects servers that leave opening packets of this host unanswered.

    Only servers with unanswered opening packets have an entry, so a datagram of
    any other server costs one lookup. Hosts need not agree on reachability, as
    only the owner of an opening packet's key assigns its server.

    Parameters
    ----------
    random_state : int
        Seed of the jitter of trials.
    """

    __slots__ = ("random_state", "health_by_id_", "excluded_by_service_")
    __slots__ += (
        "servers_by_service_",
        "unreachable_by_service_",
        "_random",
        "_own_zone",
        "_actions",
    )
    __slots__ += ("_checked_at",)

    def __init__(self, *, random_state: int = 0):
        self.random_state = random_state
        self.health_by_id_: dict[str, ServerHealth] = {}
        self.unreachable_by_service_: dict[str, dict[str, ServerHealth]] = {}
        self.excluded_by_service_: dict[str, frozenset[str]] = {}
        self.servers_by_service_: dict[str, list[BackendServer]] = {}
        self._random = Random(random_state)
        self._own_zone = ""
        self._actions: list[Any] = []
        self._checked_at = 0.0

    def update(
        self, view: ClusterView, servers_by_service: dict[str, list[BackendServer]]
    ) -> None:
        """Replace the list of servers that take new flows.

        Discard the health of servers that moved, left or no longer take any.
        """
        self._own_zone = view.own_zone
        self.servers_by_service_ = servers_by_service
        for health in list(self.health_by_id_.values()):
            self._refresh(health, view)
        self.excluded_by_service_.clear()
        for service in self.unreachable_by_service_:
            self._update_excluded(service)

    def handle(self, event: Any, now: float) -> list[Any]:
        """Discard the health of all servers after a pause; ignore other events.

        Answers that arrived while the process was paused may be lost or still unread.
        """
        if isinstance(event, PauseDetected):
            self.health_by_id_.clear()
            self.unreachable_by_service_.clear()
            self.excluded_by_service_.clear()
        return []

    def tick(self, now: float) -> list[Any]:
        """Detect unreachable servers; return reports of changes since the last tick."""
        if now - self._checked_at >= CHECK_INTERVAL_SECONDS:
            self._checked_at = now
            for health in self.health_by_id_.values():
                if not health.is_unreachable and health.is_silent(now):
                    self._mark_unreachable(health, now)
        actions, self._actions = self._actions, []
        return actions

    def record_datagram(self, server_id: str) -> None:
        """Record that a server has sent a datagram, which makes it reachable."""
        health = self.health_by_id_.pop(server_id, None)
        if health is not None and health.is_unreachable:
            service = health.server.service
            del self._unreachable(service)[server_id]
            self._update_excluded(service)
            self._report("reachable_again", health, "info")

    def record_opening(self, server: BackendServer, now: float) -> None:
        """Record that an opening packet is sent to a server."""
        health = self.health_by_id_.get(server.server_id)
        if health is None:
            health = self.health_by_id_[server.server_id] = ServerHealth(server, now)
        health.unanswered_openings += 1

    def usable_servers(
        self, service: str, servers: Sequence[BackendServer]
    ) -> Sequence[BackendServer]:
        """Return the servers of a service that are not excluded from new flows."""
        excluded = self.excluded_by_service_.get(service)
        if not excluded:
            return servers
        return [server for server in servers if server.server_id not in excluded]

    def keeps_server(self, server: BackendServer, key: int, now: float) -> bool:
        """Return whether a repeated opening packet stays with its server."""
        excluded = self.excluded_by_service_.get(server.service)
        if not excluded or server.server_id not in excluded:
            return True
        # The fabric may duplicate a trial's packet while the answer is on its way.
        return self.health_by_id_[server.server_id].is_on_trial(key, now)

    def start_due_trial(
        self, service: str, key: int, now: float
    ) -> BackendServer | None:
        """Start a trial that is due with this new flow; return its server, or None."""
        excluded = self.excluded_by_service_.get(service)
        if not excluded:
            return None
        for server_id, health in self._unreachable(service).items():
            if server_id in excluded and health.is_trial_due(now):
                health.start_trial(key, now, self._random)
                return health.server
        return None

    def _mark_unreachable(self, health: ServerHealth, now: float) -> None:
        health.mark_unreachable(now, self._random)
        service = health.server.service
        self._unreachable(service)[health.server.server_id] = health
        self._update_excluded(service)
        self._report("unreachable", health, "warning")

    def _refresh(self, health: ServerHealth, view: ClusterView) -> None:
        earlier = health.server
        listed = view.servers_by_id.get(earlier.server_id)
        if (
            listed is None
            or listed.endpoint != earlier.endpoint
            or listed not in self.servers_by_service_.get(earlier.service, ())
        ):
            del self.health_by_id_[earlier.server_id]
            self._unreachable(earlier.service).pop(earlier.server_id, None)
        else:
            health.server = listed

    def _unreachable(self, service: str) -> dict[str, ServerHealth]:
        """Return a service's unreachable servers, the longest unreachable first."""
        return self.unreachable_by_service_.setdefault(service, {})

    def _update_excluded(self, service: str) -> None:
        """Recompute the excluded servers of a service."""
        servers = self.servers_by_service_.get(service, [])
        unreachable_ids = list(self._unreachable(service))
        excluded = excluded_ids(servers, unreachable_ids, self._own_zone)
        if excluded:
            self.excluded_by_service_[service] = excluded
        else:
            self.excluded_by_service_.pop(service, None)

    def _report(self, change: str, health: ServerHealth, level: str) -> None:
        server = health.server
        fields = {
            "server": server.server_id,
            "service": server.service,
            "unanswered_openings": health.unanswered_openings,
        }
        self._actions.append(
            IncrementCounter(f"servers_{change}", service=server.service)
        )
        self._actions.append(LogEvent(f"server_{change}", fields, level))
