"""Decides which host reads the store, and when.

One host reads for all; every answer it gets goes to the others, with its age.
A host reads itself where what it knows grows older than its place in the order
of readers allows. So the calls don't grow with the fleet, and a reader that is
dead, cut off or deaf is replaced without a vote: two readers are no harm.
"""

import random

# A reader's watch is answered at least this often, so that a silent one is
# noticed and the others hear that nothing changed.
WATCH_TIMEOUT_SECONDS = 0.7
# Waiting time of the first watch after a time without reading.
FIRST_WATCH_TIMEOUT_SECONDS = 0.05
# Changes in quick succession share a call.
CHANGE_BATCH_SECONDS = 0.15
# Time within which news must be in force, unless the deployment says otherwise.
FRESHNESS_SECONDS = 3.0
# Shares of it: the age at which the first stand-in reads (two answers of the
# reader are missing), and at which any host does. The rest is for a connection
# that fails first.
ELECTED_READ_SHARE = 0.5
FALLBACK_READ_SHARE = 0.77
ELECTED_READ_STEP_SECONDS = 0.15
FALLBACK_READ_JITTER_SECONDS = 0.2
# Back-off of a host after failed reads; a stand-in keeps the shorter limit so
# that the return of the store is noticed.
FIRST_RETRY_SECONDS = 0.3
ELECTED_RETRY_LIMIT_SECONDS = 1.0
RETRY_LIMIT_SECONDS = 6.0
# A reader yields to one before it in the order whose news are this fresh.
FRESH_NEWS_SECONDS = 0.9
# A reader reads everything anew this often, in case a watch left something out.
RELOAD_INTERVAL_SECONDS = 10.0


class ReadScheduler:
    """Plans one host's reads of the store.

    Parameters
    ----------
    freshness : float
        Seconds within which news must be in force on every host.
    random_state : int or None
        Seed of the jitter.

    Attributes
    ----------
    position : int or None
        Place in the order of readers, None before any peer is known.
    is_elected_reader : bool
        Whether this host is among those that read for others first.
    is_reading : bool
        Whether this host reads for the others now.
    """

    __slots__ = (
        "freshness",
        "is_reading",
        "is_elected_reader",
        "must_reload",
        "position",
        "random_state",
        "reload_due",
        "_failures",
        "_has_yielded",
        "_next_read_at",
        "_random",
        "_fallback_jitter",
    )

    def __init__(
        self,
        *,
        freshness: float = FRESHNESS_SECONDS,
        random_state: int | None = None,
    ):
        self.freshness = freshness
        self.random_state = random_state
        self.position: int | None = None
        self.is_reading = False
        self.is_elected_reader = False
        self.must_reload = False
        self.reload_due = float("-inf")
        self._failures = 0
        self._has_yielded = False
        self._next_read_at = float("-inf")
        self._random = random.Random(random_state)
        self._fallback_jitter = self._random.uniform(0, FALLBACK_READ_JITTER_SECONDS)

    def next_read_delay(self, confirmed_at: float, now: float) -> float:
        """Return the seconds until the next read is due, 0 where it is now."""
        due = self._next_read_at
        if not self.is_reading:
            due = max(due, confirmed_at + self._maximum_age())
        return max(0.0, due - now)

    @property
    def watch_timeout(self) -> float:
        """Return how long the next watch may wait for a change."""
        return WATCH_TIMEOUT_SECONDS if self.is_reading else FIRST_WATCH_TIMEOUT_SECONDS

    def is_reload_due(self, now: float) -> bool:
        """Tell whether the next read is of everything.

        A lost watch may have left out changes that it had passed.
        """
        return self.must_reload or (self.is_reading and now >= self.reload_due)

    def record_read_start(self) -> None:
        """Take note that a read begins."""
        self._has_yielded = False

    def record_answer(self, changed: bool, now: float) -> None:
        """Take note of an answer of the store.

        A peer may have relieved this host while the answer was under way.
        """
        if not self.is_reading:
            self.reload_due = now + RELOAD_INTERVAL_SECONDS
        self._failures = 0
        self._next_read_at = now + (CHANGE_BATCH_SECONDS if changed else 0.0)
        self.is_reading = not self._has_yielded

    def record_reload(self, now: float) -> None:
        """Take note of a complete read."""
        self.must_reload = False
        self.reload_due = now + RELOAD_INTERVAL_SECONDS

    def record_failure(self, now: float, reason: str) -> None:
        """Take note of a failed read; the next one waits longer.

        Where only the history is gone, everything is read at once.
        """
        self.must_reload = True
        if reason == "compacted":
            self._next_read_at = now
            return
        self._failures += 1
        limit = RETRY_LIMIT_SECONDS
        if self.is_elected_reader:
            limit = ELECTED_RETRY_LIMIT_SECONDS
        retry_delay = min(limit, FIRST_RETRY_SECONDS * 2 ** (self._failures - 1))
        self._next_read_at = now + retry_delay * self._random.uniform(0.7, 1.0)
        self.is_reading = False

    def record_peer_news(self, position: int, age: float, now: float) -> None:
        """Take note of a peer's news; one that comes before this host relieves it."""
        if age > FRESH_NEWS_SECONDS:
            return
        self._failures = 0
        if self.position is None or position < self.position:
            self.is_reading = False
            self._has_yielded = True

    def _maximum_age(self) -> float:
        fallback_age = self.freshness * FALLBACK_READ_SHARE
        if self.position is None or not self.is_elected_reader:
            return fallback_age + self._fallback_jitter
        steps = self.position * ELECTED_READ_STEP_SECONDS
        return min(self.freshness * ELECTED_READ_SHARE + steps, fallback_age)
