"""The capacity model: all estimates, by section of the capacity page."""

from collections.abc import Mapping

from ._entry_host_cpu import CONTROL_CPU, DATA_PATH
from ._entry_host_state import MEMORY, TRAFFIC
from ._estimate import Estimate, EstimateSpec, evaluate_specs
from ._failures import ALTERNATIVES, CHANGES, LOSSES, REPLACEMENTS
from ._fit import Slope
from ._formula import FormulaEvaluator
from ._other_roles import CLIENT, OWNER, PLATFORM, READER
from ._target import Assumptions, DesignTarget, formula_variables

SPECS_BY_SECTION: dict[str, tuple[EstimateSpec, ...]] = {
    "entry host: state": MEMORY,
    "entry host: control traffic": TRAFFIC,
    "entry host: control CPU": CONTROL_CPU,
    "entry host: data path": DATA_PATH,
    "elected reader": READER,
    "owner of flow records": OWNER,
    "operators' client": CLIENT,
    "platform": PLATFORM,
    "changes": CHANGES,
    "replacements": REPLACEMENTS,
    "losses": LOSSES,
}
ALTERNATIVES_BY_SECTION = {"designs ruled out": ALTERNATIVES}
ALL_SPECS_BY_SECTION = {**SPECS_BY_SECTION, **ALTERNATIVES_BY_SECTION}


def compute_estimates(
    slopes: Mapping[str, Slope],
    target: DesignTarget | None = None,
    assumptions: Assumptions | None = None,
) -> list[Estimate]:
    """Compute all estimates for a target, by default that of the design page."""
    return evaluate_specs(
        ALL_SPECS_BY_SECTION,
        slopes,
        target or DesignTarget(),
        assumptions or Assumptions(),
    )


def over_limit(estimates: list[Estimate]) -> list[Estimate]:
    """Return the estimates that exceed their limits, without alternative designs."""
    return [
        estimate
        for estimate in estimates
        if estimate.is_over_limit and estimate.section not in ALTERNATIVES_BY_SECTION
    ]


def required_slope_names() -> set[str]:
    """Return the names of all fitted lines that the formulas use."""
    recorder = _NameRecorder()
    evaluator = FormulaEvaluator(
        formula_variables(DesignTarget(), Assumptions()), recorder
    )
    for specs in ALL_SPECS_BY_SECTION.values():
        for spec in specs:
            evaluator.evaluate(spec.formula)
    return recorder.names


class _NameRecorder(dict):
    """Mapping that returns a constant cost for every name and records the name."""

    def __init__(self):
        super().__init__()
        self.names: set[str] = set()

    def __contains__(self, name: object) -> bool:
        return True

    def __getitem__(self, name: str) -> Slope:
        self.names.add(name)
        return Slope(name, "", "", ((1.0, 1.0),), 0.0, 1.0, 0.0)
