"""Fetching of a candidate's manifest and segments from peers."""

import random

from hornbeamdeal.document import digest_of
from hornbeamdeal.kernel import Count, Endpoint, SendPeer
from hornbeamdeal.wire import peer_types

from ._topic import Candidate, Topic

# A round trip takes a few milliseconds; a lost message costs one timeout of
# the convergence bound of 3 s.
MANIFEST_TIMEOUT_SECONDS = 0.3
SEGMENT_TIMEOUT_SECONDS = 0.4
# A candidate that nobody can supply would hold back smaller newer versions.
MANIFEST_TRIES = 4
STALL_SECONDS = 2.0
SEGMENTS_PER_REQUEST = 16
PARALLEL_REQUESTS = 4
MAXIMUM_SOURCES = 8


class Fetcher:
    """Asks several peers at once for what a topic's candidate lacks."""

    __slots__ = ("outbox", "random")

    def __init__(self, outbox: list, generator: random.Random):
        self.outbox = outbox
        self.random = generator

    def add_source(self, candidate: Candidate, endpoint: Endpoint) -> None:
        """Remember a peer that has the candidate."""
        sources = candidate.sources
        if endpoint not in sources and len(sources) < MAXIMUM_SOURCES:
            sources.append(endpoint)

    def step(self, topic: Topic, others: list[Endpoint], now: float) -> bool:
        """Ask for what is due; return False where the candidate is given up."""
        candidate = topic.candidate
        if now - candidate.progress_at >= STALL_SECONDS:
            return False
        if candidate.segment_digests is None:
            return self._ask_for_manifest(topic, candidate, now)
        self._ask_for_segments(topic, candidate, others, now)
        return True

    def pending(self, candidate: Candidate, now: float) -> set[bytes]:
        """Return the digests that were asked for and may still come."""
        return {d for d, due in candidate.due_by_digest.items() if due > now}

    def _ask_for_manifest(self, topic: Topic, candidate: Candidate, now: float) -> bool:
        if now < candidate.manifest_due:
            return True
        if candidate.manifest_tries >= MANIFEST_TRIES or not candidate.sources:
            return False
        candidate.manifest_tries += 1
        candidate.manifest_due = now + MANIFEST_TIMEOUT_SECONDS
        version = candidate.version
        request = peer_types.ManifestRequest(topic.name, version.number, version.digest)
        source = self.random.choice(candidate.sources)
        self.outbox.append(SendPeer(source, request))
        return True

    def _ask_for_segments(
        self, topic: Topic, candidate: Candidate, others: list[Endpoint], now: float
    ) -> None:
        pending = self.pending(candidate, now)
        room = PARALLEL_REQUESTS * SEGMENTS_PER_REQUEST - len(pending)
        missing = [d for d in topic.missing() if d not in pending]
        self._count_retries(topic, candidate, missing)
        sources = self._sources(candidate, others)
        if not sources or room < min(len(missing), SEGMENTS_PER_REQUEST):
            return
        self.random.shuffle(missing)
        missing = missing[:room]
        for start in range(0, len(missing), SEGMENTS_PER_REQUEST):
            batch = missing[start : start + SEGMENTS_PER_REQUEST]
            source = sources[start // SEGMENTS_PER_REQUEST % len(sources)]
            for digest in batch:
                candidate.due_by_digest[digest] = now + SEGMENT_TIMEOUT_SECONDS
            self.outbox.append(SendPeer(source, peer_types.SegmentRequest(batch)))

    def _sources(self, candidate: Candidate, others: list[Endpoint]) -> list[Endpoint]:
        """Return peers to ask, in random order; all have or will have the version."""
        sources = list(candidate.sources)
        if not sources:
            sources = list(others)
        self.random.shuffle(sources)
        return sources[:PARALLEL_REQUESTS]

    def _count_retries(
        self, topic: Topic, candidate: Candidate, missing: list[bytes]
    ) -> None:
        retried = sum(1 for digest in missing if digest in candidate.due_by_digest)
        if retried:
            reason = f"{topic.name}_segment"
            self.outbox.append(Count("dissemination_retries", reason, amount=retried))


def verified(segment: peer_types.Segment) -> bool:
    """Tell whether a received segment has the content that its digest names."""
    if segment.content is None or segment.digest is None:
        return False
    return digest_of(segment.content) == segment.digest
