"""The configuration document as typed values."""

from dataclasses import dataclass, field
from datetime import timedelta

from hornbeamdeal.kernel import AddressKind, ServerState, Version


@dataclass(frozen=True, slots=True)
class AddressSpec:
    """An address as the document names it. Lines count within the segment."""

    name: str
    kind: AddressKind
    codec: str
    line: int = field(compare=False, default=0)


@dataclass(frozen=True, slots=True)
class TargetSpec:
    """A backend server as the document names it."""

    name: str
    weight: float
    slots: int
    connections: int
    state: ServerState
    line: int = field(compare=False, default=0)


@dataclass(frozen=True, slots=True)
class WorkSpec:
    """Rules for the requests of one path."""

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
    work: tuple[WorkSpec, ...]
    targets: tuple[TargetSpec, ...]
    line: int = field(compare=False, default=0)


@dataclass(frozen=True, slots=True)
class Document:
    """A valid configuration document."""

    version: Version
    services_by_name: dict[str, ServiceSpec]
