"""Capacity model: measured slopes carried to the target size."""

from ._fit import Slope, fit
from ._line import Line
from ._model import lines_at, over, slopes_needed
from ._page import render_page, table_names
from ._slopes import from_json, measure_slopes, read_slopes, summarize, to_json
from ._target import Assumptions, Target

__all__ = [
    "Assumptions",
    "Line",
    "Slope",
    "Target",
    "fit",
    "from_json",
    "lines_at",
    "measure_slopes",
    "over",
    "read_slopes",
    "render_page",
    "slopes_needed",
    "summarize",
    "table_names",
    "to_json",
]
