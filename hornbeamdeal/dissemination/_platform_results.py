"""Results of platform reads: manifests, segments and host lists."""

from hornbeamdeal.document import Manifest, sha256_digest
from hornbeamdeal.kernel import (
    UNCHANGED,
    IncrementCounter,
    LogEvent,
    PlatformReadCompleted,
    Version,
)

from ._order import NO_VERSION
from ._platform_reader import HOSTS_KEY, MANIFEST_KEY, SEGMENT_KEY_PREFIX
from ._segments import host_list_number, parse_manifest, split_host_list
from ._topic import DOCUMENT, HOST_LIST
from ._topic_updater import TopicUpdater


class PlatformResultHandler:
    """Handles values read from the platform, which may be outdated or wrong."""

    __slots__ = ("updater",)

    def __init__(self, updater: TopicUpdater):
        self.updater = updater

    def handle(self, event: PlatformReadCompleted, now: float) -> None:
        """Handle one result; results for other keys are ignored."""
        if event.key.startswith(SEGMENT_KEY_PREFIX):
            self._handle_segment(event, now)
        elif event.key not in (MANIFEST_KEY, HOSTS_KEY):
            return
        elif event.error == UNCHANGED:
            self.updater.platform.record_unchanged(event, now)
        elif not self.updater.platform.record_result(event, now):
            self.updater.actions.append(IncrementCounter("platform_errors", event.key))
        elif event.key == MANIFEST_KEY:
            self._handle_manifest(event, now)
        else:
            self._handle_host_list(event, now)

    def _handle_manifest(self, event: PlatformReadCompleted, now: float) -> None:
        topic = self.updater.topics_by_name[DOCUMENT]
        readiness = self.updater.readiness_by_topic[DOCUMENT]
        if event.value is None:
            readiness.record_platform_version(NO_VERSION)
            return
        manifest = parse_manifest(event.value)
        if manifest is None:
            self._report("dissemination_bad_manifests", "platform_manifest_malformed")
            return
        readiness.record_platform_version(manifest.version)
        candidate = topic.apply_manifest(manifest, now)
        if candidate is not None:
            candidate.may_read_segments_from_platform = (
                self.updater.peers.is_reader and not candidate.sources
            )
            candidate.manifest_from_platform = True
            self.updater.step(topic, now)

    def _handle_host_list(self, event: PlatformReadCompleted, now: float) -> None:
        topic = self.updater.topics_by_name[HOST_LIST]
        readiness = self.updater.readiness_by_topic[HOST_LIST]
        if event.value is None:
            readiness.record_platform_version(NO_VERSION)
            return
        number = host_list_number(event.value)
        if number is None:
            self._report("dissemination_bad_host_lists", "platform_host_list_malformed")
            return
        version = Version(number, sha256_digest(event.value))
        readiness.record_platform_version(version)
        if topic.consider(version, now) is None:
            return
        segments = [(sha256_digest(s), s) for s in split_host_list(event.value)]
        digests = tuple(digest for digest, _ in segments)
        topic.apply_manifest(Manifest(version, digests), now)
        for digest, segment in segments:
            topic.store_segment(digest, segment, now)
        self.updater.step(topic, now)

    def _report(self, counter: str, event: str) -> None:
        """Count and log a value that can't be used."""
        self.updater.actions.append(IncrementCounter(counter, "platform"))
        self.updater.actions.append(LogEvent(event, {}, "error"))

    def _handle_segment(self, event: PlatformReadCompleted, now: float) -> None:
        digest = bytes.fromhex(event.key.removeprefix(SEGMENT_KEY_PREFIX))
        failed = event.value is None or sha256_digest(event.value) != digest
        self.updater.platform.record_segment_result(digest, failed, now)
        topic = self.updater.topics_by_name[DOCUMENT]
        if failed:
            if topic.candidate is not None:
                topic.candidate.deadline_by_digest.pop(digest, None)
            reason = "error" if event.value is None else "digest"
            self.updater.actions.append(
                IncrementCounter("dissemination_bad_segments", reason)
            )
            return
        self.updater.store_segment(digest, event.value, now)
        self.updater.step(topic, now)
