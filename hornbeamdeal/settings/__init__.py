"""Validated settings from flags and environment variables."""

from ._entry import ENTRY_SETTINGS, EntrySettings, SettingError, load_entry_settings
from ._parsing import parse_duration, parse_endpoint, parse_endpoints, parse_name

__all__ = [
    "ENTRY_SETTINGS",
    "EntrySettings",
    "SettingError",
    "load_entry_settings",
    "parse_duration",
    "parse_endpoint",
    "parse_endpoints",
    "parse_name",
]
