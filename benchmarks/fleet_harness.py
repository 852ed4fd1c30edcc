"""Simulates a fleet of real components with in-memory links and a manual clock.

Messages pass through the real peer codec, so byte counts match the wire format
without IP and UDP headers.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from benchmarks.fleet_platform import SimulatedPlatform
from hornbeamdeal import kernel
from hornbeamdeal.dissemination import Dissemination
from hornbeamdeal.membership import Membership, generate_incarnation
from hornbeamdeal.wire import PeerCodec

TICK_SECONDS = 0.05
LATENCY_SECONDS = 0.0005
# Includes the connection set-up for messages that exceed a datagram.
BULK_LATENCY_SECONDS = 0.002
KEYS_BY_ID = {1: b"key of the fleet harness"}
# Datagrams buffered by the socket of a paused host.
SOCKET_BUFFER_MESSAGES = 200


@dataclass
class Link:
    """Faults of the links between hosts; jitter above the latency reorders messages."""

    loss: float = 0.0
    duplication: float = 0.0
    jitter: float = 0.0005
    is_partitioned: object = None


@dataclass
class Host:
    """One entry host with its components and counters."""

    record: kernel.EntryHost
    membership: Membership
    dissemination: Dissemination
    codec: PeerCodec
    paused_until: float = 0.0
    last_tick: float | None = None
    killed: bool = False
    version: kernel.Version | None = None
    content: bytes = b""
    in_force_at: dict = field(default_factory=dict)
    unread_messages: list = field(default_factory=list)
    counters: Counter = field(default_factory=Counter)

    @property
    def live_peers(self) -> set[str]:
        """Return the identifiers of the members that this host regards as usable."""
        view = kernel.ClusterView("", "", hosts_by_id=self.membership.members_)
        return {host.host_id for host in view.live_hosts()}


class Fleet:
    """Simulated entry hosts of one region, with their platform and links."""

    def __init__(self, size: int, zones: int = 3, random_state: int = 1, link=None):
        self.random = random.Random(random_state)
        self.clock = kernel.ManualClock()
        self.link = link or Link()
        self.platform = SimulatedPlatform(self._schedule)
        self.hosts: dict[str, Host] = {}
        self.version_regressions: list[tuple] = []
        self.announced_pause_count = 0
        self.size = size
        self.zones = zones
        self._zone_by_endpoint: dict[kernel.Endpoint, str] = {}
        self._queue: list = []
        self._sequence = itertools.count()
        self._starts = itertools.count(1)

    @property
    def now(self) -> float:
        """Return the current time in seconds."""
        return self.clock.monotonic()

    @property
    def live_hosts(self) -> list[Host]:
        """Return the hosts that were not killed."""
        return [host for host in self.hosts.values() if not host.killed]

    def start_all(self) -> None:
        """Start every host."""
        for index in range(self.size):
            self.start(index)

    def start(self, index: int) -> Host:
        """Start a host, or replace it by a new incarnation without state."""
        host_id = f"host-{index:04d}"
        endpoint = self._endpoint(index)
        start = next(self._starts)
        incarnation = generate_incarnation(1.7e9 + start, start)
        zone = f"zone-{index % self.zones}"
        self._zone_by_endpoint[endpoint] = zone
        record = kernel.EntryHost(host_id, incarnation, endpoint, zone)
        seeds = tuple(self._endpoint(i) for i in range(min(3, self.size)))
        host = Host(
            record,
            Membership(
                own=record, seeds=seeds, random_state=self.random.getrandbits(32)
            ),
            Dissemination(
                own_id=host_id, zone=zone, random_state=self.random.getrandbits(32)
            ),
            PeerCodec(
                host_id=host_id,
                incarnation=incarnation,
                keys_by_id=KEYS_BY_ID,
                sending_key_id=1,
            ),
        )
        if host_id in self.hosts:
            self.hosts[host_id].killed = True
        self.hosts[host_id] = host
        self._schedule(self.random.uniform(0, TICK_SECONDS), self._tick, host)
        return host

    def kill(self, host: Host) -> None:
        """Stop a host without notifying its peers."""
        host.killed = True

    def pause(self, host: Host, seconds: float) -> None:
        """Pause a host's process; datagrams are buffered in its socket."""
        host.paused_until = self.now + seconds

    def run(self, seconds: float, until=None) -> bool:
        """Run for some seconds, or until a condition holds; return whether it held."""
        end = self.now + seconds
        while self.now < end:
            self._run_to(min(end, self.now + TICK_SECONDS))
            if until is not None and until():
                return True
        return False

    def _run_to(self, end: float) -> None:
        while self._queue and self._queue[0][0] <= end:
            due_at, _, action, arguments = heapq.heappop(self._queue)
            self.clock.seconds = max(self.now, due_at)
            action(*arguments)
        self.clock.seconds = end

    def _endpoint(self, index: int) -> kernel.Endpoint:
        return kernel.Endpoint(f"10.0.{index // 250}.{index % 250 + 1}", 7000)

    def _schedule(self, delay: float, action, *arguments) -> None:
        entry = (self.now + delay, next(self._sequence), action, arguments)
        heapq.heappush(self._queue, entry)

    def _tick(self, host: Host) -> None:
        if host.killed:
            return
        if self.now < host.paused_until:
            self._schedule(host.paused_until - self.now, self._tick, host)
            return
        pause_seconds = self.now - (
            self.now if host.last_tick is None else host.last_tick
        )
        host.last_tick = self.now
        if pause_seconds > 1.0:
            self.handle_event(host, kernel.PauseDetected(pause_seconds))
        # Timers run before the socket is read, the worst case after a pause.
        for component in (host.membership, host.dissemination):
            self._perform(host, component.tick(self.now))
        for data, sender in host.unread_messages:
            self._receive(host, data, sender)
        host.unread_messages.clear()
        self._schedule(TICK_SECONDS, self._tick, host)

    def handle_event(self, host: Host, event) -> None:
        """Pass an event to the components of a host and perform their actions."""
        for component in (host.membership, host.dissemination):
            self._perform(host, component.handle(event, self.now))

    def _perform(self, host: Host, actions: list) -> None:
        for action in actions:
            self._perform_action(host, action)

    def _perform_action(self, host: Host, action) -> None:
        if isinstance(action, kernel.SendPeerMessage):
            self._send(host, action)
        elif isinstance(action, kernel.ReadPlatform):
            self.platform.read(host, action, self._receive_platform_answer)
        elif isinstance(action, kernel.PutInForce):
            self._put_in_force(host, action)
        elif isinstance(action, kernel.RebuildView):
            members = host.membership.members_
            own = host.record
            view = kernel.ClusterView(
                own.host_id, own.zone, host.version, hosts_by_id=members
            )
            self._perform(host, host.dissemination.update(view, self.now))
        elif isinstance(action, kernel.BroadcastPause):
            self.announced_pause_count += 1
            self.handle_event(host, kernel.PauseDetected(0.0))
        elif isinstance(action, kernel.IncrementCounter):
            host.counters[action.name] += action.amount

    def _put_in_force(self, host: Host, action: kernel.PutInForce) -> None:
        if host.version is not None and action.version <= host.version:
            self.version_regressions.append(
                (host.record.host_id, host.version, action.version)
            )
        host.version = action.version
        host.content = action.content
        host.in_force_at[action.version] = self.now
        self.handle_event(host, kernel.VersionInForce(action.version))

    def _receive_platform_answer(
        self, host: Host, event: kernel.PlatformReadCompleted
    ) -> None:
        if not host.killed and self.now >= host.paused_until:
            self.handle_event(host, event)

    def _send(self, host: Host, action: kernel.SendPeerMessage) -> None:
        data = host.codec.encode(action.message)
        host.counters["sent_messages"] += 1
        host.counters["sent_bytes"] += len(data)
        if self._zone_by_endpoint.get(action.endpoint) != host.record.zone:
            host.counters["sent_bytes_between_zones"] += len(data)
        kind = "largest_bulk" if action.over_tcp else "largest_datagram"
        host.counters[kind] = max(host.counters[kind], len(data))
        link = self.link
        copies = 2 if self.random.random() < link.duplication else 1
        for _ in range(copies):
            if not action.over_tcp and self.random.random() < link.loss:
                continue
            delay = BULK_LATENCY_SECONDS if action.over_tcp else LATENCY_SECONDS
            delay += self.random.uniform(0, link.jitter)
            self._schedule(delay, self._deliver, host, action.endpoint, data)

    def _deliver(self, sender: Host, endpoint: kernel.Endpoint, data: bytes) -> None:
        index = (int(endpoint.ip.split(".")[2])) * 250 + int(endpoint.ip.split(".")[3])
        host = self.hosts.get(f"host-{index - 1:04d}")
        if host is None or host.killed:
            return
        if self.link.is_partitioned and self.link.is_partitioned(
            sender.record, host.record
        ):
            return
        if self.now < host.paused_until:
            if len(host.unread_messages) < SOCKET_BUFFER_MESSAGES:
                host.unread_messages.append((data, sender.record.endpoint))
            return
        self._receive(host, data, sender.record.endpoint)

    def _receive(self, host: Host, data: bytes, sender: kernel.Endpoint) -> None:
        received = host.codec.decode(data).ok_value
        host.counters["received_messages"] += 1
        host.counters["received_bytes"] += len(data)
        event = kernel.PeerMessageReceived(
            received.host_id, received.incarnation, sender, received.message
        )
        self.handle_event(host, event)
