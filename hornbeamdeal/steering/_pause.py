"""Holds packets after a pause until the host knows the version in force."""

from typing import Any

from hornbeamdeal.kernel import FlowPacket, PeerReceived
from hornbeamdeal.wire import peer_types

HOLD_SECONDS = 1.0
# A second of packets at a peak of 4,000 a second that no record covers.
HELD_PACKETS = 4096


class PauseBuffer:
    """Packets whose server may have changed while the process did not run.

    They wait for a peer's version, for the document if that is later than the
    own one, and for at most `HOLD_SECONDS`.
    """

    __slots__ = ("_held", "_until", "_awaited")

    def __init__(self):
        self._held: list[FlowPacket] = []
        self._until: float | None = None
        self._awaited: int | None = None

    def open(self, now: float) -> None:
        """Start to hold packets."""
        self._until = now + HOLD_SECONDS
        self._awaited = None

    def is_open(self) -> bool:
        """Tell whether packets are held."""
        return self._until is not None

    def hold(self, packet: FlowPacket) -> bool:
        """Hold a packet; tell whether there was room."""
        if len(self._held) >= HELD_PACKETS:
            return False
        self._held.append(packet)
        return True

    def hear(self, event: PeerReceived) -> None:
        """Take the version that a peer reports of itself."""
        version = _reported_version(event)
        if version is not None:
            self._awaited = max(version, self._awaited or 0)

    def release(self, own_version: int, now: float) -> list[FlowPacket]:
        """Return the held packets if the wait is over."""
        if self._until is None:
            return []
        is_known = self._awaited is not None and own_version >= self._awaited
        if not is_known and now < self._until:
            return []
        packets, self._held = self._held, []
        self._until = None
        return packets


def _reported_version(event: PeerReceived) -> int | None:
    message: Any = event.message
    if isinstance(message, peer_types.FlowRecords):
        return message.version_number
    if isinstance(message, peer_types.Ping | peer_types.PingReply):
        for record in message.updates or ():
            if record.host_id == event.host_id:
                return record.version_number
    return None
