"""Assignment of home slots, the slots of a service that each host owns."""

from collections.abc import Sequence
from dataclasses import dataclass

from hornbeamdeal.kernel import BackendServer


@dataclass(frozen=True, slots=True)
class HostLocation:
    """An entry host that may own home slots, with its zone."""

    host_id: str
    zone: str


@dataclass(frozen=True, slots=True)
class HomeSlots:
    """Slots of one server that one host owns.

    `long_count` of them are open to long work.
    """

    indices: tuple[int, ...] = ()
    long_count: int = 0


@dataclass(frozen=True, slots=True)
class _Slot:
    server: BackendServer
    index: int
    long: bool


def assign_long_slots(
    servers: Sequence[BackendServer], long_share: float
) -> dict[str, int]:
    """Return the number of slots open to long work by server, spread evenly.

    At least one slot of the service is open to long work, and a server with two
    or more slots keeps one for short work.
    """
    limits = {s.server_id: max(1, s.slots - 1) for s in servers if s.slots > 0}
    remaining = max(1, int(sum(s.slots for s in servers) * long_share + 1e-9))
    counts = dict.fromkeys(limits, 0)
    largest_first = sorted(servers, key=lambda s: (-s.slots, s.server_id))
    while remaining > 0 and any(counts[key] < limits[key] for key in limits):
        for server in largest_first:
            key = server.server_id
            if remaining > 0 and key in limits and counts[key] < limits[key]:
                counts[key] += 1
                remaining -= 1
    return counts


def assign_home_slots(
    servers: Sequence[BackendServer],
    hosts: Sequence[HostLocation],
    own_id: str,
    long_share: float,
) -> dict[str, HomeSlots]:
    """Return the home slots of host `own_id` by server.

    All hosts with the same lists compute the same owners. Where the lists
    differ, a slot may have two owners or none: the server refuses work beyond
    its slots, and a slot without an owner is used by borrowing.
    """
    slots = _list_slots(servers, long_share)
    owned_by_host: dict[str, list[_Slot]] = {host.host_id: [] for host in hosts}
    for group in _split_long_and_short(slots):
        _assign_group(group, hosts, owned_by_host)
    return _group_by_server(owned_by_host.get(own_id, []))


def _list_slots(servers, long_share) -> list[_Slot]:
    long_counts = assign_long_slots(servers, long_share)
    slots = []
    for server in sorted(servers, key=lambda s: s.server_id):
        first_long = server.slots - long_counts.get(server.server_id, 0)
        for index in range(server.slots):
            slots.append(_Slot(server, index, index >= first_long))
    return slots


def _split_long_and_short(slots: list[_Slot]) -> tuple[list[_Slot], list[_Slot]]:
    long = [slot for slot in slots if slot.long]
    return long, [slot for slot in slots if not slot.long]


def _assign_group(slots, hosts, owned_by_host) -> None:
    """Assign the slots evenly, preferably to hosts of the server's zone.

    A host of the same zone gets at most an even share; the remaining slots go
    to the hosts with the fewest slots.
    """
    if not hosts or not slots:
        return
    counts_by_host = dict.fromkeys(owned_by_host, 0)
    even_share = len(slots) // len(hosts)
    ordered = sorted(slots, key=lambda slot: (slot.index, slot.server.server_id))
    unassigned = []
    for slot in ordered:
        same_zone = [h for h in hosts if h.zone == slot.server.zone]
        open_hosts = [h for h in same_zone if counts_by_host[h.host_id] < even_share]
        if not _assign_slot(slot, open_hosts, counts_by_host, owned_by_host):
            unassigned.append(slot)
    for slot in unassigned:
        _assign_slot(slot, hosts, counts_by_host, owned_by_host)


def _assign_slot(slot, hosts, counts_by_host, owned_by_host) -> bool:
    """Assign the slot to the host with the fewest slots; return False without hosts."""
    if not hosts:
        return False

    # The rotation spreads a host's slots over servers. With as many hosts as
    # servers, a host would otherwise own one whole server and lose all its home
    # slots when that server is unavailable.
    position_by_host = {host_id: index for index, host_id in enumerate(owned_by_host)}

    def rank(host):
        owned = owned_by_host[host.host_id]
        on_same_server = sum(other.server is slot.server for other in owned)
        rotated = (position_by_host[host.host_id] - slot.index) % len(position_by_host)
        return counts_by_host[host.host_id], len(owned), on_same_server, rotated

    host_id = min(hosts, key=rank).host_id
    owned_by_host[host_id].append(slot)
    counts_by_host[host_id] += 1
    return True


def _group_by_server(owned: list[_Slot]) -> dict[str, HomeSlots]:
    server_ids = dict.fromkeys(slot.server.server_id for slot in owned)
    grouped = {}
    for server_id in server_ids:
        on_server = [slot for slot in owned if slot.server.server_id == server_id]
        indices = tuple(sorted(slot.index for slot in on_server))
        grouped[server_id] = HomeSlots(indices, sum(slot.long for slot in on_server))
    return grouped
