"""Least-squares lines through measured points."""

import math
from dataclasses import dataclass
from statistics import fmean, linear_regression
from typing import Any


@dataclass(frozen=True, slots=True)
class Slope:
    """A measured cost against a size, with the line fitted to it.

    `residual` is the root mean square distance of the points from the line as
    a share of their mean.
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

    def at(self, size: float) -> float:
        """Return the fitted cost at a size, never below zero."""
        return max(0.0, self.intercept + self.slope * size)

    def to_fields(self) -> dict[str, Any]:
        """Return the slope as JSON fields."""
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
        """Read a slope from JSON fields."""
        points = tuple((size, cost) for size, cost in fields["points"])
        return cls(**{**fields, "points": points})


def fit(name: str, size: str, unit: str, points) -> Slope:
    """Fit a line to three or more points of size and cost."""
    points = tuple((float(size), float(cost)) for size, cost in points)
    if len(points) < 3:
        raise ValueError(f"{name}: {len(points)} points; measure at least 3 sizes")
    sizes, costs = zip(*points, strict=True)
    line = linear_regression(sizes, costs)
    distances = [line.intercept + line.slope * x - y for x, y in points]
    rms = math.sqrt(fmean(d * d for d in distances))
    mean = fmean(map(abs, costs))
    residual = rms / mean if mean else 0.0
    return Slope(name, size, unit, points, line.slope, line.intercept, residual)
