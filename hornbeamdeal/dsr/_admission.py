"""Admission of new flows."""

from typing import Any

from ._records import Route


class AdmitAll:
    """Serves every new flow."""

    __slots__ = ()

    def admits(self, route: Route, caller: int, now: float) -> bool:
        """Return True."""
        return True

    def record_work(self, route: Route, caller: int, now: float) -> None:
        """Do nothing."""

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Return nothing, since nothing is refused."""
        return []
