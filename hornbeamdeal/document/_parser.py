"""Incremental parsing of documents, one segment at a time."""

import re
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import yaml
from result import Err, Ok, Result

from hornbeamdeal.kernel import Version

from ._document import Document, ServiceSpec
from ._faults import Fault, FaultKind
from ._schema import HEAD_VALIDATOR
from ._schema_checker import SchemaChecker
from ._segments import (
    Segment,
    build_manifest,
    find_services_block,
    sha256_digest,
    size_faults,
    split_document,
)
from ._service import build_service, check_service
from ._yaml_nodes import NodeConverter, compose

# A document of the target size (15,000 targets) takes about 1 MB. The rest is headroom
# within the 64 MB of memory that a host may use for the control plane.
MAXIMUM_DOCUMENT_BYTES = 8_000_000
_TOP_LEVEL_LINE = re.compile(rb"^[^\s#]", re.MULTILINE)
# Some editors add it invisibly; 'version:' would then not be at the start of its line.
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


@dataclass(frozen=True, slots=True)
class ParsedSegment:
    """Result of parsing one segment; lines are relative to the segment."""

    services: tuple[ServiceSpec, ...] = ()
    faults: tuple[Fault, ...] = ()
    version_number: int = 0


class DocumentParser:
    """Parses documents, reusing the result for segments of the previous document."""

    __slots__ = ("_checker", "parsed_segments_by_digest_", "parsed_segment_count_")

    def __init__(self):
        self._checker = SchemaChecker()
        self.parsed_segments_by_digest_: dict[bytes, ParsedSegment] = {}
        self.parsed_segment_count_ = 0

    def parse(self, content: bytes) -> Result[Document, list[Fault]]:
        """Return the document, or all its faults ordered by line."""
        fault = _find_content_fault(content)
        if fault is not None:
            return Err([fault])
        segments = split_document(content)
        parsed = [self._parse_segment(i == 0, s) for i, s in enumerate(segments)]
        version = Version(parsed[0].version_number, sha256_digest(content))
        faults = [
            *_layout_faults(content),
            *size_faults(build_manifest(version, segments), segments),
            *_segment_faults(segments, parsed),
            *_duplicate_name_faults(segments, parsed),
        ]
        if faults:
            return Err(sorted(faults, key=lambda fault: fault.line))
        self.parsed_segments_by_digest_ = {
            s.digest: p for s, p in zip(segments, parsed, strict=True)
        }
        services = (service for p in parsed for service in p.services)
        return Ok(Document(version, {s.name: s for s in services}))

    def _parse_segment(self, is_head: bool, segment: Segment) -> ParsedSegment:
        cached = self.parsed_segments_by_digest_.get(segment.digest)
        if cached is not None:
            return cached
        self.parsed_segment_count_ += 1
        composed = compose(segment.content.decode())
        if composed.is_err():
            return ParsedSegment(faults=(composed.err_value,))
        root = composed.ok_value
        if not isinstance(root, yaml.MappingNode):
            return ParsedSegment(faults=(_not_a_mapping_fault(is_head),))
        if is_head:
            return self._parse_head(root)
        return self._parse_services(root)

    def _parse_head(self, root: yaml.MappingNode) -> ParsedSegment:
        converter = NodeConverter()
        head = converter.convert(root)
        faults = (
            *converter.faults,
            *self._checker.check(HEAD_VALIDATOR, head, [], root),
        )
        return ParsedSegment(
            faults=faults, version_number=0 if faults else head["version"]
        )

    def _parse_services(self, root: yaml.MappingNode) -> ParsedSegment:
        converter = NodeConverter()
        values = converter.convert(root)
        faults = list(converter.faults)
        services = []
        for name, key_node, node in _unique_items(root, values):
            service_faults = check_service(self._checker, name, values[name], root)
            faults += service_faults
            if not service_faults:
                services.append(build_service(key_node, node, values[name]))
        return ParsedSegment(services=tuple(services), faults=tuple(faults))


def _unique_items(root: yaml.MappingNode, values: dict[str, Any]):
    remaining = set(values)
    for key_node, node in root.value:
        if key_node.value in remaining:
            remaining.remove(key_node.value)
            yield key_node.value, key_node, node


def _not_a_mapping_fault(is_head: bool) -> Fault:
    head_remedy = "start the document with 'version:' and 'services:'"
    remedy = head_remedy if is_head else "start the service with 'name:'"
    return Fault(1, FaultKind.SYNTAX, "this is not a mapping", remedy)


def _find_content_fault(content: bytes) -> Fault | None:
    if len(content) > MAXIMUM_DOCUMENT_BYTES:
        message = (
            f"the document has {len(content)} bytes, above {MAXIMUM_DOCUMENT_BYTES}"
        )
        return Fault(1, FaultKind.SIZE, message, "split it by environment")
    if content.startswith(_BYTE_ORDER_MARK):
        message = "the document starts with a byte order mark"
        return Fault(1, FaultKind.ENCODING, message, "save it as UTF-8 without one")
    try:
        content.decode()
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        message = f"byte 0x{content[error.start]:02x} is not UTF-8"
        return Fault(line, FaultKind.ENCODING, message, "save the document as UTF-8")
    return None


def _layout_faults(content: bytes) -> Iterator[Fault]:
    start = find_services_block(content)
    if start is None:
        return
    for match in _TOP_LEVEL_LINE.finditer(content, start):
        line = content.count(b"\n", 0, match.start()) + 1
        message = "a top-level line is below the services"
        remedy = "move it above 'services:', or indent it if it is a service"
        yield Fault(line, FaultKind.LAYOUT, message, remedy)


def _segment_faults(
    segments: list[Segment], parsed: list[ParsedSegment]
) -> Iterator[Fault]:
    for segment, part in zip(segments, parsed, strict=True):
        offset = segment.first_line - 1
        for fault in part.faults:
            yield replace(fault, line=fault.line + offset)
    if len(segments) == 1 and not parsed[0].faults:
        remedy = "add at least one service below 'services:'"
        yield Fault(1, FaultKind.MISSING_KEY, "the document has no services", remedy)


def _duplicate_name_faults(
    segments: list[Segment], parsed: list[ParsedSegment]
) -> Iterator[Fault]:
    """Report names used twice.

    Names are unique in the document, since the host list maps each to one endpoint.
    """
    lines_by_name: dict[tuple[str, str], int] = {}
    for item_kind, name, line in _named_items(segments, parsed):
        earlier_line = lines_by_name.setdefault((item_kind, name), line)
        if earlier_line != line:
            message = f"{item_kind} {name!r} is already named on line {earlier_line}"
            remedy = f"use each {item_kind} name once in the document"
            yield Fault(line, FaultKind.DUPLICATE_NAME, message, remedy)


def _named_items(
    segments: list[Segment], parsed: list[ParsedSegment]
) -> Iterator[tuple[str, str, int]]:
    for segment, part in zip(segments, parsed, strict=True):
        offset = segment.first_line - 1
        for service in part.services:
            yield "service", service.name, offset + service.line
            for address in service.addresses:
                yield "address", address.name, offset + address.line
            for target in service.targets:
                yield "target", target.name, offset + target.line


def parse_document(content: bytes) -> Result[Document, list[Fault]]:
    """Parse one document; use DocumentParser for successive documents."""
    return DocumentParser().parse(content)
