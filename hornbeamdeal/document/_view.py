"""Building the view of components from a document, a host list and members."""

from collections.abc import Iterable, Iterator
from dataclasses import replace

from hornbeamdeal.kernel import (
    Address,
    BackendServer,
    Endpoint,
    EntryHost,
    ServerState,
    Service,
    View,
    WorkClass,
)

from ._document import Document, ServiceSpec, TargetSpec
from ._host_list import HostList, ListedMachine


def build_view(
    document: Document,
    host_list: HostList,
    members: Iterable[EntryHost],
    own_id: str,
    own_zone: str,
    last_view: View | None = None,
) -> View:
    """Return the view; what the host list lacks keeps its place in `last_view`.

    A name that is in neither is left out, since it has no endpoint.
    """
    last = last_view or View(own_id, own_zone)
    services = document.services_by_name.values()
    servers = _servers(services, host_list, last)
    return View(
        own_id=own_id,
        own_zone=own_zone,
        version=document.version,
        services_by_name={s.name: _service(s) for s in services},
        servers_by_id={server.server_id: server for server in servers},
        addresses_by_endpoint=_addresses(services, host_list, last),
        hosts_by_id={host.host_id: host for host in members},
    )


def with_members(view: View, members: Iterable[EntryHost]) -> View:
    """Return the view with other members; cheaper than building it anew."""
    return replace(view, hosts_by_id={host.host_id: host for host in members})


def _service(spec: ServiceSpec) -> Service:
    work = sorted(spec.work, key=lambda w: (-len(w.path), w.path))
    return Service(
        spec.name,
        tuple(
            WorkClass(w.name, w.path, w.deadline.total_seconds(), w.idempotent, w.long)
            for w in work
        ),
    )


def _servers(
    services: Iterable[ServiceSpec], host_list: HostList, last: View
) -> Iterator[BackendServer]:
    # An endpoint that the list gives to another name is no longer the old one's.
    taken = {machine.endpoint for machine in host_list.targets_by_name.values()}
    for service in services:
        for target in service.targets:
            machine = host_list.targets_by_name.get(target.name)
            machine = machine or _last_place(target.name, last, taken)
            if machine is not None:
                yield _server(service.name, target, machine)


def _last_place(name: str, last: View, taken: set[Endpoint]) -> ListedMachine | None:
    server = last.servers_by_id.get(name)
    if server is None or server.endpoint in taken:
        return None
    return ListedMachine(server.endpoint, server.zone, leaving=False)


def _server(service: str, target: TargetSpec, machine: ListedMachine) -> BackendServer:
    state = ServerState.DRAINING if machine.leaving else target.state
    return BackendServer(
        server_id=target.name,
        service=service,
        endpoint=machine.endpoint,
        zone=machine.zone,
        weight=target.weight,
        slots=target.slots,
        connections=target.connections,
        state=state,
    )


def _addresses(
    services: Iterable[ServiceSpec], host_list: HostList, last: View
) -> dict[Endpoint, Address]:
    listed = host_list.addresses_by_name
    taken = set(listed.values())
    last_endpoints = {
        address.name: endpoint
        for endpoint, address in last.addresses_by_endpoint.items()
        if endpoint not in taken
    }
    return {
        endpoint: Address(spec.name, service.name, endpoint, spec.kind, spec.codec)
        for service in services
        for spec in service.addresses
        if (endpoint := listed.get(spec.name) or last_endpoints.get(spec.name))
    }
