"""Buffer for packets after a pause of the process, until its state is current."""

from typing import Any

from hornbeamdeal.kernel import FlowPacket, PeerMessageReceived
from hornbeamdeal.wire import peer_types

MAXIMUM_HOLD_SECONDS = 1.0
# 1 s of packets without a handle, at a peak of 4,000 a second.
MAXIMUM_HELD_PACKETS = 4096


class PauseBuffer:
    """Holds packets whose server may have changed while the process was paused.

    They are held until a peer has reported its version and this host has reached
    it, and for at most `MAXIMUM_HOLD_SECONDS`.
    """

    __slots__ = ("_held", "_deadline", "_awaited_version")

    def __init__(self):
        self._held: list[FlowPacket] = []
        self._deadline: float | None = None
        self._awaited_version: int | None = None

    def start(self, now: float) -> None:
        """Start holding packets."""
        self._deadline = now + MAXIMUM_HOLD_SECONDS
        self._awaited_version = None

    def is_holding(self) -> bool:
        """Return whether packets are being held."""
        return self._deadline is not None

    def hold(self, packet: FlowPacket) -> bool:
        """Hold a packet and return whether the buffer had room for it."""
        if len(self._held) >= MAXIMUM_HELD_PACKETS:
            return False
        self._held.append(packet)
        return True

    def record_version(self, event: PeerMessageReceived) -> None:
        """Record the version that a peer reports of itself, if it does."""
        version = _reported_version(event)
        if version is not None:
            self._awaited_version = max(version, self._awaited_version or 0)

    def release(self, own_version: int, now: float) -> list[FlowPacket]:
        """Return the held packets and stop holding, or none if the wait goes on."""
        if self._deadline is None:
            return []
        has_reached_version = (
            self._awaited_version is not None and own_version >= self._awaited_version
        )
        if not has_reached_version and now < self._deadline:
            return []
        packets, self._held = self._held, []
        self._deadline = None
        return packets


def _reported_version(event: PeerMessageReceived) -> int | None:
    message: Any = event.message
    if isinstance(message, peer_types.FlowRecords):
        return message.version_number
    if isinstance(message, peer_types.Ping | peer_types.PingReply):
        for record in message.updates or ():
            if record.host_id == event.host_id:
                return record.version_number
    return None
