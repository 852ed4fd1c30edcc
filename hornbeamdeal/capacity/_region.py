"""Steps membership and dissemination of a region over in-memory links.

All messages pass through the real peer codec. CPU time is that of components
and codec, without the harness.
"""

import heapq
import time
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

from hornbeamdeal import kernel
from hornbeamdeal.dissemination import Dissemination
from hornbeamdeal.document import cut, digest_of
from hornbeamdeal.kernel import EntryHost, HostState, Version
from hornbeamdeal.membership import Membership, draw_incarnation
from hornbeamdeal.wire import PeerCodec

from ._components import make_codec
from ._platform import HOSTS_KEY, CountingPlatform
from ._samples import ZONES, host_endpoint, make_document, make_host_list, parse

# The interval of the driver.
TICK_SECONDS = 0.02
LATENCY_SECONDS = 0.0005
JITTER_SECONDS = 0.0005
# Resolution of measured times; each check visits all members of all hosts.
CHECK_SECONDS = 0.1
# Connection set-up before a message that does not fit into a datagram.
BULK_LATENCY_SECONDS = 0.002
SEEDS = 3
EPOCH_SECONDS = 1.7e9


@dataclass(slots=True)
class Usage:
    """What one host used since the last reset."""

    messages: int = 0
    bytes: int = 0
    received_bytes: int = 0
    cpu: float = 0.0


@dataclass(slots=True, eq=False)
class RegionHost:
    """One entry host of the region."""

    record: EntryHost
    membership: Membership
    dissemination: Dissemination
    codec: PeerCodec
    started_at: float
    is_running: bool = True
    version: Version | None = None
    in_force_at: dict[int, float] = field(default_factory=dict)
    usage: Usage = field(default_factory=Usage)

    def wrong_members(self, host_ids: set[str]) -> int:
        """Return how many hosts are usable here and should not be, or the reverse."""
        usable = (HostState.ALIVE, HostState.SUSPECT)
        members = self.membership.members_.values()
        return len({m.host_id for m in members if m.state in usable} ^ host_ids)


class Region:
    """Entry hosts, their links and their platform on a manual clock."""

    def __init__(self, size: int, targets: int, random_state: int = 1):
        self.random = Random(random_state)
        self.clock = kernel.ManualClock()
        self.platform = CountingPlatform(self.schedule)
        self.hosts: dict[str, RegionHost] = {}
        self.size, self.targets = size, targets
        self.cut_zone = ""
        self._queue: list = []
        self._order = count()
        self._hosts_by_endpoint: dict[kernel.Endpoint, RegionHost] = {}
        self.number = 0
        self.publish()
        self._document = parse(make_document(targets))
        self._list_number = 0
        self.publish_host_list()
        for index in range(size):
            self.start(index)

    @property
    def now(self) -> float:
        """Return the time in seconds."""
        return self.clock.seconds

    @property
    def running(self) -> list[RegionHost]:
        """Return the hosts that run."""
        return [host for host in self.hosts.values() if host.is_running]

    def publish(self) -> int:
        """Publish a document with one more changed weight; return its number."""
        self.number += 1
        content = make_document(self.targets, self.number, 1 + self.number % 100)
        version = Version(self.number, digest_of(content))
        self.platform.publish(version, cut(content))
        return self.number

    def publish_host_list(self) -> None:
        """Publish a host list in which one more target has another port."""
        self._list_number += 1
        content = make_host_list(
            self._document, hosts=self.size, revision=self._list_number
        )
        self.platform.put(HOSTS_KEY, content)

    def start(self, index: int) -> RegionHost:
        """Start a host without memory, in place of an earlier one."""
        host_id, start = f"host-{index:04d}", next(self._order)
        incarnation = draw_incarnation(EPOCH_SECONDS + start, start)
        endpoint, zone = host_endpoint(index), ZONES[index % len(ZONES)]
        record = EntryHost(host_id, incarnation, endpoint, zone)
        seeds = tuple(host_endpoint(i) for i in range(min(SEEDS, self.size)))
        host = RegionHost(
            record,
            Membership(own=record, seeds=seeds, random_state=start),
            Dissemination(own_id=host_id, zone=zone, random_state=start),
            make_codec(host_id, incarnation),
            self.now,
        )
        self.hosts[host_id] = self._hosts_by_endpoint[endpoint] = host
        self.schedule(self.random.uniform(0, TICK_SECONDS), self._tick, host)
        return host

    def stop(self, hosts: list[RegionHost]) -> None:
        """End hosts without notice."""
        for host in hosts:
            host.is_running = False

    def reset_usage(self) -> None:
        """Start counting anew."""
        self.platform.calls = 0
        for host in self.hosts.values():
            host.usage = Usage()

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            due, _, action, arguments = heapq.heappop(self._queue)
            self.clock.seconds = max(self.now, due)
            action(*arguments)
        self.clock.seconds = end

    def run_until(self, is_done: Any, patience: float) -> float:
        """Run until a condition holds; return the seconds that it took."""
        started = self.now
        while not is_done():
            if self.now - started > patience:
                raise RuntimeError(f"no convergence of {self.size} hosts: {is_done}")
            self.run(CHECK_SECONDS)
        return self.now - started

    def schedule(self, delay: float, action: Any, *arguments: Any) -> None:
        """Call an action after a delay."""
        item = (self.now + delay, next(self._order), action, arguments)
        heapq.heappush(self._queue, item)

    def _tick(self, host: RegionHost) -> None:
        if not host.is_running:
            return
        for component in (host.membership, host.dissemination):
            self._work(host, component.tick, self.now)
        self.schedule(TICK_SECONDS, self._tick, host)

    def _work(self, host: RegionHost, method: Any, *arguments: Any) -> None:
        started = time.process_time()
        actions = method(*arguments)
        host.usage.cpu += time.process_time() - started
        for action in actions:
            self._carry_out(host, action)

    def _handle(self, host: RegionHost, event: Any) -> None:
        if host.is_running:
            for component in (host.membership, host.dissemination):
                self._work(host, component.handle, event, self.now)

    def _carry_out(self, host: RegionHost, action: Any) -> None:
        if isinstance(action, kernel.SendPeer):
            self._send(host, action)
        elif isinstance(action, kernel.ReadPlatform):
            self.platform.read(action, lambda event: self._handle(host, event))
        elif isinstance(action, kernel.PutInForce):
            host.version = action.version
            host.in_force_at[action.version.number] = self.now
            self._handle(host, kernel.VersionInForce(action.version))
        elif isinstance(action, kernel.MembersChanged):
            self._update(host)

    def _update(self, host: RegionHost) -> None:
        view = kernel.View(
            host.record.host_id,
            host.record.zone,
            host.version,
            hosts_by_id=host.membership.members_,
        )
        self._work(host, host.dissemination.update, view, self.now)

    def _send(self, host: RegionHost, action: kernel.SendPeer) -> None:
        started = time.process_time()
        data = host.codec.encode(action.message)
        usage = host.usage
        usage.cpu += time.process_time() - started
        usage.messages += 1
        usage.bytes += len(data)
        delay = BULK_LATENCY_SECONDS if action.bulk else LATENCY_SECONDS
        delay += self.random.uniform(0, JITTER_SECONDS)
        self.schedule(delay, self._deliver, host, action.endpoint, data)

    def _deliver(self, sender: RegionHost, endpoint: Any, data: bytes) -> None:
        host = self._hosts_by_endpoint.get(endpoint)
        if host is None or not host.is_running or self._is_cut(sender, host):
            return
        started = time.process_time()
        opened = host.codec.decode(data).unwrap()
        host.usage.cpu += time.process_time() - started
        host.usage.received_bytes += len(data)
        event = kernel.PeerReceived(
            opened.host_id, opened.incarnation, sender.record.endpoint, opened.message
        )
        self._handle(host, event)

    def _is_cut(self, one: RegionHost, other: RegionHost) -> bool:
        zones = (one.record.zone, other.record.zone)
        return self.cut_zone in zones and zones[0] != zones[1]
