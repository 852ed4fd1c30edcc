"""Differences between two documents, with warnings about breaking changes."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from hornbeamdeal.kernel import ServerState

from ._document import AddressSpec, Document, ServiceSpec, TargetSpec


class WarningKind(Enum):
    """Kind of a breaking change."""

    VERSION_NOT_RAISED = "version_not_raised"
    ADDRESS_MOVED = "address_moved"
    ADDRESS_REMOVED = "address_removed"
    ADDRESS_CHANGED = "address_changed"
    REMOVED_WITHOUT_DRAINING = "removed_without_draining"
    NO_ACTIVE_TARGET = "no_active_target"


class ChangeKind(Enum):
    """Kind of a difference between two documents."""

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
    """One difference in a service between two documents.

    `moved_share` is the estimated share of the service's flow keys, 0 to 1, whose
    default server differs if this is the only change. Established flows that have
    a handle or a record stay on their server.
    """

    kind: ChangeKind
    service: str
    name: str
    detail: str = ""
    moved_share: float | None = None


@dataclass(frozen=True, slots=True)
class ChangeWarning:
    """Warning about a breaking change, and how to avoid the damage."""

    kind: WarningKind
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.message}; {self.remedy}"


@dataclass(frozen=True, slots=True)
class DocumentDiff:
    """All changes from an old to a new document, and the warnings about them."""

    changes: tuple[Change, ...]
    warnings: tuple[ChangeWarning, ...]


def diff_documents(old: Document, new: Document) -> DocumentDiff:
    """Return the changes and warnings between two documents."""
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
    old_services, new_services = old.services_by_name, new.services_by_name
    for name in sorted(new_services.keys() - old_services.keys()):
        yield Change(ChangeKind.SERVICE_ADDED, name, name)
    for name in sorted(old_services.keys() - new_services.keys()):
        yield Change(ChangeKind.SERVICE_REMOVED, name, name)
    for name in sorted(old_services.keys() & new_services.keys()):
        if set(old_services[name].work_classes) != set(new_services[name].work_classes):
            yield Change(ChangeKind.SERVICE_CHANGED, name, name, "work classes")


def _address_changes(old: Document, new: Document) -> Iterator[Change]:
    old_addresses, new_addresses = _addresses_by_name(old), _addresses_by_name(new)
    for name in sorted(old_addresses.keys() | new_addresses.keys()):
        old_service = old_addresses[name][0] if name in old_addresses else ""
        new_service = new_addresses[name][0] if name in new_addresses else ""
        if not old_service:
            yield Change(ChangeKind.ADDRESS_ADDED, new_service, name)
        elif not new_service:
            yield Change(ChangeKind.ADDRESS_REMOVED, old_service, name)
        elif old_service != new_service:
            detail = f"from {old_service} to {new_service}"
            yield Change(ChangeKind.ADDRESS_MOVED, new_service, name, detail)
        elif old_addresses[name][1] != new_addresses[name][1]:
            yield Change(ChangeKind.ADDRESS_CHANGED, new_service, name, "kind or codec")


def _target_changes(old: Document, new: Document) -> Iterator[Change]:
    old_targets, new_targets = _targets_by_key(old), _targets_by_key(new)
    old_weights, new_weights = (
        _active_weight_by_service(old),
        _active_weight_by_service(new),
    )
    for service, name in sorted(old_targets.keys() | new_targets.keys()):
        before, after = (
            old_targets.get((service, name)),
            new_targets.get((service, name)),
        )
        if before == after:
            continue
        # For an added target, `total` is the new total without it. For a removed or
        # changed target, it is the old total.
        total = old_weights.get(service, 0)
        if before is None:
            total = new_weights[service] - _active_weight(after)
        share = moved_share(total, _active_weight(before), _active_weight(after))
        for kind, detail in _target_change_kinds(before, after):
            yield Change(kind, service, name, detail, share)


def _target_change_kinds(
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
    """Return the share of keys that move when one target's weight changes, 0 to 1.

    `total` is the weight of all active targets before the change. With weighted
    rendezvous hashing, the keys that move are the difference between the target's
    share of the total weight before and after the change.
    """
    share_before = before / total if total else 0.0
    new_total = total - before + after
    share_after = after / new_total if new_total else 0.0
    return abs(share_after - share_before)


def _active_weight(target: TargetSpec | None) -> float:
    if target is None or target.state is ServerState.DRAINING:
        return 0
    return target.weight


def _active_weight_by_service(document: Document) -> dict[str, float]:
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
    is_different = old.version.digest != new.version.digest
    if is_different and new.version.number <= old.version.number:
        message = f"version {new.version.number} is not above {old.version.number}"
        remedy = f"set 'version: {old.version.number + 1}' or higher"
        yield ChangeWarning(WarningKind.VERSION_NOT_RAISED, message, remedy)


def _address_warnings(old: Document, new: Document) -> Iterator[ChangeWarning]:
    new_addresses = _addresses_by_name(new)
    for name, (service, spec) in sorted(_addresses_by_name(old).items()):
        if name not in new_addresses:
            message = f"address {name!r} is removed; its callers get no answer"
            remedy = "make sure that no caller uses it any more"
            yield ChangeWarning(WarningKind.ADDRESS_REMOVED, message, remedy)
            continue
        new_service, new_spec = new_addresses[name]
        if new_service != service:
            message = f"address {name!r} moves from {service!r} to {new_service!r}"
            remedy = "first publish a version without the address"
            yield ChangeWarning(WarningKind.ADDRESS_MOVED, message, remedy)
        elif (spec.kind, spec.codec) != (new_spec.kind, new_spec.codec):
            message = f"address {name!r} changes kind or codec; its open flows break"
            remedy = "add a new address and move the callers to it"
            yield ChangeWarning(WarningKind.ADDRESS_CHANGED, message, remedy)


def _target_warnings(old: Document, new: Document) -> Iterator[ChangeWarning]:
    new_targets = _targets_by_key(new)
    for (service, name), target in sorted(_targets_by_key(old).items()):
        removed = (service, name) not in new_targets
        if removed and target.state is ServerState.ACTIVE:
            message = f"removing active target {name!r} of {service!r} breaks its flows"
            remedy = "first publish a version with 'state: draining'"
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
