"""Settings of an entry host, from flags and environment variables."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from result import Err, Ok, Result

from hornbeamdeal.kernel import Endpoint, HornbeamdealError

from ._parsing import (
    parse_duration,
    parse_endpoint,
    parse_endpoints,
    parse_keys,
    parse_name,
    parse_optional,
    parse_plugin,
)

ENVIRONMENT_PREFIX = "HORNBEAMDEAL_"


class SettingError(HornbeamdealError):
    """A setting is missing, unknown or not allowed."""

    __slots__ = ("name",)

    def __init__(self, name: str, problem: str):
        self.name = name
        flag = "--" + name.replace("_", "-")
        super().__init__(
            f"{name} {problem} (flag {flag} or variable "
            f"{ENVIRONMENT_PREFIX}{name.upper()})"
        )


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Checked settings of an entry host."""

    host_id: str
    zone: str
    fabric: Endpoint
    fabric_listen: Endpoint
    server_listen: Endpoint
    peer_listen: Endpoint
    peer_advertise: Endpoint
    admin_listen: Endpoint
    platform: Endpoint
    seeds: tuple[Endpoint, ...]
    peer_keys: dict[int, bytes]
    sending_key: int
    linger: timedelta
    steering: str
    admission: str
    requests: str
    log_level: str


@dataclass(frozen=True, slots=True)
class Setting:
    """One setting: its parser, its default (None: required) and its help text."""

    name: str
    parse: Callable[[str], Any]
    default: str | None
    help: str


ENTRY_SETTINGS = (
    Setting("host_id", parse_name, None, "name of this entry host"),
    Setting("zone", parse_name, None, "availability zone of this entry host"),
    Setting("fabric", parse_endpoint, None, "where datagrams for callers are sent"),
    Setting("fabric_listen", parse_endpoint, None, "UDP endpoint for the fabric"),
    Setting("server_listen", parse_endpoint, None, "UDP endpoint for backend servers"),
    Setting("peer_listen", parse_endpoint, None, "UDP and TCP endpoint for peers"),
    Setting("peer_advertise", parse_optional, "", "endpoint that peers are told"),
    Setting("admin_listen", parse_endpoint, None, "HTTP endpoint for operators"),
    Setting("platform", parse_endpoint, None, "HTTP endpoint of the platform"),
    Setting("seeds", parse_endpoints, "", "peers to join through, by commas"),
    Setting("peer_keys", parse_keys, None, "id:hex keys accepted between hosts"),
    Setting("sending_key", int, "1", "identifier of the key for sending"),
    Setting("linger", parse_duration, "15s", "relaying time after a planned stop"),
    Setting("steering", parse_plugin, "tracked", "plug-in that steers flows"),
    Setting("admission", parse_plugin, "slot_shares", "plug-in that admits requests"),
    Setting("requests", parse_plugin, "run_token", "plug-in that runs requests"),
    Setting("log_level", str.upper, "INFO", "DEBUG, INFO, WARNING or ERROR"),
)


def load_entry_settings(
    flags: Mapping[str, Any], environment: Mapping[str, str]
) -> Result[EntrySettings, list[SettingError]]:
    """Check all settings; a flag goes before its environment variable."""
    known = {setting.name for setting in ENTRY_SETTINGS}
    errors = [SettingError(name, "is unknown") for name in flags if name not in known]
    values: dict[str, Any] = {}
    for setting in ENTRY_SETTINGS:
        match _load(setting, flags, environment):
            case Ok(value):
                values[setting.name] = value
            case Err(error):
                errors.append(error)
    if not errors and values["sending_key"] not in values["peer_keys"]:
        errors.append(SettingError("sending_key", "must be one of the peer_keys"))
    if errors:
        return Err(errors)
    values["peer_advertise"] = values["peer_advertise"] or values["peer_listen"]
    return Ok(EntrySettings(**values))


def _load(
    setting: Setting, flags: Mapping[str, Any], environment: Mapping[str, str]
) -> Result[Any, SettingError]:
    variable = ENVIRONMENT_PREFIX + setting.name.upper()
    text = flags.get(setting.name, environment.get(variable, setting.default))
    if text is None:
        return Err(SettingError(setting.name, "is missing: " + setting.help))
    try:
        return Ok(setting.parse(str(text)))
    except ValueError as error:
        return Err(SettingError(setting.name, f"is {text!r}; allowed: {error}"))
