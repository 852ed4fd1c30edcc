"""Member records: their order, their merge and their form on the wire."""

import random
from dataclasses import replace

from hornbeamdeal.kernel import Endpoint, EntryHost, HostState, Version
from hornbeamdeal.wire import peer_types

INCARNATION_RANDOM_BITS = 20

WIRE_STATES = (
    HostState.ALIVE,
    HostState.SUSPECT,
    HostState.LEAVING,
    HostState.DEAD,
)
_RANK_BY_STATE = {state: rank for rank, state in enumerate(WIRE_STATES)}


def draw_incarnation(wall_seconds: float, random_state: int | None = None) -> int:
    """Return a number for a new start that exceeds those of earlier starts.

    The wall clock orders the starts of one host identifier; it is compared
    with nothing else.
    """
    milliseconds = int(wall_seconds * 1000)
    noise = random.Random(random_state).getrandbits(INCARNATION_RANDOM_BITS)
    return milliseconds << INCARNATION_RANDOM_BITS | noise


def claim_precedence(host: EntryHost) -> tuple[int, int, int]:
    """Return the key by which the newer of two claims on a host is found."""
    return host.incarnation, host.sequence, _RANK_BY_STATE[host.state]


def merge_records(known: EntryHost, claim: EntryHost) -> EntryHost:
    """Return what two claims on one host say together.

    The result does not depend on their order. A new incarnation replaces
    the older one with its version; within one incarnation the greater
    version stays, because a host never lowers its version.
    """
    newer = claim if claim_precedence(claim) > claim_precedence(known) else known
    if claim.incarnation != known.incarnation:
        return newer
    version = max(known.version, claim.version, key=_version_key)
    if newer.version is version:
        return newer
    return replace(newer, version=version)


def _version_key(version: Version | None) -> tuple[int, bytes]:
    return (version.number, version.digest) if version else (0, b"")


def is_refutation(known: EntryHost, newer: EntryHost) -> bool:
    """Tell whether a process only raised its sequence to refute a claim."""
    is_same_process = newer.incarnation == known.incarnation
    is_raised = newer.sequence > known.sequence
    return is_same_process and is_raised and newer.state is HostState.ALIVE


def to_wire(host: EntryHost) -> peer_types.MemberRecord:
    """Return the wire form of a record."""
    number, digest = _version_key(host.version)
    return peer_types.MemberRecord(
        host.host_id,
        host.incarnation,
        host.endpoint.ip,
        host.endpoint.port,
        host.zone,
        _RANK_BY_STATE[host.state],
        host.sequence,
        number,
        digest,
        host.link_mbps,
    )


def omit_digest(records: list[peer_types.MemberRecord], digest: bytes) -> None:
    """Leave a digest out that a message names once for most of its records."""
    for record in records:
        if record.version_digest == digest:
            record.version_digest = None


def restore_digest(
    records: list[peer_types.MemberRecord], digest: bytes | None
) -> None:
    """Put the digest back that the message names once."""
    for record in records:
        if record.version_digest is None:
            record.version_digest = digest


def from_wire(record: peer_types.MemberRecord) -> EntryHost | None:
    """Return the record of a wire form, None where a field is missing or wrong."""
    required = (record.host_id, record.incarnation, record.ip, record.port)
    if None in required or record.sequence is None:
        return None
    if record.state is None or not 0 <= record.state < len(WIRE_STATES):
        return None
    version = None
    if record.version_number:
        version = Version(record.version_number, record.version_digest or b"")
    return EntryHost(
        record.host_id,
        record.incarnation,
        Endpoint(record.ip, record.port),
        record.zone or "",
        WIRE_STATES[record.state],
        version,
        record.sequence,
        record.link_mbps or 0,
    )
