"""Answers to peers that ask for manifests and segments."""

from hornbeamdeal.kernel import Endpoint, SendPeer
from hornbeamdeal.wire import MAXIMUM_DATAGRAM_BYTES, peer_types

from ._topic import Topic

SEGMENTS_PER_ANSWER = 32
MAXIMUM_ANSWER_BYTES = 64 * 1024
# Room for the envelope and the field headers in one datagram.
OVERHEAD_BYTES = 150
DIGEST_BYTES = 34


def offer(topic: Topic) -> peer_types.VersionOffer:
    """Return the offer of what is in force."""
    version = topic.version
    return peer_types.VersionOffer(topic.name, version.number, version.digest)


def answer_manifest_request(
    topic: Topic, request: peer_types.ManifestRequest, endpoint: Endpoint
) -> SendPeer:
    """Answer with the manifest in force, or say which version is in force.

    A request for number 0 asks for the greatest version.
    """
    version = topic.version
    wants_any = not request.number
    wants_this = (request.number, request.digest) == (version.number, version.digest)
    if topic.in_force is None or not (wants_any or wants_this):
        return SendPeer(endpoint, offer(topic))
    manifest = peer_types.Manifest(
        topic.name, version.number, version.digest, list(topic.segment_digests)
    )
    size = len(topic.segment_digests) * DIGEST_BYTES
    return SendPeer(endpoint, manifest, _is_bulk(size))


def answer_segment_request(
    topics: list[Topic], request: peer_types.SegmentRequest, endpoint: Endpoint
) -> list[SendPeer]:
    """Answer with the requested segments that are here, in bounded messages."""
    answers = []
    batch: list[peer_types.Segment] = []
    size = 0
    for digest in (request.digests or [])[:SEGMENTS_PER_ANSWER]:
        content = _find(topics, digest)
        if content is None:
            continue
        if batch and size + len(content) > MAXIMUM_ANSWER_BYTES:
            answers.append(_segments(endpoint, batch, size))
            batch, size = [], 0
        batch.append(peer_types.Segment(digest, content))
        size += len(content) + DIGEST_BYTES
    if batch:
        answers.append(_segments(endpoint, batch, size))
    return answers


def _find(topics: list[Topic], digest: bytes) -> bytes | None:
    for topic in topics:
        if digest in topic.segments_by_digest:
            return topic.segments_by_digest[digest]
    return None


def _segments(endpoint: Endpoint, batch: list, size: int) -> SendPeer:
    return SendPeer(endpoint, peer_types.Segments(batch), _is_bulk(size))


def _is_bulk(size: int) -> bool:
    return size + OVERHEAD_BYTES > MAXIMUM_DATAGRAM_BYTES
