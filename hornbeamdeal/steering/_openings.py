"""Servers that an owner assigns to opening packets."""

from random import Random

from hornbeamdeal.kernel import BackendServer
from hornbeamdeal.reachability import Reachability

from ._assignment import SmoothWeightedRoundRobin
from ._routes import Route
from ._state import FlowState


class Openings:
    """Assigns servers in rotation and remembers them for repeated packets."""

    __slots__ = ("opening_seconds", "_state", "_random", "_rotations")
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
        self._rotations: dict[str, SmoothWeightedRoundRobin] = {}

    def assigned(self, key: int, route: Route, now: float) -> BackendServer | None:
        """Return the server of an opening packet, None where none takes flows."""
        server = self._remembered(key, route, now)
        if server is None:
            server = self._reachability.take_trial(route.service, key, now)
            server = self._assign(key, server or self._pick(route), now)
        elif not self._reachability.keeps(server, key, now):
            # No answer of the unreachable server has reached the caller, which
            # would otherwise have sent a handle.
            server = self._assign(key, self._pick(route), now)
        if server is not None:
            self._reachability.note_opening(server, now)
        return server

    def _pick(self, route: Route) -> BackendServer | None:
        rotation = self._rotations.get(route.service)
        if rotation is None:
            rotation = SmoothWeightedRoundRobin(self._random)
            self._rotations[route.service] = rotation
        servers = route.server_set.servers
        return rotation.pick(self._reachability.usable(route.service, servers))

    def _assign(
        self, key: int, server: BackendServer | None, now: float
    ) -> BackendServer | None:
        if server is not None:
            self._state.store(key, server, now)
            if self._state.is_stopping:
                self._state.replicate(key, server)
        return server

    def _remembered(self, key: int, route: Route, now: float) -> BackendServer | None:
        table = self._state.table
        slot = table.find(key)
        if slot < 0 or table.age_at(slot, now) > self.opening_seconds:
            return None
        server = self._state.server_at(slot)
        if server is None or server.service != route.service:
            return None
        return server
