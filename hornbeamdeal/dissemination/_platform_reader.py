"""Rate-limited reads and watches of the platform."""

import random
from dataclasses import dataclass

from hornbeamdeal.kernel import PlatformReadCompleted, ReadPlatform

MANIFEST_KEY = "document/manifest"
SEGMENT_KEY_PREFIX = "document/segments/"
HOSTS_KEY = "hosts"
# The platform holds a watch for 30 s; a result that takes longer was lost.
CALL_TIMEOUT_SECONDS = 40.0
INITIAL_RETRY_DELAY_SECONDS = 0.5
MAXIMUM_RETRY_DELAY_SECONDS = 10.0
# A stale platform may return an old revision at once instead of holding the watch.
UNCHANGED_REREAD_DELAY_SECONDS = 1.0
# After a restart of all 2,000 hosts, their first reads of two keys stay below
# 2,000 per second.
MAXIMUM_START_DELAY_SECONDS = 2.5
# 36 readers at this rate stay below the platform's limit of 2,000 reads per second.
READER_SEGMENT_READS_PER_SECOND = 30.0
# Any host may find that its peers lack a segment. After a restart of a region all
# hosts do, and 2,000 hosts at this rate read 1,000 segments per second.
FALLBACK_SEGMENT_READS_PER_SECOND = 0.5
MAXIMUM_OUTSTANDING_SEGMENT_READS = 8
SEGMENT_READ_TIMEOUT_SECONDS = 2.0


@dataclass(slots=True)
class KeyWatch:
    """State of the reads and watches of one key.

    `revision` of `epoch` is the one that the next watch starts after, None if the
    next call is a read.
    """

    due: float
    called_at: float | None = None
    epoch: int = 0
    revision: int | None = None
    failures: int = 0


class PlatformReader:
    """Schedules the reads and watches of the platform's keys."""

    __slots__ = (
        "random",
        "started",
        "watches_by_key",
        "_due_by_segment",
        "_last_refill",
        "_tokens",
    )

    def __init__(self, generator: random.Random, now: float):
        self.random = generator
        self.started = now
        self.watches_by_key = {
            key: KeyWatch(now + generator.uniform(0, MAXIMUM_START_DELAY_SECONDS))
            for key in (MANIFEST_KEY, HOSTS_KEY)
        }
        self._due_by_segment: dict[bytes, float] = {}
        self._tokens = 1.0
        self._last_refill = now

    def due_calls(
        self, may_watch: bool, is_starting: bool, now: float
    ) -> list[ReadPlatform]:
        """Return the calls that are due: watches by readers, reads by new hosts."""
        calls = []
        for key, watch in self.watches_by_key.items():
            may_call = may_watch or (is_starting and watch.revision is None)
            if not may_call or not self._is_due(watch, now):
                continue
            if watch.called_at is not None:
                # The result of the last call was lost, as after an error.
                watch.revision = None
            watch.called_at = now
            after_revision = watch.revision if may_watch else None
            calls.append(ReadPlatform(key, after_revision, watch.epoch))
        return calls

    def record_result(self, event: PlatformReadCompleted, now: float) -> bool:
        """Schedule the next call; return False if the result is an error."""
        watch = self.watches_by_key[event.key]
        started = now if watch.called_at is None else watch.called_at
        watch.called_at = None
        if event.error:
            # The platform may have come back from an older copy, where a watch after
            # this revision would miss the changes that reuse it.
            watch.revision = None
            watch.failures += 1
            watch.due = now + self._retry_delay(watch.failures)
            return False
        watch.failures = 0
        position = (watch.epoch, watch.revision)
        changed = (event.epoch, event.revision) != position
        quick = now - started < UNCHANGED_REREAD_DELAY_SECONDS
        watch.due = now + (
            UNCHANGED_REREAD_DELAY_SECONDS if quick and not changed else 0.0
        )
        watch.epoch, watch.revision = event.epoch, event.revision
        return True

    def record_unchanged(self, event: PlatformReadCompleted, now: float) -> None:
        """Renew a watch that ended without a change, or read if its history ended."""
        watch = self.watches_by_key[event.key]
        watch.called_at = None
        watch.failures = 0
        watch.due = now
        if event.epoch != watch.epoch:
            watch.revision = None

    def schedule_reread(self, key: str, now: float) -> None:
        """Schedule a new read of a key whose last value was unusable."""
        watch = self.watches_by_key[key]
        watch.revision = None
        watch.due = now + UNCHANGED_REREAD_DELAY_SECONDS

    def segment_calls(
        self, missing: list[bytes], is_reader: bool, now: float
    ) -> list[tuple[bytes, ReadPlatform]]:
        """Return reads of missing segments within the rate, with their digests."""
        rate = (
            READER_SEGMENT_READS_PER_SECOND
            if is_reader
            else FALLBACK_SEGMENT_READS_PER_SECOND
        )
        self._refill_tokens(rate, now)
        expired = [d for d, due in self._due_by_segment.items() if due <= now]
        for digest in expired:
            del self._due_by_segment[digest]
        free = MAXIMUM_OUTSTANDING_SEGMENT_READS - len(self._due_by_segment)
        wanted = [d for d in missing if d not in self._due_by_segment]
        self.random.shuffle(wanted)
        chosen = wanted[: max(0, min(free, int(self._tokens)))]
        self._tokens -= len(chosen)
        for digest in chosen:
            self._due_by_segment[digest] = now + SEGMENT_READ_TIMEOUT_SECONDS
        return [(d, ReadPlatform(SEGMENT_KEY_PREFIX + d.hex())) for d in chosen]

    def record_segment_result(self, digest: bytes, failed: bool, now: float) -> None:
        """Record the end of a segment read; a failed one is retried after a delay."""
        if failed:
            self._due_by_segment[digest] = now + INITIAL_RETRY_DELAY_SECONDS
        else:
            self._due_by_segment.pop(digest, None)

    def _is_due(self, watch: KeyWatch, now: float) -> bool:
        if watch.called_at is not None:
            return now - watch.called_at >= CALL_TIMEOUT_SECONDS
        return now >= watch.due

    def _retry_delay(self, failures: int) -> float:
        delay = min(
            MAXIMUM_RETRY_DELAY_SECONDS,
            INITIAL_RETRY_DELAY_SECONDS * 2 ** (failures - 1),
        )
        return delay * self.random.uniform(0.5, 1.0)

    def _refill_tokens(self, rate: float, now: float) -> None:
        gained = (now - self._last_refill) * rate
        self._tokens = min(max(1.0, rate), self._tokens + gained)
        self._last_refill = now
