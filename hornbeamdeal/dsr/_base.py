"""Interfaces of the direct server return data path."""

from typing import Any, Protocol

from ._records import Route, Server


class CallerPacket:
    """Header fields of a caller's packet.

    `copy_number` is the number of the copy of an opening packet, 0 for the
    first; an opening packet carries it in its acknowledgement field. `handle` is
    0 while the caller has received no answer of a server.
    """

    __slots__ = (
        "acknowledgement",
        "address_key",
        "copy_number",
        "data",
        "flow_key",
        "handle",
        "is_ending",
        "is_opening",
        "payload_bytes",
        "sequence",
    )

    def __init__(
        self,
        flow_key: bytes,
        address_key: bytes,
        handle: int,
        sequence: int,
        acknowledgement: int,
        payload_bytes: int,
        is_opening: bool,
        is_ending: bool,
        data: bytes,
    ):
        self.flow_key = flow_key
        self.address_key = address_key
        self.handle = handle
        self.sequence = sequence
        self.acknowledgement = acknowledgement
        self.payload_bytes = payload_bytes
        self.is_opening = is_opening
        self.is_ending = is_ending
        self.copy_number = acknowledgement if is_opening else 0
        self.data = data


class PacketCodec(Protocol):
    """Parses and encapsulates callers' packets without changing their payload."""

    def decode(self, data: bytes) -> CallerPacket | None:
        """Return the packet's fields, or None if it is malformed."""

    def encapsulate(self, data: bytes, server_number: bytes) -> bytes:
        """Return the packet encapsulated for one server."""

    def write_handle(self, data: bytes, handle: int) -> bytes:
        """Return the packet with the handle written into it.

        Later packets of the flow carry the handle.
        """

    def make_reset(
        self, flow_key: bytes, acknowledgement: int
    ) -> tuple[bytes, tuple[str, int]]:
        """Return a reset packet for a flow's caller and its destination address.

        `acknowledgement` is the caller's last acknowledgement number, 0 if the
        flow is not open.
        """

    def describe_flow(self, flow_key: bytes) -> str:
        """Return the flow as text for logs: caller, then service address."""

    def describe_address(self, address_key: bytes) -> str:
        """Return the service address as text for logs."""


class AnswerObserver(Protocol):
    """Learns how long callers waited for servers' answers.

    Times end when the caller acknowledges the answer, which may be later than its
    arrival.
    """

    def record_answer(
        self, route: Route, server: Server, seconds: float, now: float
    ) -> None:
        """Record the seconds from a request's first packet to its answer."""

    def record_failure(self, route: Route, server: Server, now: float) -> None:
        """Record a request whose flow was reset or whose answer is long overdue.

        An overdue answer may still arrive and is then recorded as well.
        """


class HandshakeObserver(Protocol):
    """Learns how long packets are on their way."""

    def record_handshake(self, route: Route, seconds: float, now: float) -> None:
        """Record the seconds from an opening packet to the caller's next packet."""


class Admission(Protocol):
    """Decides under load which new flows are served."""

    def admits(self, route: Route, caller: int, now: float) -> bool:
        """Return whether a new flow of a route is served.

        `caller` is a hash of the caller's address. Copies of an opening packet are not
        asked about again.
        """

    def record_work(self, route: Route, caller: int, now: float) -> None:
        """Record an answer to a caller, whose flow may bring many requests."""

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Return for operators what is refused of each service in use."""


class Transmit(Protocol):
    """Sends a datagram without blocking."""

    def __call__(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, or drop and count it if the kernel refuses it."""


class Journal(Protocol):
    """Receives log events, counters and histograms without blocking."""

    def event(self, name: str, **fields: Any) -> None:
        """Write a log line unless the log rate limit suppresses it."""

    def count(self, name: str, reason: str = "", amount: int = 1) -> None:
        """Add to a counter."""

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
