"""Finds the service and the work class of a request."""

from dataclasses import dataclass

from hornbeamdeal.kernel import AddressKind, Endpoint, Request, View, WorkClass

from ._base import Reason


@dataclass(frozen=True, slots=True)
class Route:
    """Where a request belongs."""

    service: str
    work_class: WorkClass


def _covers(prefix: str, path: str) -> bool:
    """Tell whether a path lies under a prefix, by whole path segments."""
    if not path.startswith(prefix):
        return False
    return len(path) == len(prefix) or prefix.endswith("/") or path[len(prefix)] == "/"


class Router:
    """Looks requests up in the view and holds addresses that change service.

    The hold-down is longer than the time in which all hosts put a document in
    force, so that no two hosts serve one address for different services.
    """

    __slots__ = ("held_until_", "hold_down", "seen_", "view_")

    def __init__(self, *, hold_down: float):
        self.hold_down = hold_down
        self.view_: View | None = None
        self.seen_: dict[Endpoint, tuple[str, float]] = {}
        self.held_until_: dict[Endpoint, float] = {}

    def update(self, view: View, now: float) -> None:
        """Take a new view and hold the addresses that changed service."""
        self._mark_seen(now)
        for endpoint, address in view.addresses_by_endpoint.items():
            service, last_seen = self.seen_.get(endpoint, (address.service, now))
            if service != address.service:
                self.held_until_[endpoint] = last_seen + self.hold_down
        self.view_ = view
        self._mark_seen(now)

    def _mark_seen(self, now: float) -> None:
        if self.view_ is None:
            return
        for endpoint, address in self.view_.addresses_by_endpoint.items():
            self.seen_[endpoint] = (address.service, now)

    def find(self, request: Request, now: float) -> Route | Reason:
        """Return the route of a request, or why it has none."""
        if self.view_ is None:
            return Reason.UNKNOWN_ADDRESS
        address = self.view_.addresses_by_endpoint.get(request.address)
        if address is None or address.kind is not AddressKind.REQUESTS:
            return Reason.UNKNOWN_ADDRESS
        if self._is_held(request.address, now):
            return Reason.ADDRESS_HELD
        return self._find_work(address.service, request.path)

    def _is_held(self, endpoint: Endpoint, now: float) -> bool:
        held_until = self.held_until_.get(endpoint)
        if held_until is None:
            return False
        if now >= held_until:
            del self.held_until_[endpoint]
            return False
        return True

    def _find_work(self, service_name: str, path: str) -> Route | Reason:
        service = self.view_.services_by_name.get(service_name)
        for work_class in service.work_classes if service else ():
            if _covers(work_class.path, path):
                return Route(service_name, work_class)
        return Reason.UNKNOWN_PATH
