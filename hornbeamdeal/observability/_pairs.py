"""Text of a log line: key=value pairs."""

from collections.abc import Mapping
from typing import Any


def format_pairs(fields: Mapping[str, Any]) -> str:
    """Return the fields as key=value pairs in one line."""
    return " ".join(f"{key}={_quote(value)}" for key, value in fields.items())


def _quote(value: Any) -> str:
    text = str(value)
    if text and not any(character in text for character in ' ="\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'
