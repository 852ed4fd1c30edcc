"""Queue of requests that wait for the end of the check after a pause.

Requests that arrived during the pause wait in the socket. Most of them can be
served some milliseconds later, as soon as a peer has confirmed the version in
force, instead of being refused.
"""

from collections import deque
from typing import Any

# Enough for two queries to peers and a reply. A longer check means that no peer is
# reachable or that a newer version is still being fetched, and the caller should
# use another host.
WAIT_LIMIT_SECONDS = 0.5
# A host gets 157 requests a second at the design size (docs/CAPACITY.md).
MAXIMUM_REQUESTS = 200
MAXIMUM_BYTES = 4 * 1024 * 1024


class WaitingRequests:
    """First-in, first-out queue of datagrams, bounded in number, size and time.

    Parameters
    ----------
    wait_limit : float
        Longest time that a request waits, in seconds.
    """

    __slots__ = ("wait_limit", "_bytes", "_waiting")

    def __init__(self, *, wait_limit: float = WAIT_LIMIT_SECONDS):
        self.wait_limit = wait_limit
        self._bytes = 0
        self._waiting: deque[tuple[float, bytes, Any]] = deque()

    def put(self, datagram: bytes, origin: Any, now: float) -> bool:
        """Add a datagram and its origin; return False if there is no room."""
        is_full = len(self._waiting) >= MAXIMUM_REQUESTS
        if is_full or self._bytes + len(datagram) > MAXIMUM_BYTES:
            return False
        self._bytes += len(datagram)
        self._waiting.append((now + self.wait_limit, datagram, origin))
        return True

    def take(self, is_check_over: bool, now: float) -> list[tuple[bytes, Any]]:
        """Remove and return the expired datagrams, or all if the check is over."""
        taken = []
        while self._waiting and (is_check_over or now >= self._waiting[0][0]):
            _, datagram, origin = self._waiting.popleft()
            self._bytes -= len(datagram)
            taken.append((datagram, origin))
        return taken
