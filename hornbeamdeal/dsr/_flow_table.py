"""Records of the flows whose packets passed this host lately."""

from ._base import Segment
from ._records import Server

SWEEP_SECONDS = 1.0
# Sequence numbers wrap at 32 bits (RFC 9293, 3.4).
SEQUENCE_MODULUS = 1 << 32
HALF_SEQUENCE_SPACE = 1 << 31


def is_after(later: int, earlier: int) -> bool:
    """Tell whether a sequence number is after another one."""
    return 0 < (later - earlier) % SEQUENCE_MODULUS < HALF_SEQUENCE_SPACE


class Flow:
    """One flow as this host sees it; only the caller's packets come by here.

    `unanswered` counts the repetitions of data since the server last proved
    that it received something. Times are monotonic seconds.
    """

    __slots__ = (
        "acknowledgement",
        "copies",
        "is_established",
        "last_at",
        "next_sequence",
        "opened_at",
        "server",
        "tried",
        "unanswered",
        "waiting_since",
    )

    def __init__(self, now: float):
        self.server: Server | None = None
        self.tried: list[Server] = []
        self.copies = -1
        self.opened_at = now
        self.last_at = now
        self.is_established = False
        self.next_sequence: int | None = None
        self.acknowledgement: int | None = None
        self.unanswered = 0
        self.waiting_since: float | None = None

    def note_segment(self, segment: Segment, now: float) -> bool:
        """Take a packet of the open flow; tell whether the server proved alive.

        The caller acknowledges more only where the server sent something, and
        goes on to new data after older data was acknowledged or fits its
        window; a repetition of old data proves nothing.
        """
        self.last_at = now
        is_alive = not self.is_established
        self.is_established = True
        if self.acknowledgement is None or is_after(
            segment.acknowledgement, self.acknowledgement
        ):
            is_alive = True
            self.acknowledgement = segment.acknowledgement
        if is_alive:
            self.unanswered = 0
            self.waiting_since = None
        if segment.length:
            self._note_data(segment, now)
        return is_alive

    def _note_data(self, segment: Segment, now: float) -> None:
        end = (segment.sequence + segment.length) % SEQUENCE_MODULUS
        if self.next_sequence is None or is_after(end, self.next_sequence):
            self.next_sequence = end
        else:
            self.unanswered += 1
        if self.waiting_since is None:
            self.waiting_since = now


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

    def forget(self, key: bytes) -> None:
        """Drop a record."""
        self.flows_by_key.pop(key, None)

    def sweep(self, idle_seconds: float, now: float) -> None:
        """Drop records of idle flows."""
        if now - self._swept_at < SWEEP_SECONDS:
            return
        self._swept_at = now
        expired = [
            key
            for key, flow in self.flows_by_key.items()
            if now - flow.last_at > idle_seconds
        ]
        for key in expired:
            del self.flows_by_key[key]
