"""Steps the steering components of several hosts over in-memory links."""

import heapq
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random
from typing import Any

from hornbeamdeal.kernel import (
    Address,
    AddressKind,
    BackendServer,
    Endpoint,
    EntryHost,
    FlowPacket,
    ForwardPacket,
    HostState,
    PacketReceived,
    PauseDetected,
    PeerReceived,
    RelayPacket,
    SendPeer,
    ServerState,
    StopRequested,
    Version,
    View,
    create,
)
from hornbeamdeal.wire import PeerCodec

from .flow_callers import ADDRESS, Callers

HANDLE_KEYS = (b"handle key for measurements",)
SERVICE = "reservas"
TICK_SECONDS = 0.05
LINK_SECONDS = 0.0005
GOSSIP_SECONDS = (0.1, 1.0)
DETECTION_SECONDS = (3.0, 5.0)


@dataclass(slots=True)
class Host:
    """An entry host with what it knows of documents and hosts."""

    entry: EntryHost
    steering: Any
    known: dict[str, EntryHost]
    document: tuple[int, dict[str, BackendServer]]
    is_running: bool = True
    backlog: list[FlowPacket] = field(default_factory=list)


def make_servers(weights: list[float], zones: str = "z") -> dict[str, BackendServer]:
    """Return servers r0, r1 and so on with these weights.

    The letters of `zones` are their zones in turn; all hosts are in zone z.
    """
    return {
        f"r{i}": BackendServer(
            f"r{i}", SERVICE, Endpoint("10.1.0.1", i), zones[i % len(zones)], weight
        )
        for i, weight in enumerate(weights)
    }


class Cluster:
    """Hosts, a fabric that sprays packets, and callers, on a manual clock."""

    def __init__(
        self, plugin, codec, weights, seed, hosts=7, skew=3.0, zones="z", **more
    ):
        self.random, self.plugin, self.skew, self.more = (
            Random(seed),
            plugin,
            skew,
            more,
        )
        self.address = Address("a", SERVICE, ADDRESS, AddressKind.FLOWS, codec)
        self.now, self.order, self.queue = 0.0, count(), []
        self.hosts: dict[str, Host] = {}
        self.documents = [(1, make_servers(weights, zones))]
        self.left_at: dict[str, float] = {}
        # They answer nothing, and no document says so.
        self.dead_servers: set[str] = set()
        self.fabric: list[str] = []
        self.relays = 0
        self.callers = Callers(self, codec, f"10.9.{seed % 256}.1")
        self.control_bytes: dict[int, int] = {}
        entries = [self._entry(i) for i in range(hosts)]
        for entry in entries:
            self._add(entry, {e.host_id: e for e in entries})
        self.run(3.0)

    def at(self, delay, action, *arguments):
        """Call an action after a delay."""
        item = (self.now + delay, next(self.order), action, arguments)
        heapq.heappush(self.queue, item)

    def run(self, seconds):
        """Advance the clock, ticking all running hosts."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = round(self.now + TICK_SECONDS, 6)
            while self.queue and self.queue[0][0] <= self.now:
                _, _, action, arguments = heapq.heappop(self.queue)
                action(*arguments)
            for host in list(self.hosts.values()):
                if host.is_running:
                    self._perform(host, host.steering.tick(self.now))

    def _entry(self, number):
        endpoint = Endpoint("10.2.0.1", number)
        version = self._version(self.documents[-1][0])
        return EntryHost(f"h{number}", 1, endpoint, "z", version=version)

    @staticmethod
    def _version(number):
        return Version(number, number.to_bytes(32, "big"))

    def _add(self, entry, known):
        seed = self.random.randrange(1 << 30)
        keys = {"handle_keys": HANDLE_KEYS} if self.plugin == "tracked" else {}
        steering = create(
            "steering", self.plugin, random_state=seed, **keys, **self.more
        )
        host = Host(entry, steering, dict(known), self.documents[-1])
        self.hosts[entry.host_id] = host
        self.fabric.append(entry.host_id)
        self._update(host)

    def _update(self, host):
        number, servers = host.document
        view = View(
            own_id=host.entry.host_id,
            own_zone="z",
            version=self._version(number),
            servers_by_id=servers,
            addresses_by_endpoint={ADDRESS: self.address},
            hosts_by_id=dict(host.known),
        )
        self._perform(host, host.steering.update(view, self.now))

    def _perform(self, host, actions):
        for action in actions:
            if isinstance(action, SendPeer):
                self._send(host, action)
            elif isinstance(action, RelayPacket):
                self.relays += 1
                packet = replace(action.packet, relayed_by=host.entry.host_id)
                self.at(LINK_SECONDS, self.receive, action.host_id, packet)
            elif isinstance(action, ForwardPacket):
                self._reach_server(host, action)
            elif hasattr(action, "packet"):
                self.callers.drop(action.packet)

    def _reach_server(self, host, action):
        if action.server.server_id in self.dead_servers:
            self.callers.wait(action.packet)
            return
        self.callers.arrive(host.steering, action.server, action.packet)
        self.at(LINK_SECONDS, self._answer, host, action.server.server_id)

    def _answer(self, host, server_id):
        if host.is_running:
            host.steering.hear_server(server_id)

    def _send(self, host, action):
        codec = PeerCodec(
            host_id=host.entry.host_id,
            incarnation=1,
            keys_by_id={1: b"0123456789abcdef"},
            sending_key_id=1,
        )
        second = int(self.now)
        size = len(codec.encode(action.message))
        self.control_bytes[second] = self.control_bytes.get(second, 0) + size
        target = f"h{action.endpoint.port}"
        event = PeerReceived(host.entry.host_id, 1, host.entry.endpoint, action.message)
        self.at(LINK_SECONDS, self._hear, target, event)

    def _hear(self, host_id, event):
        host = self.hosts.get(host_id)
        if host is not None and host.is_running:
            self._perform(host, host.steering.handle(event, self.now))

    def receive(self, host_id, packet):
        """Deliver a packet from the fabric or a peer."""
        host = self.hosts.get(host_id)
        if host is None:
            self.callers.lose(packet)
        elif not host.is_running:
            host.backlog.append(packet)
        else:
            actions = host.steering.handle(PacketReceived(packet), self.now)
            self._perform(host, actions)

    def publish(self, **changes):
        """Put changed servers in force, host by host within the skew.

        A change is a weight, or None where the server drains.
        """
        number, servers = self.documents[-1]
        servers = dict(servers)
        for server_id, weight in changes.items():
            if weight is None:
                drained = replace(servers[server_id], state=ServerState.DRAINING)
                servers[server_id] = drained
            else:
                port = int(server_id[1:])
                endpoint = Endpoint("10.1.0.1", port)
                servers[server_id] = BackendServer(
                    server_id, SERVICE, endpoint, "z", weight
                )
        self.documents.append((number + 1, servers))
        delays = [self.random.uniform(0, self.skew) for _ in self.hosts]
        for server_id, weight in changes.items():
            self.left_at.pop(server_id, None)
            if not weight:
                self.left_at[server_id] = self.now + min(delays)
        for host_id, delay in zip(self.hosts, delays, strict=True):
            self.at(delay, self.learn, host_id, self.documents[-1])

    def learn(self, host_id, document):
        """Let a host put a document in force, unless it has a later one."""
        host = self.hosts.get(host_id)
        if host is None or document[0] <= host.document[0] or not host.is_running:
            return
        host.document = document
        host.entry = replace(host.entry, version=self._version(document[0]))
        host.known[host_id] = host.entry
        self._update(host)
        self._announce(host.entry, GOSSIP_SECONDS)

    def _announce(self, entry, seconds):
        for host_id in self.hosts:
            if host_id != entry.host_id:
                delay = self.random.uniform(*seconds)
                self.at(delay, self._know, host_id, entry)

    def _know(self, host_id, entry):
        host = self.hosts.get(host_id)
        if host is not None and host.is_running:
            host.known[entry.host_id] = entry
            self._update(host)

    def stop(self, host_id, linger=15.0):
        """Stop a host as planned; the fabric learns of it after 2 s."""
        host = self.hosts[host_id]
        host.entry = replace(host.entry, state=HostState.LEAVING)
        self._perform(host, host.steering.handle(StopRequested(), self.now))
        host.known[host_id] = host.entry
        self._update(host)
        self._announce(host.entry, GOSSIP_SECONDS)
        self.at(2.0, self.fabric.remove, host_id)
        self.at(linger, self.hosts.pop, host_id)

    def start(self, number):
        """Start a new host that has the latest document."""
        entry = self._entry(number)
        known = {h: host.entry for h, host in self.hosts.items()}
        self._add(entry, {**known, entry.host_id: entry})
        self._announce(entry, GOSSIP_SECONDS)

    def kill(self, host_id):
        """Kill a host; peers and fabric notice within seconds."""
        host = self.hosts.pop(host_id)
        dead = replace(host.entry, state=HostState.DEAD)
        suspect = replace(host.entry, state=HostState.SUSPECT)
        self._announce(suspect, (1.0, 2.0))
        self._announce(dead, DETECTION_SECONDS)
        self.at(DETECTION_SECONDS[1], self.fabric.remove, host_id)

    def pause(self, host_id, seconds):
        """Pause a host so long that peers and fabric take it for dead."""
        host = self.hosts[host_id]
        host.is_running = False
        self._announce(replace(host.entry, state=HostState.SUSPECT), (1.0, 2.0))
        self._announce(replace(host.entry, state=HostState.DEAD), DETECTION_SECONDS)
        self.at(DETECTION_SECONDS[1], self.fabric.remove, host_id)
        self.at(seconds, self._wake, host_id, seconds)

    def _wake(self, host_id, seconds):
        host = self.hosts[host_id]
        host.is_running = True
        self.fabric.append(host_id)
        self._perform(host, host.steering.handle(PauseDetected(seconds), self.now))
        backlog, host.backlog = host.backlog, []
        for packet in backlog:
            self.receive(host_id, packet)
        self._announce(host.entry, GOSSIP_SECONDS)
        delay = self.random.uniform(*GOSSIP_SECONDS)
        self.at(delay, self.learn, host_id, self.documents[-1])
