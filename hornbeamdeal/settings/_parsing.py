"""Parsers of single settings.

They raise ValueError; most messages name the expected format.
"""

import re
from datetime import timedelta
from ipaddress import ip_address

from hornbeamdeal.kernel import Endpoint

_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s|m)$")
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0}
MAXIMUM_PORT = 65535


def parse_endpoint(text: str) -> Endpoint:
    """Parse `ip:port`; an IPv6 address is in brackets."""
    ip, separator, port = text.strip().rpartition(":")
    if not separator or not port.isdigit() or int(port) > MAXIMUM_PORT:
        raise ValueError("an IP address and a port, as in 10.0.0.1:5683")
    try:
        return Endpoint(str(ip_address(ip.strip("[]"))), int(port))
    except ValueError:
        raise ValueError("an IP address, not a host name, before the port") from None


def parse_optional_endpoint(text: str) -> Endpoint | None:
    """Parse an endpoint; return None for an empty string."""
    return parse_endpoint(text) if text.strip() else None


def parse_endpoints(text: str) -> tuple[Endpoint, ...]:
    """Parse a comma-separated list of endpoints, which may be empty."""
    return tuple(parse_endpoint(part) for part in text.split(",") if part.strip())


def parse_duration(text: str) -> timedelta:
    """Parse a duration such as `250ms`, `15s` or `2m`."""
    match = _DURATION.match(text.strip())
    if not match:
        raise ValueError("a number with the unit ms, s or m, as in 250ms or 15s")
    return timedelta(seconds=float(match[1]) * _SECONDS_BY_UNIT[match[2]])


def parse_keys(text: str) -> dict[int, bytes]:
    """Parse a comma-separated list of `id:hex` pairs into keys by identifier."""
    keys_by_id = {}
    for part in text.split(","):
        key_id, _, digits = part.strip().partition(":")
        if not key_id.isdigit() or int(key_id) > 255 or len(digits) < 32:
            raise ValueError("id:hex pairs, id 0 to 255, at least 32 hex digits each")
        keys_by_id[int(key_id)] = bytes.fromhex(digits)
    return keys_by_id


def parse_name(text: str) -> str:
    """Parse a name of letters, digits, dots and hyphens."""
    if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9.-]{0,62}", text):
        raise ValueError(
            "1 to 63 letters, digits, dots and hyphens, with no dot or hyphen first"
        )
    return text


def parse_plugin(text: str) -> str:
    """Parse the name of a plug-in: lower-case letters and underscores."""
    if not re.fullmatch(r"[a-z][a-z_]{0,30}", text):
        raise ValueError("lower-case letters and underscores, as in slot_shares")
    return text
