"""Concurrency limit of one host at one server, adapted to refusals."""

BASE_RECOVERY_SECONDS = 0.02  # per slot, after a first refusal


class AdaptiveConcurrencyLimit:
    """Limit in slots that refusals lower and that recovers with time.

    The server's slots are shared with hosts whose use this host cannot observe,
    so the limit is what this host has found free, not the server's number of
    slots. Consecutive refusals double the recovery time per slot, up to
    `max_recovery_seconds`.
    """

    __slots__ = ("_refusals", "_updated_at", "_value", "max_recovery_seconds", "slots")

    def __init__(self, slots: int, max_recovery_seconds: float):
        self.slots = slots
        self.max_recovery_seconds = max_recovery_seconds
        self._value = float(slots)
        self._refusals = 0
        self._updated_at = 0.0

    def value(self, now: float) -> float:
        """Return the limit in slots, including its recovery until now."""
        if self._value < self.slots:
            elapsed = max(0.0, now - self._updated_at)
            self._value = min(
                self.slots, self._value + elapsed / self.recovery_seconds()
            )
        self._updated_at = now
        return self._value

    def recovery_seconds(self) -> float:
        """Return the time in which the limit rises by one slot."""
        doubled = BASE_RECOVERY_SECONDS * 2 ** max(0, self._refusals - 1)
        return min(doubled, self.max_recovery_seconds)

    def allows(self, outstanding: int, now: float) -> bool:
        """Return whether one more request may be sent."""
        return outstanding + 1 <= min(self.value(now), self.slots)

    def record_refusal(self, outstanding: int, now: float) -> None:
        """Lower the limit to the number of requests that the server has accepted."""
        self._value = min(self.value(now), float(outstanding))
        if self.recovery_seconds() < self.max_recovery_seconds:
            self._refusals += 1

    def record_success(self) -> None:
        """Undo one doubling of the recovery time."""
        self._refusals = max(0, self._refusals - 1)

    def resize(self, slots: int) -> None:
        """Set the server's number of slots."""
        if slots > self.slots and self._value >= self.slots:
            self._value = float(slots)
        self.slots = slots
        self._value = min(self._value, float(slots))
