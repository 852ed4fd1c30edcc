"""Renders the tables of the capacity page."""

import re
from collections.abc import Mapping
from math import log10

from ._estimate import Estimate
from ._fit import Slope
from ._model import (
    ALL_SPECS_BY_SECTION,
    ALTERNATIVES_BY_SECTION,
    compute_estimates,
    over_limit,
)
from ._target import REASONS_BY_ASSUMPTION, Assumptions, DesignTarget, formula_variables

_TABLE_PATTERN = re.compile(
    r"(<!-- table: (?P<name>.+?) -->\n).*?(<!-- end of table -->)", re.DOTALL
)
_ESTIMATE_HEADERS = (
    "quantity",
    "figure",
    "limit",
    "ratio",
    "formula",
    "slopes",
    "measured",
    "mechanism",
)
_SI_PREFIXES = ((1e9, "G"), (1e6, "M"), (1e3, "k"), (1, ""), (1e-3, "m"), (1e-6, "µ"))


def render_page(text: str, machine: str, slopes: Mapping[str, Slope]) -> str:
    """Return the page with the contents of all marked tables replaced."""
    tables = _render_tables(machine, slopes)

    def replace(match: re.Match) -> str:
        return f"{match[1]}\n{tables[match['name']]}\n\n{match[3]}"

    return _TABLE_PATTERN.sub(replace, text)


def table_names(text: str) -> set[str]:
    """Return the names of the tables that are marked in a page."""
    return {match["name"] for match in _TABLE_PATTERN.finditer(text)}


def _render_tables(machine: str, slopes: Mapping[str, Slope]) -> dict[str, str]:
    estimates = compute_estimates(slopes)
    tables = {
        section: _estimate_table(
            [estimate for estimate in estimates if estimate.section == section]
        )
        for section in ALL_SPECS_BY_SECTION
    }
    tables["over"] = _over_limit_table(estimates)
    tables["doubled"] = _doubled_size_table(estimates, slopes)
    tables["slopes"] = _slope_table(slopes)
    tables["assumptions"] = _assumption_table()
    tables["quantities"] = _variable_table()
    tables["machine"] = f"Measured on: {machine}."
    return tables


def _render_table(headers: tuple[str, ...], rows) -> str:
    separator = "| " + " | ".join("---" for _ in headers) + " |"
    body = ["| " + " | ".join(row) + " |" for row in (headers, *rows)]
    return "\n".join([body[0], separator, *body[1:]])


def _estimate_table(estimates: list[Estimate]) -> str:
    return _render_table(
        _ESTIMATE_HEADERS, [_estimate_row(estimate) for estimate in estimates]
    )


def _estimate_row(estimate: Estimate) -> tuple[str, ...]:
    spec = estimate.spec
    return (
        spec.quantity,
        format_quantity(estimate.value, spec.unit),
        _limit_cell(estimate),
        _ratio_cell(estimate),
        f"`{spec.formula}`",
        _slopes_cell(estimate),
        _range_cell(estimate),
        spec.mechanism,
    )


def _limit_cell(estimate: Estimate) -> str:
    return (
        "none"
        if estimate.limit is None
        else format_quantity(estimate.limit, estimate.spec.unit)
    )


def _ratio_cell(estimate: Estimate) -> str:
    if estimate.ratio is None:
        return "-"
    return f"{estimate.ratio:.3g}" + (" **over**" if estimate.is_over_limit else "")


def _slopes_cell(estimate: Estimate) -> str:
    slopes = {use.slope.name: use.slope for use in estimate.slope_uses}.values()
    return (
        "; ".join(f"{s.name} {format_quantity(s.slope, s.unit)}" for s in slopes) or "-"
    )


def _range_cell(estimate: Estimate) -> str:
    """List the measured range of each fitted line and how far the estimate exceeds it."""
    ranges = []
    for use in estimate.slope_uses:
        slope = use.slope
        text = f"{slope.smallest:.4g} to {slope.largest:.4g} {slope.size}"
        if use.extrapolation_factor > 1:
            text += f" ({use.extrapolation_factor:.3g} times beyond)"
        ranges.append(text)
    return "; ".join(dict.fromkeys(ranges)) or "-"


def _over_limit_table(estimates: list[Estimate]) -> str:
    headers = ("line", "figure", "limit", "ratio", "design change")
    rows = [
        (
            f"{estimate.section}: {estimate.spec.quantity}",
            format_quantity(estimate.value, estimate.spec.unit),
            _limit_cell(estimate),
            _ratio_cell(estimate),
            estimate.spec.remedy or "none known",
        )
        for estimate in over_limit(estimates)
    ]
    return _render_table(headers, rows)


def _doubled_size_table(estimates: list[Estimate], slopes: Mapping[str, Slope]) -> str:
    """List the estimates over their limits at twice the size, worst ratio first."""
    headers = ("line", "ratio at the target", "ratio at twice the size")
    pairs = zip(
        estimates, compute_estimates(slopes, DesignTarget().doubled()), strict=True
    )
    in_design = [
        pair for pair in pairs if pair[0].section not in ALTERNATIVES_BY_SECTION
    ]
    exceeding = sorted(
        (p for p in in_design if p[1].is_over_limit), key=lambda p: -p[1].ratio
    )
    rows = [
        (
            f"{base.section}: {base.spec.quantity}",
            _ratio_cell(base),
            _ratio_cell(doubled),
        )
        for base, doubled in exceeding
    ]
    return _render_table(headers, rows)


def _slope_table(slopes: Mapping[str, Slope]) -> str:
    headers = ("slope", "for each of", "gradient", "at none", "residual", "points")
    rows = [
        (
            slope.name,
            slope.size,
            format_quantity(slope.slope, slope.unit),
            format_quantity(slope.intercept, slope.unit),
            f"{slope.residual:.1%}",
            ", ".join(f"{size:.4g}: {cost:.4g}" for size, cost in slope.points),
        )
        for slope in slopes.values()
    ]
    return _render_table(headers, rows)


def _assumption_table() -> str:
    rows = [
        (name, f"{getattr(Assumptions(), name):g}", reason)
        for name, reason in REASONS_BY_ASSUMPTION.items()
    ]
    return _render_table(("name", "value", "reason"), rows)


def _variable_table() -> str:
    variables = formula_variables(DesignTarget(), Assumptions())
    rows = [
        (name, f"{value:.6g}")
        for name, value in variables.items()
        if name not in REASONS_BY_ASSUMPTION
    ]
    return _render_table(("name", "value"), rows)


def format_quantity(value: float, unit: str) -> str:
    """Format a value with three digits, its unit and an SI prefix."""
    if unit.startswith("core"):
        return f"{value:.3g} core"
    size = abs(value)
    if not size or log10(size) < -9:
        return f"0 {unit}"
    scale, prefix = next((p for p in _SI_PREFIXES if size >= p[0]), _SI_PREFIXES[-1])
    if prefix in ("m", "µ") and not unit.startswith("s"):
        return f"{value:.3g} {unit}"
    if prefix and not unit.startswith(("B", "s")):
        return f"{value:,.0f} {unit}"
    return f"{value / scale:.3g} {prefix}{unit}"
