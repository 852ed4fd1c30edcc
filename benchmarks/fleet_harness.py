"""Steps real fleet components over in-memory links on a manual clock.

Messages pass through the real peer codec, so byte counts are those of the
wire without IP and UDP headers.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from benchmarks.fleet_platform import PlatformStandIn
from hornbeamdeal import kernel
from hornbeamdeal.dissemination import Dissemination
from hornbeamdeal.membership import Membership, generate_incarnation
from hornbeamdeal.wire import PeerCodec

TICK_SECONDS = 0.05
LATENCY_SECONDS = 0.0005
# Connection set-up before a message that does not fit a datagram.
BULK_LATENCY_SECONDS = 0.002
KEYS_BY_ID = {1: b"key of the fleet harness"}
# Datagrams that a paused host's socket keeps.
SOCKET_MESSAGES = 200


@dataclass
class Link:
    """Faults of datagrams; jitter above the latency reorders them."""

    loss: float = 0.0
    duplication: float = 0.0
    jitter: float = 0.0005
    is_cut: object = None


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
    waiting: list = field(default_factory=list)
    counters: Counter = field(default_factory=Counter)

    @property
    def live_peers(self) -> set[str]:
        """Return the identifiers of the members that it regards as usable."""
        view = kernel.View("", "", hosts_by_id=self.membership.members_)
        return {host.host_id for host in view.live_hosts()}


class Fleet:
    """A region of entry hosts, its platform and the links between them."""

    def __init__(self, size: int, zones: int = 3, random_state: int = 1, link=None):
        self.random = random.Random(random_state)
        self.clock = kernel.ManualClock()
        self.link = link or Link()
        self.platform = PlatformStandIn(self._schedule)
        self.hosts: dict[str, Host] = {}
        self.reverted: list[tuple] = []
        self.announced_pauses = 0
        self.size = size
        self.zones = zones
        self._queue: list = []
        self._order = itertools.count()
        self._starts = itertools.count(1)

    @property
    def now(self) -> float:
        """Return the current time in seconds."""
        return self.clock.monotonic()

    @property
    def live(self) -> list[Host]:
        """Return the hosts that were not killed."""
        return [host for host in self.hosts.values() if not host.killed]

    def start_all(self) -> None:
        """Start every host."""
        for index in range(self.size):
            self.start(index)

    def start(self, index: int) -> Host:
        """Start a host, or replace it by a new one without memory."""
        host_id = f"host-{index:04d}"
        endpoint = self._endpoint(index)
        start = next(self._starts)
        incarnation = generate_incarnation(1.7e9 + start, start)
        zone = f"zone-{index % self.zones}"
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
        """Stop a host without notice."""
        host.killed = True

    def pause(self, host: Host, seconds: float) -> None:
        """Stop a host's process for a while; datagrams wait in its socket."""
        host.paused_until = self.now + seconds

    def run(self, seconds: float, until=None) -> bool:
        """Run for a time, or until a condition holds; return whether it held."""
        end = self.now + seconds
        while self.now < end:
            self._run_to(min(end, self.now + TICK_SECONDS))
            if until is not None and until():
                return True
        return False

    def _run_to(self, end: float) -> None:
        while self._queue and self._queue[0][0] <= end:
            due, _, action, arguments = heapq.heappop(self._queue)
            self.clock.seconds = max(self.now, due)
            action(*arguments)
        self.clock.seconds = end

    def _endpoint(self, index: int) -> kernel.Endpoint:
        return kernel.Endpoint(f"10.0.{index // 250}.{index % 250 + 1}", 7000)

    def _schedule(self, delay: float, action, *arguments) -> None:
        entry = (self.now + delay, next(self._order), action, arguments)
        heapq.heappush(self._queue, entry)

    def _tick(self, host: Host) -> None:
        if host.killed:
            return
        if self.now < host.paused_until:
            self._schedule(host.paused_until - self.now, self._tick, host)
            return
        gap = self.now - (self.now if host.last_tick is None else host.last_tick)
        host.last_tick = self.now
        if gap > 1.0:
            self._handle(host, kernel.PauseDetected(gap))
        # Timers run before the socket is read: the worst order after a pause.
        for component in (host.membership, host.dissemination):
            self._carry_out(host, component.tick(self.now))
        for data, sender in host.waiting:
            self._receive(host, data, sender)
        host.waiting.clear()
        self._schedule(TICK_SECONDS, self._tick, host)

    def _handle(self, host: Host, event) -> None:
        for component in (host.membership, host.dissemination):
            self._carry_out(host, component.handle(event, self.now))

    def _carry_out(self, host: Host, actions: list) -> None:
        for action in actions:
            self._carry_out_one(host, action)

    def _carry_out_one(self, host: Host, action) -> None:
        if isinstance(action, kernel.SendPeer):
            self._send(host, action)
        elif isinstance(action, kernel.ReadPlatform):
            self.platform.read(host, action, self._answer)
        elif isinstance(action, kernel.PutInForce):
            self._put_in_force(host, action)
        elif isinstance(action, kernel.MembersChanged):
            members = host.membership.members_
            own = host.record
            view = kernel.View(own.host_id, own.zone, host.version, hosts_by_id=members)
            self._carry_out(host, host.dissemination.update(view, self.now))
        elif isinstance(action, kernel.AnnouncePause):
            self.announced_pauses += 1
            self._handle(host, kernel.PauseDetected(0.0))
        elif isinstance(action, kernel.Count):
            host.counters[action.name] += action.amount

    def _put_in_force(self, host: Host, action: kernel.PutInForce) -> None:
        if host.version is not None and action.version <= host.version:
            self.reverted.append((host.record.host_id, host.version, action.version))
        host.version = action.version
        host.content = action.content
        host.in_force_at[action.version] = self.now
        self._handle(host, kernel.VersionInForce(action.version))

    def _answer(self, host: Host, event: kernel.PlatformRead) -> None:
        if not host.killed and self.now >= host.paused_until:
            self._handle(host, event)

    def _send(self, host: Host, action: kernel.SendPeer) -> None:
        data = host.codec.encode(action.message)
        host.counters["sent_messages"] += 1
        host.counters["sent_bytes"] += len(data)
        kind = "largest_bulk" if action.bulk else "largest_datagram"
        host.counters[kind] = max(host.counters[kind], len(data))
        link = self.link
        copies = 2 if self.random.random() < link.duplication else 1
        for _ in range(copies):
            if not action.bulk and self.random.random() < link.loss:
                continue
            delay = BULK_LATENCY_SECONDS if action.bulk else LATENCY_SECONDS
            delay += self.random.uniform(0, link.jitter)
            self._schedule(delay, self._deliver, host, action.endpoint, data)

    def _deliver(self, sender: Host, endpoint: kernel.Endpoint, data: bytes) -> None:
        index = (int(endpoint.ip.split(".")[2])) * 250 + int(endpoint.ip.split(".")[3])
        host = self.hosts.get(f"host-{index - 1:04d}")
        if host is None or host.killed:
            return
        if self.link.is_cut and self.link.is_cut(sender.record, host.record):
            return
        if self.now < host.paused_until:
            if len(host.waiting) < SOCKET_MESSAGES:
                host.waiting.append((data, sender.record.endpoint))
            return
        self._receive(host, data, sender.record.endpoint)

    def _receive(self, host: Host, data: bytes, sender: kernel.Endpoint) -> None:
        opened = host.codec.decode(data).ok_value
        host.counters["received_messages"] += 1
        host.counters["received_bytes"] += len(data)
        event = kernel.PeerReceived(
            opened.host_id, opened.incarnation, sender, opened.message
        )
        self._handle(host, event)
