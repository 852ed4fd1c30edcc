"""Host list from the platform: the endpoints and zones of named hosts."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import yaml
from result import Err, Ok, Result

from hornbeamdeal.kernel import Endpoint

from ._faults import Fault, FaultKind
from ._schema import HOST_LIST_ITEM_VALIDATORS, HOST_LIST_VALIDATOR
from ._schema_checker import SchemaChecker, check_names
from ._segments import MAXIMUM_PLATFORM_VALUE_BYTES
from ._yaml_nodes import compose, find_line

_REMEDY = "correct the platform's value for the key 'hosts'"


@dataclass(frozen=True, slots=True)
class HostListEntry:
    """Entry for an entry host or a backend server in the host list."""

    endpoint: Endpoint
    zone: str
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class HostList:
    """Endpoints, zones and states of the hosts and addresses of one region."""

    revision: int
    entry_hosts_by_id: dict[str, HostListEntry]
    targets_by_name: dict[str, HostListEntry]
    endpoints_by_address_name: dict[str, Endpoint]


class _DuplicateKeyError(ValueError):
    """A key occurs twice in one JSON object."""


def parse_host_list(content: bytes) -> Result[HostList, list[Fault]]:
    """Return the host list, or all its faults."""
    if len(content) > MAXIMUM_PLATFORM_VALUE_BYTES:
        message = (
            f"the host list has {len(content)} bytes, "
            f"above {MAXIMUM_PLATFORM_VALUE_BYTES}"
        )
        return Err([Fault(1, FaultKind.SIZE, message, "publish one list per region")])
    loaded = _load_json(content)
    if loaded.is_err():
        return loaded
    faults = _find_faults(loaded.ok_value, None)
    if faults:
        # Line numbers need a second, slower parse; a valid list does without it.
        return Err(_find_faults(loaded.ok_value, _compose_json(content)))
    return Ok(_build_host_list(loaded.ok_value))


def _load_json(content: bytes) -> Result[Any, list[Fault]]:
    try:
        return Ok(json.loads(content, object_pairs_hook=_reject_duplicate_keys))
    except _DuplicateKeyError as error:
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


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    values = dict(pairs)
    if len(values) < len(pairs):
        keys = [key for key, _ in pairs]
        raise _DuplicateKeyError(next(k for k in keys if keys.count(k) > 1))
    return values


def _compose_json(content: bytes) -> yaml.Node | None:
    """Parse JSON as YAML to get line numbers.

    Tabs are expanded because YAML does not allow them as indentation.
    """
    return compose(content.decode().expandtabs()).unwrap_or(None)


def _find_faults(values: Any, root: yaml.Node | None) -> list[Fault]:
    # No cache of valid values is kept between lists, since nearly all entries differ
    # from each other.
    checker = SchemaChecker()
    faults = checker.check(HOST_LIST_VALIDATOR, values, [], root)
    for group, validator in HOST_LIST_ITEM_VALIDATORS.items():
        items = values.get(group) if isinstance(values, dict) else None
        if not isinstance(items, dict):
            continue
        faults += check_names(items, [group], root)
        for name, item in items.items():
            faults += checker.check(validator, item, [group, name], root)
    faults = faults or list(_find_shared_endpoints(values, root))
    return sorted(faults, key=lambda fault: fault.line)


def _find_shared_endpoints(values: Any, root: yaml.Node | None) -> Iterator[Fault]:
    """Report names that share an endpoint.

    If two service addresses shared one, the service of a packet would be ambiguous.
    """
    for group in ("addresses", "entry_hosts"):
        names_by_endpoint: dict[Endpoint, str] = {}
        for name, item in values[group].items():
            first_name = names_by_endpoint.setdefault(_build_endpoint(item), name)
            if first_name != name:
                line = find_line(root, [group, name]) if root else 1
                message = f"{group} {first_name!r} and {name!r} have the same endpoint"
                yield Fault(line, FaultKind.RULE, message, _REMEDY)


def _build_host_list(values: dict[str, Any]) -> HostList:
    return HostList(
        revision=values["revision"],
        entry_hosts_by_id=_build_entries(values["entry_hosts"]),
        targets_by_name=_build_entries(values["targets"]),
        endpoints_by_address_name={
            n: _build_endpoint(a) for n, a in values["addresses"].items()
        },
    )


def _build_entries(items: dict[str, Any]) -> dict[str, HostListEntry]:
    return {
        name: HostListEntry(
            _build_endpoint(item), item["zone"], item["state"] == "leaving"
        )
        for name, item in items.items()
    }


def _build_endpoint(item: dict[str, Any]) -> Endpoint:
    return Endpoint(item["ip"], item["port"])
