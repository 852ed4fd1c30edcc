"""Acceptance and propagation of documents and host lists."""

from ._dissemination import Dissemination
from ._order import is_conflict, is_newer
from ._segments import parse_manifest, split_host_list

__all__ = [
    "Dissemination",
    "is_conflict",
    "is_newer",
    "parse_manifest",
    "split_host_list",
]
