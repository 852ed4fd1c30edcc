"""Manifests from the platform and segments of a host list."""

import json
from hashlib import sha256
from typing import Any

from hornbeamdeal.document import Manifest
from hornbeamdeal.kernel import Version

MAXIMUM_SEGMENTS = 4096
# Messages between hosts carry version numbers in 64 bits.
MAXIMUM_NUMBER = 2**63 - 1
# Content-defined segments: a host list is split after an entry whose digest is zero
# under the mask, so that a changed entry changes one segment. A segment has 32
# entries of 80 bytes on average.
ENTRY_DELIMITER = b"},"
BOUNDARY_MASK = 0x1F
MAXIMUM_SEGMENT_BYTES = 16 * 1024


def parse_manifest(value: bytes) -> Manifest | None:
    """Return the platform's manifest, or None if it is malformed."""
    try:
        fields = json.loads(value)
        version = Version(fields["version"], bytes.fromhex(fields["digest"]))
        digests = tuple(bytes.fromhex(text) for text in fields["segments"])
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    if not _is_version_number(version.number):
        return None
    return Manifest(version, digests) if 0 < len(digests) <= MAXIMUM_SEGMENTS else None


def host_list_number(content: bytes) -> int | None:
    """Return the host list's own revision, or None if it has none.

    The platform's revision of the key can't order the lists, since it goes back if
    the platform is restored from an older copy.
    """
    try:
        number = json.loads(content)["revision"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    return number if _is_version_number(number) else None


def _is_version_number(number: Any) -> bool:
    is_integer = isinstance(number, int) and not isinstance(number, bool)
    return is_integer and 0 < number <= MAXIMUM_NUMBER


def split_host_list(content: bytes) -> list[bytes]:
    """Split a host list into content-defined segments, which concatenate to the list."""
    segments = []
    segment = b""
    for entry in content.split(ENTRY_DELIMITER):
        segment += entry + ENTRY_DELIMITER
        is_boundary = sha256(entry).digest()[0] & BOUNDARY_MASK == 0
        if is_boundary or len(segment) >= MAXIMUM_SEGMENT_BYTES:
            segments.append(segment)
            segment = b""
    segments.append(segment)
    segments = [s for s in segments if s]
    segments[-1] = segments[-1][: -len(ENTRY_DELIMITER)]
    return [s for s in segments if s]
