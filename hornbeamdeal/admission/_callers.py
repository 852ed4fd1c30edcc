"""Shares of callers in a queue that is running full."""

from hornbeamdeal.kernel import Endpoint

IDLE_AFTER = 2.0  # seconds without an offer after which a caller is forgotten
CONTENDED_FILL = 0.5  # filled share of the queue from which shares are enforced
MAX_CREDIT = 8.0  # tickets ahead of the mean that a caller may have by then


class CallerShares:
    """Accepted tickets of each caller against the mean of all active callers.

    Virtual time as in start-time fair queuing (Goyal, Vin, Cheng 1996): it
    advances by one ticket when each active caller had one accepted. Without
    memory of past tickets, callers that come back at once won over patient
    ones at each free place.
    """

    __slots__ = ("_offered_at", "_tags", "_virtual")

    def __init__(self):
        self._tags: dict[Endpoint, float] = {}
        self._offered_at: dict[Endpoint, float] = {}
        self._virtual = 0.0

    def record_offer(self, caller: Endpoint, now: float) -> None:
        """Note that the caller is active."""
        self._tags.setdefault(caller, self._virtual)
        self._offered_at[caller] = now

    def allows(self, caller: Endpoint, fill: float) -> bool:
        """Tell whether the caller may add a ticket to a queue so full."""
        if fill < CONTENDED_FILL:
            return True
        credit = MAX_CREDIT * (1.0 - fill) / (1.0 - CONTENDED_FILL)
        return self._tags.get(caller, self._virtual) <= self._virtual + credit

    def record_accept(self, caller: Endpoint) -> None:
        """Charge the caller for one ticket."""
        tag = max(self._tags.get(caller, self._virtual), self._virtual)
        self._tags[caller] = tag + 1.0
        self._virtual += 1.0 / len(self._tags)

    def tick(self, now: float) -> None:
        """Forget callers that no longer offer anything."""
        idle = [c for c, at in self._offered_at.items() if now - at > IDLE_AFTER]
        for caller in idle:
            del self._offered_at[caller]
            self._tags.pop(caller, None)
