"""Schema errors as faults with lines."""

import re
from collections.abc import Iterator
from typing import Any

import yaml
from jsonschema import Draft202012Validator, ValidationError

from ._faults import Fault, FaultKind
from ._nodes import find_line
from ._schema import NAME_PATTERN

_NAME = re.compile(NAME_PATTERN)
_NAME_REMEDY = "use 1 to 63 lower-case letters, digits and hyphens"
# A document of the target size has few distinct target settings.
_MAX_KNOWN_VALUES = 4096


class SchemaChecker:
    """Checks values against schemas; remembers values that were found valid."""

    __slots__ = ("_known_valid",)

    def __init__(self):
        self._known_valid: set[tuple[int, str]] = set()

    def check(
        self,
        validator: Draft202012Validator,
        value: Any,
        path: list[str],
        root: yaml.Node | None,
    ) -> list[Fault]:
        """Return the faults of the value at `path` below the root node."""
        # repr tells 1 and True apart, which are equal as set members.
        fingerprint = (id(validator), repr(value))
        if fingerprint in self._known_valid:
            return []
        errors = list(validator.iter_errors(value))
        if not errors and len(self._known_valid) < _MAX_KNOWN_VALUES:
            self._known_valid.add(fingerprint)
        return [f for e in errors for f in _faults_of(e, path, root)]


def _faults_of(
    error: ValidationError, path: list[str], root: yaml.Node | None
) -> Iterator[Fault]:
    full_path = [*path, *error.absolute_path]
    where = ".".join(map(str, full_path)) or "the top level"
    remedy = error.schema.get("remedy", "see docs/configuration.md")
    if error.validator == "additionalProperties":
        known = error.schema["properties"]
        for key in (k for k in error.instance if k not in known):
            line = find_line(root, full_path, key) if root else 1
            message = f"unknown key {key!r} in {where}"
            advice = "remove it or use one of: " + ", ".join(known)
            yield Fault(line, FaultKind.UNKNOWN_KEY, message, advice)
        return
    line = find_line(root, full_path) if root else 1
    if error.validator == "required":
        missing = error.message.split("'")[1]
        message = f"key {missing!r} is missing in {where}"
        yield Fault(line, FaultKind.MISSING_KEY, message, f"add {missing!r}")
        return
    shown = repr(error.instance)
    shown = shown if len(shown) <= 40 else shown[:37] + "..."
    yield Fault(line, FaultKind.VALUE, f"{where} is {shown}", remedy)


def check_names(names: Any, path: list[str], root: yaml.Node | None) -> list[Fault]:
    """Return a fault for each key that is not a usable name."""
    faults = []
    for name in names:
        if not _NAME.fullmatch(name):
            line = find_line(root, path, name) if root else 1
            message = f"{name[:80]!r} is not a valid name"
            faults.append(Fault(line, FaultKind.NAME, message, _NAME_REMEDY))
    return faults
