"""Assignment of servers to opening packets by the owner of their key."""

from random import Random

from hornbeamdeal.kernel import BackendServer
from hornbeamdeal.reachability import Reachability

from ._round_robin import SmoothWeightedRoundRobin
from ._routes import Route
from ._state import FlowState


class OpeningAssigner:
    """Assigns servers by round robin; repeated packets get the same server."""

    __slots__ = ("opening_seconds", "_state", "_random", "_round_robins_by_service")
    __slots__ += ("_reachability",)

    def __init__(
        self,
        state: FlowState,
        opening_seconds: float,
        random: Random,
        reachability: Reachability,
    ):
        self.opening_seconds = opening_seconds
        self._state = state
        self._random = random
        self._reachability = reachability
        self._round_robins_by_service: dict[str, SmoothWeightedRoundRobin] = {}

    def assign(self, key: int, route: Route, now: float) -> BackendServer | None:
        """Return the server of an opening packet, None if no server takes flows."""
        server = self._find_assigned(key, route, now)
        if server is None:
            server = self._reachability.start_due_trial(route.service, key, now)
            server = self._store(key, server or self._next_server(route), now)
        elif not self._reachability.keeps_server(server, key, now):
            # The caller has no answer of the unreachable server, or else it would
            # have sent a handle.
            server = self._store(key, self._next_server(route), now)
        if server is not None:
            self._reachability.record_opening(server, now)
        return server

    def _next_server(self, route: Route) -> BackendServer | None:
        round_robin = self._round_robins_by_service.get(route.service)
        if round_robin is None:
            round_robin = SmoothWeightedRoundRobin(self._random)
            self._round_robins_by_service[route.service] = round_robin
        servers = route.server_set.servers
        return round_robin.pick(
            self._reachability.usable_servers(route.service, servers)
        )

    def _store(
        self, key: int, server: BackendServer | None, now: float
    ) -> BackendServer | None:
        if server is not None:
            self._state.store(key, server, now)
            if self._state.is_stopping:
                self._state.replicate(key, server)
        return server

    def _find_assigned(
        self, key: int, route: Route, now: float
    ) -> BackendServer | None:
        table = self._state.table
        slot = table.find(key)
        if slot < 0 or table.age_at(slot, now) > self.opening_seconds:
            return None
        server = self._state.server_at(slot)
        if server is None or server.service != route.service:
            return None
        return server
