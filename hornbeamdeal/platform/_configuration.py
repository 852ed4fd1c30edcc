"""Decodes the configuration of the store, of which usable parts are used."""

import json
from collections.abc import Callable
from typing import Any

from hornbeamdeal.dsr import (
    FLOW_LIFETIME_SECONDS,
    MAXIMUM_MILLISECONDS,
    Route,
    RouteTable,
    Service,
    check_integer,
    check_number,
    check_text,
    check_weights,
)

from ._entries import VALUE_ERRORS, EntryError, parse_seconds
from ._packets import encode_address

# Messages between hosts carry integers of 32 and 64 bits.
MAXIMUM_VERSION = 2**63 - 1
MAXIMUM_PRIORITY = 2**31 - 1
# Kind of a route that doesn't tell it: its requests may run once at most.
DEFAULT_KIND = "unsafe"


def decode_configuration(value: bytes) -> tuple[RouteTable, list[str]]:
    """Return the routes and services of a configuration, and what can't be used of it.

    A field that can be left out counts as left out if it is invalid; a route or service
    with another invalid field is left out whole. So one field does not keep a version
    from being in force. Raise EntryError if there is no version or no list of routes,
    without which the configuration can't be used.
    """
    try:
        fields = json.loads(value)
        version = check_integer(fields["version"], MAXIMUM_VERSION)
        reader = _PartReader()
        routes = reader.read_all("route", fields["routes"], _decode_route)
        if fields["routes"] and not routes:
            raise ValueError(f"no route can be used: {reader.problems[0]}")
        services = reader.read_all(
            "service",
            reader.read("configuration", fields, "services", _check_list, []),
            _decode_service,
        )
        idle_ms = reader.read(
            "limits",
            reader.read("configuration", fields, "limits", _check_object, {}),
            "idle_timeout_ms",
            lambda value: check_integer(value, MAXIMUM_MILLISECONDS),
            # The record of a flow is of no use for longer than the flow lasts.
            1000 * FLOW_LIFETIME_SECONDS,
        )
        table = RouteTable(
            version=version,
            routes_by_key={route.address_key: route for route in routes},
            idle_timeout=idle_ms / 1000,
            services_by_name={service.name: service for service in services},
        )
        return table, reader.problems
    except VALUE_ERRORS as error:
        text = f"{type(error).__name__}: {error}"
        raise EntryError(f"configuration: {text}") from error


class _PartReader:
    """Reads parts of a configuration and collects the problems of invalid ones."""

    __slots__ = ("problems",)

    def __init__(self):
        self.problems: list[str] = []

    def read_all(
        self, kind: str, items: Any, decode: Callable[["_PartReader", Any], Any]
    ) -> list[Any]:
        """Return the parts of a list that can be decoded."""
        parts = []
        for number, item in enumerate(_check_list(items)):
            try:
                parts.append(decode(self, item))
            except VALUE_ERRORS as error:
                self.problems.append(f"{kind} {number}: {error!r}")
        return parts

    def read(
        self,
        owner: str,
        fields: dict[str, Any],
        name: str,
        check: Callable[[Any], Any],
        default: Any,
    ) -> Any:
        """Return a field, or the default if it is missing or invalid."""
        value = fields.get(name)
        if value is None:
            return default
        try:
            return check(value)
        except VALUE_ERRORS as error:
            self.problems.append(f"{owner}: {name}: {error!r}")
            return default


def _decode_route(reader: _PartReader, fields: dict[str, Any]) -> Route:
    # `prefix` is a port between slashes; `host` is the service's IPv4 address.
    ip, port = check_text(fields["host"]), int(fields["prefix"].strip("/"))
    owner = f"route {ip}:{port}"
    name = reader.read(owner, fields, "name", check_text, f"{ip}:{port}")
    return Route(
        address_key=encode_address(ip, port),
        name=name,
        weights_by_service=_decode_split(reader, owner, fields),
        kind=reader.read(owner, fields, "type", check_text, DEFAULT_KIND),
        priority=reader.read(
            owner, fields, "priority", lambda v: check_integer(v, MAXIMUM_PRIORITY), 0
        ),
        aim_seconds=reader.read(owner, fields, "aim_ms", parse_seconds, 0.0),
        timeout_seconds=reader.read(owner, fields, "timeout_ms", parse_seconds, 0.0),
    )


def _decode_split(
    reader: _PartReader, owner: str, fields: dict[str, Any]
) -> dict[str, float]:
    """Return the weights of a route's services, without those that are invalid."""
    # `backends` splits new flows among services by weight. Routes without it name one
    # `service`.
    if not fields.get("backends"):
        return {check_text(fields["service"]): 1.0}
    pairs = reader.read_all(f"{owner}: backend", fields["backends"], _decode_weight)
    if not pairs:
        raise ValueError("no service can be used")
    return check_weights(dict(pairs))


def _decode_weight(reader: _PartReader, fields: dict[str, Any]) -> tuple[str, float]:
    service, weight = check_text(fields["service"]), float(fields["weight"])
    check_weights({service: weight})
    return service, weight


def _decode_service(reader: _PartReader, fields: dict[str, Any]) -> Service:
    # `cold_start_s` is how long a server is cold after its start, `cold_per_s` how many
    # requests a second it then bears.
    name = check_text(fields["name"])
    owner = f"service {name}"
    return Service(
        name=name,
        cold_start_seconds=reader.read(
            owner, fields, "cold_start_s", _check_duration, 0.0
        ),
        cold_requests_per_second=reader.read(
            owner, fields, "cold_per_s", check_number, 0.0
        ),
    )


def _check_list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise TypeError(f"{value!r} is not an array")
    return value


def _check_object(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise TypeError(f"{value!r} is not an object")
    return value


def _check_duration(seconds: Any) -> float:
    """Return a duration in seconds that a message between hosts can hold."""
    return parse_seconds(1000 * check_number(seconds))
