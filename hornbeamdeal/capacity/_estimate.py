"""Estimates of the capacity page: formulas with their values and limits."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ._fit import Slope
from ._formula import FormulaEvaluator, SlopeUse
from ._target import Assumptions, DesignTarget, formula_variables

TOTAL_REMEDY = "the changes of the lines above that are over"


def sum_of(*formulas: str) -> str:
    """Return the formula of a sum."""
    return " + ".join(formulas)


@dataclass(frozen=True, slots=True)
class EstimateSpec:
    """Definition of an estimate.

    `limit` is a formula, empty for no limit. `mechanism` says what causes the cost,
    and `remedy` names the design change to make if the value exceeds the limit.
    """

    quantity: str
    unit: str
    formula: str
    limit: str
    mechanism: str
    remedy: str = ""


@dataclass(frozen=True, slots=True)
class Estimate:
    """A computed estimate in a section of the capacity page."""

    section: str
    spec: EstimateSpec
    value: float
    limit: float | None
    slope_uses: tuple[SlopeUse, ...]

    @property
    def ratio(self) -> float | None:
        """Return the value as a share of the limit, None without a limit."""
        return None if self.limit is None else self.value / self.limit

    @property
    def is_over_limit(self) -> bool:
        """Return whether the value exceeds its limit."""
        return self.ratio is not None and self.ratio > 1


def evaluate_specs(
    specs_by_section: Mapping[str, Iterable[EstimateSpec]],
    slopes: Mapping[str, Slope],
    target: DesignTarget,
    assumptions: Assumptions,
) -> list[Estimate]:
    """Evaluate all definitions of estimates for a design target."""
    evaluator = FormulaEvaluator(formula_variables(target, assumptions), slopes)
    return [
        _evaluate_spec(section, spec, evaluator)
        for section, specs in specs_by_section.items()
        for spec in specs
    ]


def _evaluate_spec(
    section: str, spec: EstimateSpec, evaluator: FormulaEvaluator
) -> Estimate:
    limit = evaluator.evaluate(spec.limit) if spec.limit else None
    value = evaluator.evaluate(spec.formula)
    return Estimate(section, spec, value, limit, tuple(evaluator.slope_uses))
