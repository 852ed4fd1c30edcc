"""Servers that an owner assigns to opening packets."""

from random import Random

from hornbeamdeal.kernel import BackendServer

from ._assignment import SmoothWeightedRoundRobin
from ._routes import Route
from ._state import FlowState


class Openings:
    """Assigns servers in rotation and remembers them for repeated packets."""

    __slots__ = ("opening_seconds", "_state", "_random", "_rotations")

    def __init__(self, state: FlowState, opening_seconds: float, random: Random):
        self.opening_seconds = opening_seconds
        self._state = state
        self._random = random
        self._rotations: dict[str, SmoothWeightedRoundRobin] = {}

    def assigned(self, key: int, route: Route, now: float) -> BackendServer | None:
        """Return the server of an opening packet, None where none takes flows."""
        server = self._remembered(key, route, now)
        if server is not None:
            return server
        rotation = self._rotations.get(route.service)
        if rotation is None:
            rotation = SmoothWeightedRoundRobin(self._random)
            self._rotations[route.service] = rotation
        server = rotation.pick(route.server_set.servers)
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
