"""Decides which host reads the store, and when.

One host, the reader, reads for all and sends every answer with its age to the
others. A host reads the store itself once its catalog is older than its position
in the reading order allows. So the number of calls doesn't grow with the fleet,
and a reader that has crashed, is partitioned or gets no answers is replaced
without an election; two concurrent readers are harmless.
"""

import random

from ._verification import CatalogVerification

# A reader's watch is answered at least this often, so that a watch without answer
# is detected and the other hosts learn that nothing has changed.
WATCH_TIMEOUT_SECONDS = 0.7
# Timeout of the first watch of a host that was not reading.
FIRST_WATCH_TIMEOUT_SECONDS = 0.05
# Delay of the next read after a change, so that a burst of changes shares a call.
CHANGE_BATCH_SECONDS = 0.15
# Default time within which a change must be in force on every host.
FRESHNESS_SECONDS = 3.0
# Shares of that time: the age of the catalog at which the first elected reader reads
# (two answers of the present reader are missing), and at which any other host does.
# The rest leaves time for a first connection that fails.
ELECTED_READ_SHARE = 0.5
FALLBACK_READ_SHARE = 0.77
ELECTED_READ_STEP_SECONDS = 0.15
FALLBACK_READ_JITTER_SECONDS = 0.2
# Failures after which a full read is due at once, since the store itself is well.
_UNKNOWN_POSITION_REASONS = ("compacted", "oversized", "restored")
# Default time after a disturbance from which on a host must be current again.
CONTACT_SECONDS = 4.0
# Pauses after failed reads. The first is short, as a connection may only have been closed.
# Elected readers double theirs up to a limit, so that the return of the store is noticed
# soon. Any other host waits for them next, but not for longer than a share of the contact
# time: nobody can tell it that they are dead or cut off from the store themselves. The rest
# of that time is for an attempt that still runs when the disturbance ends, and for the read.
FIRST_RETRY_SECONDS = 0.3
ELECTED_RETRY_LIMIT_SECONDS = 1.0
RETRY_CONTACT_SHARE = 0.6
# A reader yields to one before it in the order whose updates are at most this old.
FRESH_UPDATE_SECONDS = 0.9
# A reader reloads everything this often, in case a watch omitted a change.
RELOAD_INTERVAL_SECONDS = 10.0
# Most of the time that it spends on these reads, however large the store is.
RELOAD_TIME_SHARE = 0.1


class ReadScheduler:
    """Schedules one host's reads of the store.

    Parameters
    ----------
    freshness : float
        Seconds within which a change must be in force on every host.
    contact : float
        Seconds after the end of a disturbance within which this host must be current.
    random_state : int or None
        Seed of the random jitter.

    Attributes
    ----------
    position : int or None
        Position in the reading order, None before any peer is known.
    is_elected_reader : bool
        Whether this host is one of its zone's elected readers.
    is_reading : bool
        Whether this host currently reads for the others.
    verification : CatalogVerification
        Whether a full read is due as a peer holds other entries.
    """

    __slots__ = (
        "contact",
        "freshness",
        "is_reading",
        "is_elected_reader",
        "must_reload",
        "position",
        "random_state",
        "reload_due",
        "verification",
        "_failures",
        "_is_reload_unused",
        "_has_yielded",
        "_earliest_read_at",
        "_random",
        "_fallback_jitter",
    )

    def __init__(
        self,
        *,
        freshness: float = FRESHNESS_SECONDS,
        contact: float = CONTACT_SECONDS,
        random_state: int | None = None,
    ):
        self.contact = contact
        self.freshness = freshness
        self.random_state = random_state
        self.position: int | None = None
        self.is_reading = False
        self.is_elected_reader = False
        self.must_reload = False
        self.reload_due = float("-inf")
        self._failures = 0
        self._has_yielded = False
        # Whether no watch has been answered since the last full read.
        self._is_reload_unused = False
        self._earliest_read_at = float("-inf")
        self._random = random.Random(random_state)
        self.verification = CatalogVerification(self._random)
        self._fallback_jitter = self._random.uniform(0, FALLBACK_READ_JITTER_SECONDS)

    def next_read_delay(self, confirmed_at: float, now: float) -> float:
        """Return the seconds until the next read is due, 0 if it is due now."""
        due = self._earliest_read_at
        if not self.is_reading:
            too_old_at = confirmed_at + self._maximum_age()
            due = max(due, min(too_old_at, self.verification.due_at))
        return max(0.0, due - now)

    @property
    def watch_timeout(self) -> float:
        """Return the seconds for which the next watch may wait for a change."""
        return WATCH_TIMEOUT_SECONDS if self.is_reading else FIRST_WATCH_TIMEOUT_SECONDS

    def is_reload_due(self, now: float) -> bool:
        """Return whether the next read must be a full one.

        A watch that was lost may have advanced past changes without reporting them.
        """
        is_verification_due = now >= self.verification.due_at
        is_due = self.is_reading and now >= self.reload_due
        return self.must_reload or is_verification_due or is_due

    def record_read_start(self) -> None:
        """Record that a read begins."""
        self._has_yielded = False

    def record_answer(self, changed: bool, now: float) -> None:
        """Record an answer of the store.

        This host doesn't become the reader if it has yielded to a peer since the
        read began.
        """
        if not self.is_reading:
            self.reload_due = max(self.reload_due, now + RELOAD_INTERVAL_SECONDS)
        self._failures = 0
        self._earliest_read_at = now + (CHANGE_BATCH_SECONDS if changed else 0.0)
        self.is_reading = not self._has_yielded

    def record_reload(self, now: float, seconds: float = 0.0) -> None:
        """Record a full read that took some seconds."""
        self.must_reload = False
        self.verification.record_read(now)
        self._is_reload_unused = True
        interval = max(RELOAD_INTERVAL_SECONDS, seconds / RELOAD_TIME_SHARE)
        self.reload_due = now + interval

    def record_watch(self) -> None:
        """Record that a watch was answered."""
        self._is_reload_unused = False

    def record_failure(self, now: float, reason: str) -> None:
        """Record a failed read and back off.

        If the store only can't tell the changes after the revision, a full read is due
        at once, but not again before a watch from there has been answered.
        """
        self.must_reload = True
        if reason in _UNKNOWN_POSITION_REASONS and not self._is_reload_unused:
            self._earliest_read_at = now
            return
        self._failures += 1
        pause = self._retry_pause() * self._random.uniform(0.7, 1.0)
        self._earliest_read_at = now + pause
        self.is_reading = False

    def _retry_pause(self) -> float:
        """Return the longest pause after the latest failed read in seconds."""
        limit = max(FIRST_RETRY_SECONDS, self.contact * RETRY_CONTACT_SHARE)
        # A host that knows no peers has nobody to wait for.
        waits_for_others = self.position is not None and not self.is_elected_reader
        if self._failures > 1 and waits_for_others:
            return limit
        pause = FIRST_RETRY_SECONDS * 2 ** (self._failures - 1)
        return min(pause, limit, ELECTED_RETRY_LIMIT_SECONDS)

    def record_peer_update(self, position: int, age: float, now: float) -> None:
        """Record a peer's update; yield if it is fresh and the peer precedes this host.

        `age` is that of the update in seconds.
        """
        if age > FRESH_UPDATE_SECONDS:
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
