"""Owner and backup host of each flow key."""

import math
from dataclasses import dataclass

import xxhash

from hornbeamdeal.kernel import ClusterView, EntryHost, HostState

from ._keys import KEY_BYTES

# Owners are chosen per partition of the key space instead of per key, so that a
# packet needs one lookup instead of a hash per host (about 300).
PARTITIONS = 4096
_PARTITION_SHIFT = 64 - 12
# Longer than it takes until all hosts know of a joining or leaving host.
RECENT_JOIN_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Holders:
    """The hosts that store the records of a partition; empty if there is none."""

    owner: str = ""
    backup: str = ""

    def others(self, own_id: str) -> list[str]:
        """Return the holders other than `own_id`."""
        return [host for host in (self.owner, self.backup) if host not in ("", own_id)]


class HostSet:
    """Chooses holders among a fixed set of hosts by rendezvous hashing."""

    __slots__ = ("host_ids", "_seeds", "_holders_by_partition")

    def __init__(self, host_ids: frozenset[str]):
        self.host_ids = host_ids
        self._seeds = [
            (h, xxhash.xxh3_64_intdigest(h.encode())) for h in sorted(host_ids)
        ]
        self._holders_by_partition: dict[int, Holders] = {}

    def holders(self, key: int) -> Holders:
        """Return the owner and the backup of a key."""
        partition = key >> _PARTITION_SHIFT
        holders = self._holders_by_partition.get(partition)
        if holders is None:
            holders = self._holders_by_partition[partition] = self._choose(partition)
        return holders

    def _choose(self, partition: int) -> Holders:
        data = partition.to_bytes(KEY_BYTES, "little")
        scores = [(xxhash.xxh3_64_intdigest(data, s), h) for h, s in self._seeds]
        best = [host for _, host in sorted(scores, reverse=True)[:2]]
        return Holders(*best)


class Ownership:
    """Holders of flow keys while the set of hosts changes.

    `current` are the hosts that relays go to. `future` adds the hosts that joined
    in the last `join_seconds`, which receive records but no relays yet.
    `previous` are the hosts that had the records after the last completed
    handover.
    """

    __slots__ = ("join_seconds", "own_id", "current", "future", "previous")
    __slots__ += ("_hosts", "_joined_at", "_started_at")

    def __init__(self, join_seconds: float):
        self.join_seconds = join_seconds
        self.own_id = ""
        self.current = self.future = self.previous = HostSet(frozenset())
        self._hosts: dict[str, EntryHost] = {}
        self._joined_at: dict[str, float] = {}
        self._started_at = 0.0

    def update(self, view: ClusterView, now: float) -> bool:
        """Apply a view and return whether the set of future holders changed."""
        if not self.own_id:
            self._started_at = now
        # A starting host learns of its peers one by one, though they joined before it.
        is_starting = now - self._started_at < self.join_seconds
        self.own_id = view.own_id
        earlier, self._hosts = self._hosts, {h.host_id: h for h in view.live_hosts()}
        live = frozenset(self._hosts)
        restarted = {h for h in live if _is_restarted(earlier.get(h), self._hosts[h])}
        for host_id in (self._joined_at.keys() - live) | restarted:
            self._joined_at.pop(host_id, None)
        for host_id in live - self._joined_at.keys():
            was_present = is_starting and host_id != self.own_id
            self._joined_at[host_id] = -math.inf if was_present else now
        changed = bool(restarted) or live != self.future.host_ids
        if changed:
            self.future = HostSet(live)
        self.promote_joined(now)
        return changed

    def promote_joined(self, now: float) -> None:
        """Add the hosts whose joining time has passed to `current`."""
        latest = now - self.join_seconds
        joined = [host for host, at in self._joined_at.items() if at <= latest]
        host_ids = frozenset(joined) or self.future.host_ids
        if host_ids == self.future.host_ids:
            self.current = self.future
        elif host_ids != self.current.host_ids:
            self.current = HostSet(host_ids)

    def rejoin(self, now: float) -> None:
        """Let other hosts answer relays for this host's keys, as after a restart."""
        if self.own_id in self._joined_at:
            self._joined_at[self.own_id] = now
            self.promote_joined(now)

    def recently_joined(self, now: float) -> set[str]:
        """Return the other hosts that joined in the last `RECENT_JOIN_SECONDS`.

        They need all records again after each change of hosts in that time, as
        the owner that should have sent them may have left without knowing of them.
        """
        oldest = now - RECENT_JOIN_SECONDS
        joined = {host for host, at in self._joined_at.items() if at > oldest}
        return joined - {self.own_id}

    def complete_handover(self) -> None:
        """Record that the future holders have all records of this host."""
        self.previous = self.future

    def peers(self) -> list[EntryHost]:
        """Return the other live hosts."""
        return [h for h in self._hosts.values() if h.host_id != self.own_id]

    def host(self, host_id: str) -> EntryHost | None:
        """Return a live host, None if it is not known."""
        return self._hosts.get(host_id)

    def reachable_holder(self, key: int) -> str:
        """Return the holder to relay to: the owner, or its backup if it is suspect.

        Empty if neither of them can be reached.
        """
        holders = self.current.holders(key)
        for host_id in (holders.owner, holders.backup):
            host = self._hosts.get(host_id)
            if host_id == self.own_id:
                return host_id
            if host is not None and host.state is HostState.ALIVE:
                return host_id
        return ""

    def sends_to_new_holders(self, key: int) -> bool:
        """Return whether this host sends a record to new holders.

        These are the holders before the change, or any host if none of them is
        live.
        """
        before = self.previous.holders(key)
        if self.own_id in (before.owner, before.backup):
            return True
        return not any(host in self._hosts for host in before.others(""))


def _is_restarted(earlier: EntryHost | None, host: EntryHost) -> bool:
    return earlier is not None and earlier.incarnation != host.incarnation
