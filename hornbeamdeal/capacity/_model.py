"""The capacity model: measured slopes carried to the target size."""

from collections.abc import Mapping

from ._entry_host_cpu import CONTROL_CPU, DATA_PATH
from ._entry_host_state import MEMORY, TRAFFIC
from ._failures import ALTERNATIVES, CHANGES, LOSSES, REPLACEMENTS
from ._fit import Slope
from ._formula import Evaluator
from ._line import Line, LineSpec, compute_lines
from ._other_roles import CLIENT, OWNER, PLATFORM, READER
from ._target import Assumptions, Target, quantities

SPECS_BY_ROLE: dict[str, tuple[LineSpec, ...]] = {
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
ALTERNATIVES_BY_ROLE = {"designs ruled out": ALTERNATIVES}
ALL_SPECS_BY_ROLE = {**SPECS_BY_ROLE, **ALTERNATIVES_BY_ROLE}


def lines_at(
    slopes: Mapping[str, Slope],
    target: Target | None = None,
    assumptions: Assumptions | None = None,
) -> list[Line]:
    """Return all lines for a target, by default that of the design page."""
    return compute_lines(
        ALL_SPECS_BY_ROLE, slopes, target or Target(), assumptions or Assumptions()
    )


def over(lines: list[Line]) -> list[Line]:
    """Return the lines of this design that are over their limits."""
    return [
        line for line in lines if line.is_over and line.role not in ALTERNATIVES_BY_ROLE
    ]


def slopes_needed() -> set[str]:
    """Return the names of all slopes in the formulas."""
    recorder = _Recorder()
    evaluator = Evaluator(quantities(Target(), Assumptions()), recorder)
    for specs in ALL_SPECS_BY_ROLE.values():
        for spec in specs:
            evaluator.evaluate(spec.formula)
    return recorder.names


class _Recorder(dict):
    """Gives a flat line for each name and notes the name."""

    def __init__(self):
        super().__init__()
        self.names: set[str] = set()

    def __contains__(self, name: object) -> bool:
        return True

    def __getitem__(self, name: str) -> Slope:
        self.names.add(name)
        return Slope(name, "", "", ((1.0, 1.0),), 0.0, 1.0, 0.0)
