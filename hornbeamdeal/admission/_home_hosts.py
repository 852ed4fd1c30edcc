"""Election of home hosts, the entry hosts that own a service's slots."""

from collections.abc import Sequence

import xxhash

from hornbeamdeal.kernel import BackendServer, ClusterView, HostState

from ._home_slots import HostLocation

# With 7 hosts and 21 slots each host owns 3. With fewer slots a host estimates
# its throughput from too few requests.
SLOTS_PER_HOME_HOST = 3
# With fewer slots per host the bounds on goodput and on refusal times in overload
# were missed.
MINIMUM_SLOTS_PER_HOST = 2
# In regions of up to 7 hosts all are home hosts, even for small services, so no
# request is relayed.
MAXIMUM_HOSTS_WITHOUT_ELECTION = 7
# The failure of a single home host would stop the service until its peers
# detect it.
MINIMUM_HOME_HOSTS = 2


def list_home_host_candidates(view: ClusterView) -> list[HostLocation]:
    """Return the hosts that may own slots: live ones and, unless leaving, this one."""
    places = {h.host_id: HostLocation(h.host_id, h.zone) for h in view.live_hosts()}
    own_host = view.hosts_by_id.get(view.own_id)
    if own_host is None or own_host.state is not HostState.LEAVING:
        places[view.own_id] = HostLocation(view.own_id, view.own_zone)
    return [places[host_id] for host_id in sorted(places)]


def elect_home_hosts(
    service: str, servers: Sequence[BackendServer], hosts: Sequence[HostLocation]
) -> list[HostLocation]:
    """Return the hosts that own the service's slots.

    These are all hosts if there are at most 7 or if the slots suffice. Otherwise a
    few hosts are elected by rendezvous hashing (Thaler and Ravishankar 1996), in
    each zone in proportion to its slots. Draining servers are counted, so that a
    drain does not change the home hosts.
    """
    slots = sum(server.slots for server in servers)
    if (
        len(hosts) <= MAXIMUM_HOSTS_WITHOUT_ELECTION
        or slots >= len(hosts) * MINIMUM_SLOTS_PER_HOST
    ):
        return list(hosts)
    target_count = max(MINIMUM_HOME_HOSTS, slots // SLOTS_PER_HOME_HOST)
    ranked = _rank_by_hash(service, hosts)
    elected = _elect_by_zone(servers, ranked)
    remaining = [host for host in ranked if host not in elected]
    elected += remaining[: max(0, target_count - len(elected))]
    return sorted(elected, key=lambda host: host.host_id)


def _rank_by_hash(service: str, hosts: Sequence[HostLocation]) -> list[HostLocation]:
    seed = xxhash.xxh3_64_intdigest(service.encode())

    def score(host: HostLocation) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(host.host_id.encode(), seed), host.host_id

    return sorted(hosts, key=score)


def _elect_by_zone(
    servers: Sequence[BackendServer], ranked: list[HostLocation]
) -> list[HostLocation]:
    """Return the first ranked hosts of each zone, in proportion to its slots."""
    slots_by_zone: dict[str, int] = {}
    for server in servers:
        slots_by_zone[server.zone] = slots_by_zone.get(server.zone, 0) + server.slots
    elected: list[HostLocation] = []
    for zone, slots in sorted(slots_by_zone.items()):
        in_zone = [host for host in ranked if host.zone == zone]
        elected += in_zone[: slots // SLOTS_PER_HOME_HOST]
    return elected
