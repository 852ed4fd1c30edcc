"""Memory of a host's records, document, view and peers."""

from typing import Any

from hornbeamdeal.document import DocumentParser, cut, parse_host_list
from hornbeamdeal.steering import FlowTable

from ._components import make_dispatcher, make_steering
from ._fit import Slope, fit_slope
from ._samples import (
    TARGETS_PER_SERVICE,
    make_document,
    make_host_list,
    make_hosts,
    parse,
    view_of,
)
from ._sizes import Sizes
from ._timing import held_bytes

MINIMUM_RECENT_FLOWS = 8
ADDRESS_STEPS = (2, 4, 8)


class ControlState:
    """All that a host holds of a document: bytes, parsed form, view, indexes."""

    def __init__(self, content: bytes, host_list: bytes, hosts: int):
        self.content = bytes(bytearray(content))
        self.parser = DocumentParser()
        self.document = self.parser.parse(self.content).unwrap()
        self.host_list_content = bytes(bytearray(host_list))
        self.host_list = parse_host_list(self.host_list_content).unwrap()
        self.hosts = make_hosts(hosts)
        self.view = view_of(self.document, self.host_list, self.hosts)
        self.steering = make_steering(self.view, recent_flows=MINIMUM_RECENT_FLOWS)
        self.dispatcher = make_dispatcher(self.view)


def state_bytes(targets: int, hosts: int, addresses: int = 0) -> int:
    """Return the memory of a host's control state."""
    content = make_document(targets, addresses=addresses)
    host_list = make_host_list(parse(content), hosts=hosts)
    return held_bytes(lambda: ControlState(content, host_list, hosts))


def measure(sizes: Sizes) -> list[Slope]:
    """Return the slopes of memory."""
    return [
        _records(sizes),
        _targets(sizes),
        _addresses(sizes),
        _peers(sizes),
        _segments(sizes),
    ]


def _records(sizes: Sizes) -> Slope:
    points = [(n, held_bytes(lambda n=n: FlowTable(n))) for n in sizes.records]
    return fit_slope("flow_record_memory", "records", "B", points)


def _targets(sizes: Sizes) -> Slope:
    hosts = sizes.hosts[0]
    points = [(n, state_bytes(n, hosts)) for n in sizes.targets]
    return fit_slope("target_memory", "targets", "B", points)


def _addresses(sizes: Sizes) -> Slope:
    targets = sizes.targets[0]
    services = targets // TARGETS_PER_SERVICE
    points = []
    for step in ADDRESS_STEPS:
        size = state_bytes(targets, sizes.hosts[0], services * step)
        points.append((services * step, size))
    return fit_slope("address_memory", "addresses", "B", points)


def _peers(sizes: Sizes) -> Slope:
    points = [(n, state_bytes(sizes.targets[0], n)) for n in sizes.hosts]
    return fit_slope("peer_view_memory", "hosts", "B", points)


def _segments(sizes: Sizes) -> Slope:
    points = []
    for targets in sizes.targets:
        content = make_document(targets)
        points.append((len(cut(content)), held_bytes(lambda c=content: _store(c))))
    return fit_slope("segment_memory", "segments", "B", points)


def _store(content: bytes) -> dict[bytes, Any]:
    return {s.digest: bytes(bytearray(s.content)) for s in cut(content)}
