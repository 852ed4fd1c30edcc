"""Home slots: which host owns which slot of a service's servers."""

from collections.abc import Sequence
from dataclasses import dataclass

from hornbeamdeal.kernel import BackendServer


@dataclass(frozen=True, slots=True)
class HostPlace:
    """An entry host that takes part in the dealing."""

    host_id: str
    zone: str


@dataclass(frozen=True, slots=True)
class HomeSlots:
    """Slots of one server that one host owns. Long work uses the `long` ones."""

    indices: tuple[int, ...] = ()
    long: int = 0


@dataclass(frozen=True, slots=True)
class _Slot:
    server: BackendServer
    index: int
    long: bool


def long_slots_by_server(
    servers: Sequence[BackendServer], long_share: float
) -> dict[str, int]:
    """Deal the slots that long work may hold evenly over the servers.

    At least one slot of the service is open to long work, and a server with two
    or more slots keeps one for short work.
    """
    room = {s.server_id: max(1, s.slots - 1) for s in servers if s.slots > 0}
    target = max(1, int(sum(s.slots for s in servers) * long_share + 1e-9))
    counts = dict.fromkeys(room, 0)
    largest_first = sorted(servers, key=lambda s: (-s.slots, s.server_id))
    while target > 0 and any(counts[key] < room[key] for key in room):
        for server in largest_first:
            key = server.server_id
            if target > 0 and key in room and counts[key] < room[key]:
                counts[key] += 1
                target -= 1
    return counts


def deal_home_slots(
    servers: Sequence[BackendServer],
    hosts: Sequence[HostPlace],
    own_id: str,
    long_share: float,
) -> dict[str, HomeSlots]:
    """Return the own home slots by server.

    All hosts with the same lists compute the same owners. Hosts with differing
    lists may own one slot twice or not at all: the server's refusal settles the
    first, borrowing the second.
    """
    slots = _list_slots(servers, long_share)
    owned_by_host: dict[str, list[_Slot]] = {host.host_id: [] for host in hosts}
    for group in _split_by_kind(slots):
        _deal(group, hosts, owned_by_host)
    return _group_by_server(owned_by_host.get(own_id, []))


def _list_slots(servers, long_share) -> list[_Slot]:
    long_counts = long_slots_by_server(servers, long_share)
    slots = []
    for server in sorted(servers, key=lambda s: s.server_id):
        first_long = server.slots - long_counts.get(server.server_id, 0)
        for index in range(server.slots):
            slots.append(_Slot(server, index, index >= first_long))
    return slots


def _split_by_kind(slots: list[_Slot]) -> tuple[list[_Slot], list[_Slot]]:
    long = [slot for slot in slots if slot.long]
    return long, [slot for slot in slots if not slot.long]


def _deal(slots, hosts, owned_by_host) -> None:
    """Deal slots to same-zone hosts up to an even share, the rest to the poorest."""
    if not hosts or not slots:
        return
    dealt = dict.fromkeys(owned_by_host, 0)
    quota = len(slots) // len(hosts)
    by_index = sorted(slots, key=lambda slot: (slot.index, slot.server.server_id))
    left = []
    for slot in by_index:
        near = [h for h in hosts if h.zone == slot.server.zone]
        open_hosts = [h for h in near if dealt[h.host_id] < quota]
        if not _give(slot, open_hosts, dealt, owned_by_host):
            left.append(slot)
    for slot in left:
        _give(slot, hosts, dealt, owned_by_host)


def _give(slot, hosts, dealt, owned_by_host) -> bool:
    if not hosts:
        return False

    # The rotation spreads a host's slots over servers: with as many hosts as
    # servers, one host would otherwise own a whole server and stand still with it.
    positions = {host_id: place for place, host_id in enumerate(owned_by_host)}

    def rank(host):
        owned = owned_by_host[host.host_id]
        same = sum(own.server is slot.server for own in owned)
        rotated = (positions[host.host_id] - slot.index) % len(positions)
        return dealt[host.host_id], len(owned), same, rotated

    host_id = min(hosts, key=rank).host_id
    owned_by_host[host_id].append(slot)
    dealt[host_id] += 1
    return True


def _group_by_server(owned: list[_Slot]) -> dict[str, HomeSlots]:
    keys = dict.fromkeys(slot.server.server_id for slot in owned)
    grouped = {}
    for key in keys:
        mine = [slot for slot in owned if slot.server.server_id == key]
        indices = tuple(sorted(slot.index for slot in mine))
        grouped[key] = HomeSlots(indices, sum(slot.long for slot in mine))
    return grouped
