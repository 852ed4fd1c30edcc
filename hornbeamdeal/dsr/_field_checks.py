"""Checks of fields that other programs write, in the store or in messages."""

import math
import reprlib
from typing import Any

# Bytes of a server's number, which identifies it in the encapsulation.
SERVER_NUMBER_BYTES = 8
# New flows follow the slots, so a server that claims far more than another has would get
# nearly all of them. The document of the entry hosts' program has the same bound.
MAXIMUM_SLOTS = 10_000
MAXIMUM_MILLISECONDS = 2**31 - 1
# Names of services, zones and routes: as long as a domain name (RFC 1035, 2.3.4). They
# are kept with each entry and sent to all hosts.
MAXIMUM_TEXT_CHARACTERS = 255


def check_text(value: Any) -> str:
    """Return a short, non-empty text; raise TypeError or ValueError if it is none."""
    if not isinstance(value, str) or not value:
        raise TypeError(f"{reprlib.repr(value)} is not a non-empty string")
    if len(value) > MAXIMUM_TEXT_CHARACTERS:
        text = f"{value[:40]!r}... has {len(value)} characters"
        raise ValueError(f"{text}, more than {MAXIMUM_TEXT_CHARACTERS}")
    # JSON can hold half of a surrogate pair, which messages and logs can't.
    value.encode()
    return value


def check_integer(value: Any, maximum: int) -> int:
    """Return an integer of 0 to `maximum`; raise TypeError or ValueError if not one.

    JSON has one type of number, so that 12500.0 is an integer as well (RFC 8259, 6).
    """
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{reprlib.repr(value)} is not an integer")
    if not 0 <= value <= maximum:
        raise ValueError(f"an integer is not within 0 and {maximum}")
    return value


def check_number(value: Any) -> float:
    """Return a number as a float; raise TypeError or ValueError if out of range."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise TypeError(f"{reprlib.repr(value)} is not a number")
    if not 0 <= value <= MAXIMUM_MILLISECONDS:
        raise ValueError(
            f"{reprlib.repr(value)} is not within 0 and {MAXIMUM_MILLISECONDS}"
        )
    return float(value)


def check_weights(weights_by_service: dict[str, float]) -> dict[str, float]:
    """Return weights that flows can be split by; raise ValueError if they can't."""
    weights = weights_by_service.values()
    if not all(math.isfinite(weight) and weight >= 0 for weight in weights):
        raise ValueError(f"weights {weights_by_service!r} are not all finite and >= 0")
    if not math.isfinite(sum(weights)):
        raise ValueError(f"weights {weights_by_service!r} have no finite sum")
    return weights_by_service
