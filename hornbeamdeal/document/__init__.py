"""The configuration document: parsing, checks, segments, order and differences."""

from ._diff import (
    Change,
    ChangeKind,
    ChangeWarning,
    DocumentDiff,
    WarningKind,
    diff_documents,
    moved_share,
)
from ._document import AddressSpec, Document, ServiceSpec, TargetSpec, WorkSpec
from ._faults import Fault, FaultKind
from ._hold_down import HOLD_DOWN_SECONDS, AddressHoldDown
from ._host_list import HostList, ListedMachine, parse_host_list
from ._order import accept
from ._parser import MAX_DOCUMENT_BYTES, DocumentParser, parse_document
from ._segments import (
    MAX_VALUE_BYTES,
    Manifest,
    Segment,
    cut,
    digest_of,
    join,
    manifest_of,
)
from ._view import build_view, with_members

__all__ = [
    "HOLD_DOWN_SECONDS",
    "MAX_DOCUMENT_BYTES",
    "MAX_VALUE_BYTES",
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
    "ListedMachine",
    "Manifest",
    "Segment",
    "ServiceSpec",
    "TargetSpec",
    "WarningKind",
    "WorkSpec",
    "accept",
    "build_view",
    "cut",
    "diff_documents",
    "digest_of",
    "join",
    "manifest_of",
    "moved_share",
    "parse_document",
    "parse_host_list",
    "with_members",
]
