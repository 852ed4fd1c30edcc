"""JSON schemas; `remedy` says what to do where a value does not match."""

from typing import Any

from jsonschema import Draft202012Validator

# RFC 1035 label: names travel as Uri-Host and as the PROXY AUTHORITY field.
NAME_PATTERN = r"[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?"
DURATION_PATTERN = r"^[0-9]{1,6}(\.[0-9]{1,3})?(ms|s|m)$"
DIGEST_PATTERN = r"^[0-9a-f]{64}$"
_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
IPV4_PATTERN = rf"^{_OCTET}(\.{_OCTET}){{3}}$"
# Versions travel between hosts as signed 64-bit integers.
MAX_VERSION = 2**63 - 1
MAX_WEIGHT = 1000
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 1_000_000

_BOOLEAN = {"type": "boolean", "remedy": "write true or false"}


def _integer(low: int, high: int) -> dict[str, Any]:
    remedy = f"use a whole number from {low} to {high}"
    return {"type": "integer", "minimum": low, "maximum": high, "remedy": remedy}


def _one_of(*values: str) -> dict[str, Any]:
    return {"enum": list(values), "remedy": "use one of: " + ", ".join(values)}


def _text(pattern: str, remedy: str) -> dict[str, Any]:
    return {"type": "string", "pattern": pattern, "remedy": remedy}


def _record(required: list[str], **properties: Any) -> dict[str, Any]:
    return {
        "type": "object",
        "required": required,
        "properties": properties,
        "additionalProperties": False,
        "remedy": "use a mapping with the keys: " + ", ".join(properties),
    }


def _named(**bounds: int) -> dict[str, Any]:
    remedy = "list at least one name here, each with a mapping"
    return {"type": "object", "remedy": remedy, **bounds}


_VERSION = _integer(1, MAX_VERSION)
_DIGEST = _text(DIGEST_PATTERN, "use 64 hexadecimal digits (SHA-256)")

HEAD = Draft202012Validator(
    _record(
        ["version", "services"],
        version=_VERSION,
        services={
            "type": "null",
            "remedy": "write 'services:' on a line of its own and below it one "
            "indented block for each service",
        },
    )
)
SERVICE = Draft202012Validator(
    _record(
        ["addresses", "targets"],
        addresses=_named(minProperties=1),
        work=_named(),
        targets=_named(minProperties=1),
    )
)
ITEMS_BY_GROUP = {
    "addresses": Draft202012Validator(
        _record(
            ["kind"],
            kind=_one_of("requests", "flows"),
            codec=_one_of("coap", "opaque"),
        )
    ),
    "work": Draft202012Validator(
        _record(
            ["path", "deadline", "idempotent"],
            path=_text(r"^/[!-~]*$", "use a path that starts with /"),
            deadline=_text(DURATION_PATTERN, "use a duration such as 500ms, 2s or 1m"),
            idempotent=_BOOLEAN,
            long=_BOOLEAN,
        )
    ),
    "targets": Draft202012Validator(
        _record(
            [],
            weight={
                "type": "number",
                "exclusiveMinimum": 0,
                "maximum": MAX_WEIGHT,
                "remedy": f"use a number above 0 and up to {MAX_WEIGHT}; "
                "to stop new work use 'state: draining'",
            },
            slots=_integer(1, MAX_SLOTS),
            connections=_integer(1, MAX_CONNECTIONS),
            state=_one_of("active", "draining"),
        )
    ),
}
MANIFEST = Draft202012Validator(
    _record(
        ["version", "digest", "segments"],
        version=_VERSION,
        digest=_DIGEST,
        segments={
            "type": "array",
            "minItems": 1,
            "items": _DIGEST,
            "remedy": "list the segment digests in order",
        },
    )
)
HOST_LIST = Draft202012Validator(
    _record(
        ["revision", "entry_hosts", "targets", "addresses"],
        revision=_integer(0, MAX_VERSION),
        entry_hosts=_named(),
        targets=_named(),
        addresses=_named(),
    )
)
_ENDPOINT = {
    "ip": _text(IPV4_PATTERN, "use an IPv4 address"),
    "port": _integer(1, 65535),
}
_MACHINE = Draft202012Validator(
    _record(
        ["ip", "port", "zone", "state"],
        **_ENDPOINT,
        zone=_text(rf"^{NAME_PATTERN}$", "use the name of an availability zone"),
        state=_one_of("live", "leaving"),
    )
)
LISTED_BY_GROUP = {
    "entry_hosts": _MACHINE,
    "targets": _MACHINE,
    "addresses": Draft202012Validator(_record(["ip", "port"], **_ENDPOINT)),
}
