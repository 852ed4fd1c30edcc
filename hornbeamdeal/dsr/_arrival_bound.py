"""Lower bound of the time at which queued packets arrived."""

from ._flow_table import MINIMUM_RETRANSMISSION_SECONDS

# Longest interval between two turns of the event loop after which a packet counts
# as just arrived. Below the shortest retransmission, so that a packet that waited in
# the socket never counts as one.
MAXIMUM_TURN_SECONDS = 0.9 * MINIMUM_RETRANSMISSION_SECONDS


class ArrivalBound:
    """Bounds the arrival of packets that a paused or overloaded host reads late.

    The host reads a caller's packet and its retransmission one after the other if
    both waited in its socket. The server then had no time to answer.

    Attributes
    ----------
    resumed_at : float
        Monotonic time at which the host last was behind with its packets.
    """

    __slots__ = ("resumed_at", "_backlog_since", "_last_turn_at")

    def __init__(self):
        self.resumed_at = float("-inf")
        self._backlog_since: float | None = None
        self._last_turn_at: float | None = None

    def start_turn(self, now: float) -> float:
        """Return the earliest monotonic time at which waiting packets arrived."""
        previous, self._last_turn_at = self._last_turn_at, now
        if previous is not None and now - previous > MAXIMUM_TURN_SECONDS:
            self.resumed_at = now
            if self._backlog_since is None:
                return previous
        return now if self._backlog_since is None else self._backlog_since

    def end_batch(self, arrived_at: float, now: float, is_drained: bool) -> None:
        """Record whether all waiting packets have been read."""
        self._last_turn_at = now
        if is_drained:
            self._backlog_since = None
        else:
            self._backlog_since = arrived_at
            self.resumed_at = now
