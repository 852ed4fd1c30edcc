"""Hosts that read a store with delays and exchange messages, in random order."""

import random

import trio

from hornbeamdeal.dsr import CatalogReader

from .dsr_host import make_server
from .peering_network import PeeringNetwork
from .snapshot_store import SnapshotStore

HOSTS = 4
SERVERS = 4
ZONES = ("z1", "z2")
JOIN_SECONDS = 3.0
# Revisions by which pages of one read differ at most.
MAXIMUM_PAGE_AGE = 6
LOSS = 0.2


class ImmediateSource:
    """Reads a snapshot store that answers at once."""

    def __init__(self, store):
        self.store = store

    async def load(self, may_be_stale, after_page=None):
        return self.store.read()

    async def watch(self, after_revision, wait_seconds):
        return self.store.watch(after_revision)


def make_reader(network, host, store):
    """Return a host's reader of a snapshot store, which sends answers to its peers."""
    reader = CatalogReader(
        clock=network.clock,
        catalog=host.catalog,
        read_scheduler=host.peer_sync.read_scheduler,
        server_health=host.peer_sync.health_exchange.server_health,
        journal=host.journal,
        source=ImmediateSource(store),
    )
    reader.peering = host.peering
    return reader


class ReadingFleet:
    """Hosts whose reads and messages overtake each other.

    After `disturb`, `settle` runs the hosts with a store and a network that answer at
    once.
    """

    def __init__(self, random_state):
        self.random = random.Random(random_state)
        self.store = SnapshotStore()
        self.network = PeeringNetwork(random_state)
        self.hosts = []
        self.readers = []
        self._pending = []
        for number in range(1, SERVERS + 1):
            self.store.put(server=make_server(number))
        self.store.put(version=self.store.revision)
        for index in range(HOSTS):
            self._start_host(index)
        self.network.run(JOIN_SECONDS)
        self.network.queue.clear()
        for _ in range(MAXIMUM_PAGE_AGE):
            self._write()
        for host in self.hosts:
            host.catalog.apply(self._read_pages(), self.now)
            host.catalog.confirm(self.now)

    @property
    def now(self):
        """Return the network's time."""
        return self.network.clock.monotonic()

    def disturb(self, steps):
        """Write changes while reads and messages are on their way."""
        actions = [self._write, self._begin_read, self._end_read, self._deliver_one]
        for _ in range(steps):
            self.random.choice(actions)()
            self.network.clock.advance(self.random.uniform(0, 0.02))
        while self._pending:
            self._end_read()

    def settle(self, seconds):
        """Run all hosts for some seconds without further changes."""
        self.network.deliver()
        self.network.run(seconds, after_tick=self._read_when_due)

    def differences(self):
        """Return what hosts hold that the store doesn't, or the reverse, by host id."""
        expected = self.store.read()
        listed = {(s.server_id, s.revision) for s in expected.servers}
        zones = {state.zone for state in expected.zones}
        found = {}
        for host in self.hosts:
            catalog = host.catalog
            held = {(i, s.revision) for i, s in catalog.servers_by_id.items()}
            evacuated = set(catalog.evacuations.evacuated_zones)
            versions = {catalog.version} ^ {expected.routes.version}
            difference = (held ^ listed) | (evacuated ^ zones) | versions
            if difference:
                found[host.host_id] = difference
        return found

    def _start_host(self, index):
        host = self.network.start(
            f"h{index}",
            f"10.0.0.{index + 1}",
            "e",
            ["10.0.0.1"],
            queries_at_start=False,
        )
        self.hosts.append(host)
        self.readers.append(make_reader(self.network, host, self.store))

    def _write(self):
        listed = sorted(s.server_id for s in self.store.read().servers)
        kind = self.random.choice(["list", "list", "remove", "zone", "version"])
        if kind == "list":
            number = self.random.randrange(1, SERVERS + 1)
            is_draining = self.random.random() < 0.3
            self.store.put(server=make_server(number, draining=is_draining))
        elif kind == "remove" and listed:
            self.store.put(removed=self.random.choice(listed))
        elif kind == "zone":
            zone = self.random.choice(ZONES)
            is_evacuated = zone in {s.zone for s in self.store.read().zones}
            self.store.put(zone=(zone, not is_evacuated))
        else:
            self.store.put(version=self.store.revision + 1)

    def _read_pages(self):
        """Return a stale read of pages whose ages are drawn."""
        newest = self.store.revision
        draw = self.random.randrange
        return self.store.read_pages(
            *(newest - draw(MAXIMUM_PAGE_AGE) for _ in range(3))
        )

    def _begin_read(self):
        reader = self.random.choice(self.readers)
        answers = [answer for pending, answer in self._pending if pending is reader]
        if answers:
            if answers[0].base_revision is None:
                self._watch_between_pages(reader)
            return
        if self.random.random() < 0.7:
            answer = self.store.watch(reader.catalog.revision)
        else:
            # A consistent read that goes on while the store changes.
            revisions = []
            for _ in range(3):
                revisions.append(self.store.revision)
                self._write()
            answer = self.store.read_pages(*revisions)
            answer.needs_exact_base = True
        self._pending.append((reader, answer))

    def _watch_between_pages(self, reader):
        answer = self.store.watch(reader.catalog.revision)
        reader._apply_answer(answer, self.now)

    def _end_read(self):
        if not self._pending:
            return
        index = self.random.randrange(len(self._pending))
        reader, answer = self._pending.pop(index)
        reader._apply_answer(answer, self.now)

    def _deliver_one(self):
        queue = self.network.queue
        if not queue:
            return
        message = queue.pop(self.random.randrange(len(queue)))
        if self.random.random() >= LOSS:
            later, queue[:] = list(queue), [message]
            self._deliver_first()
            queue[:0] = later

    def _deliver_first(self):
        data, sender, endpoint = self.network.queue.pop(0)
        host = self.network.hosts_by_ip[endpoint.ip]
        host.peering._receive(data, sender)

    def _read_when_due(self):
        for reader in self.readers:
            delay = reader.read_scheduler.next_read_delay(
                reader.catalog.confirmed_at, self.now
            )
            if delay == 0:
                trio.run(reader._read)
                self.network.deliver()
