"""Arithmetic formulas over named variables and lines fitted to measured costs.

Formulas are text, so that the capacity page shows exactly what is computed.
`at(s, x)` is the cost by the fitted line s at size x, and `per(s)` is its gradient.
"""

import ast
import operator
from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil, log2
from typing import Any

from ._fit import Slope

_OPERATORS = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
}
_FUNCTIONS = {"ceil": ceil, "log2": log2, "max": max, "min": min}


@dataclass(frozen=True, slots=True)
class SlopeUse:
    """Use of a fitted line in a formula; `size` is None if only the gradient is."""

    slope: Slope
    size: float | None

    @property
    def extrapolation_factor(self) -> float:
        """Return the size as a multiple of the largest measured size."""
        return 0.0 if self.size is None else self.size / self.slope.largest


class FormulaEvaluator:
    """Evaluates formulas; `slope_uses` lists the fitted lines of the latest one."""

    def __init__(self, variables: Mapping[str, float], slopes: Mapping[str, Slope]):
        self.variables = variables
        self.slopes = slopes
        self.slope_uses: list[SlopeUse] = []

    def evaluate(self, formula: str) -> float:
        """Return the value of a formula.

        Raises ValueError for unknown names and for unsupported syntax.
        """
        self.slope_uses = []
        return float(self._value(ast.parse(formula, mode="eval").body))

    def _value(self, node: ast.AST) -> Any:
        match node:
            case ast.Constant(value=int() | float() as number):
                return number
            case ast.Name(id=name):
                return self._variable(name)
            case ast.BinOp(left=left, op=op, right=right) if type(op) in _OPERATORS:
                return _OPERATORS[type(op)](self._value(left), self._value(right))
            case ast.Call(func=ast.Name(id="at"), args=[ast.Name(id=name), size]):
                return self._at(name, self._value(size))
            case ast.Call(func=ast.Name(id="per"), args=[ast.Name(id=name)]):
                self.slope_uses.append(SlopeUse(self._slope(name), None))
                return self._slope(name).slope
            case ast.Call(func=ast.Name(id=name), args=args) if name in _FUNCTIONS:
                return _FUNCTIONS[name](*map(self._value, args))
        raise ValueError(f"unsupported expression in a formula: {ast.unparse(node)}")

    def _variable(self, name: str) -> float:
        if name not in self.variables:
            raise ValueError(f"unknown variable in a formula: {name}")
        return self.variables[name]

    def _slope(self, name: str) -> Slope:
        if name not in self.slopes:
            raise ValueError(f"unknown slope in a formula: {name}")
        return self.slopes[name]

    def _at(self, name: str, size: float) -> float:
        slope = self._slope(name)
        self.slope_uses.append(SlopeUse(slope, size))
        return slope.cost_at(size)
