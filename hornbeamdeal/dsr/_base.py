"""Contracts of the direct server return data path."""

from typing import Any, Protocol


class Segment:
    """What the data path reads of a caller's packet.

    `copy_number` counts the repetitions of an opening packet. `handle` is 0
    where the caller has not yet heard from a server.
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
        "length",
        "sequence",
    )

    def __init__(
        self,
        flow_key: bytes,
        address_key: bytes,
        handle: int,
        sequence: int,
        acknowledgement: int,
        length: int,
        is_opening: bool,
        is_ending: bool,
        data: bytes,
    ):
        self.flow_key = flow_key
        self.address_key = address_key
        self.handle = handle
        self.sequence = sequence
        self.acknowledgement = acknowledgement
        self.length = length
        self.is_opening = is_opening
        self.is_ending = is_ending
        self.copy_number = acknowledgement if is_opening else 0
        self.data = data


class PacketCodec(Protocol):
    """Reads and writes the packets of callers; never changes their contents."""

    def decode(self, data: bytes) -> Segment | None:
        """Return the packet's fields, None where it is malformed."""

    def encapsulate(self, data: bytes, server_number: bytes) -> bytes:
        """Address a packet to one server."""

    def write_handle(self, data: bytes, handle: int) -> bytes:
        """Set the handle that both ends of the flow repeat from now on."""

    def make_reset(
        self, flow_key: bytes, acknowledgement: int
    ) -> tuple[bytes, tuple[str, int]]:
        """Return a reset for the caller of a flow, and where to send it.

        `acknowledgement` is what the caller acknowledged last, 0 where the flow
        is not open.
        """

    def describe_flow(self, flow_key: bytes) -> str:
        """Name a flow as operators know it: caller, then service address."""

    def describe_address(self, address_key: bytes) -> str:
        """Name a service address as operators know it."""


class Transmit(Protocol):
    """Sends a datagram without waiting."""

    def __call__(self, data: bytes, address: tuple[str, int]) -> None:
        """Send, or drop and count where the kernel takes nothing."""


class Journal(Protocol):
    """Receiver of log events and counts; never waits."""

    def event(self, name: str, **fields: Any) -> None:
        """Write a log line within the budget."""

    def count(self, name: str, reason: str = "", amount: int = 1) -> None:
        """Add to a counter."""

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
