"""Shares of gossip and table exchanges that cross availability zones.

Traffic between zones costs money. An update has to enter a zone only a few times,
since the zone's hosts then spread it among themselves, so the traffic between zones
must not grow with the hosts of a zone. The load that this answers is the start of all
hosts, when the records of all members pass through each host.
"""

# Copies of an update that the hosts of one zone together send to other zones. With
# the 18 zones of the design that is two copies for each of them.
CROSSING_COPIES = 40
# Share of table exchanges with other zones in a large zone, and the size of a zone up
# to which the peers of an exchange are chosen regardless of their zones.
CROSSING_EXCHANGE_SHARE = 0.25
SMALL_ZONE_HOSTS = 8


def crossing_gossip_share(zone_peers: int, other_peers: int, copies: int) -> float:
    """Return the share of gossip to send to other zones.

    Each host sends an update `copies` times. `zone_peers` and `other_peers` are the
    reachable peers in this host's zone and in the others.
    """
    hosts = zone_peers + 1
    uniform_share = _uniform_share(zone_peers, other_peers)
    return min(uniform_share, CROSSING_COPIES / (hosts * max(copies, 1)))


def crossing_exchange_share(zone_peers: int, other_peers: int) -> float:
    """Return the share of table exchanges to make with hosts of other zones."""
    uniform_share = _uniform_share(zone_peers, other_peers)
    if zone_peers < SMALL_ZONE_HOSTS:
        return uniform_share
    return min(uniform_share, CROSSING_EXCHANGE_SHARE)


def _uniform_share(zone_peers: int, other_peers: int) -> float:
    return other_peers / max(zone_peers + other_peers, 1)
