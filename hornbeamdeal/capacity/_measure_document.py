"""CPU time and bytes of documents, host lists and views."""

from dataclasses import replace

from hornbeamdeal.document import (
    DocumentParser,
    Manifest,
    cut,
    manifest_of,
    parse_host_list,
)
from hornbeamdeal.kernel import EntryHost, HostState

from ._components import make_dispatcher, make_steering
from ._fit import Slope, fit_slope
from ._samples import (
    list_of,
    make_document,
    make_host_list,
    make_hosts,
    parse,
    view_of,
)
from ._sizes import Sizes
from ._timing import cpu_seconds

NOW = 61.0
TICKS = 20
FLOWS = 1 << 18
CHANGED_WEIGHT = 2


class ChangeBench:
    """A host in which a document or the host list is replaced."""

    def __init__(self, targets: int, hosts: int):
        self.parser = DocumentParser()
        self.document = self.parser.parse(make_document(targets)).unwrap()
        self.host_list = list_of(self.document)
        self.hosts = make_hosts(hosts)
        self.view = view_of(self.document, self.host_list, self.hosts)
        self.steering = make_steering(self.view, recent_flows=8)
        self.dispatcher = make_dispatcher(self.view)
        self.now = NOW

    def put_in_force(self, content: bytes) -> None:
        """Parse a changed document and update all components."""
        document = self.parser.parse(content).unwrap()
        view = view_of(document, self.host_list, self.hosts, self.view)
        self._update(view)

    def take_host_list(self, content: bytes) -> None:
        """Parse a host list and update all components."""
        host_list = parse_host_list(content).unwrap()
        self._update(view_of(self.document, host_list, self.hosts, self.view))

    def replace_host(self) -> None:
        """Update all components after one peer was declared dead."""
        hosts = [*self.hosts[:-1], _dead(self.hosts[-1])]
        hosts_by_id = {host.host_id: host for host in hosts}
        self._update(replace(self.view, hosts_by_id=hosts_by_id))

    def tick(self, count: int) -> None:
        """Tick the components that hold services and targets."""
        for _ in range(count):
            self.now += 0.02
            self.steering.tick(self.now)
            self.dispatcher.tick(self.now)

    def _update(self, view) -> None:
        self.steering.update(view, self.now)
        self.dispatcher.update(view, self.now)


def _dead(host: EntryHost) -> EntryHost:
    return replace(host, state=HostState.DEAD)


def measure(sizes: Sizes) -> list[Slope]:
    """Return the slopes of documents and views."""
    return [
        *_document_bytes(sizes),
        *_change_bytes(sizes),
        *_host_list(sizes),
        _first_parse(sizes),
        _change(sizes),
        _members(sizes),
        _ticks(sizes),
    ]


def _document_bytes(sizes: Sizes) -> list[Slope]:
    contents = [(n, make_document(n)) for n in sizes.targets]
    sizes_in_bytes = [(n, len(content)) for n, content in contents]
    segments = [(n, len(cut(content))) for n, content in contents]
    return [
        fit_slope("document_bytes", "targets", "B", sizes_in_bytes),
        fit_slope("document_segments", "targets", "segments", segments),
    ]


def _change_bytes(sizes: Sizes) -> list[Slope]:
    """Measure what one changed weight adds: manifest and changed segments."""
    manifests, changed = [], []
    for targets in sizes.targets:
        old = {segment.digest for segment in cut(make_document(targets))}
        segments = cut(make_document(targets, 2, CHANGED_WEIGHT))
        manifest: Manifest = manifest_of(parse(make_document(1)).version, segments)
        fresh = [s for s in segments if s.digest not in old]
        manifests.append((targets, len(manifest.encode())))
        changed.append((targets, sum(len(s.content) for s in fresh)))
    return [
        fit_slope("manifest_bytes", "targets", "B", manifests),
        fit_slope("changed_segment_bytes", "targets", "B", changed),
    ]


def _host_list(sizes: Sizes) -> list[Slope]:
    sizes_in_bytes, cpu = [], []
    for targets in sizes.targets:
        bench = ChangeBench(targets, sizes.hosts[0])
        content = make_host_list(bench.document)
        listed = len(bench.view.servers_by_id)
        sizes_in_bytes.append((listed, len(content)))
        seconds = cpu_seconds(
            lambda b=bench: b, lambda b, c=content: b.take_host_list(c)
        )
        cpu.append((targets, seconds))
    return [
        fit_slope("host_list_bytes", "listed targets", "B", sizes_in_bytes),
        fit_slope("host_list_cpu", "targets", "s", cpu),
    ]


def _first_parse(sizes: Sizes) -> Slope:
    points = []
    for targets in sizes.targets:
        content = make_document(targets)
        points.append((targets, cpu_seconds(lambda c=content: c, parse)))
    return fit_slope("first_parse_cpu", "targets", "s", points)


def _change(sizes: Sizes) -> Slope:
    points = []
    for targets in sizes.targets:
        content = make_document(targets, 2, CHANGED_WEIGHT)
        seconds = cpu_seconds(
            lambda n=targets: ChangeBench(n, sizes.hosts[0]),
            lambda bench, c=content: bench.put_in_force(c),
        )
        points.append((targets, seconds))
    return fit_slope("change_cpu", "targets", "s", points)


def _members(sizes: Sizes) -> Slope:
    points = []
    for hosts in sizes.hosts:
        seconds = cpu_seconds(
            lambda n=hosts: ChangeBench(sizes.context_targets, n),
            ChangeBench.replace_host,
        )
        points.append((hosts, seconds))
    return fit_slope("members_changed_cpu", "hosts", "s", points)


def _ticks(sizes: Sizes) -> Slope:
    points = []
    for targets in sizes.targets:
        bench = ChangeBench(targets, sizes.hosts[0])
        seconds = cpu_seconds(lambda b=bench: b, lambda b: b.tick(TICKS))
        points.append((targets, seconds / TICKS))
    return fit_slope("tick_cpu", "targets", "s", points)
