"""Baselines of the fleet measurements, computed with the real codec."""

from hornbeamdeal.kernel import Endpoint, EntryHost
from hornbeamdeal.membership import record_to_wire
from hornbeamdeal.wire import PeerCodec, peer_types

HEARTBEATS_PER_SECOND = 1.0
WATCH_SECONDS = 30.0
WATCHED_KEYS = 2


def heartbeat_mesh(hosts: int) -> float:
    """Return bytes a second a host sends if each beats to each other one."""
    codec = PeerCodec(
        host_id="host-0000",
        incarnation=1 << 60,
        keys_by_id={1: b"key of the fleet baseline"},
        sending_key_id=1,
    )
    own = EntryHost("host-0000", 1 << 60, Endpoint("10.0.0.1", 7000), "zone-0")
    beat = codec.encode(peer_types.Ping(1, [record_to_wire(own)]))
    return len(beat) * HEARTBEATS_PER_SECOND * (hosts - 1)


def watch_everywhere(hosts: int) -> float:
    """Return platform calls a second at rest if every host watches both keys."""
    return hosts * WATCHED_KEYS / WATCH_SECONDS


def whole_document(segments: list[bytes]) -> int:
    """Return bytes a host receives if each change sends the whole document."""
    return sum(map(len, segments))
