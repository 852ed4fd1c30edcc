"""Runs measurements in worker processes and prints tables."""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any


def run_all(measure: Callable, tasks: list[tuple], workers: int) -> list[Any]:
    """Call `measure` with the arguments of each task; return results in task order."""
    with ProcessPoolExecutor(max_workers=workers) as executor:
        return list(executor.map(measure, *zip(*tasks, strict=True)))


def print_table(rows: list[dict]) -> None:
    """Print rows with the same keys as an aligned table."""
    cells = [list(rows[0])] + [[_format(v) for v in row.values()] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = (c.rjust(w) for c, w in zip(line, widths, strict=True))
        print("  ".join(padded))


def _format(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
