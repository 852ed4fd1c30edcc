"""Which peers a host tells of news itself, and who passes them on.

In a small fleet the reader tells every peer. In a larger one it tells some
relays of each group, a part of a zone, and these tell the rest of the group: a
tree of two levels, so that what one host sends grows with the square root of
the fleet. Two relays of a group repeat each other, which covers a dead one
until membership notices; a group without relays reads the store itself once
its news grow old.
"""

import math

import xxhash

from hornbeamdeal.kernel import Between, EntryHost, HostState, validate_parameters
from hornbeamdeal.membership import elect_readers

# With an answer of the store every 0.7 s, a reader sends 170 messages a second
# to this many peers, 12 KB/s.
DIRECT_PEERS = 120
# The square root of the 2,000 hosts that the design is made for.
GROUP_HOSTS = 45
RELAYS_PER_GROUP = 2
# Stands for news that their receiver passes on to nobody.
NO_GROUPS = 0


class NewsRelays:
    """Divides a fleet into groups and chooses who relays to them.

    A message names the number of groups of the receiver's zone, so that a
    relay whose view of the members differs serves the same group.

    Parameters
    ----------
    direct_peers : int
        Largest number of peers that a host tells without relays.
    group_hosts : int
        Hosts of a group, on average.
    relays_per_group : int
        Relays that are told for each group.
    """

    __slots__ = ("direct_peers", "group_hosts", "relays_per_group")

    def __init__(
        self,
        *,
        direct_peers: int = DIRECT_PEERS,
        group_hosts: int = GROUP_HOSTS,
        relays_per_group: int = RELAYS_PER_GROUP,
    ):
        self.direct_peers = direct_peers
        self.group_hosts = group_hosts
        self.relays_per_group = relays_per_group
        validate_parameters(
            self,
            {
                "direct_peers": Between(0, 100_000),
                "group_hosts": Between(1, 100_000),
                "relays_per_group": Between(1, 100),
            },
        )

    def receivers(self, peers: list[EntryHost]) -> dict[int, list[EntryHost]]:
        """Return the peers to tell by the number of groups of their zone."""
        if len(peers) <= self.direct_peers:
            return {NO_GROUPS: peers}
        peers_by_zone: dict[str, list[EntryHost]] = {}
        for peer in peers:
            peers_by_zone.setdefault(peer.zone, []).append(peer)
        receivers: dict[int, list[EntryHost]] = {}
        for zone, hosts in peers_by_zone.items():
            count = math.ceil(len(hosts) / self.group_hosts)
            receiving = receivers.setdefault(count, [])
            for group in range(count):
                members = [h for h in hosts if group_of(h.host_id, count) == group]
                receiving += self._elect_relays(members, zone)
        return receivers

    def group_peers(
        self, own: EntryHost, peers: list[EntryHost], count: int
    ) -> list[EntryHost]:
        """Return the peers that a relay passes news on to."""
        group = group_of(own.host_id, count)
        return [
            peer
            for peer in peers
            if peer.zone == own.zone and group_of(peer.host_id, count) == group
        ]

    def _elect_relays(self, members: list[EntryHost], zone: str) -> list[EntryHost]:
        alive = [host for host in members if host.state is HostState.ALIVE]
        # Where nobody is known to be alive, all are told, and nobody is missed.
        return elect_readers(alive, zone, self.relays_per_group) or members


def group_of(host_id: str, count: int) -> int:
    """Return the group of a host among those of its zone."""
    return xxhash.xxh32_intdigest(host_id.encode()) % count
