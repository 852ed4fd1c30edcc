"""Simulates membership and dissemination of a region over in-memory links.

All messages pass through the real peer codec. CPU time includes the components and
the codec, but not the simulation.
"""

import heapq
import time
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

from hornbeamdeal import kernel
from hornbeamdeal.dissemination import Dissemination
from hornbeamdeal.document import sha256_digest, split_document
from hornbeamdeal.kernel import EntryHost, HostState, Version
from hornbeamdeal.membership import Membership, generate_incarnation
from hornbeamdeal.wire import PeerCodec

from ._components import make_codec
from ._samples import (
    ZONES,
    host_endpoint,
    make_document,
    make_host_list,
    parse_sample_document,
)
from ._simulated_platform import HOST_LIST_KEY, SimulatedPlatform

# Shorter than the tick interval of the driver, which is 0.05 s.
TICK_SECONDS = 0.02
LATENCY_SECONDS = 0.0005
JITTER_SECONDS = 0.0005
# Resolution of measured times. It is coarse because each check visits all members of
# all hosts.
CHECK_SECONDS = 0.1
# Includes the set-up of a connection, for messages that do not fit into a datagram.
BULK_LATENCY_SECONDS = 0.002
SEEDS = 3
EPOCH_SECONDS = 1.7e9


@dataclass(slots=True)
class Usage:
    """Resources that a host has used since the last reset; `cpu` is in seconds."""

    messages: int = 0
    bytes: int = 0
    received_bytes: int = 0
    cpu: float = 0.0


@dataclass(slots=True, eq=False)
class SimulatedHost:
    """Entry host with its components, codec and usage.

    `applied_at_by_number` has the time in seconds at which the host put each
    document number in force.
    """

    record: EntryHost
    membership: Membership
    dissemination: Dissemination
    codec: PeerCodec
    started_at: float
    is_running: bool = True
    version: Version | None = None
    applied_at_by_number: dict[int, float] = field(default_factory=dict)
    usage: Usage = field(default_factory=Usage)

    def count_wrong_members(self, host_ids: set[str]) -> int:
        """Return the number of hosts that the member list wrongly has or lacks.

        `host_ids` are the hosts that it should have as usable.
        """
        usable = (HostState.ALIVE, HostState.SUSPECT)
        members = self.membership.members_.values()
        return len({m.host_id for m in members if m.state in usable} ^ host_ids)


class SimulatedRegion:
    """Entry hosts of a region with their links and platform, on a manual clock.

    Hosts of `partitioned_zone` and of other zones cannot reach each other.
    """

    def __init__(self, size: int, targets: int, random_state: int = 1):
        self.random = Random(random_state)
        self.clock = kernel.ManualClock()
        self.platform = SimulatedPlatform(self.schedule)
        self.hosts: dict[str, SimulatedHost] = {}
        self.size, self.targets = size, targets
        self.partitioned_zone = ""
        self._queue: list = []
        self._sequence = count()
        self._hosts_by_endpoint: dict[kernel.Endpoint, SimulatedHost] = {}
        self.document_number = 0
        self.publish_document()
        self._document = parse_sample_document(make_document(targets))
        self._host_list_revision = 0
        self.publish_host_list()
        for index in range(size):
            self.start_host(index)

    @property
    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self.clock.seconds

    @property
    def running_hosts(self) -> list[SimulatedHost]:
        """Return the running hosts."""
        return [host for host in self.hosts.values() if host.is_running]

    def publish_document(self) -> int:
        """Publish a document with one changed weight and return its number."""
        self.document_number += 1
        content = make_document(
            self.targets, self.document_number, 1 + self.document_number % 100
        )
        version = Version(self.document_number, sha256_digest(content))
        self.platform.publish_document(version, split_document(content))
        return self.document_number

    def publish_host_list(self) -> None:
        """Publish a host list in which one target has a changed port."""
        self._host_list_revision += 1
        content = make_host_list(
            self._document, hosts=self.size, revision=self._host_list_revision
        )
        self.platform.put(HOST_LIST_KEY, content)

    def start_host(self, index: int) -> SimulatedHost:
        """Start a host without state; it replaces an earlier one of this index."""
        host_id, start = f"host-{index:04d}", next(self._sequence)
        incarnation = generate_incarnation(EPOCH_SECONDS + start, start)
        endpoint, zone = host_endpoint(index), ZONES[index % len(ZONES)]
        record = EntryHost(host_id, incarnation, endpoint, zone)
        seeds = tuple(host_endpoint(i) for i in range(min(SEEDS, self.size)))
        host = SimulatedHost(
            record,
            Membership(own=record, seeds=seeds, random_state=start),
            Dissemination(own_id=host_id, zone=zone, random_state=start),
            make_codec(host_id, incarnation),
            self.now,
        )
        self.hosts[host_id] = self._hosts_by_endpoint[endpoint] = host
        self.schedule(self.random.uniform(0, TICK_SECONDS), self._tick, host)
        return host

    def stop_hosts(self, hosts: list[SimulatedHost]) -> None:
        """Stop hosts abruptly, as in a failure."""
        for host in hosts:
            host.is_running = False

    def reset_usage(self) -> None:
        """Reset the usage of all hosts and the calls to the platform."""
        self.platform.calls = 0
        for host in self.hosts.values():
            host.usage = Usage()

    def run(self, seconds: float) -> None:
        """Run the actions due in a time span and advance the clock to its end."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            due, _, action, arguments = heapq.heappop(self._queue)
            self.clock.seconds = max(self.now, due)
            action(*arguments)
        self.clock.seconds = end

    def run_until(self, is_done: Any, timeout: float) -> float:
        """Run until a condition holds and return the simulated seconds it took.

        Raises RuntimeError once `timeout` seconds have passed.
        """
        started = self.now
        while not is_done():
            if self.now - started > timeout:
                raise RuntimeError(
                    f"region of {self.size} hosts did not converge in time: {is_done}"
                )
            self.run(CHECK_SECONDS)
        return self.now - started

    def schedule(self, delay: float, action: Any, *arguments: Any) -> None:
        """Call an action after a delay in seconds."""
        item = (self.now + delay, next(self._sequence), action, arguments)
        heapq.heappush(self._queue, item)

    def _tick(self, host: SimulatedHost) -> None:
        if not host.is_running:
            return
        for component in (host.membership, host.dissemination):
            self._call(host, component.tick, self.now)
        self.schedule(TICK_SECONDS, self._tick, host)

    def _call(self, host: SimulatedHost, method: Any, *arguments: Any) -> None:
        started = time.process_time()
        actions = method(*arguments)
        host.usage.cpu += time.process_time() - started
        for action in actions:
            self._execute(host, action)

    def _handle(self, host: SimulatedHost, event: Any) -> None:
        if host.is_running:
            for component in (host.membership, host.dissemination):
                self._call(host, component.handle, event, self.now)

    def _execute(self, host: SimulatedHost, action: Any) -> None:
        if isinstance(action, kernel.SendPeerMessage):
            self._send(host, action)
        elif isinstance(action, kernel.ReadPlatform):
            self.platform.read(action, lambda event: self._handle(host, event))
        elif isinstance(action, kernel.PutInForce):
            host.version = action.version
            host.applied_at_by_number[action.version.number] = self.now
            self._handle(host, kernel.VersionInForce(action.version))
        elif isinstance(action, kernel.RebuildView):
            self._update(host)

    def _update(self, host: SimulatedHost) -> None:
        view = kernel.ClusterView(
            host.record.host_id,
            host.record.zone,
            host.version,
            hosts_by_id=host.membership.members_,
        )
        self._call(host, host.dissemination.update, view, self.now)

    def _send(self, host: SimulatedHost, action: kernel.SendPeerMessage) -> None:
        started = time.process_time()
        data = host.codec.encode(action.message)
        usage = host.usage
        usage.cpu += time.process_time() - started
        usage.messages += 1
        usage.bytes += len(data)
        delay = BULK_LATENCY_SECONDS if action.over_tcp else LATENCY_SECONDS
        delay += self.random.uniform(0, JITTER_SECONDS)
        self.schedule(delay, self._deliver, host, action.endpoint, data)

    def _deliver(self, sender: SimulatedHost, endpoint: Any, data: bytes) -> None:
        host = self._hosts_by_endpoint.get(endpoint)
        if host is None or not host.is_running or self._is_partitioned(sender, host):
            return
        started = time.process_time()
        received = host.codec.decode(data).unwrap()
        host.usage.cpu += time.process_time() - started
        host.usage.received_bytes += len(data)
        event = kernel.PeerMessageReceived(
            received.host_id,
            received.incarnation,
            sender.record.endpoint,
            received.message,
        )
        self._handle(host, event)

    def _is_partitioned(self, one: SimulatedHost, other: SimulatedHost) -> bool:
        zones = (one.record.zone, other.record.zone)
        return self.partitioned_zone in zones and zones[0] != zones[1]
