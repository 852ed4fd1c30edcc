"""Progress of candidates: complete, fetch, give up, push to peers."""

import random
from typing import Any

from hornbeamdeal.kernel import Count, Endpoint, SendPeer, Version

from ._fetcher import Fetcher
from ._peers import PeerSet
from ._platform import (
    HOSTS_KEY,
    MANIFEST_KEY,
    SEGMENT_READ_TIMEOUT_SECONDS,
    PlatformReader,
)
from ._readiness import TopicReadiness
from ._server import offer
from ._topic import DOCUMENT, HOSTS, Candidate, Topic

PUSH_FANOUT = 3
QUERY_PEERS = 3
KEY_BY_TOPIC = {DOCUMENT: MANIFEST_KEY, HOSTS: HOSTS_KEY}
# A host that peers cannot supply reads segments itself after this time.
JOINING_SECONDS = 3.0
PLATFORM_FALLBACK_SECONDS = 1.0


class Progress:
    """State of both topics and what moves their candidates on."""

    __slots__ = (
        "fetcher",
        "outbox",
        "peers",
        "platform",
        "readiness_by_topic",
        "topics_by_name",
    )

    def __init__(
        self,
        peers: PeerSet,
        check_by_topic: dict[str, Any],
        generator: random.Random,
        now: float,
    ):
        self.outbox: list[Any] = []
        self.peers = peers
        self.topics_by_name = {
            name: Topic(name, check_by_topic[name], self.outbox)
            for name in (DOCUMENT, HOSTS)
        }
        self.readiness_by_topic = {
            name: TopicReadiness(now) for name in self.topics_by_name
        }
        self.fetcher = Fetcher(self.outbox, generator)
        self.platform = PlatformReader(generator, now)

    def store_segment(self, digest: bytes, content: bytes, now: float) -> None:
        """Keep a verified segment for the topics that need it."""
        topics = self.topics_by_name.values()
        wanted = [topic.take_segment(digest, content, now) for topic in topics]
        if not any(wanted):
            self.outbox.append(Count("dissemination_unwanted_segments"))

    def note_peer(self, topic: Topic, version: Version, now: float) -> None:
        """Take the version that a peer has of a topic."""
        self.readiness_by_topic[topic.name].note_peer(version)

    def offer_all(self, endpoint: Endpoint) -> None:
        """Offer all that is in force to a peer."""
        for topic in self.topics_by_name.values():
            self.outbox.append(SendPeer(endpoint, offer(topic)))

    def step(self, topic: Topic, now: float) -> None:
        """Move the topic's candidate on: put it in force or ask for parts."""
        if topic.candidate is None:
            return
        if topic.complete():
            self._push(topic)
            return
        candidate = topic.candidate
        if candidate is None:
            return
        if topic.name == DOCUMENT and candidate.segment_digests is not None:
            self._read_segments(topic, candidate, now)
        if not self.fetcher.step(topic, self.peers.sample(QUERY_PEERS), now):
            self._give_up(topic, now)

    def _read_segments(self, topic: Topic, candidate: Candidate, now: float) -> None:
        stalled = now - candidate.progress_at >= PLATFORM_FALLBACK_SECONDS
        # A host that knows no peers yet elects itself, as all hosts do when a
        # region restarts; it waits a little before it reads as a reader.
        joins_until = self.platform.started + JOINING_SECONDS
        is_joining = self.peers.is_empty and now < joins_until
        is_reader = candidate.use_platform and self.peers.is_reader and not is_joining
        if not is_reader and not stalled:
            return
        pending = self.fetcher.pending(candidate, now)
        missing = [d for d in topic.missing() if d not in pending]
        for digest, call in self.platform.segment_calls(missing, is_reader, now):
            candidate.due_by_digest[digest] = now + SEGMENT_READ_TIMEOUT_SECONDS
            self.outbox.append(call)

    def _give_up(self, topic: Topic, now: float) -> None:
        """Drop a candidate that nobody supplies, and look for others at once."""
        if topic.candidate.from_platform:
            self.platform.read_again(MANIFEST_KEY, now)
        topic.abandon()
        for endpoint in self.peers.sample(QUERY_PEERS):
            self.outbox.append(SendPeer(endpoint, offer(topic)))

    def _push(self, topic: Topic) -> None:
        for endpoint in self.peers.sample(PUSH_FANOUT):
            self.outbox.append(SendPeer(endpoint, offer(topic)))
