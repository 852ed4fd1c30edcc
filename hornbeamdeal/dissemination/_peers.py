"""Peers that receive version offers, and whether this host is a reader."""

import random
from collections.abc import Iterable

from hornbeamdeal.kernel import Endpoint, EntryHost, HostState
from hornbeamdeal.membership import elect_readers

# Number of new peers that get an offer at once; others learn versions by gossip.
NEW_PEER_OFFERS = 3


class PeerSet:
    """Live entry hosts of the region except this host."""

    __slots__ = ("is_reader", "own_id", "random", "zone", "_endpoint_by_id", "_ids")

    def __init__(self, own_id: str, zone: str, generator: random.Random):
        self.own_id = own_id
        self.zone = zone
        self.random = generator
        self.is_reader = False
        self._endpoint_by_id: dict[str, Endpoint] = {}
        self._ids: list[str] = []

    def update(self, hosts: Iterable[EntryHost]) -> list[Endpoint]:
        """Adopt all known hosts; return a sample of the new endpoints."""
        hosts = list(hosts)
        readers = elect_readers(hosts, self.zone)
        self.is_reader = any(host.host_id == self.own_id for host in readers)
        known = self._endpoint_by_id
        self._endpoint_by_id = {
            host.host_id: host.endpoint
            for host in hosts
            if host.host_id != self.own_id and host.state is not HostState.DEAD
        }
        self._ids = list(self._endpoint_by_id)
        new = [i for i, e in self._endpoint_by_id.items() if known.get(i) != e]
        chosen = self.random.sample(new, min(NEW_PEER_OFFERS, len(new)))
        return [self._endpoint_by_id[host_id] for host_id in chosen]

    @property
    def is_empty(self) -> bool:
        """Return whether no peer is known."""
        return not self._ids

    def sample(self, count: int) -> list[Endpoint]:
        """Return up to `count` random peers."""
        chosen = self.random.sample(self._ids, min(count, len(self._ids)))
        return [self._endpoint_by_id[host_id] for host_id in chosen]
