"""Decides when a host whose entries differ from a peer's reads the store again."""

import random

# Mean interval between two hosts' reads if the whole fleet differs from one host. A full
# read of 15,000 servers takes 30 calls, and a small store answers 2,000 a second in all.
READ_SPACING_SECONDS = 0.02
# Pause between two such reads of one host, doubled with each as long as hosts differ.
# Hosts of two builds that decode an entry differently differ until all are upgraded.
FIRST_PAUSE_SECONDS = 0.5
MAXIMUM_PAUSE_SECONDS = 60.0


class CatalogVerification:
    """Schedules a full read once a peer at the same position holds other entries.

    The store decides who is right, since a peer's copy could remove live servers. Reads
    are spread at random, so that the changes which one of them finds reach the others
    first.

    Parameters
    ----------
    random_state : random.Random
        Spreads the reads.

    Attributes
    ----------
    due_at : float
        Monotonic time at which a full read is due, infinity if none is.
    """

    __slots__ = ("due_at", "_pause", "_random", "_read_at")

    def __init__(self, random_state: random.Random):
        self.due_at = float("inf")
        self._pause = FIRST_PAUSE_SECONDS
        self._random = random_state
        self._read_at = float("-inf")

    def record_difference(self, host_count: int, now: float) -> None:
        """Record that a peer holds other entries, in a fleet of some hosts."""
        if self.due_at != float("inf"):
            return
        spread = READ_SPACING_SECONDS * host_count
        earliest_at = max(now, self._read_at + max(self._pause, spread))
        self.due_at = earliest_at + self._random.uniform(0, spread)

    def record_agreement(self) -> None:
        """Record that a peer holds the same entries."""
        self.due_at = float("inf")
        self._pause = FIRST_PAUSE_SECONDS

    def record_read(self, now: float) -> None:
        """Record a full read."""
        if self.due_at == float("inf"):
            return
        self.due_at = float("inf")
        self._read_at = now
        self._pause = min(2 * self._pause, MAXIMUM_PAUSE_SECONDS)
