"""Construction of a view from a document, a host list and the members."""

from collections.abc import Iterable, Iterator
from dataclasses import replace

from hornbeamdeal.kernel import (
    BackendServer,
    ClusterView,
    Endpoint,
    EntryHost,
    ServerState,
    Service,
    ServiceAddress,
    WorkClass,
)

from ._document import Document, ServiceSpec, TargetSpec
from ._host_list import HostList, HostListEntry


def build_view(
    document: Document,
    host_list: HostList,
    members: Iterable[EntryHost],
    own_id: str,
    own_zone: str,
    previous_view: ClusterView | None = None,
) -> ClusterView:
    """Return the view of a document, a host list and the members.

    A server or address that the host list lacks keeps its endpoint from
    `previous_view`. One that is in neither is left out, since it has no endpoint.
    """
    previous = previous_view or ClusterView(own_id, own_zone)
    services = document.services_by_name.values()
    servers = _build_servers(services, host_list, previous)
    return ClusterView(
        own_id=own_id,
        own_zone=own_zone,
        version=document.version,
        services_by_name={s.name: _build_service(s) for s in services},
        servers_by_id={server.server_id: server for server in servers},
        addresses_by_endpoint=_build_addresses(services, host_list, previous),
        hosts_by_id={host.host_id: host for host in members},
    )


def replace_members(view: ClusterView, members: Iterable[EntryHost]) -> ClusterView:
    """Return the view with its members replaced; cheaper than a rebuild."""
    return replace(view, hosts_by_id={host.host_id: host for host in members})


def _build_service(spec: ServiceSpec) -> Service:
    work_classes = sorted(spec.work_classes, key=lambda w: (-len(w.path), w.path))
    return Service(
        spec.name,
        tuple(
            WorkClass(w.name, w.path, w.deadline.total_seconds(), w.idempotent, w.long)
            for w in work_classes
        ),
    )


def _build_servers(
    services: Iterable[ServiceSpec], host_list: HostList, previous: ClusterView
) -> Iterator[BackendServer]:
    # A previous endpoint is not kept if the host list now assigns it to another name.
    listed_endpoints = {entry.endpoint for entry in host_list.targets_by_name.values()}
    for service in services:
        for target in service.targets:
            entry = host_list.targets_by_name.get(target.name)
            entry = entry or _previous_entry(target.name, previous, listed_endpoints)
            if entry is not None:
                yield _build_server(service.name, target, entry)


def _previous_entry(
    name: str, previous: ClusterView, listed_endpoints: set[Endpoint]
) -> HostListEntry | None:
    server = previous.servers_by_id.get(name)
    if server is None or server.endpoint in listed_endpoints:
        return None
    return HostListEntry(server.endpoint, server.zone, is_leaving=False)


def _build_server(
    service: str, target: TargetSpec, entry: HostListEntry
) -> BackendServer:
    state = ServerState.DRAINING if entry.is_leaving else target.state
    return BackendServer(
        server_id=target.name,
        service=service,
        endpoint=entry.endpoint,
        zone=entry.zone,
        weight=target.weight,
        slots=target.slots,
        connections=target.connections,
        state=state,
    )


def _build_addresses(
    services: Iterable[ServiceSpec], host_list: HostList, previous: ClusterView
) -> dict[Endpoint, ServiceAddress]:
    endpoints = host_list.endpoints_by_address_name
    listed_endpoints = set(endpoints.values())
    previous_endpoints = {
        address.name: endpoint
        for endpoint, address in previous.addresses_by_endpoint.items()
        if endpoint not in listed_endpoints
    }
    return {
        endpoint: ServiceAddress(
            spec.name, service.name, endpoint, spec.kind, spec.codec
        )
        for service in services
        for spec in service.addresses
        if (endpoint := endpoints.get(spec.name) or previous_endpoints.get(spec.name))
    }
