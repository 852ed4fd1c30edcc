"""Base class of the baseline plug-ins, and the baselines without flow state."""

from abc import ABC, abstractmethod
from typing import Any

from hornbeamdeal.kernel import (
    BackendServer,
    ClusterView,
    DropPacket,
    FlowPacket,
    ForwardPacket,
    PacketReceived,
    register_plugin,
)

from ._keys import flow_key
from ._routes import Route, Routes

# A cached choice takes about 150 bytes, a full cache about 10 MB.
MAXIMUM_CACHED_CHOICES = 1 << 16


class ViewSteering(ABC):
    """Routes packets by the latest view; subclasses choose the server.

    Parameters
    ----------
    random_state : int
        Seed of all random choices.
    """

    __slots__ = ("random_state", "routes_")

    def __init__(self, *, random_state: int = 0):
        self.random_state = random_state
        self.routes_ = Routes()

    def update(self, view: ClusterView, now: float) -> list[Any]:
        """Apply a new view of servers and hosts."""
        if self.routes_.update(view, now):
            self._servers_changed()
        return []

    def handle(self, event: Any, now: float) -> list[Any]:
        """Route a packet; ignore other events."""
        if isinstance(event, PacketReceived):
            return [self._steer(event.packet, now)]
        return []

    def tick(self, now: float) -> list[Any]:
        """Do nothing, as there is no periodic work."""
        return []

    def record_server_datagram(self, server_id: str) -> None:  # noqa: B027 (optional)
        """Do nothing, as the choice does not depend on reachability."""

    def make_handle(self, server: BackendServer, flow_token: bytes) -> bytes | None:
        """Return None, as no handles are used."""
        return None

    def explain(self, key: int, service: str) -> str:
        """Return one line with the server of a flow key on this host, and why."""
        server_set = self.routes_.sets_by_service.get(service)
        if server_set is None:
            return f"no service is called {service}"
        server = self._choose(key, Route(service, "", server_set))
        name = server.server_id if server else "no server"
        return f"{name} by {type(self).__name__}"

    def _steer(self, packet: FlowPacket, now: float) -> Any:
        route = self.routes_.by_address.get(packet.address)
        reason = self.routes_.drop_reason(route, now)
        if reason:
            return DropPacket(packet, reason)
        server = self._choose(flow_key(packet), route)
        if server is None:
            return DropPacket(packet, "no_server")
        return ForwardPacket(server, packet)

    def _servers_changed(self) -> None:  # noqa: B027 (optional hook)
        """Discard state derived from the earlier servers."""

    @abstractmethod
    def _choose(self, key: int, route: Route) -> BackendServer | None:
        """Return the server of a flow key, None if no server takes flows."""


@register_plugin("steering", "modulo")
class ModuloSteering(ViewSteering):
    """Chooses by the key modulo the number of servers; ignores weights."""

    __slots__ = ()

    def _choose(self, key: int, route: Route) -> BackendServer | None:
        servers = route.server_set.servers
        # The lowest bit of a flow key is always 0.
        return servers[(key >> 1) % len(servers)] if servers else None


@register_plugin("steering", "rendezvous")
class RendezvousSteering(ViewSteering):
    """Chooses by weighted rendezvous hashing; choices are cached by flow key."""

    __slots__ = ("choices_",)

    def __init__(self, *, random_state: int = 0):
        super().__init__(random_state=random_state)
        self.choices_: dict[int, BackendServer | None] = {}

    def _servers_changed(self) -> None:  # noqa: B027 (optional hook)
        self.choices_.clear()

    def _choose(self, key: int, route: Route) -> BackendServer | None:
        try:
            return self.choices_[key]
        except KeyError:
            if len(self.choices_) >= MAXIMUM_CACHED_CHOICES:
                self.choices_.clear()
            server = self.choices_[key] = route.server_set.choose(key)
            return server
