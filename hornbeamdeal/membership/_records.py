"""Member records: precedence, merging and wire form."""

import random
from dataclasses import replace

from hornbeamdeal.kernel import EntryHost, HostState, Version, check_endpoint
from hornbeamdeal.wire import peer_types

INCARNATION_RANDOM_BITS = 20
# The incarnation of a start in the year 2200. A host whose identifier was claimed with a
# greater one could never join again.
MAXIMUM_INCARNATION = 7_258_118_400_000 << INCARNATION_RANDOM_BITS
# A host raises its sequence by one to refute an accusation, so that a greater number is
# malformed. Refuting the largest number of 64 bits would give one that can't be sent.
MAXIMUM_SEQUENCE = 2**32

# The position of a state is its number on the wire and its rank in a claim.
WIRE_STATES = (
    HostState.ALIVE,
    HostState.SUSPECT,
    HostState.LEAVING,
    HostState.DEAD,
)
_RANK_BY_STATE = {state: rank for rank, state in enumerate(WIRE_STATES)}


def generate_incarnation(wall_seconds: float, random_state: int | None = None) -> int:
    """Return an incarnation number greater than those of earlier starts.

    The wall clock in seconds orders the starts of one host identifier; it is
    compared with nothing else.
    """
    milliseconds = int(wall_seconds * 1000)
    noise = random.Random(random_state).getrandbits(INCARNATION_RANDOM_BITS)
    return milliseconds << INCARNATION_RANDOM_BITS | noise


def claim_precedence(host: EntryHost) -> tuple[int, int, int]:
    """Return the sort key of a claim about a host; the greater key is newer."""
    return host.incarnation, host.sequence, _RANK_BY_STATE[host.state]


def merge_records(known: EntryHost, claim: EntryHost) -> EntryHost:
    """Return the merge of two claims about one host, in either order.

    A newer incarnation replaces the older one, including its version; within
    one incarnation the greater version is kept, because a host never lowers
    its version.
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
    """Return whether a process raised its sequence to refute an accusation."""
    is_same_process = newer.incarnation == known.incarnation
    is_raised = newer.sequence > known.sequence
    return is_same_process and is_raised and newer.state is HostState.ALIVE


def record_to_wire(host: EntryHost) -> peer_types.MemberRecord:
    """Return the wire form of a member record."""
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


def omit_shared_digest(records: list[peer_types.MemberRecord], digest: bytes) -> None:
    """Remove from records the version digest that their message carries once."""
    for record in records:
        if record.version_digest == digest:
            record.version_digest = None


def restore_shared_digest(
    records: list[peer_types.MemberRecord], digest: bytes | None
) -> None:
    """Restore the version digest that a message carries once for its records."""
    for record in records:
        if record.version_digest is None:
            record.version_digest = digest


def is_valid_sequence(sequence: int | None) -> bool:
    """Return whether a sequence number in a message can be a host's."""
    return sequence is not None and 0 <= sequence <= MAXIMUM_SEQUENCE


def record_from_wire(record: peer_types.MemberRecord) -> EntryHost | None:
    """Return the member record of a wire form, or None if it is malformed."""
    required = (record.host_id, record.incarnation, record.ip, record.port)
    if None in required or not is_valid_sequence(record.sequence):
        return None
    if not 0 <= record.incarnation <= MAXIMUM_INCARNATION:
        return None
    try:
        endpoint = check_endpoint(record.ip, record.port)
    except ValueError:
        return None
    if record.state is None or not 0 <= record.state < len(WIRE_STATES):
        return None
    version = None
    if record.version_number:
        version = Version(record.version_number, record.version_digest or b"")
    return EntryHost(
        record.host_id,
        record.incarnation,
        endpoint,
        record.zone or "",
        WIRE_STATES[record.state],
        version,
        record.sequence,
        record.link_mbps or 0,
    )
