"""Messages of peers: offers, manifests, segments and requests for them."""

from typing import Any

from hornbeamdeal.document import Manifest
from hornbeamdeal.kernel import Count, Endpoint, SendPeer, Version
from hornbeamdeal.wire import peer_types

from ._fetcher import verified
from ._progress import Progress
from ._segments import MAXIMUM_SEGMENTS
from ._server import answer_manifest_request, answer_segment_request, offer
from ._topic import Topic


class PeerMessages:
    """Takes messages of peers and answers them."""

    __slots__ = ("progress",)

    def __init__(self, progress: Progress):
        self.progress = progress

    def receive(self, message: Any, endpoint: Endpoint, now: float) -> None:
        """Take one message; messages of other components are ignored."""
        if isinstance(message, peer_types.SegmentRequest):
            topics = list(self.progress.topics_by_name.values())
            self.progress.outbox += answer_segment_request(topics, message, endpoint)
            return
        if isinstance(message, peer_types.Segments):
            self._take_segments(message.segments or [], now)
            return
        topic = self.progress.topics_by_name.get(getattr(message, "topic", None))
        if topic is None:
            return
        if isinstance(message, peer_types.ManifestRequest):
            self.progress.outbox.append(
                answer_manifest_request(topic, message, endpoint)
            )
        elif isinstance(message, peer_types.VersionOffer):
            self._take_offer(topic, _version_of(message), endpoint, now)
        elif isinstance(message, peer_types.Manifest):
            self._take_manifest(topic, message, endpoint, now)

    def _take_offer(
        self, topic: Topic, version: Version, endpoint: Endpoint, now: float
    ) -> None:
        self.progress.note_peer(topic, version, now)
        candidate = topic.consider(version, now)
        if candidate is not None:
            self.progress.fetcher.add_source(candidate, endpoint)
            self.progress.step(topic, now)
        elif version < topic.version:
            self.progress.outbox.append(SendPeer(endpoint, offer(topic)))

    def _take_manifest(
        self, topic: Topic, message: Any, endpoint: Endpoint, now: float
    ) -> None:
        version = _version_of(message)
        self.progress.note_peer(topic, version, now)
        digests = tuple(message.segment_digests or ())
        if not 0 < len(digests) <= MAXIMUM_SEGMENTS:
            self.progress.outbox.append(Count("dissemination_bad_manifests", "peer"))
            return
        candidate = topic.take_manifest(Manifest(version, digests), now)
        if candidate is not None:
            self.progress.fetcher.add_source(candidate, endpoint)
            self.progress.step(topic, now)

    def _take_segments(self, segments: list, now: float) -> None:
        for segment in segments:
            if verified(segment):
                self.progress.store_segment(segment.digest, segment.content, now)
            else:
                self.progress.outbox.append(Count("dissemination_bad_segments", "peer"))
        for topic in self.progress.topics_by_name.values():
            self.progress.step(topic, now)


def _version_of(message: Any) -> Version:
    return Version(message.number or 0, message.digest or b"")
