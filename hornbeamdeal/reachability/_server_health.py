"""What one host has seen of a server that owes it an answer."""

from random import Random

from hornbeamdeal.kernel import BackendServer

MINIMUM_UNANSWERED_OPENINGS = 3
# Above the round trip to a server (some milliseconds) and below the 2 s after
# which a CoAP caller repeats a packet, so that the repeat goes elsewhere.
SILENCE_SECONDS = 1.0
BASE_BACKOFF_SECONDS = 2.0
# Each trial costs one caller a repeat, and each host sends its own trials.
MAXIMUM_BACKOFF_SECONDS = 30.0
# Spreads the trials of hosts that lost a server at the same moment.
JITTER_FACTORS = (0.5, 1.5)


class ServerHealth:
    """Opening packets sent to a server since its last datagram."""

    __slots__ = ("server", "openings", "first_at", "is_unreachable")
    __slots__ += ("_backoff", "_next_trial_at", "_trial_key", "_trial_ends_at")

    def __init__(self, server: BackendServer, now: float):
        self.server = server
        self.openings = 0
        self.first_at = now
        self.is_unreachable = False
        self._backoff = BASE_BACKOFF_SECONDS
        self._next_trial_at = 0.0
        self._trial_key = 0
        self._trial_ends_at = 0.0

    def is_silent(self, now: float) -> bool:
        """Tell whether the server answered none of several openings in time."""
        if self.openings < MINIMUM_UNANSWERED_OPENINGS:
            return False
        return now - self.first_at >= SILENCE_SECONDS

    def mark_unreachable(self, now: float, random: Random) -> None:
        """Take the server for unreachable until a datagram comes from it."""
        self.is_unreachable = True
        self._schedule_trial(now, random)

    def is_trial_due(self, now: float) -> bool:
        """Tell whether one opening packet may try the server again."""
        return now >= self._next_trial_at

    def start_trial(self, key: int, now: float, random: Random) -> None:
        """Take note of the flow whose opening packet tries the server."""
        self._trial_key = key
        self._trial_ends_at = now + SILENCE_SECONDS
        self._backoff = min(self._backoff * 2, MAXIMUM_BACKOFF_SECONDS)
        self._schedule_trial(now, random)

    def is_on_trial(self, key: int, now: float) -> bool:
        """Tell whether the server may still answer this flow's trial."""
        return key == self._trial_key and now < self._trial_ends_at

    def _schedule_trial(self, now: float, random: Random) -> None:
        self._next_trial_at = now + self._backoff * random.uniform(*JITTER_FACTORS)
