"""Documents, host lists and views of any size for the measurements.

A service has a requests address, a flows address and 16 targets, about the
target size's 15,000 targets behind 1,800 addresses. The document names the
services of all regions; a region's host list names a seventh of them.
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
from hornbeamdeal.kernel import Endpoint, EntryHost, Version, View

TARGETS_PER_SERVICE = 16
ADDRESSES_PER_SERVICE = 2
REGIONS = 7
OWN_ID = "host-0000"
# 18 availability zones over 7 regions are 2.6 a region; here it has 3.
ZONES = ("zone-a", "zone-b", "zone-c")
VERSION = Version(1, bytes(32))


def service_name(index: int) -> str:
    """Return the name of a service."""
    return f"service-{index:04d}"


def make_document(
    targets: int, version: int = 1, weight: int = 1, addresses=0
) -> bytes:
    """Return a document; `weight` is that of the first target."""
    services = max(1, targets // TARGETS_PER_SERVICE)
    pairs = max(1, (addresses or services * 2) // (services * 2))
    lines = [f"version: {version}", "services:"]
    for index in range(services):
        lines += _service_lines(service_name(index), pairs, weight if not index else 1)
    return "\n".join([*lines, ""]).encode()


def _service_lines(name: str, pairs: int, weight: int) -> list[str]:
    lines = [f"  {name}:", "    addresses:"]
    for pair in range(pairs):
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
        own = weight if not number else 1
        limits = "slots: 3, connections: 2000"
        lines.append(f"      {name}-target-{number}: {{weight: {own}, {limits}}}")
    return lines


def make_host_list(
    document: Document, share: int = REGIONS, hosts: int = 0, revision: int = 1
) -> bytes:
    """Return a host list of every `share`-th service and some entry hosts.

    The port of the first target depends on the revision.
    """
    services = list(document.services_by_name.values())[::share]
    targets = [target.name for service in services for target in service.targets]
    addresses = [a.name for service in services for a in service.addresses]
    fields = {
        "revision": revision,
        "entry_hosts": {
            host.host_id: _machine(host.endpoint, host.zone)
            for host in make_hosts(hosts)
        },
        "targets": {
            name: _machine(
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


def _machine(endpoint: Endpoint, zone: str) -> dict:
    return {"ip": endpoint.ip, "port": endpoint.port, "zone": zone, "state": "live"}


def _endpoint(network: int, index: int, port: int) -> Endpoint:
    return Endpoint(f"10.{network}.{index // 250}.{index % 250 + 1}", port)


def host_endpoint(index: int) -> Endpoint:
    """Return the endpoint of an entry host."""
    return _endpoint(0, index, 7000)


def make_hosts(count: int, version: Version | None = VERSION) -> list[EntryHost]:
    """Return the entry hosts of a region."""
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


def parse(content: bytes) -> Document:
    """Return the parsed document."""
    return parse_document(content).unwrap()


def make_view(targets: int, hosts: int, share: int = REGIONS) -> View:
    """Return the view of the first of some hosts."""
    document = parse(make_document(targets))
    host_list = list_of(document, share)
    return view_of(document, host_list, make_hosts(hosts))


def list_of(document: Document, share: int = REGIONS) -> HostList:
    """Return the parsed host list of a document."""
    return parse_host_list(make_host_list(document, share)).unwrap()


def view_of(document: Document, host_list: HostList, hosts, last=None) -> View:
    """Return the view of the first host."""
    return build_view(document, host_list, hosts, OWN_ID, ZONES[0], last)


def without_host(view: View, host_id: str) -> View:
    """Return the view after the loss of a host."""
    hosts_by_id = {k: h for k, h in view.hosts_by_id.items() if k != host_id}
    return replace(view, hosts_by_id=hosts_by_id)
