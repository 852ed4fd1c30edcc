"""Hosts that exchange encoded messages over a network in memory."""

import random

from hornbeamdeal.dsr import (
    Catalog,
    EnvironmentCheck,
    LinkQueue,
    Peering,
    PeerSync,
    ReadScheduler,
    ServerHealth,
    Update,
)
from hornbeamdeal.dsr._packet_io import call_guarded
from hornbeamdeal.kernel import Endpoint, EntryHost, HostState, ManualClock
from hornbeamdeal.membership import Membership
from hornbeamdeal.wire import PeerCodec

from .dsr_host import RecordingJournal

TICK_SECONDS = 0.1
PEER_PORT = 7720
PEER_KEY = b"k" * 16


class _Port:
    """Sends as the UDP port and as the nursery that sends larger messages do."""

    def __init__(self, network, sender):
        self.network = network
        self.sender = sender

    def send(self, data, endpoint):
        self.network.queue.append((data, self.sender, endpoint))

    def start_soon(self, send, data, endpoint):
        self.send(data, endpoint)


class NetworkHost:
    """One host with membership, catalog and peering."""

    def __init__(
        self,
        network,
        host_id,
        ip,
        environment,
        seeds,
        incarnation=1,
        queries_at_start=True,
    ):
        self.host_id = host_id
        self.endpoint = Endpoint(ip, PEER_PORT)
        self.journal = RecordingJournal()
        self.catalog = Catalog()
        self.changes = []
        own = EntryHost(host_id, incarnation, self.endpoint, "z1")
        seed_endpoints = [Endpoint(seed, PEER_PORT) for seed in seeds if seed != ip]
        self.peer_sync = PeerSync(
            catalog=self.catalog,
            read_scheduler=ReadScheduler(random_state=1),
            server_health=ServerHealth(),
            journal=self.journal,
            make_membership=lambda rejoins: Membership(
                own=own,
                seeds=seed_endpoints,
                random_state=network.random.getrandbits(32),
            ),
            on_server_changes=self.changes.extend,
            queries_at_start=queries_at_start,
            random_state=network.random.getrandbits(32),
        )
        self.environment = EnvironmentCheck(environment)
        self.peering = Peering(
            clock=network.clock,
            codec=PeerCodec(
                host_id=host_id,
                incarnation=incarnation,
                keys_by_id={1: PEER_KEY},
                sending_key_id=1,
                environments=[environment],
            ),
            environment=self.environment,
            peer_sync=self.peer_sync,
            journal=self.journal,
            link_queue=LinkQueue(link_mbps=None),
            listen=self.endpoint,
        )
        self.peering.port_ = self.peering._nursery = _Port(network, self.endpoint)

    def apply(self, update, now):
        """Apply an answer of the store and send it to the peers."""
        previous = self.catalog.routes
        self.catalog.apply(update, now)
        self.catalog.confirm(now)
        self.peering.broadcast(update, previous)

    def load(self, servers, routes, revision, now):
        """Apply a full read of the store."""
        update = Update(
            base_revision=None, revision=revision, servers=servers, routes=routes
        )
        self.catalog.apply(update, now)
        self.catalog.confirm(now)

    def state_of(self, host_id):
        """Return the state of a member that is known here, None if it is not."""
        member = self.peer_sync.membership.members_.get(host_id)
        return member.state if member else None

    def live_ids(self):
        """Return the ids of the members that are not dead, the own one included."""
        members = self.peer_sync.membership.members_.values()
        return {m.host_id for m in members if m.state is not HostState.DEAD}


class PeeringNetwork:
    """Delivers messages at once and ticks all hosts on a manual clock."""

    def __init__(self, random_state=0):
        self.clock = ManualClock(100.0)
        self.random = random.Random(random_state)
        self.hosts_by_ip = {}
        self.queue = []

    def start(self, *arguments, **fields):
        """Start a host; it replaces the one that had its address."""
        host = NetworkHost(self, *arguments, **fields)
        self.hosts_by_ip[host.endpoint.ip] = host
        return host

    def run(self, seconds, after_tick=lambda: None):
        """Run all hosts for some seconds."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.clock.advance(TICK_SECONDS)
            for host in list(self.hosts_by_ip.values()):
                call_guarded(host.journal, host.peering._tick)
                self.deliver()
            after_tick()

    def deliver(self):
        """Deliver all messages, and those that are sent because of them."""
        while self.queue:
            data, sender, endpoint = self.queue.pop(0)
            host = self.hosts_by_ip.get(endpoint.ip)
            if host is not None:
                host.peering._receive(data, sender)
