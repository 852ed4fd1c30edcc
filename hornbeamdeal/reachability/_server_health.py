"""Health of a server with unanswered opening packets, as one host sees it."""

from random import Random

from hornbeamdeal.kernel import BackendServer

MINIMUM_UNANSWERED_OPENINGS = 3
# Longer than a round trip to a server (some milliseconds) and shorter than the
# 2 s after which a CoAP caller repeats a packet, so that the repeated packet goes
# to another server.
ANSWER_TIMEOUT_SECONDS = 1.0
BASE_BACKOFF_SECONDS = 2.0
# The maximum before jitter. It bounds how often callers repeat a packet: a failed
# trial makes one caller do so, and each host has its own trials.
MAXIMUM_BACKOFF_SECONDS = 30.0
# Spreads the trials of hosts that lost a server at the same moment.
JITTER_FACTORS = (0.5, 1.5)


class ServerHealth:
    """Opening packets sent to a server since its last datagram, and its trials.

    A trial sends one opening packet to an unreachable server to test whether it
    answers again. The time between trials doubles up to a maximum.
    """

    __slots__ = ("server", "unanswered_openings", "first_opening_at", "is_unreachable")
    __slots__ += ("_backoff", "_next_trial_at", "_trial_key", "_trial_ends_at")

    def __init__(self, server: BackendServer, now: float):
        self.server = server
        self.unanswered_openings = 0
        self.first_opening_at = now
        self.is_unreachable = False
        self._backoff = BASE_BACKOFF_SECONDS
        self._next_trial_at = 0.0
        self._trial_key = 0
        self._trial_ends_at = 0.0

    def is_silent(self, now: float) -> bool:
        """Return whether several opening packets are unanswered for too long."""
        if self.unanswered_openings < MINIMUM_UNANSWERED_OPENINGS:
            return False
        return now - self.first_opening_at >= ANSWER_TIMEOUT_SECONDS

    def mark_unreachable(self, now: float, random: Random) -> None:
        """Mark the server as unreachable until it sends a datagram."""
        self.is_unreachable = True
        self._schedule_trial(now, random)

    def is_trial_due(self, now: float) -> bool:
        """Return whether the next trial may start."""
        return now >= self._next_trial_at

    def start_trial(self, key: int, now: float, random: Random) -> None:
        """Record that this flow's opening packet is sent to the server as a trial."""
        self._trial_key = key
        self._trial_ends_at = now + ANSWER_TIMEOUT_SECONDS
        self._backoff = min(self._backoff * 2, MAXIMUM_BACKOFF_SECONDS)
        self._schedule_trial(now, random)

    def is_on_trial(self, key: int, now: float) -> bool:
        """Return whether this flow's trial is still running."""
        return key == self._trial_key and now < self._trial_ends_at

    def _schedule_trial(self, now: float, random: Random) -> None:
        self._next_trial_at = now + self._backoff * random.uniform(*JITTER_FACTORS)
