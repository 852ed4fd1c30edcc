"""Compact wire form for the version in force on many members."""

from dataclasses import replace
from functools import lru_cache
from hashlib import blake2b

from hornbeamdeal.kernel import EntryHost, Version
from hornbeamdeal.wire import peer_types

HASH_BYTES = 8


@lru_cache(maxsize=8192)
def process_hash(host_id: str, incarnation: int) -> int:
    """Return the hash that identifies one process of a host on the wire.

    It covers the incarnation, so that the version of a process is never
    attributed to its successor.
    """
    text = f"{host_id}/{incarnation}".encode()
    digest = blake2b(text, digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, signed=True)


def holders_to_wire(
    version: Version | None, members: list[EntryHost]
) -> peer_types.VersionHolders | None:
    """Return the message that these members have the version.

    Return None if there is no version or no member.
    """
    if version is None or not members:
        return None
    hashes = [process_hash(m.host_id, m.incarnation) for m in members]
    return peer_types.VersionHolders(version.number, version.digest, hashes)


def holders_from_wire(
    message: peer_types.VersionHolders | None, members_by_id: dict[str, EntryHost]
) -> list[EntryHost]:
    """Return a claim for each known member that, by the message, has the version."""
    if message is None or not message.number or not message.holders:
        return []
    version = Version(message.number, message.digest or b"")
    holders = set(message.holders)
    return [
        replace(member, version=version)
        for member in members_by_id.values()
        if process_hash(member.host_id, member.incarnation) in holders
    ]
