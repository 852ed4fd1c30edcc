"""Digests, platform manifests and the segments of a host list."""

import json
from hashlib import sha256

from hornbeamdeal.document import Manifest
from hornbeamdeal.kernel import Version

MAXIMUM_SEGMENTS = 4096
# A host list is cut after an entry whose digest starts with zero bits, so
# that a changed entry changes one piece; 32 entries of 80 bytes on average.
ENTRY_END = b"},"
CUT_MASK = 0x1F
MAXIMUM_PIECE_BYTES = 16 * 1024


def parse_manifest(value: bytes) -> Manifest | None:
    """Return the platform's manifest, None where it is malformed."""
    try:
        fields = json.loads(value)
        version = Version(fields["version"], bytes.fromhex(fields["digest"]))
        digests = tuple(bytes.fromhex(text) for text in fields["segments"])
    except (ValueError, KeyError, TypeError):
        return None
    if not isinstance(version.number, int) or version.number < 1:
        return None
    return Manifest(version, digests) if 0 < len(digests) <= MAXIMUM_SEGMENTS else None


def split_host_list(content: bytes) -> list[bytes]:
    """Cut a host list at entries chosen by content; joined they give it back."""
    pieces = []
    piece = b""
    for entry in content.split(ENTRY_END):
        piece += entry + ENTRY_END
        is_cut = sha256(entry).digest()[0] & CUT_MASK == 0
        if is_cut or len(piece) >= MAXIMUM_PIECE_BYTES:
            pieces.append(piece)
            piece = b""
    pieces.append(piece)
    pieces = [p for p in pieces if p]
    pieces[-1] = pieces[-1][: -len(ENTRY_END)]
    return [p for p in pieces if p]
