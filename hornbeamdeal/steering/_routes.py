"""Index of a view's service addresses and servers for packet lookups."""

from dataclasses import dataclass

import xxhash

from hornbeamdeal.document import HOLD_DOWN_SECONDS
from hornbeamdeal.kernel import AddressKind, BackendServer, ClusterView, Endpoint

from ._keys import digest_of
from ._rendezvous import ServerSet


@dataclass(slots=True)
class Route:
    """The service of an address and the servers that may get its packets.

    Packets are dropped before the time `hold_down_until`.
    """

    service: str
    codec: str
    server_set: ServerSet
    hold_down_until: float = 0.0


class Routes:
    """Routes by address and servers by digest, from the latest view."""

    __slots__ = ("by_address", "sets_by_service", "servers_by_digest", "digest", "view")

    def __init__(self):
        self.by_address: dict[Endpoint, Route] = {}
        self.sets_by_service: dict[str, ServerSet] = {}
        self.servers_by_digest: dict[int, BackendServer] = {}
        self.digest = b""
        self.view: ClusterView | None = None

    def update(self, view: ClusterView, now: float) -> bool:
        """Apply a view and return whether servers or addresses changed."""
        old, self.view = self.view, view
        if old is not None and _same_servers(old, view):
            return False
        self._index_servers(view)
        self._index_addresses(view, now)
        return True

    def _index_servers(self, view: ClusterView) -> None:
        servers = sorted(view.servers_by_id.values(), key=lambda s: s.server_id)
        self.servers_by_digest = {digest_of(s): s for s in servers}
        servers_by_service: dict[str, list[BackendServer]] = {}
        for server in servers:
            servers_by_service.setdefault(server.service, []).append(server)
        for address in view.addresses_by_endpoint.values():
            servers_by_service.setdefault(address.service, [])
        self.sets_by_service = {
            service: ServerSet(servers_of_service)
            for service, servers_of_service in servers_by_service.items()
        }
        text = repr([(s.server_id, s.service, s.weight, s.state) for s in servers])
        self.digest = xxhash.xxh3_64_digest(text.encode())

    def _index_addresses(self, view: ClusterView, now: float) -> None:
        earlier_routes, self.by_address = self.by_address, {}
        for endpoint, address in view.addresses_by_endpoint.items():
            if address.kind is not AddressKind.FLOWS:
                continue
            server_set = self.sets_by_service[address.service]
            route = Route(address.service, address.codec, server_set)
            earlier_route = earlier_routes.get(endpoint)
            if earlier_route is not None:
                is_moved = earlier_route.service != address.service
                hold_down_until = (
                    now + HOLD_DOWN_SECONDS
                    if is_moved
                    else earlier_route.hold_down_until
                )
                route.hold_down_until = hold_down_until
            self.by_address[endpoint] = route

    def drop_reason(self, route: Route | None, now: float) -> str:
        """Return why packets of the route are dropped, empty if they are not."""
        if route is None:
            return "unknown_address"
        if now < route.hold_down_until:
            return "hold_down"
        return ""


def _same_servers(old: ClusterView, new: ClusterView) -> bool:
    same_servers = old.servers_by_id is new.servers_by_id or (
        old.servers_by_id == new.servers_by_id
    )
    same_addresses = old.addresses_by_endpoint is new.addresses_by_endpoint or (
        old.addresses_by_endpoint == new.addresses_by_endpoint
    )
    return same_servers and same_addresses
