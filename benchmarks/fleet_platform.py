"""A stand-in of the platform for the fleet harness, and documents for it."""

import json
import random
from collections import Counter

from hornbeamdeal.document import digest_of
from hornbeamdeal.kernel import PlatformRead, Version

LATENCY_SECONDS = 0.003
WATCH_SECONDS = 30.0


class PlatformStandIn:
    """Key-value reads and watches; it can be down, frozen or unreachable."""

    def __init__(self, schedule):
        self.schedule = schedule
        self.value_by_key: dict[str, bytes] = {}
        self.revision_by_key: Counter = Counter()
        self.calls = Counter()
        self.is_down = False
        self.is_unreachable = None
        self._frozen: tuple | None = None
        self._watches: dict[int, tuple] = {}

    def put(self, key: str, value: bytes) -> None:
        """Write a key as an operator does, and answer its watches."""
        self.value_by_key[key] = value
        self.revision_by_key[key] += 1
        if self._frozen is None:
            self._answer_watches(key)

    def publish(self, version_number: int, segments: list[bytes]) -> Version:
        """Write a document's segments and then its manifest."""
        version = Version(version_number, digest_of(b"".join(segments)))
        for segment in segments:
            self.value_by_key[f"document/segments/{digest_of(segment).hex()}"] = segment
        manifest = {
            "version": version.number,
            "digest": version.digest.hex(),
            "segments": [digest_of(segment).hex() for segment in segments],
        }
        self.put("document/manifest", json.dumps(manifest).encode())
        return version

    def freeze(self) -> None:
        """Answer with what is stored now, whatever is written later."""
        self._frozen = (dict(self.value_by_key), Counter(self.revision_by_key))

    def thaw(self) -> None:
        """Answer with the current values again."""
        self._frozen = None
        for key in self.revision_by_key:
            self._answer_watches(key)

    def read(self, host, action, answer) -> None:
        """Answer a read after a moment; hold a watch until there is news."""
        self.calls[action.key.rpartition("/")[0] or action.key] += 1
        if self.is_down or (self.is_unreachable and self.is_unreachable(host.record)):
            event = PlatformRead(action.key, None, error="unreachable")
            self.schedule(LATENCY_SECONDS, answer, host, event)
            return
        after = action.after_revision
        if after is not None and self._revision(action.key) <= after:
            token = sum(self.calls.values())
            self._watches[token] = (host, action.key, answer)
            self.schedule(WATCH_SECONDS, self._end_watch, token)
            return
        self.schedule(LATENCY_SECONDS, self._reply, host, action.key, answer)

    def _store(self) -> tuple:
        return self._frozen or (self.value_by_key, self.revision_by_key)

    def _revision(self, key: str) -> int:
        return self._store()[1][key]

    def _reply(self, host, key: str, answer) -> None:
        if self.is_down or (self.is_unreachable and self.is_unreachable(host.record)):
            answer(host, PlatformRead(key, None, error="unreachable"))
            return
        value = self._store()[0].get(key)
        answer(host, PlatformRead(key, value, self._revision(key)))

    def _end_watch(self, token: int) -> None:
        if token in self._watches:
            host, key, answer = self._watches.pop(token)
            self._reply(host, key, answer)

    def _answer_watches(self, key: str) -> None:
        for token in [t for t, watch in self._watches.items() if watch[1] == key]:
            host, _, answer = self._watches.pop(token)
            self.schedule(LATENCY_SECONDS, self._reply, host, key, answer)


def make_segments(count: int, size: int, random_state: int = 1) -> list[bytes]:
    """Return segments of a document of about `count * size` bytes."""
    generator = random.Random(random_state)
    return [generator.randbytes(size // 2).hex().encode() for _ in range(count)]


def change_segment(segments: list[bytes], index: int, text: bytes) -> list[bytes]:
    """Return the segments of a document in which one service changed."""
    changed = list(segments)
    changed[index] = text + changed[index][len(text) :]
    return changed
