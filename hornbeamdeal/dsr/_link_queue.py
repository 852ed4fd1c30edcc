"""Estimate of the datagrams that wait at the host's own link."""

# IP and UDP headers of a datagram.
HEADER_BYTES = 28
BITS_PER_MEGABIT = 1_000_000


class LinkQueue:
    """Estimates when a datagram sent now leaves the host.

    A packet that waits at this host is not answered yet, which says nothing about
    its server.

    Parameters
    ----------
    link_mbps : float or None
        Bandwidth of the host's link in Mbit/s; None if it is unknown, and then no
        datagram is assumed to wait.
    """

    __slots__ = ("link_mbps", "_empty_at")

    def __init__(self, *, link_mbps: float | None = None):
        self.link_mbps = link_mbps
        self._empty_at = float("-inf")

    def add(self, datagram_bytes: int, now: float) -> None:
        """Record a datagram sent at monotonic time `now`."""
        if self.link_mbps:
            bits = 8 * (datagram_bytes + HEADER_BYTES)
            seconds = bits / (self.link_mbps * BITS_PER_MEGABIT)
            self._empty_at = max(self._empty_at, now) + seconds

    def departure(self, now: float) -> float:
        """Return the monotonic time at which the datagrams sent so far have left."""
        return max(self._empty_at, now)
