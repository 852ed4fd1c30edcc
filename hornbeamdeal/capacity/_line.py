"""A line of the capacity page: a formula with its value and its limit."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ._fit import Slope
from ._formula import Evaluator, SlopeUse
from ._target import Assumptions, Target, quantities

TOTAL_REMEDY = "the changes of the lines above that are over"


def sum_of(*formulas: str) -> str:
    """Return the formula of a sum."""
    return " + ".join(formulas)


@dataclass(frozen=True, slots=True)
class LineSpec:
    """What a line computes. `limit` is a formula, empty where there is none.

    `remedy` is the design change for a line that is over its limit.
    """

    quantity: str
    unit: str
    formula: str
    limit: str
    mechanism: str
    remedy: str = ""


@dataclass(frozen=True, slots=True)
class Line:
    """A computed line."""

    role: str
    spec: LineSpec
    value: float
    limit: float | None
    uses: tuple[SlopeUse, ...]

    @property
    def ratio(self) -> float | None:
        """Return the value as a share of the limit, None without a limit."""
        return None if self.limit is None else self.value / self.limit

    @property
    def is_over(self) -> bool:
        """Tell whether the value is above its limit."""
        return self.ratio is not None and self.ratio > 1


def compute_lines(
    specs_by_role: Mapping[str, Iterable[LineSpec]],
    slopes: Mapping[str, Slope],
    target: Target,
    assumptions: Assumptions,
) -> list[Line]:
    """Compute all lines for a target."""
    evaluator = Evaluator(quantities(target, assumptions), slopes)
    return [
        _compute(role, spec, evaluator)
        for role, specs in specs_by_role.items()
        for spec in specs
    ]


def _compute(role: str, spec: LineSpec, evaluator: Evaluator) -> Line:
    limit = evaluator.evaluate(spec.limit) if spec.limit else None
    value = evaluator.evaluate(spec.formula)
    return Line(role, spec, value, limit, tuple(evaluator.uses))
