"""Renders the model's tables into the capacity page."""

import re
from collections.abc import Mapping
from math import log10

from ._fit import Slope
from ._line import Line
from ._model import ALL_SPECS_BY_ROLE, ALTERNATIVES_BY_ROLE, lines_at, over
from ._target import REASONS_BY_ASSUMPTION, Assumptions, Target, quantities

_MARKED = re.compile(
    r"(<!-- table: (?P<name>.+?) -->\n).*?(<!-- end of table -->)", re.DOTALL
)
_LINE_HEAD = (
    "quantity",
    "figure",
    "limit",
    "ratio",
    "formula",
    "slopes",
    "measured",
    "mechanism",
)
_PREFIXES = ((1e9, "G"), (1e6, "M"), (1e3, "k"), (1, ""), (1e-3, "m"), (1e-6, "µ"))


def render_page(text: str, machine: str, slopes: Mapping[str, Slope]) -> str:
    """Return the page with all marked tables computed anew."""
    tables = _tables(machine, slopes)

    def replace(match: re.Match) -> str:
        return f"{match[1]}\n{tables[match['name']]}\n\n{match[3]}"

    return _MARKED.sub(replace, text)


def table_names(text: str) -> set[str]:
    """Return the names of the tables that a page has room for."""
    return {match["name"] for match in _MARKED.finditer(text)}


def _tables(machine: str, slopes: Mapping[str, Slope]) -> dict[str, str]:
    lines = lines_at(slopes)
    tables = {
        role: _line_table([line for line in lines if line.role == role])
        for role in ALL_SPECS_BY_ROLE
    }
    tables["over"] = _over_table(lines)
    tables["doubled"] = _doubled_table(lines, slopes)
    tables["slopes"] = _slope_table(slopes)
    tables["assumptions"] = _assumption_table()
    tables["quantities"] = _quantity_table()
    tables["machine"] = f"Measured on: {machine}."
    return tables


def _table(head: tuple[str, ...], rows) -> str:
    divider = "| " + " | ".join("---" for _ in head) + " |"
    body = ["| " + " | ".join(row) + " |" for row in (head, *rows)]
    return "\n".join([body[0], divider, *body[1:]])


def _line_table(lines: list[Line]) -> str:
    return _table(_LINE_HEAD, [_line_row(line) for line in lines])


def _line_row(line: Line) -> tuple[str, ...]:
    spec = line.spec
    return (
        spec.quantity,
        figure(line.value, spec.unit),
        _limit(line),
        _ratio(line),
        f"`{spec.formula}`",
        _gradients(line),
        _measured(line),
        spec.mechanism,
    )


def _limit(line: Line) -> str:
    return "none" if line.limit is None else figure(line.limit, line.spec.unit)


def _ratio(line: Line) -> str:
    if line.ratio is None:
        return "-"
    return f"{line.ratio:.3g}" + (" **over**" if line.is_over else "")


def _gradients(line: Line) -> str:
    slopes = {use.slope.name: use.slope for use in line.uses}.values()
    return "; ".join(f"{s.name} {figure(s.slope, s.unit)}" for s in slopes) or "-"


def _measured(line: Line) -> str:
    """Name each slope's range, and how far beyond it the figure lies."""
    ranges = []
    for use in line.uses:
        slope = use.slope
        text = f"{slope.smallest:.4g} to {slope.largest:.4g} {slope.size}"
        if use.stretch > 1:
            text += f" ({use.stretch:.3g} times beyond)"
        ranges.append(text)
    return "; ".join(dict.fromkeys(ranges)) or "-"


def _over_table(lines: list[Line]) -> str:
    head = ("line", "figure", "limit", "ratio", "design change")
    rows = [
        (
            f"{line.role}: {line.spec.quantity}",
            figure(line.value, line.spec.unit),
            _limit(line),
            _ratio(line),
            line.spec.remedy or "none known",
        )
        for line in over(lines)
    ]
    return _table(head, rows)


def _doubled_table(lines: list[Line], slopes: Mapping[str, Slope]) -> str:
    """List what is over at twice the size, the highest ratio first."""
    head = ("line", "ratio at the target", "ratio at twice the size")
    pairs = zip(lines, lines_at(slopes, Target().doubled()), strict=True)
    known = [pair for pair in pairs if pair[0].role not in ALTERNATIVES_BY_ROLE]
    broken = sorted((p for p in known if p[1].is_over), key=lambda p: -p[1].ratio)
    rows = [
        (f"{one.role}: {one.spec.quantity}", _ratio(one), _ratio(two))
        for one, two in broken
    ]
    return _table(head, rows)


def _slope_table(slopes: Mapping[str, Slope]) -> str:
    head = ("slope", "for each of", "gradient", "at none", "residual", "points")
    rows = [
        (
            slope.name,
            slope.size,
            figure(slope.slope, slope.unit),
            figure(slope.intercept, slope.unit),
            f"{slope.residual:.1%}",
            ", ".join(f"{size:.4g}: {cost:.4g}" for size, cost in slope.points),
        )
        for slope in slopes.values()
    ]
    return _table(head, rows)


def _assumption_table() -> str:
    rows = [
        (name, f"{getattr(Assumptions(), name):g}", reason)
        for name, reason in REASONS_BY_ASSUMPTION.items()
    ]
    return _table(("name", "value", "reason"), rows)


def _quantity_table() -> str:
    named = quantities(Target(), Assumptions())
    rows = [
        (name, f"{value:.6g}")
        for name, value in named.items()
        if name not in REASONS_BY_ASSUMPTION
    ]
    return _table(("name", "value"), rows)


def figure(value: float, unit: str) -> str:
    """Return a value with three digits and a prefix for its unit."""
    if unit.startswith("core"):
        return f"{value:.3g} core"
    size = abs(value)
    if not size or log10(size) < -9:
        return f"0 {unit}"
    scale, prefix = next((p for p in _PREFIXES if size >= p[0]), _PREFIXES[-1])
    if prefix in ("m", "µ") and not unit.startswith("s"):
        return f"{value:.3g} {unit}"
    if prefix and not unit.startswith(("B", "s")):
        return f"{value:,.0f} {unit}"
    return f"{value / scale:.3g} {prefix}{unit}"
