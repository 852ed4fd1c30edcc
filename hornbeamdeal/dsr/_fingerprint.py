"""Fingerprint of a catalog's entries, from which hosts see that theirs differ."""

from collections.abc import Iterable

import xxhash

from ._records import NO_REVISION, Server, ZoneState


class EntryFingerprint:
    """Order-independent hash of the servers that a catalog lists.

    Two catalogs at one position of the store have the same fingerprint if and, but
    for collisions of 63 bits, only if they hold the same entries. Entries that the
    store's present history lacks don't count.
    """

    __slots__ = ("_value",)

    def __init__(self):
        self._value = 0

    def replace(self, known: Server | None, server: Server | None) -> None:
        """Account for a server's new entry; None stands for no entry."""
        for entry in (known, server):
            if entry is not None and entry.revision != NO_REVISION:
                self._value ^= _hash_entry(entry.server_id, entry.revision)

    def value_with(self, evacuated_zones: Iterable[ZoneState]) -> int:
        """Return the fingerprint of the servers and of the evacuated zones, 63 bits."""
        value = self._value
        for state in evacuated_zones:
            if state.revision != NO_REVISION:
                value ^= _hash_entry(f"zone {state.zone}", state.revision)
        return value


def _hash_entry(key: str, revision: int) -> int:
    # A signed 64-bit integer of a peer message holds 63 bits.
    return xxhash.xxh64_intdigest(f"{key}\0{revision}".encode()) >> 1
