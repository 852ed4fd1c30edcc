"""Find the service and the work class of a request."""

from dataclasses import dataclass

from hornbeamdeal.document import AddressHoldDown
from hornbeamdeal.kernel import AddressKind, ClusterView, Request, WorkClass

from ._base import Reason


@dataclass(frozen=True, slots=True)
class Route:
    """Service and work class of a request."""

    service: str
    work_class: WorkClass


def _is_path_prefix(prefix: str, path: str) -> bool:
    """Return whether a path starts with a prefix, compared by whole segments."""
    if not path.startswith(prefix):
        return False
    return len(path) == len(prefix) or prefix.endswith("/") or path[len(prefix)] == "/"


class Router:
    """Routes requests by address and path.

    Requests to an address that has changed service are refused for a time.
    """

    __slots__ = ("hold_down_", "view_")

    def __init__(self):
        self.view_: ClusterView | None = None
        # The driver holds the addresses of a host that has just started.
        self.hold_down_ = AddressHoldDown(hold_at_start=False)

    def update(self, view: ClusterView, now: float) -> None:
        """Apply a new view."""
        self.view_ = view
        self.hold_down_.update(view, now)

    def find(self, request: Request, now: float) -> Route | Reason:
        """Return the route of a request, or the reason why it has none."""
        if self.view_ is None:
            return Reason.UNKNOWN_ADDRESS
        address = self.view_.addresses_by_endpoint.get(request.address)
        if address is None or address.kind is not AddressKind.REQUESTS:
            return Reason.UNKNOWN_ADDRESS
        if self.hold_down_.is_held(request.address, now):
            return Reason.ADDRESS_HELD
        return self._find_work_class(address.service, request.path)

    def _find_work_class(self, service_name: str, path: str) -> Route | Reason:
        service = self.view_.services_by_name.get(service_name)
        for work_class in service.work_classes if service else ():
            if _is_path_prefix(work_class.path, path):
                return Route(service_name, work_class)
        return Reason.UNKNOWN_PATH
