"""Faults found when documents, host lists and manifests are validated."""

from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """Kind of a fault in the input."""

    ENCODING = "encoding"
    SYNTAX = "syntax"
    LAYOUT = "layout"
    DUPLICATE_KEY = "duplicate_key"
    REFERENCE = "reference"
    UNKNOWN_KEY = "unknown_key"
    MISSING_KEY = "missing_key"
    VALUE = "value"
    NAME = "name"
    DUPLICATE_NAME = "duplicate_name"
    RULE = "rule"
    SIZE = "size"
    DIGEST = "digest"
    FILE = "file"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault in the input: its line from 1, what is wrong and how to correct it."""

    line: int
    kind: FaultKind
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.message}; {self.remedy}"
