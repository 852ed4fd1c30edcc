"""Differences between two documents, and what they would break."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from hornbeamdeal.kernel import ServerState

from ._document import AddressSpec, Document, ServiceSpec, TargetSpec


class WarningKind(Enum):
    """What a change would break."""

    VERSION_NOT_RAISED = "version_not_raised"
    ADDRESS_MOVED = "address_moved"
    ADDRESS_REMOVED = "address_removed"
    ADDRESS_CHANGED = "address_changed"
    REMOVED_WITHOUT_DRAINING = "removed_without_draining"
    NO_ACTIVE_TARGET = "no_active_target"


class ChangeKind(Enum):
    """What differs between two documents."""

    SERVICE_ADDED = "service_added"
    SERVICE_REMOVED = "service_removed"
    SERVICE_CHANGED = "service_changed"
    ADDRESS_ADDED = "address_added"
    ADDRESS_REMOVED = "address_removed"
    ADDRESS_MOVED = "address_moved"
    ADDRESS_CHANGED = "address_changed"
    TARGET_ADDED = "target_added"
    TARGET_REMOVED = "target_removed"
    TARGET_DRAINING = "target_draining"
    TARGET_ACTIVE = "target_active"
    TARGET_CHANGED = "target_changed"
    WEIGHT_CHANGED = "weight_changed"


@dataclass(frozen=True, slots=True)
class Change:
    """One difference in a service.

    `moved_share` estimates the share of the service's flow keys, 0 to 1, whose
    default server changes if this is the only change. Established flows with a
    handle or a record keep their server.
    """

    kind: ChangeKind
    service: str
    name: str
    detail: str = ""
    moved_share: float | None = None


@dataclass(frozen=True, slots=True)
class ChangeWarning:
    """Something that a change would break, and how to avoid it."""

    kind: WarningKind
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.message}; {self.remedy}"


@dataclass(frozen=True, slots=True)
class DocumentDiff:
    """All changes from an old to a new document, and their warnings."""

    changes: tuple[Change, ...]
    warnings: tuple[ChangeWarning, ...]


def diff_documents(old: Document, new: Document) -> DocumentDiff:
    """Compare two documents."""
    changes = (
        *_service_changes(old, new),
        *_address_changes(old, new),
        *_target_changes(old, new),
    )
    warnings = (
        *_version_warnings(old, new),
        *_address_warnings(old, new),
        *_target_warnings(old, new),
        *_service_warnings(old, new),
    )
    return DocumentDiff(changes, warnings)


def _service_changes(old: Document, new: Document) -> Iterator[Change]:
    olds, news = old.services_by_name, new.services_by_name
    for name in sorted(news.keys() - olds.keys()):
        yield Change(ChangeKind.SERVICE_ADDED, name, name)
    for name in sorted(olds.keys() - news.keys()):
        yield Change(ChangeKind.SERVICE_REMOVED, name, name)
    for name in sorted(olds.keys() & news.keys()):
        if set(olds[name].work) != set(news[name].work):
            yield Change(ChangeKind.SERVICE_CHANGED, name, name, "work classes")


def _address_changes(old: Document, new: Document) -> Iterator[Change]:
    olds, news = _addresses_by_name(old), _addresses_by_name(new)
    for name in sorted(olds.keys() | news.keys()):
        old_service = olds[name][0] if name in olds else ""
        new_service = news[name][0] if name in news else ""
        if not old_service:
            yield Change(ChangeKind.ADDRESS_ADDED, new_service, name)
        elif not new_service:
            yield Change(ChangeKind.ADDRESS_REMOVED, old_service, name)
        elif old_service != new_service:
            detail = f"from {old_service} to {new_service}"
            yield Change(ChangeKind.ADDRESS_MOVED, new_service, name, detail)
        elif olds[name][1] != news[name][1]:
            yield Change(ChangeKind.ADDRESS_CHANGED, new_service, name, "kind or codec")


def _target_changes(old: Document, new: Document) -> Iterator[Change]:
    olds, news = _targets_by_key(old), _targets_by_key(new)
    old_weights, new_weights = _active_weights(old), _active_weights(new)
    for service, name in sorted(olds.keys() | news.keys()):
        before, after = olds.get((service, name)), news.get((service, name))
        if before == after:
            continue
        # The share of a target that comes is that of the new total, of one
        # that goes or changes that of the old.
        total = old_weights.get(service, 0)
        if before is None:
            total = new_weights[service] - _active_weight(after)
        share = moved_share(total, _active_weight(before), _active_weight(after))
        for kind, detail in _target_kinds(before, after):
            yield Change(kind, service, name, detail, share)


def _target_kinds(
    before: TargetSpec | None, after: TargetSpec | None
) -> Iterator[tuple[ChangeKind, str]]:
    if before is None:
        yield ChangeKind.TARGET_ADDED, f"weight {after.weight}, {after.state.value}"
        return
    if after is None:
        yield ChangeKind.TARGET_REMOVED, f"was {before.state.value}"
        return
    if before.state != after.state:
        draining = after.state is ServerState.DRAINING
        kind = ChangeKind.TARGET_DRAINING if draining else ChangeKind.TARGET_ACTIVE
        yield kind, ""
    if before.weight != after.weight:
        yield ChangeKind.WEIGHT_CHANGED, f"from {before.weight} to {after.weight}"
    limits = (before.slots, before.connections), (after.slots, after.connections)
    if limits[0] != limits[1]:
        slots = f"slots {before.slots} to {after.slots}"
        connections = f"connections {before.connections} to {after.connections}"
        yield ChangeKind.TARGET_CHANGED, f"{slots}, {connections}"


def moved_share(total: float, before: float, after: float) -> float:
    """Return the share of keys that one target's weight change moves, 0 to 1.

    `total` is the weight of all active targets before the change. Weighted
    rendezvous hashing moves only the difference of the target's own share.
    """
    share_before = before / total if total else 0.0
    new_total = total - before + after
    share_after = after / new_total if new_total else 0.0
    return abs(share_after - share_before)


def _active_weight(target: TargetSpec | None) -> float:
    if target is None or target.state is ServerState.DRAINING:
        return 0
    return target.weight


def _active_weights(document: Document) -> dict[str, float]:
    return {
        service.name: sum(map(_active_weight, service.targets))
        for service in document.services_by_name.values()
    }


def _addresses_by_name(document: Document) -> dict[str, tuple[str, AddressSpec]]:
    services = document.services_by_name.values()
    return {a.name: (s.name, a) for s in services for a in s.addresses}


def _targets_by_key(document: Document) -> dict[tuple[str, str], TargetSpec]:
    services = document.services_by_name.values()
    return {(s.name, t.name): t for s in services for t in s.targets}


def _version_warnings(old: Document, new: Document) -> Iterator[ChangeWarning]:
    differs = old.version.digest != new.version.digest
    if differs and new.version.number <= old.version.number:
        message = f"version {new.version.number} is not above {old.version.number}"
        remedy = f"set 'version: {old.version.number + 1}' or higher"
        yield ChangeWarning(WarningKind.VERSION_NOT_RAISED, message, remedy)


def _address_warnings(old: Document, new: Document) -> Iterator[ChangeWarning]:
    news = _addresses_by_name(new)
    for name, (service, spec) in sorted(_addresses_by_name(old).items()):
        if name not in news:
            message = f"address {name!r} is removed; its callers get no answer"
            remedy = "make sure that no caller uses it any more"
            yield ChangeWarning(WarningKind.ADDRESS_REMOVED, message, remedy)
            continue
        new_service, new_spec = news[name]
        if new_service != service:
            message = f"address {name!r} moves from {service!r} to {new_service!r}"
            remedy = "publish a version without the address in between"
            yield ChangeWarning(WarningKind.ADDRESS_MOVED, message, remedy)
        elif (spec.kind, spec.codec) != (new_spec.kind, new_spec.codec):
            message = f"address {name!r} changes kind or codec; its open flows break"
            remedy = "add a new address and move the callers to it"
            yield ChangeWarning(WarningKind.ADDRESS_CHANGED, message, remedy)


def _target_warnings(old: Document, new: Document) -> Iterator[ChangeWarning]:
    news = _targets_by_key(new)
    for (service, name), target in sorted(_targets_by_key(old).items()):
        removed = (service, name) not in news
        if removed and target.state is ServerState.ACTIVE:
            message = f"active target {name!r} of {service!r} is removed"
            remedy = "publish a version with 'state: draining' first; its flows break"
            kind = WarningKind.REMOVED_WITHOUT_DRAINING
            yield ChangeWarning(kind, message, remedy)


def _service_warnings(old: Document, new: Document) -> Iterator[ChangeWarning]:
    for name, service in sorted(old.services_by_name.items()):
        new_service = new.services_by_name.get(name)
        if _has_active(service) and not (new_service and _has_active(new_service)):
            message = f"service {name!r} loses its last active target"
            remedy = "keep one active target until no caller needs the service"
            yield ChangeWarning(WarningKind.NO_ACTIVE_TARGET, message, remedy)


def _has_active(service: ServiceSpec) -> bool:
    return any(t.state is ServerState.ACTIVE for t in service.targets)
