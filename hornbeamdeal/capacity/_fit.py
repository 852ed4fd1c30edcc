"""Least-squares fits of costs against sizes."""

import math
from dataclasses import dataclass
from statistics import fmean, linear_regression
from typing import Any


@dataclass(frozen=True, slots=True)
class Slope:
    """Line fitted to the costs measured at several sizes, with its gradient `slope`.

    `points` are pairs of size and cost. `size` names what the size counts, `unit`
    is the unit of the cost. `residual` is the root mean square error divided by
    the mean absolute cost.
    """

    name: str
    size: str
    unit: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    residual: float

    @property
    def smallest(self) -> float:
        """Return the smallest measured size."""
        return min(size for size, _ in self.points)

    @property
    def largest(self) -> float:
        """Return the largest measured size."""
        return max(size for size, _ in self.points)

    def cost_at(self, size: float) -> float:
        """Return the fitted cost at a size, never below zero."""
        return max(0.0, self.intercept + self.slope * size)

    def to_fields(self) -> dict[str, Any]:
        """Return the fitted line as JSON fields."""
        return {
            "name": self.name,
            "size": self.size,
            "unit": self.unit,
            "points": [list(point) for point in self.points],
            "slope": self.slope,
            "intercept": self.intercept,
            "residual": self.residual,
        }

    @classmethod
    def from_fields(cls, fields: dict[str, Any]) -> "Slope":
        """Read a fitted line from JSON fields."""
        points = tuple((size, cost) for size, cost in fields["points"])
        return cls(**{**fields, "points": points})


def fit_slope(name: str, size: str, unit: str, points) -> Slope:
    """Fit a line to points of size and cost.

    Raises ValueError for fewer than three points.
    """
    points = tuple((float(size), float(cost)) for size, cost in points)
    if len(points) < 3:
        raise ValueError(f"{name}: {len(points)} points, but a fit needs at least 3")
    sizes, costs = zip(*points, strict=True)
    line = linear_regression(sizes, costs)
    errors = [line.intercept + line.slope * size - cost for size, cost in points]
    rms = math.sqrt(fmean(error * error for error in errors))
    mean = fmean(map(abs, costs))
    residual = rms / mean if mean else 0.0
    return Slope(name, size, unit, points, line.slope, line.intercept, residual)
