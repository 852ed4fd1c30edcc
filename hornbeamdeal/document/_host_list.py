"""The platform's host list: where the names of a document are."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import yaml
from result import Err, Ok, Result

from hornbeamdeal.kernel import Endpoint

from ._check import SchemaChecker, check_names
from ._faults import Fault, FaultKind
from ._nodes import compose, find_line
from ._schema import HOST_LIST, LISTED_BY_GROUP
from ._segments import MAX_VALUE_BYTES

_REMEDY = "correct the platform's value for the key 'hosts'"


@dataclass(frozen=True, slots=True)
class ListedMachine:
    """An entry host or a backend server in the host list."""

    endpoint: Endpoint
    zone: str
    leaving: bool


@dataclass(frozen=True, slots=True)
class HostList:
    """Endpoints, zones and states by name in one region."""

    revision: int
    entry_hosts_by_id: dict[str, ListedMachine]
    targets_by_name: dict[str, ListedMachine]
    addresses_by_name: dict[str, Endpoint]


class _DuplicateKey(ValueError):
    """A JSON object has a key twice."""


def parse_host_list(content: bytes) -> Result[HostList, list[Fault]]:
    """Return the host list, or all its faults."""
    if len(content) > MAX_VALUE_BYTES:
        message = f"the host list has {len(content)} bytes, above {MAX_VALUE_BYTES}"
        return Err([Fault(1, FaultKind.SIZE, message, "publish one list per region")])
    loaded = _load(content)
    if loaded.is_err():
        return loaded
    faults = _check(loaded.ok_value, None)
    if faults:
        # Lines cost a second, slower reading, so only a faulty list gets it.
        return Err(_check(loaded.ok_value, _compose_json(content)))
    return Ok(_build(loaded.ok_value))


def _load(content: bytes) -> Result[Any, list[Fault]]:
    try:
        return Ok(json.loads(content, object_pairs_hook=_unique))
    except _DuplicateKey as error:
        key = str(error)
        quoted = json.dumps(key).encode()
        line = content.count(b"\n", 0, content.rfind(quoted)) + 1
        message = f"key {key!r} occurs twice in one object"
        return Err([Fault(line, FaultKind.DUPLICATE_KEY, message, _REMEDY)])
    except json.JSONDecodeError as error:
        return Err([Fault(error.lineno, FaultKind.SYNTAX, error.msg, _REMEDY)])
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        return Err([Fault(line, FaultKind.ENCODING, "not UTF-8", _REMEDY)])
    except (ValueError, RecursionError) as error:
        return Err([Fault(1, FaultKind.SYNTAX, str(error), _REMEDY)])


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    values = dict(pairs)
    if len(values) < len(pairs):
        keys = [key for key, _ in pairs]
        raise _DuplicateKey(next(k for k in keys if keys.count(k) > 1))
    return values


def _compose_json(content: bytes) -> yaml.Node | None:
    """Read JSON as YAML, which has line marks but takes no tabs as indentation."""
    return compose(content.decode().expandtabs()).unwrap_or(None)


def _check(values: Any, root: yaml.Node | None) -> list[Fault]:
    # Nearly all entries differ, so remembering valid ones would not help.
    checker = SchemaChecker()
    faults = checker.check(HOST_LIST, values, [], root)
    for group, validator in LISTED_BY_GROUP.items():
        items = values.get(group) if isinstance(values, dict) else None
        if not isinstance(items, dict):
            continue
        faults += check_names(items, [group], root)
        for name, item in items.items():
            faults += checker.check(validator, item, [group, name], root)
    faults = faults or list(_shared_endpoints(values, root))
    return sorted(faults, key=lambda fault: fault.line)


def _shared_endpoints(values: Any, root: yaml.Node | None) -> Iterator[Fault]:
    """Report addresses with one endpoint: a packet's service would be undecided."""
    for group in ("addresses", "entry_hosts"):
        names_by_endpoint: dict[Endpoint, str] = {}
        for name, item in values[group].items():
            first = names_by_endpoint.setdefault(_endpoint(item), name)
            if first != name:
                line = find_line(root, [group, name]) if root else 1
                message = f"{group} {first!r} and {name!r} have one endpoint"
                yield Fault(line, FaultKind.RULE, message, _REMEDY)


def _build(values: dict[str, Any]) -> HostList:
    return HostList(
        revision=values["revision"],
        entry_hosts_by_id=_machines(values["entry_hosts"]),
        targets_by_name=_machines(values["targets"]),
        addresses_by_name={n: _endpoint(a) for n, a in values["addresses"].items()},
    )


def _machines(items: dict[str, Any]) -> dict[str, ListedMachine]:
    return {
        name: ListedMachine(_endpoint(item), item["zone"], item["state"] == "leaving")
        for name, item in items.items()
    }


def _endpoint(item: dict[str, Any]) -> Endpoint:
    return Endpoint(item["ip"], item["port"])
