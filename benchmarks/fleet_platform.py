"""Simulated platform for the fleet harness, and documents for it."""

import json
import random
from collections import Counter

from hornbeamdeal.document import sha256_digest
from hornbeamdeal.kernel import PlatformReadCompleted, Version

LATENCY_SECONDS = 0.003
WATCH_TIMEOUT_SECONDS = 30.0


class SimulatedPlatform:
    """Key-value store with watches; it can be down, frozen or unreachable."""

    def __init__(self, schedule):
        self.schedule = schedule
        self.value_by_key: dict[str, bytes] = {}
        self.revision_by_key: Counter = Counter()
        self.calls = Counter()
        self.is_down = False
        self.is_unreachable = None
        self.epoch = 1
        self._frozen_values: tuple | None = None
        self._watches: dict[int, tuple] = {}

    def put(self, key: str, value: bytes) -> None:
        """Set the value of a key and answer its watches."""
        self.value_by_key[key] = value
        self.revision_by_key[key] += 1
        if self._frozen_values is None:
            self._answer_watches(key)

    def publish(self, version_number: int, segments: list[bytes]) -> Version:
        """Store the segments of a document, then its manifest."""
        version = Version(version_number, sha256_digest(b"".join(segments)))
        for segment in segments:
            self.value_by_key[f"document/segments/{sha256_digest(segment).hex()}"] = (
                segment
            )
        manifest = {
            "version": version.number,
            "digest": version.digest.hex(),
            "segments": [sha256_digest(segment).hex() for segment in segments],
        }
        self.put("document/manifest", json.dumps(manifest).encode())
        return version

    def freeze(self) -> None:
        """Answer with the values of this moment until `thaw` is called."""
        self._frozen_values = (dict(self.value_by_key), Counter(self.revision_by_key))

    def thaw(self) -> None:
        """Answer with the current values again."""
        self._frozen_values = None
        for key in self.revision_by_key:
            self._answer_watches(key)

    def copy(self) -> tuple:
        """Return a copy of all values with their revisions."""
        return dict(self.value_by_key), Counter(self.revision_by_key)

    def restore(self, copied: tuple) -> None:
        """Start a new history from a copy and close all watches."""
        self.value_by_key, self.revision_by_key = copied
        self.epoch += 1
        for host, key, _, answer in list(self._watches.values()):
            event = PlatformReadCompleted(key, None, error="connection lost")
            self.schedule(LATENCY_SECONDS, answer, host, event)
        self._watches.clear()

    def read(self, host, action, answer) -> None:
        """Answer a read after the latency; hold a watch until its key changes."""
        self.calls[action.key.rpartition("/")[0] or action.key] += 1
        if self.is_down or (self.is_unreachable and self.is_unreachable(host.record)):
            event = PlatformReadCompleted(action.key, None, error="unreachable")
            self.schedule(LATENCY_SECONDS, answer, host, event)
            return
        after = action.after_revision
        if after is not None and self._revision(action.key) <= after:
            watch_id = sum(self.calls.values())
            self._watches[watch_id] = (host, action.key, after, answer)
            self.schedule(WATCH_TIMEOUT_SECONDS, self._expire_watch, watch_id)
            return
        self.schedule(LATENCY_SECONDS, self._reply, host, action.key, answer)

    def _readable_values(self) -> tuple:
        return self._frozen_values or (self.value_by_key, self.revision_by_key)

    def _revision(self, key: str) -> int:
        return self._readable_values()[1][key]

    def _reply(self, host, key: str, answer) -> None:
        if self.is_down or (self.is_unreachable and self.is_unreachable(host.record)):
            answer(host, PlatformReadCompleted(key, None, error="unreachable"))
            return
        value = self._readable_values()[0].get(key)
        revision = self._revision(key)
        answer(host, PlatformReadCompleted(key, value, revision, epoch=self.epoch))

    def _expire_watch(self, watch_id: int) -> None:
        if watch_id in self._watches:
            host, key, _, answer = self._watches.pop(watch_id)
            self._reply(host, key, answer)

    def _answer_watches(self, key: str) -> None:
        revision = self._revision(key)
        watches = self._watches.items()
        answered = [
            i for i, (_, k, after, _) in watches if k == key and revision > after
        ]
        for watch_id in answered:
            host, _, _, answer = self._watches.pop(watch_id)
            self.schedule(LATENCY_SECONDS, self._reply, host, key, answer)


def make_segments(count: int, size: int, random_state: int = 1) -> list[bytes]:
    """Return `count` segments of about `size` bytes each."""
    generator = random.Random(random_state)
    return [generator.randbytes(size // 2).hex().encode() for _ in range(count)]


def change_segment(segments: list[bytes], index: int, text: bytes) -> list[bytes]:
    """Return the segments of a document after a change of one service."""
    changed = list(segments)
    changed[index] = text + changed[index][len(text) :]
    return changed
