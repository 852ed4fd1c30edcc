"""Validation of constructor parameters."""

from typing import Any, Protocol

from ._errors import ParameterError


class Constraint(Protocol):
    """Constraint on the value of one parameter."""

    def allows(self, value: Any) -> bool:
        """Return whether the value is allowed."""

    def describe(self) -> str:
        """Return a description of the allowed values for error messages."""


class Between:
    """Require a number in a closed interval."""

    __slots__ = ("high", "low")

    def __init__(self, low: float, high: float):
        self.low = low
        self.high = high

    def allows(self, value: Any) -> bool:
        """Return whether the value is a number in the interval."""
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        return is_number and self.low <= value <= self.high

    def describe(self) -> str:
        """Return a description of the interval."""
        return f"a number from {self.low} to {self.high}"


class OneOf:
    """Require one of the listed values."""

    __slots__ = ("values",)

    def __init__(self, values: tuple[Any, ...]):
        self.values = values

    def allows(self, value: Any) -> bool:
        """Return whether the value is one of the listed values."""
        return value in self.values

    def describe(self) -> str:
        """Return a description that lists the values."""
        return "one of " + ", ".join(map(repr, self.values))


def validate_parameters(owner: object, constraints_by_name: dict[str, Constraint]):
    """Check attributes of `owner` against their constraints.

    Raises ParameterError for the first attribute that violates its constraint.
    """
    for name, constraint in constraints_by_name.items():
        value = getattr(owner, name)
        if not constraint.allows(value):
            raise ParameterError(
                type(owner).__name__, name, value, constraint.describe()
            )
