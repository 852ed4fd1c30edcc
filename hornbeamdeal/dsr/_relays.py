"""Distribution of catalog updates through relays.

In a small fleet the reader sends updates to every peer. In a larger one it sends
them to a few relays of each group, a part of a zone, and these forward them to the
rest of the group. The size of a group does not grow with the fleet: the reader
sends `RELAYS_PER_GROUP` messages to each group of about `GROUP_HOSTS` hosts, and a
relay one to each other host of its group. The relays of a group send the same
updates, which covers a dead relay until membership detects it; hosts of a group
without live relays read the store themselves once their catalog is too old.
"""

import math

import xxhash

from hornbeamdeal.kernel import Between, EntryHost, HostState, validate_parameters
from hornbeamdeal.membership import elect_readers

# With an answer of the store every 0.7 s, a reader sends 170 messages or 12 KB per
# second to this many peers.
DIRECT_PEERS = 120
# The square root of 2,000, the number of hosts that the design supports: there are
# then about as many groups as hosts in a group, which balances the messages of the
# reader, a few for each group, and of a relay, one for each host of its group.
GROUP_HOSTS = 45
RELAYS_PER_GROUP = 2
# Marks updates that their receiver does not relay.
NO_GROUPS = 0


class UpdateRelays:
    """Divides a fleet into groups and chooses their relays.

    A message carries the number of groups in the receiver's zone, so that a relay
    with a different view of the members still serves the same group.

    Parameters
    ----------
    direct_peers : int
        Maximum number of peers to which a host sends updates without relays.
    group_hosts : int
        Mean number of hosts in a group.
    relays_per_group : int
        Number of relays for each group.
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
        """Return the peers to send an update to, by the number of groups in their zone.

        Peers under the key `NO_GROUPS` don't relay the update.
        """
        if len(peers) <= self.direct_peers:
            return {NO_GROUPS: peers}
        peers_by_zone: dict[str, list[EntryHost]] = {}
        for peer in peers:
            peers_by_zone.setdefault(peer.zone, []).append(peer)
        receivers: dict[int, list[EntryHost]] = {}
        for zone, hosts in peers_by_zone.items():
            group_count = math.ceil(len(hosts) / self.group_hosts)
            receiving = receivers.setdefault(group_count, [])
            for group in range(group_count):
                members = [
                    h for h in hosts if group_of(h.host_id, group_count) == group
                ]
                receiving += self._elect_relays(members, zone)
        return receivers

    def group_peers(
        self, own: EntryHost, peers: list[EntryHost], group_count: int
    ) -> list[EntryHost]:
        """Return the peers to which a relay forwards updates."""
        group = group_of(own.host_id, group_count)
        return [
            peer
            for peer in peers
            if peer.zone == own.zone and group_of(peer.host_id, group_count) == group
        ]

    def _elect_relays(self, members: list[EntryHost], zone: str) -> list[EntryHost]:
        alive = [host for host in members if host.state is HostState.ALIVE]
        # The rule that elects a zone's readers serves here to elect a group's relays.
        # If no member is known to be alive, send to all so that none is missed.
        return elect_readers(alive, zone, self.relays_per_group) or members


def group_of(host_id: str, group_count: int) -> int:
    """Return the index of a host's group within its zone."""
    return xxhash.xxh32_intdigest(host_id.encode()) % group_count
