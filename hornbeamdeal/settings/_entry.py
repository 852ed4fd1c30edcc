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
    parse_optional_endpoint,
    parse_plugin,
)

ENVIRONMENT_PREFIX = "HORNBEAMDEAL_"


class SettingError(HornbeamdealError):
    """A setting is missing, unknown or invalid."""

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
    """Validated settings of an entry host; fields have the names of the settings."""

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
    """One setting: name, parser, default (None if it is required) and help text."""

    name: str
    parse: Callable[[str], Any]
    default: str | None
    help: str


ENTRY_SETTINGS = (
    Setting("host_id", parse_name, None, "name of this entry host"),
    Setting("zone", parse_name, None, "availability zone of this entry host"),
    Setting(
        "fabric",
        parse_endpoint,
        None,
        "UDP endpoint that forwards datagrams to callers",
    ),
    Setting(
        "fabric_listen",
        parse_endpoint,
        None,
        "UDP endpoint for datagrams from the fabric",
    ),
    Setting(
        "server_listen", parse_endpoint, None, "UDP endpoint for datagrams from servers"
    ),
    Setting(
        "peer_listen", parse_endpoint, None, "UDP and TCP endpoint for entry hosts"
    ),
    Setting(
        "peer_advertise",
        parse_optional_endpoint,
        "",
        "peer endpoint announced to entry hosts",
    ),
    Setting("admin_listen", parse_endpoint, None, "HTTP endpoint for operators"),
    Setting("platform", parse_endpoint, None, "HTTP endpoint of the platform"),
    Setting(
        "seeds",
        parse_endpoints,
        "",
        "endpoints of entry hosts to join, comma-separated",
    ),
    Setting("peer_keys", parse_keys, None, "accepted keys of entry hosts, as id:hex"),
    Setting("sending_key", int, "1", "id of the key for outgoing messages"),
    Setting(
        "linger", parse_duration, "15s", "how long to relay flows after a planned stop"
    ),
    Setting("steering", parse_plugin, "tracked", "plug-in that steers flows"),
    Setting("admission", parse_plugin, "slot_shares", "plug-in that admits requests"),
    Setting("requests", parse_plugin, "run_token", "plug-in that runs requests"),
    Setting("log_level", str.upper, "INFO", "DEBUG, INFO, WARNING or ERROR"),
)


def load_entry_settings(
    flags: Mapping[str, Any], environment: Mapping[str, str]
) -> Result[EntrySettings, list[SettingError]]:
    """Parse and validate all settings; flags override environment variables."""
    known = {setting.name for setting in ENTRY_SETTINGS}
    errors = [SettingError(name, "is unknown") for name in flags if name not in known]
    values: dict[str, Any] = {}
    for setting in ENTRY_SETTINGS:
        match _load_setting(setting, flags, environment):
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


def _load_setting(
    setting: Setting, flags: Mapping[str, Any], environment: Mapping[str, str]
) -> Result[Any, SettingError]:
    variable = ENVIRONMENT_PREFIX + setting.name.upper()
    text = flags.get(setting.name, environment.get(variable, setting.default))
    if text is None:
        return Err(SettingError(setting.name, "is missing: " + setting.help))
    try:
        return Ok(setting.parse(str(text)))
    except ValueError as error:
        return Err(SettingError(setting.name, f"is {text!r}; expected {error}"))
