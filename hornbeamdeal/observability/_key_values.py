"""The key=value format of log lines."""

from collections.abc import Mapping
from typing import Any

# A value may come from another writer, who decides how long it is. The end is kept too, as
# that of a traceback says most.
MAXIMUM_VALUE_CHARACTERS = 2_000


def format_key_values(fields: Mapping[str, Any]) -> str:
    """Format the fields as one line of key=value pairs."""
    return " ".join(f"{key}={_quote_if_needed(value)}" for key, value in fields.items())


def _quote_if_needed(value: Any) -> str:
    text = _shorten(str(value))
    if text and not any(character in text for character in ' ="\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'


def _shorten(text: str) -> str:
    left_out = len(text) - MAXIMUM_VALUE_CHARACTERS
    if left_out <= 0:
        return text
    half = MAXIMUM_VALUE_CHARACTERS // 2
    return f"{text[:half]}...[{left_out} characters left out]...{text[-half:]}"
