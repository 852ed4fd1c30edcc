"""Interfaces between components without I/O and the drivers that run them."""

import time
from typing import Any, Protocol


class Clock(Protocol):
    """Source of monotonic time in seconds, like `time.monotonic`."""

    def monotonic(self) -> float:
        """Return the current monotonic time in seconds."""


class SystemClock:
    """Monotonic clock of the operating system."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return the current monotonic time in seconds."""
        return time.monotonic()


class ManualClock:
    """Clock that is advanced by hand, for tests and measurements."""

    __slots__ = ("seconds",)

    def __init__(self, seconds: float = 0.0):
        self.seconds = seconds

    def monotonic(self) -> float:
        """Return the current monotonic time in seconds."""
        return self.seconds

    def advance(self, seconds: float) -> None:
        """Advance the clock by a number of seconds."""
        self.seconds += seconds


class Component(Protocol):
    """Decision logic without I/O; each method returns the actions to carry out."""

    def update(self, view: Any, now: float) -> list[Any]:
        """Apply a new view of the document, the entry hosts and the servers."""

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle an event; ignore events meant for other components."""

    def tick(self, now: float) -> list[Any]:
        """Run the timers that are due."""
