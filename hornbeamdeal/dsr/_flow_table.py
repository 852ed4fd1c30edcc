"""Records of the flows whose packets recently passed this host."""

from ._base import CallerPacket
from ._records import Route, Server

SWEEP_INTERVAL_SECONDS = 1.0
# Callers decide how many flows they open. A record takes some 530 bytes, and a host of the
# target size has 8,000 open flows.
MAXIMUM_FLOWS = 65_536
# Callers retransmit after 200 ms at the earliest; packets that are closer together
# were delayed or duplicated on the way.
MINIMUM_RETRANSMISSION_SECONDS = 0.15
# Sequence numbers wrap at 32 bits (RFC 9293, 3.4).
SEQUENCE_MODULUS = 1 << 32
HALF_SEQUENCE_SPACE = 1 << 31
# Data that a caller sends at most before it is acknowledged: 16 packets of 1,200 bytes.
MAXIMUM_WINDOW_BYTES = 16 * 1200


def is_after(later: int, earlier: int) -> bool:
    """Return whether a sequence number is after another, modulo 2**32."""
    return 0 < (later - earlier) % SEQUENCE_MODULUS < HALF_SEQUENCE_SPACE


class Flow:
    """One flow as seen by this host, which gets only the caller's packets.

    `retransmissions` counts retransmissions of data since the server last showed
    that it received something. `sent_at` is when data or an opening packet was last
    forwarded. `awaited_server` is the server whose answer the flow is counted as
    awaiting. `holder` is the server that the handle of the latest packet identifies, None
    before the first with one. `opening_sequence` is the opening packet's sequence number,
    None if another host got it. `route` is None if the address had none at the flow's first packet.
    `tried_servers` are those that got the opening packet. `unacknowledged_sequence` is a
    position in the request that the server had not acknowledged when a packet from
    there was last forwarded. `failed_since` is when the last wait that was recorded as a
    failure began. Times are monotonic seconds.
    """

    __slots__ = (
        "acknowledgement",
        "awaited_server",
        "awaited_since",
        "failed_since",
        "holder",
        "last_copy_number",
        "is_established",
        "last_packet_at",
        "next_sequence",
        "opening_sequence",
        "retransmissions",
        "route",
        "sent_at",
        "tried_servers",
        "unacknowledged_sequence",
    )

    def __init__(self, now: float):
        self.tried_servers: list[Server] = []
        self.last_copy_number = -1
        self.last_packet_at = now
        self.is_established = False
        self.opening_sequence: int | None = None
        self.next_sequence: int | None = None
        self.acknowledgement: int | None = None
        self.retransmissions = 0
        self.route: Route | None = None
        self.sent_at = now
        self.unacknowledged_sequence: int | None = None
        self.awaited_server: Server | None = None
        self.holder: Server | None = None
        self.awaited_since = now
        self.failed_since: float | None = None

    @property
    def awaits_request(self) -> bool:
        """Return whether an opening or a request is unanswered.

        A flow that is open may be idle at first.
        """
        return self.awaited_server is not None and (
            not self.is_established or self.next_sequence is not None
        )

    def record_packet(self, packet: CallerPacket, now: float) -> bool:
        """Record a packet of the open flow; return whether it shows the server alive.

        The caller acknowledges more only if the server sent something, and sends more
        than its window only if the server acknowledged some of it. Other new data shows
        nothing, since it may merely fit the window, and neither do retransmissions.
        """
        self.last_packet_at = now
        is_alive = not self.is_established
        self.is_established = True
        if self.acknowledgement is None or is_after(
            packet.acknowledgement, self.acknowledgement
        ):
            is_alive = True
            self.acknowledgement = packet.acknowledgement
            self.unacknowledged_sequence = None
        if self._exceeds_window(packet):
            is_alive = True
            self.unacknowledged_sequence = packet.sequence
        if is_alive:
            self.retransmissions = 0
        return is_alive

    def _exceeds_window(self, packet: CallerPacket) -> bool:
        if not packet.payload_bytes or self.unacknowledged_sequence is None:
            return False
        end = packet.sequence + packet.payload_bytes
        in_flight = (end - self.unacknowledged_sequence) % SEQUENCE_MODULUS
        return MAXIMUM_WINDOW_BYTES < in_flight < HALF_SEQUENCE_SPACE

    def record_data(
        self, packet: CallerPacket, arrived_at: float, departs_at: float
    ) -> float | None:
        """Record a packet's data; return when it was last sent if it is repeated.

        Packets that were queued together, here or on the way, are no
        retransmissions.
        """
        end = (packet.sequence + packet.payload_bytes) % SEQUENCE_MODULUS
        if self.unacknowledged_sequence is None:
            self.unacknowledged_sequence = packet.sequence
        if self.next_sequence is None or is_after(end, self.next_sequence):
            self.next_sequence = end
            self.sent_at = departs_at
            return None
        sent_at = self.sent_at
        if arrived_at - sent_at < MINIMUM_RETRANSMISSION_SECONDS:
            return None
        self.unacknowledged_sequence = packet.sequence
        self.retransmissions += 1
        self.sent_at = departs_at
        return sent_at


class FlowTable:
    """Flow records by key, dropped when idle, and the oldest first beyond a maximum.

    Flows without a record are forwarded by their handle all the same; the records
    only hold state for health checks, repeated opening packets and the counts of
    outstanding requests.
    """

    __slots__ = ("flows_by_key", "_swept_at")

    def __init__(self):
        self.flows_by_key: dict[bytes, Flow] = {}
        self._swept_at = 0.0

    def get(self, key: bytes) -> Flow | None:
        """Return the record of a flow, or None if there is none."""
        return self.flows_by_key.get(key)

    def oldest_surplus(self) -> bytes | None:
        """Return the key of the record to drop before another is created, or None."""
        if len(self.flows_by_key) < MAXIMUM_FLOWS:
            return None
        return next(iter(self.flows_by_key))

    def open(self, key: bytes, now: float) -> Flow:
        """Create and return the record of a flow."""
        flow = self.flows_by_key[key] = Flow(now)
        return flow

    def discard(self, key: bytes) -> None:
        """Drop the record of a flow, if there is one."""
        self.flows_by_key.pop(key, None)

    def is_sweep_due(self, now: float) -> bool:
        """Return whether the interval since the last sweep has passed."""
        return now - self._swept_at >= SWEEP_INTERVAL_SECONDS

    def sweep(self, idle_seconds: float, now: float) -> None:
        """Drop the records of flows idle for longer than `idle_seconds`."""
        self._swept_at = now
        expired = [
            key
            for key, flow in self.flows_by_key.items()
            if now - flow.last_packet_at > idle_seconds
        ]
        for key in expired:
            del self.flows_by_key[key]
