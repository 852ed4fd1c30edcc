"""Configuration documents: parsing, validation, segments, versions and diffs."""

from ._address_hold_down import HOLD_DOWN_SECONDS, AddressHoldDown
from ._diff import (
    Change,
    ChangeKind,
    ChangeWarning,
    DocumentDiff,
    WarningKind,
    diff_documents,
    moved_share,
)
from ._document import AddressSpec, Document, ServiceSpec, TargetSpec, WorkClassSpec
from ._faults import Fault, FaultKind
from ._host_list import HostList, HostListEntry, parse_host_list
from ._parser import MAXIMUM_DOCUMENT_BYTES, DocumentParser, parse_document
from ._segments import (
    MAXIMUM_PLATFORM_VALUE_BYTES,
    Manifest,
    Segment,
    build_manifest,
    join_segments,
    sha256_digest,
    split_document,
)
from ._versions import accept
from ._view import build_view, replace_members

__all__ = [
    "HOLD_DOWN_SECONDS",
    "MAXIMUM_DOCUMENT_BYTES",
    "MAXIMUM_PLATFORM_VALUE_BYTES",
    "AddressHoldDown",
    "AddressSpec",
    "Change",
    "ChangeKind",
    "ChangeWarning",
    "Document",
    "DocumentDiff",
    "DocumentParser",
    "Fault",
    "FaultKind",
    "HostList",
    "HostListEntry",
    "Manifest",
    "Segment",
    "ServiceSpec",
    "TargetSpec",
    "WarningKind",
    "WorkClassSpec",
    "accept",
    "build_view",
    "split_document",
    "diff_documents",
    "sha256_digest",
    "join_segments",
    "build_manifest",
    "moved_share",
    "parse_document",
    "parse_host_list",
    "replace_members",
]
