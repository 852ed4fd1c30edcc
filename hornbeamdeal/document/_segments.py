"""Cutting a document into segments, and joining them."""

import hashlib
import json
import re
import zlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import pairwise

from result import Err, Ok, Result

from hornbeamdeal.kernel import Version

from ._check import SchemaChecker
from ._faults import Fault, FaultKind
from ._schema import MANIFEST

# The platform takes values of up to 1 MB; 10^6 also fits where MB means 2^20.
MAX_VALUE_BYTES = 1_000_000
# A change costs each host the manifest (67 bytes a segment) and one segment. For
# a document of 1 MB the sum is least at about 120 segments; with 900 services
# that is 8 services to a segment.
SERVICES_PER_SEGMENT = 8
_SERVICES_LINE = re.compile(rb"^services:[ \t]*(?:#[^\n]*)?\r?\n", re.MULTILINE)
_FIRST_SERVICE = re.compile(rb"^( +)[^\s#]", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Segment:
    """A piece of a document. `first_line` counts from 1."""

    digest: bytes
    content: bytes
    first_line: int


@dataclass(frozen=True, slots=True)
class Manifest:
    """Version of a document and the digests of its segments in order."""

    version: Version
    segment_digests: tuple[bytes, ...]

    def encode(self) -> bytes:
        """Return the manifest as JSON."""
        fields = {
            "version": self.version.number,
            "digest": self.version.digest.hex(),
            "segments": [digest.hex() for digest in self.segment_digests],
        }
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, content: bytes) -> Result["Manifest", list[Fault]]:
        """Read a manifest from JSON."""
        if len(content) > MAX_VALUE_BYTES:
            return Err([_manifest_size_fault(len(content))])
        try:
            fields = json.loads(content)
        except (ValueError, RecursionError) as error:
            message = f"the manifest is not JSON ({error})"
            remedy = "publish the files of 'hornbeamdeal-ctl pack' again"
            return Err([Fault(1, FaultKind.SYNTAX, message, remedy)])
        faults = SchemaChecker().check(MANIFEST, fields, [], None)
        if faults:
            return Err(faults)
        version = Version(fields["version"], bytes.fromhex(fields["digest"]))
        return Ok(cls(version, tuple(map(bytes.fromhex, fields["segments"]))))


def digest_of(content: bytes) -> bytes:
    """Return the SHA-256 digest of exact bytes."""
    return hashlib.sha256(content).digest()


def cut(content: bytes) -> list[Segment]:
    """Cut a document at service boundaries; the pieces joined are its bytes.

    The first segment holds everything above the first service, so that raising
    the version changes only a few bytes besides the changed service.
    """
    segments = []
    line = 1
    positions = [0, *_cut_positions(content), len(content)]
    for start, end in pairwise(positions):
        piece = content[start:end]
        segments.append(Segment(digest_of(piece), piece, line))
        line += piece.count(b"\n")
    return segments


def _cut_positions(content: bytes) -> Iterator[int]:
    starts = service_starts(content)
    segment_start = 0
    for start, end in pairwise([*starts, len(content)]):
        too_large = end - segment_start > MAX_VALUE_BYTES
        if start == starts[0] or too_large or _is_boundary(content, start):
            segment_start = start
            yield start


def _is_boundary(content: bytes, start: int) -> bool:
    """Tell from the name alone, so that other services' changes move no cut."""
    end = content.find(b":", start)
    return zlib.crc32(content[start:end].strip()) % SERVICES_PER_SEGMENT == 0


def services_start(content: bytes) -> int | None:
    """Return the position below the line `services:`, None without such a line."""
    match = _SERVICES_LINE.search(content)
    return match.end() if match else None


def service_starts(content: bytes) -> list[int]:
    """Return the positions of the lines that start a service."""
    below = services_start(content)
    if below is None:
        return []
    first = _FIRST_SERVICE.search(content, below)
    if first is None:
        return []
    pattern = re.compile(rb"^ {%d}(?=[^\s#])" % len(first[1]), re.MULTILINE)
    return [match.start() for match in pattern.finditer(content, below)]


def manifest_of(version: Version, segments: list[Segment]) -> Manifest:
    """Return the manifest of a document cut into segments."""
    return Manifest(version, tuple(segment.digest for segment in segments))


def join(
    manifest: Manifest, contents_by_digest: Mapping[bytes, bytes]
) -> Result[bytes, list[Fault]]:
    """Return the document's bytes, checked against the manifest's digests."""
    faults = []
    for digest in manifest.segment_digests:
        content = contents_by_digest.get(digest)
        if content is None or digest_of(content) != digest:
            problem = "missing" if content is None else "altered"
            faults.append(_digest_fault(f"segment {digest.hex()[:12]} is {problem}"))
    if faults:
        return Err(faults)
    joined = b"".join(contents_by_digest[d] for d in manifest.segment_digests)
    if digest_of(joined) != manifest.version.digest:
        return Err([_digest_fault("the segments do not give the manifest's digest")])
    return Ok(joined)


def _digest_fault(message: str) -> Fault:
    remedy = "fetch the segments again, or publish the document again"
    return Fault(1, FaultKind.DIGEST, message, remedy)


def size_faults(manifest: Manifest, segments: list[Segment]) -> list[Fault]:
    """Return the faults of values that the platform cannot hold."""
    faults = [
        Fault(
            segment.first_line,
            FaultKind.SIZE,
            f"a segment has {len(segment.content)} bytes, above {MAX_VALUE_BYTES}",
            "split the service that starts here into smaller services",
        )
        for segment in segments
        if len(segment.content) > MAX_VALUE_BYTES
    ]
    manifest_size = len(manifest.encode())
    if manifest_size > MAX_VALUE_BYTES:
        faults.append(_manifest_size_fault(manifest_size))
    return faults


def _manifest_size_fault(size: int) -> Fault:
    message = f"the manifest has {size} bytes, above {MAX_VALUE_BYTES}"
    return Fault(1, FaultKind.SIZE, message, "reduce the number of services")
