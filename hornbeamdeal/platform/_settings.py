"""Settings of a node, decoded from the platform's settings file and validated."""

import json
import os
from typing import Any

from hornbeamdeal.dsr import CONTACT_SECONDS
from hornbeamdeal.kernel import (
    MAXIMUM_PORT,
    Endpoint,
    HornbeamdealError,
    parse_port,
)

SETTINGS_VARIABLE = "HORNBEAMDEAL_NODE_FILE"
# Names the environment where the store's address does not, as hosts reach the store at
# different addresses.
ENVIRONMENT_VARIABLE = "HORNBEAMDEAL_ENVIRONMENT"

# The store drops an entry after this many heartbeat intervals of silence.
LAPSE_HEARTBEATS = 3
# Interval of a platform whose settings don't tell it.
DEFAULT_HEARTBEAT_MILLISECONDS = 1200
# A settings file has a few kilobytes.
MAXIMUM_FILE_BYTES = 262_144
# Larger numbers and those that are no number are errors of the file.
MAXIMUM_NUMBER = 10**12


class SettingsError(HornbeamdealError):
    """Raised when the settings file is missing or invalid; names the remedy."""

    __slots__ = ()


class NodeSettings:
    """Settings of one node. Durations are in seconds.

    `packet_listen` receives callers' packets, `readiness_listen` the routers'
    readiness checks. `peer_port` serves messages between nodes, `metrics_port` the
    operators' pages. `link_mbps` is the bandwidth of the machine's network link in
    Mbit/s. `is_first_start` is set at the first start of the whole system. The names
    are logged when the settings are reloaded. `environment` names the hosts that work
    together. `entry_lifetime_seconds` is the time
    after which the store drops the entry of a silent server. `contact_seconds` is the time
    after a disturbance within which a host must be current. `cold_overage` and
    `cold_slack` bound the new flows of cold servers, None if nothing bounds them;
    `evacuation_seconds` is infinite if there is no bound.
    """

    __slots__ = (
        "cold_overage",
        "cold_slack",
        "config_apply_seconds",
        "contact_seconds",
        "drain_seconds",
        "entry_lifetime_seconds",
        "environment",
        "evacuation_seconds",
        "flow_lifetime_seconds",
        "host_id",
        "ip",
        "is_first_start",
        "link_mbps",
        "metrics_port",
        "packet_listen",
        "peer_port",
        "readiness_listen",
        "seed_ips",
        "stop_seconds",
        "store",
        "zone",
    )

    def __init__(self, **values: Any):
        for name in self.__slots__:
            setattr(self, name, values[name])

    @property
    def freshness_seconds(self) -> float:
        """Return the time within which a change must be in force on every host."""
        return min(
            self.config_apply_seconds, self.drain_seconds, self.evacuation_seconds
        )

    def differences(self, other: "NodeSettings") -> dict[str, str]:
        """Return the settings that differ, as `old -> new` by name, for logs."""
        pairs = {n: (getattr(self, n), getattr(other, n)) for n in self.__slots__}
        return {n: f"{a} -> {b}" for n, (a, b) in pairs.items() if a != b}


def load_settings(path: str | None) -> NodeSettings:
    """Read and validate the settings file; raise SettingsError with the remedy."""
    if not path:
        text = f"set {SETTINGS_VARIABLE} to the path of the node's settings file"
        raise SettingsError(text)
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAXIMUM_FILE_BYTES + 1)
        if len(text) > MAXIMUM_FILE_BYTES:
            raise ValueError(f"more than {MAXIMUM_FILE_BYTES} characters")
        environment = os.environ.get(ENVIRONMENT_VARIABLE, "")
        return decode_settings(json.loads(text), environment)
    except (OSError, ValueError, RecursionError) as error:
        text = f"{path} can't be read as JSON ({error}); use deploy/settings.template"
        raise SettingsError(text) from error


def decode_settings(fields: Any, environment: str = "") -> NodeSettings:
    """Decode the settings file's fields; unknown fields are ignored.

    Without a name, the store's address names the environment.

    Raise SettingsError that lists all missing and invalid fields.
    """
    reader = _FieldReader(fields)
    ports = reader.field("internal_ports", list)
    store = reader.endpoint("platform", "address")
    values = {
        # The platform calls an entry host a node.
        "host_id": reader.field("node_name", str),
        "ip": reader.field("ip", str),
        "zone": reader.field("zone", str),
        "link_mbps": reader.number("limits", "link_mbps"),
        # `bootstrap` is set only when the whole system starts for the first time.
        "is_first_start": reader.fields.get("bootstrap") is True,
        # `datagram_addr` receives callers' packets, `ready` the readiness checks.
        "packet_listen": reader.endpoint("listen", "datagram_addr"),
        "readiness_listen": reader.endpoint("listen", "ready"),
        # `platform.address` is the store's address.
        "store": store,
        # `internal_ports` starts with the port for peers and ends with the one for
        # metrics.
        "peer_port": _internal_port(reader, ports, 0),
        "metrics_port": _internal_port(reader, ports, -1),
        "seed_ips": reader.seed_ips("seeds"),
        "config_apply_seconds": reader.number("bounds", "config_apply_ms") / 1000,
        # `contact_ms` is the time after a disturbance within which a host must be current.
        "contact_seconds": _contact_seconds(
            reader.optional_number("bounds", "contact_ms")
        ),
        "environment": environment or str(store),
        "drain_seconds": reader.number("bounds", "drain_ms") / 1000,
        # Servers write their entries every `heartbeat_ms`.
        "entry_lifetime_seconds": LAPSE_HEARTBEATS * reader.heartbeat_seconds(),
        "cold_overage": reader.optional_number("bounds", "cold_overage"),
        "cold_slack": reader.optional_number("bounds", "cold_slack"),
        "evacuation_seconds": _seconds_or_infinite(
            reader.optional_number("bounds", "evacuation_ms")
        ),
        # `grace_s` is the time limit of a graceful stop.
        "stop_seconds": reader.number("bounds", "grace_s"),
        "flow_lifetime_seconds": reader.number("bounds", "flow_lifetime_s"),
    }
    if reader.problems:
        raise SettingsError("settings file: " + "; ".join(reader.problems))
    return NodeSettings(**values)


def _contact_seconds(milliseconds: float | None) -> float:
    return CONTACT_SECONDS if not milliseconds else milliseconds / 1000


def _seconds_or_infinite(milliseconds: float | None) -> float:
    return float("inf") if milliseconds is None else milliseconds / 1000


def _internal_port(reader: "_FieldReader", ports: Any, index: int) -> int:
    port = ports[index] if ports else None
    is_integer = isinstance(port, int) and not isinstance(port, bool)
    if is_integer and 1 <= port <= MAXIMUM_PORT:
        return port
    reader.problems.append("internal_ports must be a list of port numbers")
    return 0


class _FieldReader:
    """Reads typed fields and collects the problems of missing and invalid ones."""

    __slots__ = ("fields", "problems")

    def __init__(self, fields: Any):
        self.fields = fields if isinstance(fields, dict) else {}
        self.problems: list[str] = []

    def field(self, name: str, kind: type, parent: str = "") -> Any:
        """Return a field; record a problem if it is missing or of another type."""
        fields = self.fields.get(parent, {}) if parent else self.fields
        value = fields.get(name) if isinstance(fields, dict) else None
        if isinstance(value, kind) and not isinstance(value, bool):
            return value
        full_name = f"{parent}.{name}" if parent else name
        self.problems.append(f"{full_name} must be of type {kind.__name__}")
        return kind()

    def number(self, parent: str, name: str) -> float:
        """Return a number of a table; record a problem if it is missing or invalid."""
        fields = self.fields.get(parent)
        value = fields.get(name) if isinstance(fields, dict) else None
        if _is_number(value):
            return float(value)
        self.problems.append(f"{parent}.{name} must be a number")
        return 0.0

    def optional_number(self, parent: str, name: str) -> float | None:
        """Return a number of a table, None if it is not there.

        Record a problem if it is invalid.
        """
        fields = self.fields.get(parent)
        if not isinstance(fields, dict) or fields.get(name) is None:
            return None
        return self.number(parent, name)

    def heartbeat_seconds(self) -> float:
        """Return the interval in which servers write their entries."""
        value = self.fields.get("heartbeat_ms")
        is_usable = _is_number(value) and value > 0
        return (value if is_usable else DEFAULT_HEARTBEAT_MILLISECONDS) / 1000

    def endpoint(self, parent: str, name: str) -> Endpoint | None:
        """Return an `ip:port` of a table; record a problem if missing or invalid."""
        fields = self.fields.get(parent)
        value = fields.get(name) if isinstance(fields, dict) else None
        endpoint = _parse_endpoint(value)
        if endpoint is None:
            self.problems.append(f"{parent}.{name} must be ip:port")
        return endpoint

    def seed_ips(self, name: str) -> tuple[str, ...]:
        """Return the IP addresses of the seeds, without invalid entries.

        Seeds are hints that may be stale, so an invalid one is no error. Their ports
        are not used.
        """
        seeds = self.fields.get(name) or []
        endpoints = map(_parse_endpoint, seeds if isinstance(seeds, list) else [])
        return tuple(endpoint.ip for endpoint in endpoints if endpoint is not None)


def _is_number(value: Any) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and abs(value) <= MAXIMUM_NUMBER


def _parse_endpoint(text: Any) -> Endpoint | None:
    ip, _, port = text.rpartition(":") if isinstance(text, str) else ("",) * 3
    try:
        return Endpoint(ip, parse_port(port)) if ip else None
    except ValueError:
        return None
