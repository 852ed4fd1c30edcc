"""The decision components of one entry host."""

from typing import Any


class Components:
    """The decision components of one entry host."""

    __slots__ = (
        "membership",
        "dissemination",
        "pause_check",
        "steering",
        "dispatcher",
    )

    def __init__(self, *, membership, dissemination, pause_check, steering, dispatcher):
        self.membership = membership
        self.dissemination = dissemination
        self.pause_check = pause_check
        self.steering = steering
        self.dispatcher = dispatcher

    def all(self) -> tuple[Any, ...]:
        """Return all components in the order of their updates."""
        return (
            self.membership,
            self.dissemination,
            self.pause_check,
            self.steering,
            self.dispatcher,
        )
