"""Home hosts: the few entry hosts that own a service's slots in a large region."""

from collections.abc import Sequence

import xxhash

from hornbeamdeal.kernel import BackendServer, HostState, View

from ._home_slots import HostPlace

# With 7 hosts and 21 slots each host owns 3. A smaller pool estimates its
# throughput from too few requests.
SLOTS_PER_HOME_HOST = 3
# With fewer slots a host the bounds were missed; see the design note. Regions of
# up to 7 hosts never pay the hop, even for their small services.
MIN_SLOTS_PER_HOST = 2
MAX_HOSTS_WITHOUT = 7
# The death of a single home host would stop the service until peers notice it.
MIN_HOME_HOSTS = 2


def list_places(view: View) -> list[HostPlace]:
    """Return the hosts that may own slots; this one is among them unless it leaves."""
    places = {h.host_id: HostPlace(h.host_id, h.zone) for h in view.live_hosts()}
    own = view.hosts_by_id.get(view.own_id)
    if own is None or own.state is not HostState.LEAVING:
        places[view.own_id] = HostPlace(view.own_id, view.own_zone)
    return [places[host_id] for host_id in sorted(places)]


def elect_home_hosts(
    service: str, servers: Sequence[BackendServer], hosts: Sequence[HostPlace]
) -> list[HostPlace]:
    """Return the hosts that own the service's slots: all while slots suffice.

    In a large region these are few, elected by rendezvous hashing (Thaler and
    Ravishankar 1996), each zone in proportion to its slots. A draining server
    counts, so that a drain does not change the home hosts.
    """
    slots = sum(server.slots for server in servers)
    if len(hosts) <= MAX_HOSTS_WITHOUT or slots >= len(hosts) * MIN_SLOTS_PER_HOST:
        return list(hosts)
    wanted = max(MIN_HOME_HOSTS, slots // SLOTS_PER_HOME_HOST)
    ranked = _rank(service, hosts)
    elected = _elect_near(servers, ranked)
    rest = [host for host in ranked if host not in elected]
    elected += rest[: max(0, wanted - len(elected))]
    return sorted(elected, key=lambda host: host.host_id)


def _rank(service: str, hosts: Sequence[HostPlace]) -> list[HostPlace]:
    seed = xxhash.xxh3_64_intdigest(service.encode())

    def score(host: HostPlace) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(host.host_id.encode(), seed), host.host_id

    return sorted(hosts, key=score)


def _elect_near(
    servers: Sequence[BackendServer], ranked: list[HostPlace]
) -> list[HostPlace]:
    """Return the first hosts of each zone, as many as the zone's slots allow."""
    slots_by_zone: dict[str, int] = {}
    for server in servers:
        slots_by_zone[server.zone] = slots_by_zone.get(server.zone, 0) + server.slots
    elected: list[HostPlace] = []
    for zone, slots in sorted(slots_by_zone.items()):
        near = [host for host in ranked if host.zone == zone]
        elected += near[: slots // SLOTS_PER_HOME_HOST]
    return elected
