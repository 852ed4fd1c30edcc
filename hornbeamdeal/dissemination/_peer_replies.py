"""Version offers and replies to requests for manifests and segments."""

from hornbeamdeal.kernel import Endpoint, SendPeerMessage
from hornbeamdeal.wire import MAXIMUM_DATAGRAM_BYTES, peer_types

from ._topic import Topic

MAXIMUM_SEGMENTS_PER_REPLY = 32
MAXIMUM_REPLY_BYTES = 64 * 1024
# Envelope and field headers in one datagram.
DATAGRAM_OVERHEAD_BYTES = 150
ENCODED_DIGEST_BYTES = 34


def make_offer(topic: Topic) -> peer_types.VersionOffer:
    """Return the offer of the version in force."""
    version = topic.version
    return peer_types.VersionOffer(topic.name, version.number, version.digest)


def reply_to_manifest_request(
    topic: Topic, request: peer_types.ManifestRequest, endpoint: Endpoint
) -> SendPeerMessage:
    """Return the manifest in force, or an offer if another version is requested.

    Number 0 requests whatever version is in force.
    """
    version = topic.version
    wants_any = not request.number
    wants_this = (request.number, request.digest) == (version.number, version.digest)
    if topic.in_force is None or not (wants_any or wants_this):
        return SendPeerMessage(endpoint, make_offer(topic))
    manifest = peer_types.Manifest(
        topic.name, version.number, version.digest, list(topic.segment_digests)
    )
    size = len(topic.segment_digests) * ENCODED_DIGEST_BYTES
    return SendPeerMessage(endpoint, manifest, _is_bulk(size))


def reply_to_segment_request(
    topics: list[Topic], request: peer_types.SegmentRequest, endpoint: Endpoint
) -> list[SendPeerMessage]:
    """Return the requested segments that are stored here, in bounded messages."""
    replies = []
    batch: list[peer_types.Segment] = []
    size = 0
    for digest in (request.digests or [])[:MAXIMUM_SEGMENTS_PER_REPLY]:
        content = _find_segment(topics, digest)
        if content is None:
            continue
        if batch and size + len(content) > MAXIMUM_REPLY_BYTES:
            replies.append(_segments_message(endpoint, batch, size))
            batch, size = [], 0
        batch.append(peer_types.Segment(digest, content))
        size += len(content) + ENCODED_DIGEST_BYTES
    if batch:
        replies.append(_segments_message(endpoint, batch, size))
    return replies


def _find_segment(topics: list[Topic], digest: bytes) -> bytes | None:
    for topic in topics:
        if digest in topic.segments_by_digest:
            return topic.segments_by_digest[digest]
    return None


def _segments_message(endpoint: Endpoint, batch: list, size: int) -> SendPeerMessage:
    return SendPeerMessage(endpoint, peer_types.Segments(batch), _is_bulk(size))


def _is_bulk(size: int) -> bool:
    return size + DATAGRAM_OVERHEAD_BYTES > MAXIMUM_DATAGRAM_BYTES
