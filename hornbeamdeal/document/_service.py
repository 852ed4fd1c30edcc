"""Validation of a service, and its conversion from plain to typed values."""

from collections.abc import Iterator
from datetime import timedelta
from typing import Any

import yaml

from hornbeamdeal.kernel import AddressKind, ServerState

from ._document import AddressSpec, ServiceSpec, TargetSpec, WorkClassSpec
from ._faults import Fault, FaultKind
from ._schema import SERVICE_ITEM_VALIDATORS, SERVICE_VALIDATOR
from ._schema_checker import SchemaChecker, check_names
from ._yaml_nodes import find_line, line_of

_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1, "m": 60}
DEFAULT_WEIGHT = 1
DEFAULT_SLOTS = 3
DEFAULT_CONNECTIONS = 2000


def check_service(
    checker: SchemaChecker, name: str, service: Any, root: yaml.Node
) -> list[Fault]:
    """Return all faults of a service; the rules are checked once it fits its schema."""
    faults = check_names([name], [], root)
    faults += checker.check(SERVICE_VALIDATOR, service, [name], root)
    for group, validator in SERVICE_ITEM_VALIDATORS.items():
        faults += _check_group(checker, validator, service, [name, group], root)
    return faults or list(_rule_faults(name, service, root))


def _check_group(checker, validator, service, path, root) -> list[Fault]:
    items = service.get(path[-1]) if isinstance(service, dict) else None
    if not isinstance(items, dict):
        return []
    faults = check_names(items, path, root)
    for item_name, item in items.items():
        faults += checker.check(validator, item, [*path, item_name], root)
    return faults


def _rule_faults(name: str, service: Any, root: yaml.Node) -> Iterator[Fault]:
    addresses = service["addresses"]
    for address, settings in addresses.items():
        if settings["kind"] == "requests" and "codec" in settings:
            yield _rule_fault(
                find_line(root, [name, "addresses", address], "codec"),
                f"address {address!r} of kind requests has a codec",
                "remove codec, or use 'kind: flows'",
            )
    kinds = {settings["kind"] for settings in addresses.values()}
    work = service.get("work", {})
    if "requests" in kinds and not work:
        yield _rule_fault(
            find_line(root, [name]),
            f"service {name!r} has a requests address and no work classes",
            "add a class under 'work', for example with 'path: /'",
        )
    yield from _work_class_faults(name, work, root)


def _work_class_faults(name: str, work: dict[str, Any], root) -> Iterator[Fault]:
    classes_by_path: dict[str, str] = {}
    for work_class, settings in work.items():
        path = [name, "work", work_class]
        other_class = classes_by_path.setdefault(settings["path"], work_class)
        if other_class != work_class:
            yield _rule_fault(
                find_line(root, path, "path"),
                f"work classes {other_class!r} and {work_class!r} have the same path",
                "give each work class a different path",
            )
        if _parse_duration(settings["deadline"]) <= timedelta():
            yield _rule_fault(
                find_line(root, path, "deadline"),
                f"the deadline of {work_class!r} is zero",
                "use a duration above zero",
            )


def _rule_fault(line: int, message: str, remedy: str) -> Fault:
    return Fault(line, FaultKind.RULE, message, remedy)


def _parse_duration(text: str) -> timedelta:
    unit = text.lstrip("0123456789.")
    return timedelta(seconds=float(text[: -len(unit)]) * _SECONDS_BY_UNIT[unit])


def build_service(
    key_node: yaml.Node, node: yaml.Node, service: dict[str, Any]
) -> ServiceSpec:
    """Build a service from values that have been validated."""
    lines_by_name_by_group = {
        group.value: {key.value: line_of(key) for key, _ in items.value}
        for group, items in node.value
    }
    address_lines = lines_by_name_by_group["addresses"]
    target_lines = lines_by_name_by_group["targets"]
    return ServiceSpec(
        name=key_node.value,
        addresses=tuple(
            _build_address(key, item, address_lines[key])
            for key, item in service["addresses"].items()
        ),
        work_classes=tuple(
            _build_work_class(*pair) for pair in service.get("work", {}).items()
        ),
        targets=tuple(
            _build_target(key, item, target_lines[key])
            for key, item in service["targets"].items()
        ),
        line=line_of(key_node),
    )


def _build_address(name: str, item: dict[str, Any], line: int) -> AddressSpec:
    kind = AddressKind(item["kind"])
    return AddressSpec(name, kind, item.get("codec", "coap"), line)


def _build_work_class(name: str, item: dict[str, Any]) -> WorkClassSpec:
    return WorkClassSpec(
        name=name,
        path=item["path"],
        deadline=_parse_duration(item["deadline"]),
        idempotent=item["idempotent"],
        long=item.get("long", False),
    )


def _build_target(name: str, item: dict[str, Any], line: int) -> TargetSpec:
    return TargetSpec(
        name=name,
        weight=item.get("weight", DEFAULT_WEIGHT),
        slots=item.get("slots", DEFAULT_SLOTS),
        connections=item.get("connections", DEFAULT_CONNECTIONS),
        state=ServerState(item.get("state", "active")),
        line=line,
    )
