"""Updates of topics: fetch, complete or abandon candidates, offer the result."""

import random
from typing import Any

from hornbeamdeal.kernel import Endpoint, IncrementCounter, SendPeerMessage, Version

from ._fetcher import Fetcher
from ._peer_replies import make_offer
from ._peers import PeerSet
from ._platform_reader import (
    HOSTS_KEY,
    MANIFEST_KEY,
    SEGMENT_READ_TIMEOUT_SECONDS,
    PlatformReader,
)
from ._readiness import TopicReadiness
from ._segments import host_list_number
from ._topic import DOCUMENT, HOST_LIST, Candidate, Topic

PUSH_FANOUT = 3
QUERY_PEERS = 3
KEY_BY_TOPIC = {DOCUMENT: MANIFEST_KEY, HOST_LIST: HOSTS_KEY}
# A host without peers reads segments at the readers' rate only after this time.
JOIN_WAIT_SECONDS = 3.0
# A host that peers cannot supply reads segments itself after this time.
PLATFORM_FALLBACK_SECONDS = 1.0


class TopicUpdater:
    """Holds both topics and advances their candidates."""

    __slots__ = (
        "actions",
        "fetcher",
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
        self.actions: list[Any] = []
        self.peers = peers
        self.topics_by_name = {
            DOCUMENT: Topic(DOCUMENT, check_by_topic[DOCUMENT], self.actions),
            HOST_LIST: Topic(
                HOST_LIST,
                check_by_topic[HOST_LIST],
                self.actions,
                number_of=host_list_number,
            ),
        }
        self.readiness_by_topic = {
            name: TopicReadiness(now) for name in self.topics_by_name
        }
        self.fetcher = Fetcher(self.actions, generator)
        self.platform = PlatformReader(generator, now)

    def store_segment(self, digest: bytes, content: bytes, now: float) -> None:
        """Store a verified segment in the topics that need it."""
        topics = self.topics_by_name.values()
        wanted = [topic.store_segment(digest, content, now) for topic in topics]
        if not any(wanted):
            self.actions.append(IncrementCounter("dissemination_unwanted_segments"))

    def record_peer_version(self, topic: Topic, version: Version, now: float) -> None:
        """Record the version that a peer has of a topic."""
        self.readiness_by_topic[topic.name].record_peer_version(version)

    def offer_all(self, endpoint: Endpoint) -> None:
        """Offer the versions in force of all topics to a peer."""
        for topic in self.topics_by_name.values():
            self.actions.append(SendPeerMessage(endpoint, make_offer(topic)))

    def step(self, topic: Topic, now: float) -> None:
        """Advance the topic's candidate: put it in force or request missing parts."""
        if topic.candidate is None:
            return
        if topic.try_complete():
            self._offer_to_peers(topic)
            return
        candidate = topic.candidate
        if candidate is None:
            return
        if topic.name == DOCUMENT and candidate.segment_digests is not None:
            self._read_segments_from_platform(topic, candidate, now)
        if not self.fetcher.request_due(topic, self.peers.sample(QUERY_PEERS), now):
            self._abandon(topic, now)

    def _read_segments_from_platform(
        self, topic: Topic, candidate: Candidate, now: float
    ) -> None:
        stalled = now - candidate.last_progress_at >= PLATFORM_FALLBACK_SECONDS
        # A host that knows no peers yet elects itself, as all hosts do when a
        # region restarts; it waits for peers before it reads as a reader.
        join_deadline = self.platform.started + JOIN_WAIT_SECONDS
        is_joining = self.peers.is_empty and now < join_deadline
        is_reader = (
            candidate.may_read_segments_from_platform
            and self.peers.is_reader
            and not is_joining
        )
        if not is_reader and not stalled:
            return
        pending = self.fetcher.pending_digests(candidate, now)
        missing = [d for d in topic.missing_segments() if d not in pending]
        for digest, call in self.platform.segment_calls(missing, is_reader, now):
            candidate.deadline_by_digest[digest] = now + SEGMENT_READ_TIMEOUT_SECONDS
            self.actions.append(call)

    def _abandon(self, topic: Topic, now: float) -> None:
        """Abandon a candidate that no peer supplies, and look for others at once."""
        if topic.candidate.manifest_from_platform:
            self.platform.schedule_reread(MANIFEST_KEY, now)
        topic.abandon()
        for endpoint in self.peers.sample(QUERY_PEERS):
            self.actions.append(SendPeerMessage(endpoint, make_offer(topic)))

    def _offer_to_peers(self, topic: Topic) -> None:
        for endpoint in self.peers.sample(PUSH_FANOUT):
            self.actions.append(SendPeerMessage(endpoint, make_offer(topic)))
