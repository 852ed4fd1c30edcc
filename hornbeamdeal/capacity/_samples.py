"""Documents, host lists and views of any size for the measurements.

A service has a requests address, a flows address and 16 targets, close to the
15,000 targets behind 1,800 addresses of the design target. The document names the
services of all regions, and a region's host list names a seventh of them.
"""

import json
from dataclasses import replace

from hornbeamdeal.document import (
    Document,
    HostList,
    build_view,
    parse_document,
    parse_host_list,
)
from hornbeamdeal.kernel import ClusterView, Endpoint, EntryHost, Version

TARGETS_PER_SERVICE = 16
ADDRESSES_PER_SERVICE = 2
REGIONS = 7
OWN_HOST_ID = "host-0000"
# 18 availability zones in 7 regions are 2.6 zones a region, rounded up to 3.
ZONES = ("zone-a", "zone-b", "zone-c")
VERSION = Version(1, bytes(32))


def service_name(index: int) -> str:
    """Return the name of the service with an index."""
    return f"service-{index:04d}"


def make_document(
    targets: int, version: int = 1, weight: int = 1, addresses=0
) -> bytes:
    """Return an encoded document; `weight` is that of its first target."""
    services = max(1, targets // TARGETS_PER_SERVICE)
    address_pairs = max(1, (addresses or services * 2) // (services * 2))
    lines = [f"version: {version}", "services:"]
    for index in range(services):
        lines += _service_lines(
            service_name(index), address_pairs, weight if not index else 1
        )
    return "\n".join([*lines, ""]).encode()


def _service_lines(name: str, address_pairs: int, weight: int) -> list[str]:
    lines = [f"  {name}:", "    addresses:"]
    for pair in range(address_pairs):
        lines += [
            f"      {name}-requests-{pair}: {{kind: requests}}",
            f"      {name}-flows-{pair}: {{kind: flows, codec: coap}}",
        ]
    lines += [
        "    work:",
        "      bookings: {path: /bookings, deadline: 2s, idempotent: false}",
        "      photos: {path: /photos, deadline: 60s, idempotent: false, long: true}",
        "    targets:",
    ]
    for number in range(TARGETS_PER_SERVICE):
        target_weight = weight if not number else 1
        limits = "slots: 3, connections: 2000"
        lines.append(
            f"      {name}-target-{number}: {{weight: {target_weight}, {limits}}}"
        )
    return lines


def make_host_list(
    document: Document, service_step: int = REGIONS, hosts: int = 0, revision: int = 1
) -> bytes:
    """Return an encoded host list of every `service_step`-th service.

    `hosts` is the number of entry hosts in it. The port of the first target depends
    on the revision.
    """
    services = list(document.services_by_name.values())[::service_step]
    targets = [target.name for service in services for target in service.targets]
    addresses = [a.name for service in services for a in service.addresses]
    fields = {
        "revision": revision,
        "entry_hosts": {
            host.host_id: _list_entry(host.endpoint, host.zone)
            for host in make_hosts(hosts)
        },
        "targets": {
            name: _list_entry(
                _endpoint(2, i, 9000 + (0 if i else revision)), ZONES[i % len(ZONES)]
            )
            for i, name in enumerate(targets)
        },
        "addresses": {
            name: {"ip": _endpoint(1, i, 0).ip, "port": 5683}
            for i, name in enumerate(addresses)
        },
    }
    return json.dumps(fields).encode()


def _list_entry(endpoint: Endpoint, zone: str) -> dict:
    return {"ip": endpoint.ip, "port": endpoint.port, "zone": zone, "state": "live"}


def _endpoint(network: int, index: int, port: int) -> Endpoint:
    return Endpoint(f"10.{network}.{index // 250}.{index % 250 + 1}", port)


def host_endpoint(index: int) -> Endpoint:
    """Return the endpoint of the entry host with an index."""
    return _endpoint(0, index, 7000)


def make_hosts(count: int, version: Version | None = VERSION) -> list[EntryHost]:
    """Return a number of entry hosts, spread over the zones."""
    return [
        EntryHost(
            f"host-{i:04d}",
            i + 1,
            host_endpoint(i),
            ZONES[i % len(ZONES)],
            version=version,
        )
        for i in range(count)
    ]


def parse_sample_document(content: bytes) -> Document:
    """Parse a document that is known to be valid."""
    return parse_document(content).unwrap()


def make_view(targets: int, hosts: int, service_step: int = REGIONS) -> ClusterView:
    """Return the first host's view of a document and host list of the given sizes."""
    document = parse_sample_document(make_document(targets))
    host_list = make_parsed_host_list(document, service_step)
    return view_of_first_host(document, host_list, make_hosts(hosts))


def make_parsed_host_list(document: Document, service_step: int = REGIONS) -> HostList:
    """Return a host list without entry hosts for a document, parsed."""
    return parse_host_list(make_host_list(document, service_step)).unwrap()


def view_of_first_host(
    document: Document, host_list: HostList, hosts, previous=None
) -> ClusterView:
    """Return the first host's view of a document, a host list and entry hosts."""
    return build_view(document, host_list, hosts, OWN_HOST_ID, ZONES[0], previous)


def without_host(view: ClusterView, host_id: str) -> ClusterView:
    """Return a view without a host."""
    hosts_by_id = {k: h for k, h in view.hosts_by_id.items() if k != host_id}
    return replace(view, hosts_by_id=hosts_by_id)
