"""Capacity model that extrapolates measured costs to the size of the design."""

from ._estimate import Estimate
from ._fit import Slope, fit_slope
from ._model import compute_estimates, over_limit, required_slope_names
from ._page import render_page, table_names
from ._slopes import from_json, measure_slopes, read_slopes, summarize, to_json
from ._target import Assumptions, DesignTarget

__all__ = [
    "Assumptions",
    "Estimate",
    "Slope",
    "DesignTarget",
    "fit_slope",
    "from_json",
    "compute_estimates",
    "measure_slopes",
    "over_limit",
    "read_slopes",
    "render_page",
    "required_slope_names",
    "summarize",
    "table_names",
    "to_json",
]
