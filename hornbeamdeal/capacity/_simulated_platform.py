"""Simulates the platform's configuration service and counts its calls."""

from collections import Counter
from typing import Any

from hornbeamdeal.document import Segment, build_manifest
from hornbeamdeal.kernel import PlatformReadCompleted, ReadPlatform, Version

READ_LATENCY_SECONDS = 0.003
WATCH_TIMEOUT_SECONDS = 30.0
MANIFEST_KEY = "document/manifest"
HOST_LIST_KEY = "hosts"


class SimulatedPlatform:
    """Configuration service that answers a watch when its key changes or it expires.

    `schedule(delay, action, *arguments)` calls an action after a delay in seconds.
    """

    def __init__(self, schedule: Any):
        self.schedule = schedule
        self.calls = 0
        self._value_by_key: dict[str, bytes] = {}
        self._revision_by_key: Counter[str] = Counter()
        self._watches: list[tuple[ReadPlatform, Any]] = []

    @property
    def pending_watches(self) -> int:
        """Return the number of pending watches."""
        return len(self._watches)

    def publish_document(self, version: Version, segments: list[Segment]) -> None:
        """Write a document's segments and then its manifest."""
        for segment in segments:
            key = f"document/segments/{segment.digest.hex()}"
            self._value_by_key[key] = segment.content
        self.put(MANIFEST_KEY, build_manifest(version, segments).encode())

    def put(self, key: str, value: bytes) -> None:
        """Write a key and answer its watches."""
        self._value_by_key[key] = value
        self._revision_by_key[key] += 1
        watches = [watch for watch in self._watches if watch[0].key == key]
        for watch in watches:
            self._end_watch(watch)

    def read(self, action: ReadPlatform, on_answer: Any) -> None:
        """Answer a read after a delay, or keep a watch pending."""
        self.calls += 1
        after = action.after_revision
        if after is None or self._revision_by_key[action.key] > after:
            self.schedule(READ_LATENCY_SECONDS, self._reply, action, on_answer)
            return
        watch = (action, on_answer)
        self._watches.append(watch)
        self.schedule(WATCH_TIMEOUT_SECONDS, self._end_watch, watch)

    def _end_watch(self, watch: tuple[ReadPlatform, Any]) -> None:
        if any(pending is watch for pending in self._watches):
            self._watches = [w for w in self._watches if w is not watch]
            self.schedule(READ_LATENCY_SECONDS, self._reply, *watch)

    def _reply(self, action: ReadPlatform, on_answer: Any) -> None:
        key = action.key
        value = self._value_by_key.get(key)
        on_answer(PlatformReadCompleted(key, value, self._revision_by_key[key]))
