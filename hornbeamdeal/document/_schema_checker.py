"""Validation against JSON schemas, with errors reported as faults with lines."""

import re
from collections.abc import Iterator
from typing import Any

import yaml
from jsonschema import Draft202012Validator, ValidationError

from ._faults import Fault, FaultKind
from ._schema import NAME_PATTERN
from ._yaml_nodes import find_line

_NAME = re.compile(NAME_PATTERN)
_NAME_REMEDY = "use 1 to 63 lower-case letters, digits and hyphens"
# Bounds the memory of the cache. Targets in a document mostly share a few settings,
# so few distinct values occur.
_MAXIMUM_FINGERPRINTS = 4096


class SchemaChecker:
    """Validates values against JSON schemas and caches which values are valid."""

    __slots__ = ("_valid_fingerprints",)

    def __init__(self):
        self._valid_fingerprints: set[tuple[int, str]] = set()

    def check(
        self,
        validator: Draft202012Validator,
        value: Any,
        path: list[str],
        root: yaml.Node | None,
    ) -> list[Fault]:
        """Return the faults of a value; `path` is its position below the root node."""
        # As set members 1 and True are equal; their repr differs.
        fingerprint = (id(validator), repr(value))
        if fingerprint in self._valid_fingerprints:
            return []
        errors = list(validator.iter_errors(value))
        if not errors and len(self._valid_fingerprints) < _MAXIMUM_FINGERPRINTS:
            self._valid_fingerprints.add(fingerprint)
        return [f for e in errors for f in _to_faults(e, path, root)]


def _to_faults(
    error: ValidationError, path: list[str], root: yaml.Node | None
) -> Iterator[Fault]:
    full_path = [*path, *error.absolute_path]
    location = ".".join(map(str, full_path)) or "the top level"
    remedy = error.schema.get("remedy", "see docs/configuration.md")
    if error.validator == "additionalProperties":
        allowed_keys = error.schema["properties"]
        for key in (k for k in error.instance if k not in allowed_keys):
            line = find_line(root, full_path, key) if root else 1
            message = f"unknown key {key!r} in {location}"
            key_remedy = "remove it or use one of: " + ", ".join(allowed_keys)
            yield Fault(line, FaultKind.UNKNOWN_KEY, message, key_remedy)
        return
    line = find_line(root, full_path) if root else 1
    if error.validator == "required":
        missing_name = error.message.split("'")[1]
        message = f"key {missing_name!r} is missing in {location}"
        yield Fault(line, FaultKind.MISSING_KEY, message, f"add {missing_name!r}")
        return
    shown_value = repr(error.instance)
    shown_value = shown_value if len(shown_value) <= 40 else shown_value[:37] + "..."
    yield Fault(line, FaultKind.VALUE, f"{location} is {shown_value}", remedy)


def check_names(names: Any, path: list[str], root: yaml.Node | None) -> list[Fault]:
    """Return a fault for each name that is not valid."""
    faults = []
    for name in names:
        if not _NAME.fullmatch(name):
            line = find_line(root, path, name) if root else 1
            message = f"{name[:80]!r} is not a valid name"
            faults.append(Fault(line, FaultKind.NAME, message, _NAME_REMEDY))
    return faults
