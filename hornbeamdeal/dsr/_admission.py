"""Admission of new flows."""

from ._records import Route


class AdmitAll:
    """Serves every new flow."""

    __slots__ = ()

    def admits(self, route: Route, caller: int, now: float) -> bool:
        """Return True."""
        return True

    def record_work(self, route: Route, caller: int, now: float) -> None:
        """Do nothing."""
