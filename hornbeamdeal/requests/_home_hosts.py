"""Find the home host to which a request of a service is relayed.

A home host owns slots of the service, and queues, dispatches and answers its
requests. All hosts with the same view choose the same home host for a caller's
message, so a retransmission reaches the host that has the first copy. Hosts
with different views may choose differently; a request is therefore relayed at
most once, and handled by the host that it was relayed to whatever its view.
"""

from dataclasses import replace
from typing import Any

import xxhash

from hornbeamdeal.admission import (
    HostLocation,
    elect_home_hosts,
    list_home_host_candidates,
)
from hornbeamdeal.kernel import (
    BackendServer,
    ClusterView,
    EntryHost,
    HostState,
    IncrementCounter,
    RelayRequest,
    Request,
)

from ._routing import Route

RELAY_REASON = "home_host"

_HashedHosts = list[tuple[int, EntryHost]]


class HomeHosts:
    """The home hosts of each service in one host's view."""

    __slots__ = (
        "candidates_",
        "has_version_",
        "home_hosts_by_service_",
        "hosts_by_id_",
        "own_id_",
        "servers_by_id_",
    )

    def __init__(self):
        self.own_id_ = ""
        self.has_version_ = False
        self.candidates_: list[HostLocation] = []
        self.hosts_by_id_: dict[str, EntryHost] = {}
        self.servers_by_id_: dict[str, BackendServer] = {}
        self.home_hosts_by_service_: dict[str, _HashedHosts] = {}

    def update(self, view: ClusterView) -> None:
        """Apply a new view; home hosts are elected on first use of a service."""
        self.own_id_ = view.own_id
        self.has_version_ = view.version is not None
        self.candidates_ = list_home_host_candidates(view)
        self.hosts_by_id_ = view.hosts_by_id
        self.servers_by_id_ = view.servers_by_id
        self.home_hosts_by_service_ = {}

    def relay(self, request: Request, route: Route) -> list[Any]:
        """Return the actions that relay a request, none if it is handled here."""
        home_host = self.find(request, route.service)
        if home_host is None:
            return []
        return [
            RelayRequest(home_host.endpoint, replace(request, hops=1)),
            IncrementCounter("requests_relayed", RELAY_REASON, route.service),
        ]

    def find(self, request: Request, service: str) -> EntryHost | None:
        """Return the peer to relay a request to, or None if it is handled here."""
        if request.hops > 0:
            return None
        home_hosts = self._home_hosts_of(service)
        if not home_hosts:
            return None
        key = f"{request.caller} {request.address} {request.message_id}".encode()
        _, home_host = max(
            home_hosts, key=lambda item: xxhash.xxh3_64_intdigest(key, item[0])
        )
        return None if home_host.host_id == self.own_id_ else home_host

    def _home_hosts_of(self, service: str) -> _HashedHosts:
        home_hosts = self.home_hosts_by_service_.get(service)
        if home_hosts is None:
            home_hosts = self.home_hosts_by_service_[service] = self._elect(service)
        return home_hosts

    def _elect(self, service: str) -> _HashedHosts:
        """Return the home hosts that accept relays, empty if all hosts are home hosts.

        Each comes with the hash of its identifier, which seeds its score in `find`.
        """
        servers = [s for s in self.servers_by_id_.values() if s.service == service]
        elected = elect_home_hosts(service, servers, self.candidates_)
        if len(elected) == len(self.candidates_):
            return []
        hosts = (self.hosts_by_id_.get(place.host_id) for place in elected)
        return [
            (xxhash.xxh3_64_intdigest(host.host_id.encode()), host)
            for host in hosts
            if host is not None and self._accepts_relays(host)
        ]

    def _accepts_relays(self, host: EntryHost) -> bool:
        """Return whether requests may be relayed to a home host now.

        A suspect host keeps its slots but gets no relays, because a
        retransmission must not wait the 5 s until membership declares it dead.
        A host that has just started drops requests until it has a document.
        """
        lacks_document = self.has_version_ and host.version is None
        return host.state is HostState.ALIVE and not lacks_document
