"""Contract of steering: which backend server a flow's packet goes to."""

from typing import Any, Protocol

from hornbeamdeal.kernel import BackendServer, View


class Steering(Protocol):
    """A `Component` that answers `PacketReceived` events.

    Its actions are `ForwardPacket`, `RelayPacket`, `DropPacket`, `SendPeer`,
    `Count` and `LogEvent`.
    """

    def update(self, view: View, now: float) -> list[Any]:
        """Take a new view of servers and hosts."""

    def handle(self, event: Any, now: float) -> list[Any]:
        """Steer a packet, or take a peer's flow records."""

    def tick(self, now: float) -> list[Any]:
        """Do what is due at this time."""

    def hear_server(self, server_id: str) -> None:
        """Take note that a datagram came from a server.

        This is no event, as it happens for each datagram of each server.
        """

    def make_handle(self, server: BackendServer, flow_token: bytes) -> bytes | None:
        """Return the handle for a server's answer, None where none is used."""

    def explain(self, key: int, service: str) -> str:
        """Say in one line which server a flow key gets here, and why."""
