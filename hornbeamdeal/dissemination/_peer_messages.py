"""Messages from peers: offers, manifests, segments and requests for them."""

from typing import Any

from hornbeamdeal.document import Manifest
from hornbeamdeal.kernel import Endpoint, IncrementCounter, SendPeerMessage, Version
from hornbeamdeal.wire import peer_types

from ._fetcher import is_verified
from ._peer_replies import (
    make_offer,
    reply_to_manifest_request,
    reply_to_segment_request,
)
from ._segments import MAXIMUM_SEGMENTS
from ._topic import Topic
from ._topic_updater import TopicUpdater


class PeerMessageHandler:
    """Handles messages from peers and replies to them."""

    __slots__ = ("updater",)

    def __init__(self, updater: TopicUpdater):
        self.updater = updater

    def handle(self, message: Any, endpoint: Endpoint, now: float) -> None:
        """Handle one message; messages of other components are ignored."""
        if isinstance(message, peer_types.SegmentRequest):
            topics = list(self.updater.topics_by_name.values())
            self.updater.actions += reply_to_segment_request(topics, message, endpoint)
            return
        if isinstance(message, peer_types.Segments):
            self._handle_segments(message.segments or [], now)
            return
        topic = self.updater.topics_by_name.get(getattr(message, "topic", None))
        if topic is None:
            return
        if isinstance(message, peer_types.ManifestRequest):
            self.updater.actions.append(
                reply_to_manifest_request(topic, message, endpoint)
            )
        elif isinstance(message, peer_types.VersionOffer):
            self._handle_offer(topic, _version_of(message), endpoint, now)
        elif isinstance(message, peer_types.Manifest):
            self._handle_manifest(topic, message, endpoint, now)

    def _handle_offer(
        self, topic: Topic, version: Version, endpoint: Endpoint, now: float
    ) -> None:
        self.updater.record_peer_version(topic, version, now)
        candidate = topic.consider(version, now)
        if candidate is not None:
            self.updater.fetcher.add_source(candidate, endpoint)
            self.updater.step(topic, now)
        elif version < topic.version:
            self.updater.actions.append(SendPeerMessage(endpoint, make_offer(topic)))

    def _handle_manifest(
        self, topic: Topic, message: Any, endpoint: Endpoint, now: float
    ) -> None:
        version = _version_of(message)
        self.updater.record_peer_version(topic, version, now)
        digests = tuple(message.segment_digests or ())
        if not 0 < len(digests) <= MAXIMUM_SEGMENTS:
            self.updater.actions.append(
                IncrementCounter("dissemination_bad_manifests", "peer")
            )
            return
        candidate = topic.apply_manifest(Manifest(version, digests), now)
        if candidate is not None:
            self.updater.fetcher.add_source(candidate, endpoint)
            self.updater.step(topic, now)

    def _handle_segments(self, segments: list, now: float) -> None:
        for segment in segments:
            if is_verified(segment):
                self.updater.store_segment(segment.digest, segment.content, now)
            else:
                self.updater.actions.append(
                    IncrementCounter("dissemination_bad_segments", "peer")
                )
        for topic in self.updater.topics_by_name.values():
            self.updater.step(topic, now)


def _version_of(message: Any) -> Version:
    return Version(message.number or 0, message.digest or b"")
