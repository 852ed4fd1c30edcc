"""Arithmetic formulas over named quantities and measured slopes.

A formula is text, so that the page shows exactly what is computed. `at(s, x)`
is the fitted line of slope s at size x, and `per(s)` is its gradient.
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
    """A slope in a formula; `size` is None where only its gradient counts."""

    slope: Slope
    size: float | None

    @property
    def stretch(self) -> float:
        """Return how far beyond the largest measured size the figure lies."""
        return 0.0 if self.size is None else self.size / self.slope.largest


class Evaluator:
    """Evaluates formulas and notes the slopes that they use."""

    def __init__(self, quantities: Mapping[str, float], slopes: Mapping[str, Slope]):
        self.quantities = quantities
        self.slopes = slopes
        self.uses: list[SlopeUse] = []

    def evaluate(self, formula: str) -> float:
        """Return the value; raise ValueError where the formula is not allowed."""
        self.uses = []
        return float(self._value(ast.parse(formula, mode="eval").body))

    def _value(self, node: ast.AST) -> Any:
        match node:
            case ast.Constant(value=int() | float() as number):
                return number
            case ast.Name(id=name):
                return self._quantity(name)
            case ast.BinOp(left=left, op=op, right=right) if type(op) in _OPERATORS:
                return _OPERATORS[type(op)](self._value(left), self._value(right))
            case ast.Call(func=ast.Name(id="at"), args=[ast.Name(id=name), size]):
                return self._at(name, self._value(size))
            case ast.Call(func=ast.Name(id="per"), args=[ast.Name(id=name)]):
                self.uses.append(SlopeUse(self._slope(name), None))
                return self._slope(name).slope
            case ast.Call(func=ast.Name(id=name), args=args) if name in _FUNCTIONS:
                return _FUNCTIONS[name](*map(self._value, args))
        raise ValueError(f"not allowed in a formula: {ast.unparse(node)}")

    def _quantity(self, name: str) -> float:
        if name not in self.quantities:
            raise ValueError(f"no quantity is called {name}")
        return self.quantities[name]

    def _slope(self, name: str) -> Slope:
        if name not in self.slopes:
            raise ValueError(f"no slope is called {name}")
        return self.slopes[name]

    def _at(self, name: str, size: float) -> float:
        slope = self._slope(name)
        self.uses.append(SlopeUse(slope, size))
        return slope.at(size)
