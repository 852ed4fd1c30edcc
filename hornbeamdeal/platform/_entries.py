"""Decodes the store's items into the catalog's records."""

import json
from typing import Any

from hornbeamdeal.dsr import Route, RouteTable, Server
from hornbeamdeal.kernel import HornbeamdealError

from ._packets import encode_end

SERVER_PREFIX = "servers/"
CONFIG_KEY = "op/config"
SERVER_NUMBER_BYTES = 8
# `state` of an entry: a draining server keeps its flows and gets no new ones.
_DRAINING_BY_STATE = {"ready": False, "draining": True}


class EntryError(HornbeamdealError):
    """An item of the store can't be used."""

    __slots__ = ()


def decode_server(server_id: str, value: bytes, revision: int) -> Server:
    """Decode a server's own entry.

    Raise EntryError where a field is missing or of a wrong type.
    """
    try:
        fields = json.loads(value)
        return Server(
            server_id=server_id,
            number=_number(server_id),
            service=_text(fields["service"]),
            address=_address(fields["address"]),
            zone=_text(fields["zone"]),
            slots=_whole(fields["slots"]),
            is_draining=_DRAINING_BY_STATE[_text(fields["state"])],
            revision=revision,
        )
    except (ValueError, KeyError, TypeError, OverflowError) as error:
        raise EntryError(f"entry of {server_id!r}: {error!r}") from error


def decode_routes(value: bytes) -> RouteTable:
    """Decode a configuration; raise EntryError where it is not usable."""
    try:
        fields = json.loads(value)
        routes = [_route(route) for route in fields["routes"]]
        return RouteTable(
            version=_whole(fields["version"]),
            routes_by_key={route.address_key: route for route in routes},
            idle_timeout=_whole(fields["limits"]["idle_timeout_ms"]) / 1000,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise EntryError(f"configuration: {error!r}") from error


def _route(fields: dict[str, Any]) -> Route:
    # `prefix` is a port between slashes, `host` an address.
    port = int(fields["prefix"].strip("/"))
    # `backends` splits new flows among services; without it there is one.
    split = fields.get("backends") or [{"service": fields["service"], "weight": 1}]
    return Route(
        address_key=encode_end(_text(fields["host"]), port),
        name=_text(fields["name"]),
        weights_by_service={_text(s["service"]): float(s["weight"]) for s in split},
    )


def _number(server_id: str) -> bytes:
    """Return the identity that the encapsulation carries: the id's hex digits."""
    digits = "".join(c for c in server_id.rpartition("-")[2] if c in _HEX_DIGITS)
    return int(digits, 16).to_bytes(SERVER_NUMBER_BYTES, "big")


_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


def _address(text: Any) -> tuple[str, int]:
    ip, _, port = _text(text).rpartition(":")
    encode_end(ip, int(port))
    return ip, int(port)


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is no text")
    return value


def _whole(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise TypeError(f"{value!r} is no whole number")
    return value
