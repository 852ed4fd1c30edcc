"""Contracts between decision components and their drivers."""

import time
from typing import Any, Protocol


class Clock(Protocol):
    """Source of monotonic time, in seconds as from `time.monotonic`."""

    def monotonic(self) -> float:
        """Return the current monotonic time in seconds."""


class SystemClock:
    """Clock of the operating system."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return the current monotonic time in seconds."""
        return time.monotonic()


class ManualClock:
    """Clock that moves only when told to; for tests and measurements."""

    __slots__ = ("seconds",)

    def __init__(self, seconds: float = 0.0):
        self.seconds = seconds

    def monotonic(self) -> float:
        """Return the current monotonic time in seconds."""
        return self.seconds

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.seconds += seconds


class Component(Protocol):
    """Decision code without I/O; each verb returns the actions to carry out."""

    def update(self, view: Any, now: float) -> list[Any]:
        """Take a new view of documents, hosts and servers."""

    def handle(self, event: Any, now: float) -> list[Any]:
        """Take one event; events of other components are ignored."""

    def tick(self, now: float) -> list[Any]:
        """Do what is due at this time."""
