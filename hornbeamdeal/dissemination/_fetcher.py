"""Fetching a candidate's manifest and segments from peers."""

import random

from hornbeamdeal.document import sha256_digest
from hornbeamdeal.kernel import Endpoint, IncrementCounter, SendPeerMessage
from hornbeamdeal.wire import peer_types

from ._topic import Candidate, Topic

# A round trip takes a few milliseconds; a lost message costs one timeout out of
# the convergence bound of 3 s.
MANIFEST_TIMEOUT_SECONDS = 0.3
SEGMENT_TIMEOUT_SECONDS = 0.4
# A candidate that no peer supplies is abandoned, since it would block versions that
# are newer than the one in force but smaller than the candidate.
MAXIMUM_MANIFEST_REQUESTS = 4
STALL_TIMEOUT_SECONDS = 2.0
SEGMENTS_PER_REQUEST = 16
MAXIMUM_PARALLEL_REQUESTS = 4
MAXIMUM_SOURCES = 8


class Fetcher:
    """Requests the missing parts of a topic's candidate from several peers."""

    __slots__ = ("actions", "random")

    def __init__(self, actions: list, generator: random.Random):
        self.actions = actions
        self.random = generator

    def add_source(self, candidate: Candidate, endpoint: Endpoint) -> None:
        """Record a peer that has the candidate."""
        sources = candidate.sources
        if endpoint not in sources and len(sources) < MAXIMUM_SOURCES:
            sources.append(endpoint)

    def request_due(
        self, topic: Topic, fallback_sources: list[Endpoint], now: float
    ) -> bool:
        """Send the requests that are due; return False to abandon the candidate."""
        candidate = topic.candidate
        if now - candidate.last_progress_at >= STALL_TIMEOUT_SECONDS:
            return False
        if candidate.segment_digests is None:
            return self._request_manifest(topic, candidate, now)
        self._request_segments(topic, candidate, fallback_sources, now)
        return True

    def pending_digests(self, candidate: Candidate, now: float) -> set[bytes]:
        """Return the digests of requested segments that have not timed out."""
        return {d for d, due in candidate.deadline_by_digest.items() if due > now}

    def _request_manifest(self, topic: Topic, candidate: Candidate, now: float) -> bool:
        if now < candidate.manifest_due_at:
            return True
        if (
            candidate.manifest_requests >= MAXIMUM_MANIFEST_REQUESTS
            or not candidate.sources
        ):
            return False
        candidate.manifest_requests += 1
        candidate.manifest_due_at = now + MANIFEST_TIMEOUT_SECONDS
        version = candidate.version
        request = peer_types.ManifestRequest(topic.name, version.number, version.digest)
        source = self.random.choice(candidate.sources)
        self.actions.append(SendPeerMessage(source, request))
        return True

    def _request_segments(
        self,
        topic: Topic,
        candidate: Candidate,
        fallback_sources: list[Endpoint],
        now: float,
    ) -> None:
        pending = self.pending_digests(candidate, now)
        room = MAXIMUM_PARALLEL_REQUESTS * SEGMENTS_PER_REQUEST - len(pending)
        missing = [d for d in topic.missing_segments() if d not in pending]
        self._count_retries(topic, candidate, missing)
        sources = self._sources(candidate, fallback_sources)
        if not sources or room < min(len(missing), SEGMENTS_PER_REQUEST):
            return
        self.random.shuffle(missing)
        missing = missing[:room]
        for start in range(0, len(missing), SEGMENTS_PER_REQUEST):
            batch = missing[start : start + SEGMENTS_PER_REQUEST]
            source = sources[start // SEGMENTS_PER_REQUEST % len(sources)]
            for digest in batch:
                candidate.deadline_by_digest[digest] = now + SEGMENT_TIMEOUT_SECONDS
            self.actions.append(
                SendPeerMessage(source, peer_types.SegmentRequest(batch))
            )

    def _sources(
        self, candidate: Candidate, fallback_sources: list[Endpoint]
    ) -> list[Endpoint]:
        """Return peers to request from, in random order.

        All of them have the version or will have it.
        """
        sources = list(candidate.sources)
        if not sources:
            sources = list(fallback_sources)
        self.random.shuffle(sources)
        return sources[:MAXIMUM_PARALLEL_REQUESTS]

    def _count_retries(
        self, topic: Topic, candidate: Candidate, missing: list[bytes]
    ) -> None:
        retried = sum(1 for digest in missing if digest in candidate.deadline_by_digest)
        if retried:
            reason = f"{topic.name}_segment"
            self.actions.append(
                IncrementCounter("dissemination_retries", reason, amount=retried)
            )


def is_verified(segment: peer_types.Segment) -> bool:
    """Return whether the content of a received segment matches its digest."""
    if segment.content is None or segment.digest is None:
        return False
    return sha256_digest(segment.content) == segment.digest
