"""Bounded table of recent flows, 12 bytes per flow."""

from array import array
from collections.abc import Iterator
from dataclasses import dataclass

# A lookup reads the keys of one bucket, 8 slots in one cache line.
BUCKET_SLOTS = 8
_STAMP_MASK = 0xFFFF
_INDEX_SHIFT = 16
_INDEX_MASK = 0x7FFF
_TRACKED_BIT = 1 << 31
_MAXIMUM_SERVERS = _INDEX_MASK + 1


@dataclass(frozen=True, slots=True)
class TableEntry:
    """A flow record: key and server digest, with the age in seconds since last use."""

    slot: int
    key: int
    digest: int
    age: int
    tracked: bool


class FlowTable:
    """Maps flow keys to server digests.

    A slot has an 8-byte key and a 4-byte value: 1 bit that marks a tracked record,
    whose server is not the current choice, 15 bits of server index and 16 bits of
    time of last use in seconds. In a full bucket the oldest untracked record is
    evicted first.
    """

    __slots__ = ("_keys", "_values", "_buckets", "_digests", "_index_by_digest", "used")

    def __init__(self, capacity: int):
        self._buckets = max(1, capacity // BUCKET_SLOTS)
        slots = self._buckets * BUCKET_SLOTS
        self._keys = array("Q", [0]) * slots
        self._values = array("I", [0]) * slots
        self._digests: list[int] = []
        self._index_by_digest: dict[int, int] = {}
        self.used = 0

    def __len__(self) -> int:
        return len(self._keys)

    def find(self, key: int) -> int:
        """Return the slot of a key, -1 if it is not stored."""
        start = (key >> 16) % self._buckets * BUCKET_SLOTS
        try:
            return self._keys.index(key, start, start + BUCKET_SLOTS)
        except ValueError:
            return -1

    def entry(self, slot: int, now: float) -> TableEntry:
        """Return the entry of an occupied slot."""
        value = self._values[slot]
        return TableEntry(
            slot,
            self._keys[slot],
            self._digests[value >> _INDEX_SHIFT & _INDEX_MASK],
            (int(now) - value) & _STAMP_MASK,
            bool(value & _TRACKED_BIT),
        )

    def digest_at(self, slot: int) -> int:
        """Return the server digest of an occupied slot."""
        return self._digests[self._values[slot] >> _INDEX_SHIFT & _INDEX_MASK]

    def age_at(self, slot: int, now: float) -> int:
        """Return the seconds since the record of a slot was last used."""
        return (int(now) - self._values[slot]) & _STAMP_MASK

    def touch(self, slot: int, now: float) -> None:
        """Set the time of last use of a slot."""
        value = self._values[slot]
        self._values[slot] = value & ~_STAMP_MASK | int(now) & _STAMP_MASK

    def set_tracked(self, slot: int, tracked: bool) -> None:
        """Set whether the record is tracked."""
        value = self._values[slot] & ~_TRACKED_BIT
        self._values[slot] = value | _TRACKED_BIT if tracked else value

    def put(self, key: int, digest: int, now: float, tracked: bool = False) -> bool:
        """Store a record and return whether it evicted a tracked one."""
        index = self._index_of(digest)
        slot, lost = self.find(key), False
        if slot < 0:
            slot = self._free_slot(key, now)
            lost = bool(self._keys[slot] and self._values[slot] & _TRACKED_BIT)
            self.used += not self._keys[slot]
        self._keys[slot] = key
        value = index << _INDEX_SHIFT | int(now) & _STAMP_MASK
        self._values[slot] = value | _TRACKED_BIT if tracked else value
        return lost

    def remove(self, slot: int) -> None:
        """Free a slot."""
        self._keys[slot] = 0
        self._values[slot] = 0
        self.used -= 1

    def occupied(self, start: int, stop: int) -> Iterator[int]:
        """Yield the occupied slots from `start` up to `stop`."""
        keys = self._keys
        for slot in range(start, min(stop, len(keys))):
            if keys[slot]:
                yield slot

    def _free_slot(self, key: int, now: float) -> int:
        start = (key >> 16) % self._buckets * BUCKET_SLOTS
        slots = range(start, start + BUCKET_SLOTS)
        for slot in slots:
            if not self._keys[slot]:
                return slot
        return max(slots, key=lambda slot: self._eviction_rank(slot, now))

    def _eviction_rank(self, slot: int, now: float) -> tuple[bool, int]:
        untracked = not self._values[slot] & _TRACKED_BIT
        return untracked, self.age_at(slot, now)

    def _index_of(self, digest: int) -> int:
        index = self._index_by_digest.get(digest)
        if index is None:
            index = self._next_index()
            self._index_by_digest[digest] = index
            self._digests[index] = digest
        return index

    def _next_index(self) -> int:
        if len(self._digests) < _MAXIMUM_SERVERS:
            self._digests.append(0)
            return len(self._digests) - 1
        self._compact()
        return self._next_index()

    def _compact(self) -> None:
        """Drop digests that no slot uses; clear the table if all are in use."""
        used = sorted({self.digest_at(slot) for slot in self.occupied(0, len(self))})
        if len(used) >= _MAXIMUM_SERVERS:
            used = []
            self._keys = array("Q", [0]) * len(self._keys)
            self.used = 0
        index_by_digest = {digest: index for index, digest in enumerate(used)}
        for slot in self.occupied(0, len(self)):
            index = index_by_digest[self.digest_at(slot)]
            kept = self._values[slot] & (_TRACKED_BIT | _STAMP_MASK)
            self._values[slot] = kept | index << _INDEX_SHIFT
        self._digests = used
        self._index_by_digest = index_by_digest
