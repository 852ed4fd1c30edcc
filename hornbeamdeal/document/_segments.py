"""Splitting a document into segments, and joining segments."""

import hashlib
import json
import re
import zlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import pairwise

from result import Err, Ok, Result

from hornbeamdeal.kernel import Version

from ._faults import Fault, FaultKind
from ._schema import MANIFEST_VALIDATOR
from ._schema_checker import SchemaChecker

# The platform accepts values of up to 1 MB; 10^6 is also valid if MB means 2^20.
MAXIMUM_PLATFORM_VALUE_BYTES = 1_000_000
# After a change each host fetches the manifest (67 bytes per segment) and one segment.
# For a document of 1 MB the total is smallest at about 120 segments, which is
# 8 services per segment with 900 services.
MEAN_SERVICES_PER_SEGMENT = 8
_SERVICES_LINE = re.compile(rb"^services:[ \t]*(?:#[^\n]*)?\r?\n", re.MULTILINE)
_FIRST_SERVICE_LINE = re.compile(rb"^( +)[^\s#]", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Segment:
    """A part of a document; `first_line` is its first line, counted from 1."""

    digest: bytes
    content: bytes
    first_line: int


@dataclass(frozen=True, slots=True)
class Manifest:
    """Version of a document and the ordered digests of its segments."""

    version: Version
    segment_digests: tuple[bytes, ...]

    def encode(self) -> bytes:
        """Return the manifest encoded as JSON."""
        fields = {
            "version": self.version.number,
            "digest": self.version.digest.hex(),
            "segments": [digest.hex() for digest in self.segment_digests],
        }
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, content: bytes) -> Result["Manifest", list[Fault]]:
        """Decode a manifest from JSON, or return its faults."""
        if len(content) > MAXIMUM_PLATFORM_VALUE_BYTES:
            return Err([_manifest_size_fault(len(content))])
        try:
            fields = json.loads(content)
        except (ValueError, RecursionError) as error:
            message = f"the manifest is not JSON ({error})"
            remedy = "publish the files of 'hornbeamdeal-ctl pack' again"
            return Err([Fault(1, FaultKind.SYNTAX, message, remedy)])
        faults = SchemaChecker().check(MANIFEST_VALIDATOR, fields, [], None)
        if faults:
            return Err(faults)
        version = Version(fields["version"], bytes.fromhex(fields["digest"]))
        return Ok(cls(version, tuple(map(bytes.fromhex, fields["segments"]))))


def sha256_digest(content: bytes) -> bytes:
    """Return the SHA-256 digest of the content."""
    return hashlib.sha256(content).digest()


def split_document(content: bytes) -> list[Segment]:
    """Split a document at service boundaries into consecutive segments.

    The first segment holds everything above the first service, so a new version
    number changes only this small segment besides that of the changed service.
    """
    segments = []
    line = 1
    boundaries = [0, *_segment_starts(content), len(content)]
    for start, end in pairwise(boundaries):
        segment_content = content[start:end]
        segments.append(Segment(sha256_digest(segment_content), segment_content, line))
        line += segment_content.count(b"\n")
    return segments


def _segment_starts(content: bytes) -> Iterator[int]:
    starts = find_service_starts(content)
    segment_start = 0
    for start, end in pairwise([*starts, len(content)]):
        too_large = end - segment_start > MAXIMUM_PLATFORM_VALUE_BYTES
        if start == starts[0] or too_large or _starts_segment(content, start):
            segment_start = start
            yield start


def _starts_segment(content: bytes, start: int) -> bool:
    """Return whether a segment starts at the service at this position.

    This depends on the service's name alone, so changes to other services do not
    move the boundary.
    """
    end = content.find(b":", start)
    return zlib.crc32(content[start:end].strip()) % MEAN_SERVICES_PER_SEGMENT == 0


def find_services_block(content: bytes) -> int | None:
    """Return the position after the line `services:`, or None if there is none."""
    match = _SERVICES_LINE.search(content)
    return match.end() if match else None


def find_service_starts(content: bytes) -> list[int]:
    """Return the position of the first line of each service."""
    block_start = find_services_block(content)
    if block_start is None:
        return []
    first = _FIRST_SERVICE_LINE.search(content, block_start)
    if first is None:
        return []
    pattern = re.compile(rb"^ {%d}(?=[^\s#])" % len(first[1]), re.MULTILINE)
    return [match.start() for match in pattern.finditer(content, block_start)]


def build_manifest(version: Version, segments: list[Segment]) -> Manifest:
    """Return the manifest of a document that is split into segments."""
    return Manifest(version, tuple(segment.digest for segment in segments))


def join_segments(
    manifest: Manifest, contents_by_digest: Mapping[bytes, bytes]
) -> Result[bytes, list[Fault]]:
    """Join segments to a document, checking all digests of the manifest.

    Returns faults for segments that are missing or altered, or one fault if the joined
    document does not match the manifest.
    """
    faults = []
    for digest in manifest.segment_digests:
        content = contents_by_digest.get(digest)
        if content is None or sha256_digest(content) != digest:
            problem = "missing" if content is None else "altered"
            faults.append(_digest_fault(f"segment {digest.hex()[:12]} is {problem}"))
    if faults:
        return Err(faults)
    document = b"".join(contents_by_digest[d] for d in manifest.segment_digests)
    if sha256_digest(document) != manifest.version.digest:
        return Err([_digest_fault("the joined segments do not match the manifest")])
    return Ok(document)


def _digest_fault(message: str) -> Fault:
    remedy = "fetch the segments again, or publish the document again"
    return Fault(1, FaultKind.DIGEST, message, remedy)


def size_faults(manifest: Manifest, segments: list[Segment]) -> list[Fault]:
    """Return a fault for each value above the platform's size limit."""
    faults = [
        Fault(
            segment.first_line,
            FaultKind.SIZE,
            f"a segment has {len(segment.content)} bytes, "
            f"above {MAXIMUM_PLATFORM_VALUE_BYTES}",
            "split the service that starts here into smaller services",
        )
        for segment in segments
        if len(segment.content) > MAXIMUM_PLATFORM_VALUE_BYTES
    ]
    manifest_size = len(manifest.encode())
    if manifest_size > MAXIMUM_PLATFORM_VALUE_BYTES:
        faults.append(_manifest_size_fault(manifest_size))
    return faults


def _manifest_size_fault(size: int) -> Fault:
    message = f"the manifest has {size} bytes, above {MAXIMUM_PLATFORM_VALUE_BYTES}"
    return Fault(1, FaultKind.SIZE, message, "reduce the number of services")
