"""Versions in force of many members in one message."""

from dataclasses import replace
from functools import lru_cache
from hashlib import blake2b

from hornbeamdeal.kernel import EntryHost, Version
from hornbeamdeal.wire import peer_types

HASH_BYTES = 8


@lru_cache(maxsize=8192)
def process_hash(host_id: str, incarnation: int) -> int:
    """Return the short name of one process of a host.

    It contains the incarnation, so the version of a process is never taken
    for that of its successor.
    """
    text = f"{host_id}/{incarnation}".encode()
    digest = blake2b(text, digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, signed=True)


def holders_to_wire(
    version: Version | None, members: list[EntryHost]
) -> peer_types.VersionHolders | None:
    """Return the wire form, None where there is nothing to say."""
    if version is None or not members:
        return None
    hashes = [process_hash(m.host_id, m.incarnation) for m in members]
    return peer_types.VersionHolders(version.number, version.digest, hashes)


def holders_from_wire(
    message: peer_types.VersionHolders | None, members_by_id: dict[str, EntryHost]
) -> list[EntryHost]:
    """Return the claims that the holders known here have the version."""
    if message is None or not message.number or not message.holders:
        return []
    version = Version(message.number, message.digest or b"")
    holders = set(message.holders)
    return [
        replace(member, version=version)
        for member in members_by_id.values()
        if process_hash(member.host_id, member.incarnation) in holders
    ]
