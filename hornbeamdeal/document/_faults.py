"""Faults found when documents, host lists and manifests are validated."""

from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """Kind of a fault in the input."""

    ENCODING = "encoding"
    SYNTAX = "syntax"
    # A top-level line below the services.
    LAYOUT = "layout"
    DUPLICATE_KEY = "duplicate_key"
    REFERENCE = "reference"
    UNKNOWN_KEY = "unknown_key"
    MISSING_KEY = "missing_key"
    # A single value or key that is not allowed in its place.
    VALUE = "value"
    NAME = "name"
    DUPLICATE_NAME = "duplicate_name"
    # Values that are valid one by one but not together, or a zero deadline.
    RULE = "rule"
    SIZE = "size"
    DIGEST = "digest"
    FILE = "file"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault in the input: its line, counted from 1, what is wrong and the remedy."""

    line: int
    kind: FaultKind
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.message}; {self.remedy}"
