"""Requests that wait for the end of the check after a pause.

Answers the load that came while the process did not run: its requests lie in
the socket, and most of them can be served some milliseconds later, as soon as a
peer has confirmed the version in force.
"""

from collections import deque
from typing import Any

# Two questions to peers and an answer; a longer check means that peers are out
# of reach, and a caller does better elsewhere.
PATIENCE_SECONDS = 0.5
# A host gets 157 requests a second at the size that the design is made for
# (docs/CAPACITY.md).
MAXIMUM_REQUESTS = 200
MAXIMUM_BYTES = 4 * 1024 * 1024


class WaitingRequests:
    """Datagrams in the order of their arrival, bounded in number, size and time.

    Parameters
    ----------
    patience : float
        Seconds for which a request waits at most.
    """

    __slots__ = ("patience", "_bytes", "_waiting")

    def __init__(self, *, patience: float = PATIENCE_SECONDS):
        self.patience = patience
        self._bytes = 0
        self._waiting: deque[tuple[float, bytes, Any]] = deque()

    def put(self, datagram: bytes, origin: Any, now: float) -> bool:
        """Keep a datagram and where it came from; False where there is no room."""
        is_full = len(self._waiting) >= MAXIMUM_REQUESTS
        if is_full or self._bytes + len(datagram) > MAXIMUM_BYTES:
            return False
        self._bytes += len(datagram)
        self._waiting.append((now + self.patience, datagram, origin))
        return True

    def take(self, is_over: bool, now: float) -> list[tuple[bytes, Any]]:
        """Return what waits no longer: all where the check is over."""
        taken = []
        while self._waiting and (is_over or now >= self._waiting[0][0]):
            _, datagram, origin = self._waiting.popleft()
            self._bytes -= len(datagram)
            taken.append((datagram, origin))
        return taken
