"""Measures CPU time and sizes of documents, host lists and views."""

from dataclasses import replace

from hornbeamdeal.document import (
    DocumentParser,
    Manifest,
    build_manifest,
    parse_host_list,
    split_document,
)
from hornbeamdeal.kernel import EntryHost, HostState

from ._components import make_dispatcher, make_steering
from ._fit import Slope, fit_slope
from ._resource_usage import cpu_seconds
from ._samples import (
    make_document,
    make_host_list,
    make_hosts,
    make_parsed_host_list,
    parse_sample_document,
    view_of_first_host,
)
from ._sizes import Sizes

START_SECONDS = 61.0
TICKS = 20
FLOWS = 1 << 18
CHANGED_WEIGHT = 2


class HostUpdateHarness:
    """Components of one host that receive changed documents, host lists and members."""

    def __init__(self, targets: int, hosts: int):
        self.parser = DocumentParser()
        self.document = self.parser.parse(make_document(targets)).unwrap()
        self.host_list = make_parsed_host_list(self.document)
        self.hosts = make_hosts(hosts)
        self.view = view_of_first_host(self.document, self.host_list, self.hosts)
        self.steering = make_steering(self.view, recent_flows=8)
        self.dispatcher = make_dispatcher(self.view)
        self.now = START_SECONDS

    def apply_document(self, content: bytes) -> None:
        """Parse a changed document and update all components."""
        document = self.parser.parse(content).unwrap()
        view = view_of_first_host(document, self.host_list, self.hosts, self.view)
        self._update(view)

    def apply_host_list(self, content: bytes) -> None:
        """Parse a host list and update all components."""
        host_list = parse_host_list(content).unwrap()
        self._update(
            view_of_first_host(self.document, host_list, self.hosts, self.view)
        )

    def mark_peer_dead(self) -> None:
        """Update all components with a view in which one peer is dead."""
        hosts = [*self.hosts[:-1], _as_dead(self.hosts[-1])]
        hosts_by_id = {host.host_id: host for host in hosts}
        self._update(replace(self.view, hosts_by_id=hosts_by_id))

    def tick(self, count: int) -> None:
        """Tick steering and dispatcher several times."""
        for _ in range(count):
            self.now += 0.02
            self.steering.tick(self.now)
            self.dispatcher.tick(self.now)

    def _update(self, view) -> None:
        self.steering.update(view, self.now)
        self.dispatcher.update(view, self.now)


def _as_dead(host: EntryHost) -> EntryHost:
    return replace(host, state=HostState.DEAD)


def measure(sizes: Sizes) -> list[Slope]:
    """Measure sizes and CPU time against targets and hosts."""
    return [
        *_measure_document_sizes(sizes),
        *_measure_change_sizes(sizes),
        *_measure_host_list(sizes),
        _measure_first_parse(sizes),
        _measure_document_change(sizes),
        _measure_member_change(sizes),
        _measure_ticks(sizes),
    ]


def _measure_document_sizes(sizes: Sizes) -> list[Slope]:
    contents = [(n, make_document(n)) for n in sizes.targets]
    sizes_in_bytes = [(n, len(content)) for n, content in contents]
    segments = [(n, len(split_document(content))) for n, content in contents]
    return [
        fit_slope("document_bytes", "targets", "B", sizes_in_bytes),
        fit_slope("document_segments", "targets", "segments", segments),
    ]


def _measure_change_sizes(sizes: Sizes) -> list[Slope]:
    """Measure the manifest and the changed segments after one changed weight."""
    manifest_sizes, changed_sizes = [], []
    for targets in sizes.targets:
        old = {segment.digest for segment in split_document(make_document(targets))}
        segments = split_document(make_document(targets, 2, CHANGED_WEIGHT))
        manifest: Manifest = build_manifest(
            parse_sample_document(make_document(1)).version, segments
        )
        changed_segments = [s for s in segments if s.digest not in old]
        manifest_sizes.append((targets, len(manifest.encode())))
        changed_sizes.append((targets, sum(len(s.content) for s in changed_segments)))
    return [
        fit_slope("manifest_bytes", "targets", "B", manifest_sizes),
        fit_slope("changed_segment_bytes", "targets", "B", changed_sizes),
    ]


def _measure_host_list(sizes: Sizes) -> list[Slope]:
    sizes_in_bytes, cpu = [], []
    for targets in sizes.targets:
        harness = HostUpdateHarness(targets, sizes.hosts[0])
        content = make_host_list(harness.document)
        listed = len(harness.view.servers_by_id)
        sizes_in_bytes.append((listed, len(content)))
        seconds = cpu_seconds(
            lambda h=harness: h, lambda h, c=content: h.apply_host_list(c)
        )
        cpu.append((targets, seconds))
    return [
        fit_slope("host_list_bytes", "listed targets", "B", sizes_in_bytes),
        fit_slope("host_list_cpu", "targets", "s", cpu),
    ]


def _measure_first_parse(sizes: Sizes) -> Slope:
    points = []
    for targets in sizes.targets:
        content = make_document(targets)
        points.append(
            (targets, cpu_seconds(lambda c=content: c, parse_sample_document))
        )
    return fit_slope("first_parse_cpu", "targets", "s", points)


def _measure_document_change(sizes: Sizes) -> Slope:
    points = []
    for targets in sizes.targets:
        content = make_document(targets, 2, CHANGED_WEIGHT)
        seconds = cpu_seconds(
            lambda n=targets: HostUpdateHarness(n, sizes.hosts[0]),
            lambda harness, c=content: harness.apply_document(c),
        )
        points.append((targets, seconds))
    return fit_slope("change_cpu", "targets", "s", points)


def _measure_member_change(sizes: Sizes) -> Slope:
    points = []
    for hosts in sizes.hosts:
        seconds = cpu_seconds(
            lambda n=hosts: HostUpdateHarness(sizes.fixed_targets, n),
            HostUpdateHarness.mark_peer_dead,
        )
        points.append((hosts, seconds))
    return fit_slope("members_changed_cpu", "hosts", "s", points)


def _measure_ticks(sizes: Sizes) -> Slope:
    points = []
    for targets in sizes.targets:
        harness = HostUpdateHarness(targets, sizes.hosts[0])
        seconds = cpu_seconds(lambda h=harness: h, lambda h: h.tick(TICKS))
        points.append((targets, seconds / TICKS))
    return fit_slope("tick_cpu", "targets", "s", points)
