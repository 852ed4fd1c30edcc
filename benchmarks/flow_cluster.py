"""Simulates the steering components of several hosts with in-memory links."""

import heapq
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random
from typing import Any

from hornbeamdeal.kernel import (
    AddressKind,
    BackendServer,
    ClusterView,
    Endpoint,
    EntryHost,
    FlowPacket,
    ForwardPacket,
    HostState,
    PacketReceived,
    PauseDetected,
    PeerMessageReceived,
    RelayPacket,
    SendPeerMessage,
    ServerState,
    ServiceAddress,
    StopRequested,
    Version,
    create_plugin,
)
from hornbeamdeal.wire import PeerCodec

from .flow_callers import ADDRESS, Callers

HANDLE_KEYS = (b"handle key for measurements",)
SERVICE = "reservas"
TICK_SECONDS = 0.05
LINK_DELAY_SECONDS = 0.0005
GOSSIP_DELAY_SECONDS = (0.1, 1.0)
DETECTION_DELAY_SECONDS = (3.0, 5.0)


@dataclass(slots=True)
class Host:
    """An entry host with its current document and known hosts."""

    entry: EntryHost
    steering: Any
    known_hosts_by_id: dict[str, EntryHost]
    document: tuple[int, dict[str, BackendServer]]
    is_running: bool = True
    buffered_packets: list[FlowPacket] = field(default_factory=list)


def make_servers(weights: list[float], zones: str = "z") -> dict[str, BackendServer]:
    """Return servers r0, r1 and so on with the given weights.

    Servers are assigned to the letters of `zones` in turn; all hosts are in zone z.
    """
    return {
        f"r{i}": BackendServer(
            f"r{i}", SERVICE, Endpoint("10.1.0.1", i), zones[i % len(zones)], weight
        )
        for i, weight in enumerate(weights)
    }


class Cluster:
    """Simulated hosts, callers and a fabric that sends packets to random hosts."""

    def __init__(
        self,
        plugin,
        codec,
        weights,
        seed,
        hosts=7,
        max_skew_seconds=3.0,
        zones="z",
        **plugin_options,
    ):
        self.random, self.plugin, self.max_skew_seconds, self.plugin_options = (
            Random(seed),
            plugin,
            max_skew_seconds,
            plugin_options,
        )
        self.address = ServiceAddress("a", SERVICE, ADDRESS, AddressKind.FLOWS, codec)
        self.now, self.sequence, self.events = 0.0, count(), []
        self.hosts: dict[str, Host] = {}
        self.documents = [(1, make_servers(weights, zones))]
        self.removed_at_by_server: dict[str, float] = {}
        # Servers that do not answer although the document lists them.
        self.dead_servers: set[str] = set()
        self.fabric_host_ids: list[str] = []
        self.relays = 0
        self.callers = Callers(self, codec, f"10.9.{seed % 256}.1")
        self.control_bytes: dict[int, int] = {}
        entries = [self._entry(i) for i in range(hosts)]
        for entry in entries:
            self._add(entry, {e.host_id: e for e in entries})
        self.run(3.0)

    def schedule_after(self, delay, action, *arguments):
        """Schedule an action after a delay in seconds."""
        item = (self.now + delay, next(self.sequence), action, arguments)
        heapq.heappush(self.events, item)

    def run(self, seconds):
        """Advance the clock; run due actions and tick all running hosts."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = round(self.now + TICK_SECONDS, 6)
            while self.events and self.events[0][0] <= self.now:
                _, _, action, arguments = heapq.heappop(self.events)
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

    def _add(self, entry, known_hosts_by_id):
        seed = self.random.randrange(1 << 30)
        keys = {"handle_keys": HANDLE_KEYS} if self.plugin == "tracked" else {}
        steering = create_plugin(
            "steering", self.plugin, random_state=seed, **keys, **self.plugin_options
        )
        host = Host(entry, steering, dict(known_hosts_by_id), self.documents[-1])
        self.hosts[entry.host_id] = host
        self.fabric_host_ids.append(entry.host_id)
        self._update(host)

    def _update(self, host):
        number, servers = host.document
        view = ClusterView(
            own_id=host.entry.host_id,
            own_zone="z",
            version=self._version(number),
            servers_by_id=servers,
            addresses_by_endpoint={ADDRESS: self.address},
            hosts_by_id=dict(host.known_hosts_by_id),
        )
        self._perform(host, host.steering.update(view, self.now))

    def _perform(self, host, actions):
        for action in actions:
            if isinstance(action, SendPeerMessage):
                self._send_peer_message(host, action)
            elif isinstance(action, RelayPacket):
                self.relays += 1
                packet = replace(action.packet, relayed_by_host_id=host.entry.host_id)
                self.schedule_after(
                    LINK_DELAY_SECONDS, self.receive, action.host_id, packet
                )
            elif isinstance(action, ForwardPacket):
                self._forward_to_server(host, action)
            elif hasattr(action, "packet"):
                self.callers.handle_dropped_packet(action.packet)

    def _forward_to_server(self, host, action):
        if action.server.server_id in self.dead_servers:
            self.callers.handle_unanswered_packet(action.packet)
            return
        self.callers.handle_arrival(host.steering, action.server, action.packet)
        self.schedule_after(
            LINK_DELAY_SECONDS, self._receive_answer, host, action.server.server_id
        )

    def _receive_answer(self, host, server_id):
        if host.is_running:
            host.steering.record_server_datagram(server_id)

    def _send_peer_message(self, host, action):
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
        event = PeerMessageReceived(
            host.entry.host_id, 1, host.entry.endpoint, action.message
        )
        self.schedule_after(
            LINK_DELAY_SECONDS, self._receive_peer_message, target, event
        )

    def _receive_peer_message(self, host_id, event):
        host = self.hosts.get(host_id)
        if host is not None and host.is_running:
            self._perform(host, host.steering.handle(event, self.now))

    def receive(self, host_id, packet):
        """Deliver a packet from the fabric or a peer."""
        host = self.hosts.get(host_id)
        if host is None:
            self.callers.handle_lost_packet(packet)
        elif not host.is_running:
            host.buffered_packets.append(packet)
        else:
            actions = host.steering.handle(PacketReceived(packet), self.now)
            self._perform(host, actions)

    def publish(self, **changes):
        """Publish changed servers; each host applies them within the maximum skew.

        A change is a new weight, or None to drain the server.
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
        delays = [self.random.uniform(0, self.max_skew_seconds) for _ in self.hosts]
        for server_id, weight in changes.items():
            self.removed_at_by_server.pop(server_id, None)
            if not weight:
                self.removed_at_by_server[server_id] = self.now + min(delays)
        for host_id, delay in zip(self.hosts, delays, strict=True):
            self.schedule_after(delay, self.apply_document, host_id, self.documents[-1])

    def apply_document(self, host_id, document):
        """Apply a document at a host, unless it has the same or a later one."""
        host = self.hosts.get(host_id)
        if host is None or document[0] <= host.document[0] or not host.is_running:
            return
        host.document = document
        host.entry = replace(host.entry, version=self._version(document[0]))
        host.known_hosts_by_id[host_id] = host.entry
        self._update(host)
        self._spread_host_record(host.entry, GOSSIP_DELAY_SECONDS)

    def _spread_host_record(self, entry, seconds):
        for host_id in self.hosts:
            if host_id != entry.host_id:
                delay = self.random.uniform(*seconds)
                self.schedule_after(delay, self._update_known_host, host_id, entry)

    def _update_known_host(self, host_id, entry):
        host = self.hosts.get(host_id)
        if host is not None and host.is_running:
            host.known_hosts_by_id[entry.host_id] = entry
            self._update(host)

    def stop(self, host_id, linger=15.0):
        """Stop a host gracefully; the fabric stops using it after 2 s."""
        host = self.hosts[host_id]
        host.entry = replace(host.entry, state=HostState.LEAVING)
        self._perform(host, host.steering.handle(StopRequested(), self.now))
        host.known_hosts_by_id[host_id] = host.entry
        self._update(host)
        self._spread_host_record(host.entry, GOSSIP_DELAY_SECONDS)
        self.schedule_after(2.0, self.fabric_host_ids.remove, host_id)
        self.schedule_after(linger, self.hosts.pop, host_id)

    def start(self, number):
        """Start a new host with the latest document."""
        entry = self._entry(number)
        known_hosts_by_id = {h: host.entry for h, host in self.hosts.items()}
        self._add(entry, {**known_hosts_by_id, entry.host_id: entry})
        self._spread_host_record(entry, GOSSIP_DELAY_SECONDS)

    def kill(self, host_id):
        """Kill a host; peers and fabric detect it within seconds."""
        host = self.hosts.pop(host_id)
        dead = replace(host.entry, state=HostState.DEAD)
        suspect = replace(host.entry, state=HostState.SUSPECT)
        self._spread_host_record(suspect, (1.0, 2.0))
        self._spread_host_record(dead, DETECTION_DELAY_SECONDS)
        self.schedule_after(
            DETECTION_DELAY_SECONDS[1], self.fabric_host_ids.remove, host_id
        )

    def pause(self, host_id, seconds):
        """Pause a host for longer than peers and fabric need to declare it dead."""
        host = self.hosts[host_id]
        host.is_running = False
        self._spread_host_record(
            replace(host.entry, state=HostState.SUSPECT), (1.0, 2.0)
        )
        self._spread_host_record(
            replace(host.entry, state=HostState.DEAD), DETECTION_DELAY_SECONDS
        )
        self.schedule_after(
            DETECTION_DELAY_SECONDS[1], self.fabric_host_ids.remove, host_id
        )
        self.schedule_after(seconds, self._resume, host_id, seconds)

    def _resume(self, host_id, seconds):
        host = self.hosts[host_id]
        host.is_running = True
        self.fabric_host_ids.append(host_id)
        self._perform(host, host.steering.handle(PauseDetected(seconds), self.now))
        buffered_packets, host.buffered_packets = host.buffered_packets, []
        for packet in buffered_packets:
            self.receive(host_id, packet)
        self._spread_host_record(host.entry, GOSSIP_DELAY_SECONDS)
        delay = self.random.uniform(*GOSSIP_DELAY_SECONDS)
        self.schedule_after(delay, self.apply_document, host_id, self.documents[-1])
