"""Measures the memory of a host's flow records, document, view and peers."""

from typing import Any

from hornbeamdeal.document import DocumentParser, parse_host_list, split_document
from hornbeamdeal.steering import FlowTable

from ._components import make_dispatcher, make_steering
from ._fit import Slope, fit_slope
from ._resource_usage import retained_bytes
from ._samples import (
    TARGETS_PER_SERVICE,
    make_document,
    make_host_list,
    make_hosts,
    parse_sample_document,
    view_of_first_host,
)
from ._sizes import Sizes

MINIMUM_RECENT_FLOWS = 8
ADDRESSES_PER_SERVICE_STEPS = (2, 4, 8)


class ControlState:
    """State that a host derives from a document and a host list.

    It has their contents, the parsed objects, the view, and the indexes of
    steering and dispatcher.
    """

    def __init__(self, content: bytes, host_list: bytes, hosts: int):
        self.content = bytes(bytearray(content))
        self.parser = DocumentParser()
        self.document = self.parser.parse(self.content).unwrap()
        self.host_list_content = bytes(bytearray(host_list))
        self.host_list = parse_host_list(self.host_list_content).unwrap()
        self.hosts = make_hosts(hosts)
        self.view = view_of_first_host(self.document, self.host_list, self.hosts)
        self.steering = make_steering(self.view, recent_flows=MINIMUM_RECENT_FLOWS)
        self.dispatcher = make_dispatcher(self.view)


def control_state_bytes(targets: int, hosts: int, addresses: int = 0) -> int:
    """Measure the memory of a host's control state, in bytes."""
    content = make_document(targets, addresses=addresses)
    host_list = make_host_list(parse_sample_document(content), hosts=hosts)
    return retained_bytes(lambda: ControlState(content, host_list, hosts))


def measure(sizes: Sizes) -> list[Slope]:
    """Measure memory against records, targets, addresses, hosts and segments."""
    return [
        _measure_flow_records(sizes),
        _measure_targets(sizes),
        _measure_addresses(sizes),
        _measure_peers(sizes),
        _measure_segments(sizes),
    ]


def _measure_flow_records(sizes: Sizes) -> Slope:
    points = [(n, retained_bytes(lambda n=n: FlowTable(n))) for n in sizes.records]
    return fit_slope("flow_record_memory", "records", "B", points)


def _measure_targets(sizes: Sizes) -> Slope:
    hosts = sizes.hosts[0]
    points = [(n, control_state_bytes(n, hosts)) for n in sizes.targets]
    return fit_slope("target_memory", "targets", "B", points)


def _measure_addresses(sizes: Sizes) -> Slope:
    targets = sizes.targets[0]
    services = targets // TARGETS_PER_SERVICE
    points = []
    for step in ADDRESSES_PER_SERVICE_STEPS:
        size = control_state_bytes(targets, sizes.hosts[0], services * step)
        points.append((services * step, size))
    return fit_slope("address_memory", "addresses", "B", points)


def _measure_peers(sizes: Sizes) -> Slope:
    points = [(n, control_state_bytes(sizes.targets[0], n)) for n in sizes.hosts]
    return fit_slope("peer_view_memory", "hosts", "B", points)


def _measure_segments(sizes: Sizes) -> Slope:
    points = []
    for targets in sizes.targets:
        content = make_document(targets)
        points.append(
            (
                len(split_document(content)),
                retained_bytes(lambda c=content: _copy_segments(c)),
            )
        )
    return fit_slope("segment_memory", "segments", "B", points)


def _copy_segments(content: bytes) -> dict[bytes, Any]:
    return {s.digest: bytes(bytearray(s.content)) for s in split_document(content)}
