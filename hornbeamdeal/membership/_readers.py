"""Election of the hosts that read the platform on behalf of their zone."""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

from hornbeamdeal.kernel import EntryHost, HostState

READERS_PER_ZONE = 2


@lru_cache(maxsize=4096)
def _rendezvous_weight(host_id: str, zone: str) -> bytes:
    return blake2b(f"{zone}/{host_id}".encode(), digest_size=8).digest()


def elect_readers(
    hosts: Iterable[EntryHost], zone: str, count: int = READERS_PER_ZONE
) -> list[EntryHost]:
    """Return the zone's readers by rendezvous hashing (Thaler, Ravishankar 1998).

    Hosts with the same view elect the same readers without communication, and
    the loss of a host that is not a reader changes nothing. Hosts with the
    highest link bandwidth come first, since readers distribute what they read.
    """
    usable = (HostState.ALIVE, HostState.SUSPECT)
    candidates = [h for h in hosts if h.zone == zone and h.state in usable]
    candidates.sort(
        key=lambda host: (host.link_mbps, _rendezvous_weight(host.host_id, zone)),
        reverse=True,
    )
    return candidates[:count]
