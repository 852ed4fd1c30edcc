"""Records of the flows whose packets passed this host lately."""

from ._base import Segment
from ._records import Server

SWEEP_INTERVAL_SECONDS = 1.0
# Callers repeat packets after 200 ms at the earliest.
MINIMUM_RETRANSMISSION_SECONDS = 0.15
# Sequence numbers wrap at 32 bits (RFC 9293, 3.4).
SEQUENCE_MODULUS = 1 << 32
HALF_SEQUENCE_SPACE = 1 << 31


def is_after(later: int, earlier: int) -> bool:
    """Tell whether a sequence number is after another one."""
    return 0 < (later - earlier) % SEQUENCE_MODULUS < HALF_SEQUENCE_SPACE


class Flow:
    """One flow as this host sees it; only the caller's packets come by here.

    `retransmissions` counts how often data was repeated since the server last
    proved that it received something, `sent_at` is when the data, or the
    opening packet, was forwarded last. `awaited_server` is the server for which the
    flow counts as waiting. Times are monotonic seconds.
    """

    __slots__ = (
        "acknowledgement",
        "awaited_server",
        "awaited_since",
        "last_copy_number",
        "is_established",
        "last_packet_at",
        "next_sequence",
        "retransmissions",
        "sent_at",
        "tried_servers",
    )

    def __init__(self, now: float):
        self.tried_servers: list[Server] = []
        self.last_copy_number = -1
        self.last_packet_at = now
        self.is_established = False
        self.next_sequence: int | None = None
        self.acknowledgement: int | None = None
        self.retransmissions = 0
        self.sent_at = now
        self.awaited_server: Server | None = None
        self.awaited_since = now

    def record_segment(self, segment: Segment, now: float) -> bool:
        """Take a packet of the open flow; tell whether the server proved alive.

        The caller acknowledges more only where the server sent something, and
        goes on to new data after older data was acknowledged or fits its
        window; a repetition of old data proves nothing.
        """
        self.last_packet_at = now
        is_alive = not self.is_established
        self.is_established = True
        if self.acknowledgement is None or is_after(
            segment.acknowledgement, self.acknowledgement
        ):
            is_alive = True
            self.acknowledgement = segment.acknowledgement
        if is_alive:
            self.retransmissions = 0
        return is_alive

    def record_data(self, segment: Segment, now: float) -> float | None:
        """Take a packet's data; where it is a repetition, return the silence.

        That is how long ago the data was forwarded before, in seconds. Packets
        that waited together, here or on the way, are no repetitions.
        """
        end = (segment.sequence + segment.length) % SEQUENCE_MODULUS
        if self.next_sequence is None or is_after(end, self.next_sequence):
            self.next_sequence = end
            self.sent_at = now
            return None
        silence = now - self.sent_at
        if silence < MINIMUM_RETRANSMISSION_SECONDS:
            return None
        self.retransmissions += 1
        self.sent_at = now
        return silence


class FlowTable:
    """Flows by their key, forgotten when they are idle or old.

    A flow that is not here is served all the same: its handle tells the
    server. The records only carry evidence.
    """

    __slots__ = ("flows_by_key", "_swept_at")

    def __init__(self):
        self.flows_by_key: dict[bytes, Flow] = {}
        self._swept_at = 0.0

    def get(self, key: bytes) -> Flow | None:
        """Return the record of a flow, None where there is none."""
        return self.flows_by_key.get(key)

    def open(self, key: bytes, now: float) -> Flow:
        """Start a record."""
        flow = self.flows_by_key[key] = Flow(now)
        return flow

    def discard(self, key: bytes) -> None:
        """Drop a record."""
        self.flows_by_key.pop(key, None)

    def is_sweep_due(self, now: float) -> bool:
        """Tell whether records should be looked through."""
        return now - self._swept_at >= SWEEP_INTERVAL_SECONDS

    def sweep(self, idle_seconds: float, now: float) -> None:
        """Drop records of idle flows."""
        self._swept_at = now
        expired = [
            key
            for key, flow in self.flows_by_key.items()
            if now - flow.last_packet_at > idle_seconds
        ]
        for key in expired:
            del self.flows_by_key[key]
