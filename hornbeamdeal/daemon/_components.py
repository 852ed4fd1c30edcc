"""Components of one entry host."""

from typing import Any


class Components:
    """Components that decide on events, one of each kind."""

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
        """Return all components in the order in which they get events."""
        return (
            self.membership,
            self.dissemination,
            self.pause_check,
            self.steering,
            self.dispatcher,
        )
