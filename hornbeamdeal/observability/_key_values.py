"""The key=value format of log lines."""

from collections.abc import Mapping
from typing import Any


def format_key_values(fields: Mapping[str, Any]) -> str:
    """Format the fields as one line of key=value pairs."""
    return " ".join(f"{key}={_quote_if_needed(value)}" for key, value in fields.items())


def _quote_if_needed(value: Any) -> str:
    text = str(value)
    if text and not any(character in text for character in ' ="\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'
