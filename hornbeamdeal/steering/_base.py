"""Interface of steering plug-ins, which choose the backend server of a packet."""

from typing import Any, Protocol

from hornbeamdeal.kernel import BackendServer, ClusterView


class Steering(Protocol):
    """A `Component` that answers `PacketReceived` events.

    Its actions are `ForwardPacket`, `RelayPacket`, `DropPacket`, `SendPeerMessage`,
    `IncrementCounter` and `LogEvent`.
    """

    def update(self, view: ClusterView, now: float) -> list[Any]:
        """Apply a new view of servers and hosts."""

    def handle(self, event: Any, now: float) -> list[Any]:
        """Process an event: route a packet, or store a peer's flow records."""

    def tick(self, now: float) -> list[Any]:
        """Run the periodic work that is due."""

    def record_server_datagram(self, server_id: str) -> None:
        """Record that a server has sent a datagram.

        Called directly instead of as an event, as it runs for every datagram.
        """

    def make_handle(self, server: BackendServer, flow_token: bytes) -> bytes | None:
        """Return the handle for a server's answer, None if the plug-in uses none."""

    def explain(self, key: int, service: str) -> str:
        """Return one line with the server of a flow key on this host, and why."""
