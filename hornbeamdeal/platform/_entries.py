"""Decodes entries of servers and evacuations of the store."""

import json
from typing import Any

from hornbeamdeal.dsr import (
    MAXIMUM_SLOTS,
    SERVER_NUMBER_BYTES,
    Server,
    check_integer,
    check_number,
    check_text,
)
from hornbeamdeal.kernel import (
    Endpoint,
    HornbeamdealError,
    check_unicast_endpoint,
    parse_port,
)

SERVER_PREFIX = "servers/"
# Keys that only operators write.
OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
# One key for each evacuated zone, which follows the prefix.
EVACUATION_PREFIX = "op/evacuate/"
# What decoding a value of an unknown writer raises if a field is missing or invalid.
# Deeply nested arrays exceed the parser's recursion limit.
VALUE_ERRORS = (
    ArithmeticError,
    AttributeError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)
# `state` of a server's entry. A draining server keeps its flows and gets no new ones.
_DRAINING_BY_STATE = {"ready": False, "draining": True}


class EntryError(HornbeamdealError):
    """Raised when an item of the store can't be decoded."""

    __slots__ = ()


def check_key(key: str) -> None:
    """Raise EntryError if a key can't be sent on, to the store or to peers."""
    try:
        key.encode()
    except UnicodeEncodeError as error:
        raise EntryError(f"key {key!r} is no Unicode text") from error


def decode_server(
    server_id: str, value: bytes, revision: int, created_revision: int | None = None
) -> Server:
    """Decode the entry that a server writes for itself.

    `created_revision` is that of the entry's creation, if it is known.

    Raise EntryError if a field is missing or invalid.
    """
    try:
        fields = json.loads(value)
        return Server(
            server_id=server_id,
            number=_encode_server_number(server_id),
            service=check_text(fields["service"]),
            address=_parse_address(fields["address"]),
            zone=check_text(fields["zone"]),
            slots=check_integer(fields["slots"], MAXIMUM_SLOTS),
            is_draining=_DRAINING_BY_STATE[check_text(fields["state"])],
            revision=revision,
            created_revision=created_revision,
            # Not written on platforms without cold servers.
            cold_seconds=parse_seconds(fields.get("cold_remaining_ms", 0)),
        )
    except VALUE_ERRORS as error:
        text = f"{type(error).__name__}: {error}"
        raise EntryError(f"entry of {server_id!r}: {text}") from error


def decode_evacuated_zone(key: str) -> str:
    """Return the zone that an evacuation's key names; raise EntryError if none.

    The key alone is the request, its value says nothing more.
    """
    try:
        zone = check_text(key.removeprefix(EVACUATION_PREFIX))
    except VALUE_ERRORS as error:
        raise EntryError(f"evacuation {key!r}: {error!r}") from error
    if "/" in zone:
        raise EntryError(f"evacuation {key!r}: {zone!r} is not the name of a zone")
    return zone


def _encode_server_number(server_id: str) -> bytes:
    """Return the server number of the encapsulation: the hex digits of the id's end."""
    digits = "".join(c for c in server_id.rpartition("-")[2] if c in _HEX_DIGITS)
    return int(digits, 16).to_bytes(SERVER_NUMBER_BYTES, "big")


_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


def _parse_address(text: Any) -> Endpoint:
    ip, _, port = check_text(text).rpartition(":")
    return check_unicast_endpoint(ip, parse_port(port))


def parse_seconds(milliseconds: Any) -> float:
    """Return a duration in seconds; raise TypeError or ValueError if out of range."""
    return check_number(milliseconds) / 1000
