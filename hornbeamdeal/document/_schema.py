"""JSON schemas of the input; `remedy` says how to correct a value that fails."""

from typing import Any

from jsonschema import Draft202012Validator

# Label of RFC 1035, since names are sent as Uri-Host and in the PROXY AUTHORITY field.
NAME_PATTERN = r"[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?"
DURATION_PATTERN = r"^[0-9]{1,6}(\.[0-9]{1,3})?(ms|s|m)$"
DIGEST_PATTERN = r"^[0-9a-f]{64}$"
_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
# Neither "this network" (0) nor a multicast, reserved or broadcast address (from 224).
_FIRST_OCTET = r"(22[0-3]|2[01][0-9]|1[0-9]{2}|[1-9][0-9]?)"
IPV4_PATTERN = rf"^{_FIRST_OCTET}(\.{_OCTET}){{3}}$"
# Version numbers are sent between hosts as signed 64-bit integers.
MAXIMUM_VERSION = 2**63 - 1
MAXIMUM_WEIGHT = 1000
MAXIMUM_SLOTS = 10_000
MAXIMUM_CONNECTIONS = 1_000_000

_BOOLEAN_SCHEMA = {"type": "boolean", "remedy": "write true or false"}


def _integer_schema(low: int, high: int) -> dict[str, Any]:
    remedy = f"use a whole number from {low} to {high}"
    return {"type": "integer", "minimum": low, "maximum": high, "remedy": remedy}


def _enum_schema(*values: str) -> dict[str, Any]:
    return {"enum": list(values), "remedy": "use one of: " + ", ".join(values)}


def _string_schema(pattern: str, remedy: str) -> dict[str, Any]:
    return {"type": "string", "pattern": pattern, "remedy": remedy}


def _object_schema(required: list[str], **properties: Any) -> dict[str, Any]:
    return {
        "type": "object",
        "required": required,
        "properties": properties,
        "additionalProperties": False,
        "remedy": "use a mapping with the keys: " + ", ".join(properties),
    }


def _named_items_schema(**bounds: int) -> dict[str, Any]:
    remedy = "list at least one name here, each with a mapping"
    return {"type": "object", "remedy": remedy, **bounds}


_VERSION_SCHEMA = _integer_schema(1, MAXIMUM_VERSION)
_DIGEST_SCHEMA = _string_schema(DIGEST_PATTERN, "use 64 hexadecimal digits (SHA-256)")

HEAD_VALIDATOR = Draft202012Validator(
    _object_schema(
        ["version", "services"],
        version=_VERSION_SCHEMA,
        services={
            "type": "null",
            "remedy": "write 'services:' on a line of its own and below it one "
            "indented block for each service",
        },
    )
)
SERVICE_VALIDATOR = Draft202012Validator(
    _object_schema(
        ["addresses", "targets"],
        addresses=_named_items_schema(minProperties=1),
        work=_named_items_schema(),
        targets=_named_items_schema(minProperties=1),
    )
)
SERVICE_ITEM_VALIDATORS = {
    "addresses": Draft202012Validator(
        _object_schema(
            ["kind"],
            kind=_enum_schema("requests", "flows"),
            codec=_enum_schema("coap", "opaque"),
        )
    ),
    "work": Draft202012Validator(
        _object_schema(
            ["path", "deadline", "idempotent"],
            path=_string_schema(r"^/[!-~]*$", "use a path that starts with /"),
            deadline=_string_schema(
                DURATION_PATTERN, "use a duration such as 500ms, 2s or 1m"
            ),
            idempotent=_BOOLEAN_SCHEMA,
            long=_BOOLEAN_SCHEMA,
        )
    ),
    "targets": Draft202012Validator(
        _object_schema(
            [],
            weight={
                "type": "number",
                "exclusiveMinimum": 0,
                "maximum": MAXIMUM_WEIGHT,
                "remedy": f"use a number above 0 and up to {MAXIMUM_WEIGHT}; "
                "to stop new work use 'state: draining'",
            },
            slots=_integer_schema(1, MAXIMUM_SLOTS),
            connections=_integer_schema(1, MAXIMUM_CONNECTIONS),
            state=_enum_schema("active", "draining"),
        )
    ),
}
MANIFEST_VALIDATOR = Draft202012Validator(
    _object_schema(
        ["version", "digest", "segments"],
        version=_VERSION_SCHEMA,
        digest=_DIGEST_SCHEMA,
        segments={
            "type": "array",
            "minItems": 1,
            "items": _DIGEST_SCHEMA,
            "remedy": "list the segment digests in order",
        },
    )
)
HOST_LIST_VALIDATOR = Draft202012Validator(
    _object_schema(
        ["revision", "entry_hosts", "targets", "addresses"],
        revision=_integer_schema(1, MAXIMUM_VERSION),
        entry_hosts=_named_items_schema(),
        targets=_named_items_schema(),
        addresses=_named_items_schema(),
    )
)
_ENDPOINT_PROPERTIES = {
    "ip": _string_schema(IPV4_PATTERN, "use the IPv4 address of one host"),
    "port": _integer_schema(1, 65535),
}
_HOST_LIST_ENTRY_VALIDATOR = Draft202012Validator(
    _object_schema(
        ["ip", "port", "zone", "state"],
        **_ENDPOINT_PROPERTIES,
        zone=_string_schema(
            rf"^{NAME_PATTERN}$", "use the name of an availability zone"
        ),
        state=_enum_schema("live", "leaving"),
    )
)
HOST_LIST_ITEM_VALIDATORS = {
    "entry_hosts": _HOST_LIST_ENTRY_VALIDATOR,
    "targets": _HOST_LIST_ENTRY_VALIDATOR,
    "addresses": Draft202012Validator(
        _object_schema(["ip", "port"], **_ENDPOINT_PROPERTIES)
    ),
}
