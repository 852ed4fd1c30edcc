"""Concurrency limit of one host at one server, learned from refusals."""

BASE_RECOVERY = 0.02  # seconds in which a first refusal is forgotten by one slot


class LearnedLimit:
    """Limit that a refusal lowers and time raises again.

    A server's slots are shared with hosts that cannot be seen, so the limit is
    what this host found free, not what the server has. Refusals in a row double
    the recovery time up to `max_recovery` seconds per slot.
    """

    __slots__ = ("_refusals", "_updated_at", "_value", "max_recovery", "slots")

    def __init__(self, slots: int, max_recovery: float):
        self.slots = slots
        self.max_recovery = max_recovery
        self._value = float(slots)
        self._refusals = 0
        self._updated_at = 0.0

    def value(self, now: float) -> float:
        """Return the current limit in slots, recovered up to now."""
        if self._value < self.slots:
            elapsed = max(0.0, now - self._updated_at)
            self._value = min(self.slots, self._value + elapsed / self.recovery())
        self._updated_at = now
        return self._value

    def recovery(self) -> float:
        """Return the seconds in which the limit rises by one slot."""
        doubled = BASE_RECOVERY * 2 ** max(0, self._refusals - 1)
        return min(doubled, self.max_recovery)

    def allows(self, outstanding: int, now: float) -> bool:
        """Tell whether one more request may be sent."""
        return outstanding + 1 <= min(self.value(now), self.slots)

    def record_refusal(self, outstanding: int, now: float) -> None:
        """Lower the limit to what the server has accepted."""
        self._value = min(self.value(now), float(outstanding))
        if self.recovery() < self.max_recovery:
            self._refusals += 1

    def record_success(self) -> None:
        """Let the limit recover faster again, one step for each success."""
        self._refusals = max(0, self._refusals - 1)

    def resize(self, slots: int) -> None:
        """Take a new number of slots of the server."""
        if slots > self.slots and self._value >= self.slots:
            self._value = float(slots)
        self.slots = slots
        self._value = min(self._value, float(slots))
