"""Data types of a configuration document."""

from dataclasses import dataclass, field
from datetime import timedelta

from hornbeamdeal.kernel import AddressKind, ServerState, Version


@dataclass(frozen=True, slots=True)
class AddressSpec:
    """An address in a document; `line` is relative to the segment."""

    name: str
    kind: AddressKind
    codec: str
    line: int = field(compare=False, default=0)


@dataclass(frozen=True, slots=True)
class TargetSpec:
    """A backend server in a document; `line` is relative to the segment."""

    name: str
    weight: float
    slots: int
    connections: int
    state: ServerState
    line: int = field(compare=False, default=0)


@dataclass(frozen=True, slots=True)
class WorkClassSpec:
    """A work class in a document: rules for the requests below one path prefix."""

    name: str
    path: str
    deadline: timedelta
    idempotent: bool
    long: bool


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service with its addresses, work classes and targets."""

    name: str
    addresses: tuple[AddressSpec, ...]
    work_classes: tuple[WorkClassSpec, ...]
    targets: tuple[TargetSpec, ...]
    line: int = field(compare=False, default=0)


@dataclass(frozen=True, slots=True)
class Document:
    """A valid configuration document."""

    version: Version
    services_by_name: dict[str, ServiceSpec]
