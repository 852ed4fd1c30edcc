"""One place that validates constructor parameters."""

from typing import Any, Protocol

from ._errors import ParameterError


class Constraint(Protocol):
    """A rule for one parameter."""

    def allows(self, value: Any) -> bool:
        """Tell whether the value is allowed."""

    def describe(self) -> str:
        """Name the allowed values for an error message."""


class Between:
    """A number in a closed interval."""

    __slots__ = ("high", "low")

    def __init__(self, low: float, high: float):
        self.low = low
        self.high = high

    def allows(self, value: Any) -> bool:
        """Tell whether the value is a number in the interval."""
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        return is_number and self.low <= value <= self.high

    def describe(self) -> str:
        """Name the interval."""
        return f"a number from {self.low} to {self.high}"


class OneOf:
    """One of a few values."""

    __slots__ = ("values",)

    def __init__(self, values: tuple[Any, ...]):
        self.values = values

    def allows(self, value: Any) -> bool:
        """Tell whether the value is one of those listed."""
        return value in self.values

    def describe(self) -> str:
        """List the values."""
        return "one of " + ", ".join(map(repr, self.values))


def validate_parameters(owner: object, constraints_by_name: dict[str, Constraint]):
    """Check the owner's attributes; raise ParameterError for the first bad one."""
    for name, constraint in constraints_by_name.items():
        value = getattr(owner, name)
        if not constraint.allows(value):
            raise ParameterError(
                type(owner).__name__, name, value, constraint.describe()
            )
