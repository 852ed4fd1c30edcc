"""Measures all costs, and reads and writes their fitted lines as JSON."""

import json
import os
import platform
from pathlib import Path

from . import (
    _measure_document,
    _measure_memory,
    _measure_packets,
    _measure_region,
    _measure_requests,
)
from ._fit import Slope
from ._sizes import FULL, QUICK

_MODULES = (
    _measure_packets,
    _measure_requests,
    _measure_memory,
    _measure_document,
    _measure_region,
)


def measure_slopes(quick: bool = False) -> list[Slope]:
    """Return the fitted lines of all costs.

    `quick` uses sizes that are too small for useful figures.
    """
    sizes = QUICK if quick else FULL
    return [slope for module in _MODULES for slope in module.measure(sizes)]


def to_json(slopes: list[Slope]) -> str:
    """Return JSON of fitted lines, with the machine they were measured on."""
    fields = {"machine": _machine(), "slopes": [s.to_fields() for s in slopes]}
    return json.dumps(fields, indent=1) + "\n"


def from_json(text: str) -> tuple[str, dict[str, Slope]]:
    """Return the machine measured on and the fitted lines by name from JSON."""
    fields = json.loads(text)
    slopes = map(Slope.from_fields, fields["slopes"])
    return fields["machine"], {slope.name: slope for slope in slopes}


def read_slopes(path: Path) -> tuple[str, dict[str, Slope]]:
    """Return the machine measured on and the fitted lines by name from a JSON file."""
    return from_json(path.read_text())


def summarize(slopes: list[Slope]) -> str:
    """Return a line of text for each fitted line."""
    return "\n".join(
        f"{slope.name:<24} {slope.slope:>12.4g} {slope.unit} for each of {slope.size}, "
        f"{slope.intercept:.4g} at size 0, residual {slope.residual:.1%}, "
        f"measured {slope.smallest:g} to {slope.largest:g}"
        for slope in slopes
    )


def _machine() -> str:
    python = f"{platform.python_implementation()} {platform.python_version()}"
    return f"{platform.machine()}, {os.cpu_count()} cores, {python}, {_cpu_model()}"


def _cpu_model() -> str:
    try:
        lines = Path("/proc/cpuinfo").read_text().splitlines()
    except OSError:
        return "unknown core"
    names = [line.split(":", 1)[1] for line in lines if line.startswith("model name")]
    return names[0].strip() if names else "unknown core"
