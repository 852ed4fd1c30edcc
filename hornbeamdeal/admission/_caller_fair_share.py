"""Fair sharing of a nearly full queue between callers."""

from hornbeamdeal.kernel import Endpoint

CALLER_IDLE_SECONDS = 2.0  # without an offer, after which a caller is removed
CONTENDED_QUEUE_FILL = 0.5  # fill from which fair shares are enforced
MAXIMUM_CREDIT_TICKETS = 8.0  # allowed lead over the mean when enforcement begins


class CallerFairShare:
    """Limit on each caller's accepted tickets, relative to the mean of all callers.

    Uses the virtual time of start-time fair queuing (Goyal, Vin, Cheng 1996),
    which advances by one when each active caller has had one ticket accepted.
    If past tickets were not counted, callers that retry at once would take
    each free queue position from callers that wait for their retry time.
    """

    __slots__ = ("_finish_tag_by_caller", "_last_offer_by_caller", "_virtual_time")

    def __init__(self):
        self._finish_tag_by_caller: dict[Endpoint, float] = {}
        self._last_offer_by_caller: dict[Endpoint, float] = {}
        self._virtual_time = 0.0

    def record_offer(self, caller: Endpoint, now: float) -> None:
        """Record that the caller is active."""
        self._finish_tag_by_caller.setdefault(caller, self._virtual_time)
        self._last_offer_by_caller[caller] = now

    def allows(self, caller: Endpoint, fill: float) -> bool:
        """Return whether the caller may add a ticket at this fill of the queue."""
        if fill < CONTENDED_QUEUE_FILL:
            return True
        credit = MAXIMUM_CREDIT_TICKETS * (1.0 - fill) / (1.0 - CONTENDED_QUEUE_FILL)
        return (
            self._finish_tag_by_caller.get(caller, self._virtual_time)
            <= self._virtual_time + credit
        )

    def record_accept(self, caller: Endpoint) -> None:
        """Record one accepted ticket of the caller."""
        tag = max(
            self._finish_tag_by_caller.get(caller, self._virtual_time),
            self._virtual_time,
        )
        self._finish_tag_by_caller[caller] = tag + 1.0
        self._virtual_time += 1.0 / len(self._finish_tag_by_caller)

    def remove_idle(self, now: float) -> None:
        """Remove callers without recent offers."""
        idle = [
            c
            for c, at in self._last_offer_by_caller.items()
            if now - at > CALLER_IDLE_SECONDS
        ]
        for caller in idle:
            del self._last_offer_by_caller[caller]
            self._finish_tag_by_caller.pop(caller, None)
