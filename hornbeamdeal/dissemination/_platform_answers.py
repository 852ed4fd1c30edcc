"""Answers of the platform: manifests, segments and host lists."""

from hornbeamdeal.document import Manifest, digest_of
from hornbeamdeal.kernel import Count, LogEvent, PlatformRead, Version

from ._order import NO_VERSION
from ._platform import HOSTS_KEY, MANIFEST_KEY, SEGMENT_KEY_PREFIX
from ._progress import Progress
from ._segments import parse_manifest, split_host_list
from ._topic import DOCUMENT, HOSTS


class PlatformAnswers:
    """Takes what the platform returned; it may be old or wrong."""

    __slots__ = ("progress",)

    def __init__(self, progress: Progress):
        self.progress = progress

    def take(self, event: PlatformRead, now: float) -> None:
        """Take one answer; answers for other keys are ignored."""
        if event.key.startswith(SEGMENT_KEY_PREFIX):
            self._take_segment(event, now)
        elif event.key not in (MANIFEST_KEY, HOSTS_KEY):
            return
        elif not self.progress.platform.take_answer(event, now):
            self.progress.outbox.append(Count("platform_errors", event.key))
        elif event.key == MANIFEST_KEY:
            self._take_manifest(event, now)
        else:
            self._take_hosts(event, now)

    def _take_manifest(self, event: PlatformRead, now: float) -> None:
        topic = self.progress.topics_by_name[DOCUMENT]
        readiness = self.progress.readiness_by_topic[DOCUMENT]
        if event.value is None:
            readiness.note_platform(NO_VERSION)
            return
        manifest = parse_manifest(event.value)
        if manifest is None:
            self.progress.outbox.append(
                Count("dissemination_bad_manifests", "platform")
            )
            self.progress.outbox.append(
                LogEvent("platform_manifest_malformed", {}, "error")
            )
            return
        readiness.note_platform(manifest.version)
        candidate = topic.take_manifest(manifest, now)
        if candidate is not None:
            candidate.use_platform = (
                self.progress.peers.is_reader and not candidate.sources
            )
            candidate.from_platform = True
            self.progress.step(topic, now)

    def _take_hosts(self, event: PlatformRead, now: float) -> None:
        topic = self.progress.topics_by_name[HOSTS]
        readiness = self.progress.readiness_by_topic[HOSTS]
        if event.value is None:
            readiness.note_platform(NO_VERSION)
            return
        version = Version(event.revision, digest_of(event.value))
        readiness.note_platform(version)
        if topic.consider(version, now) is None:
            return
        pieces = [(digest_of(p), p) for p in split_host_list(event.value)]
        digests = tuple(digest for digest, _ in pieces)
        topic.take_manifest(Manifest(version, digests), now)
        for digest, piece in pieces:
            topic.take_segment(digest, piece, now)
        self.progress.step(topic, now)

    def _take_segment(self, event: PlatformRead, now: float) -> None:
        digest = bytes.fromhex(event.key.removeprefix(SEGMENT_KEY_PREFIX))
        failed = event.value is None or digest_of(event.value) != digest
        self.progress.platform.note_segment(digest, failed, now)
        topic = self.progress.topics_by_name[DOCUMENT]
        if failed:
            if topic.candidate is not None:
                topic.candidate.due_by_digest.pop(digest, None)
            reason = "error" if event.value is None else "digest"
            self.progress.outbox.append(Count("dissemination_bad_segments", reason))
            return
        self.progress.store_segment(digest, event.value, now)
        self.progress.step(topic, now)
