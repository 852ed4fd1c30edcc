"""Baselines of the fleet benchmark, computed with the real peer codec."""

from hornbeamdeal.kernel import Endpoint, EntryHost
from hornbeamdeal.membership import record_to_wire
from hornbeamdeal.wire import PeerCodec, peer_types

HEARTBEATS_PER_SECOND = 1.0
WATCH_TIMEOUT_SECONDS = 30.0
WATCHED_KEYS = 2


def heartbeat_mesh_bytes_per_second(hosts: int) -> float:
    """Return bytes per second that a host sends if all hosts ping each other."""
    codec = PeerCodec(
        host_id="host-0000",
        incarnation=1 << 60,
        keys_by_id={1: b"key of the fleet baseline"},
        sending_key_id=1,
    )
    own = EntryHost("host-0000", 1 << 60, Endpoint("10.0.0.1", 7000), "zone-0")
    heartbeat = codec.encode(peer_types.Ping(1, [record_to_wire(own)]))
    return len(heartbeat) * HEARTBEATS_PER_SECOND * (hosts - 1)


def watch_everywhere_calls_per_second(hosts: int) -> float:
    """Return platform calls per second at idle if all hosts watch both keys."""
    return hosts * WATCHED_KEYS / WATCH_TIMEOUT_SECONDS


def whole_document_bytes(segments: list[bytes]) -> int:
    """Return bytes that a host receives per change if the whole document is sent."""
    return sum(map(len, segments))
