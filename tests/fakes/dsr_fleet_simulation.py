"""Simulated hosts that read one store and exchange messages, on virtual time."""

import random
from collections import Counter

import trio
from trio.testing import MockClock

from hornbeamdeal.dsr import (
    Catalog,
    CatalogReader,
    PeerSync,
    ReadScheduler,
    ServerHealth,
    SourceError,
    Update,
    ZoneState,
)
from hornbeamdeal.kernel import (
    Endpoint,
    EntryHost,
    PeerMessageReceived,
    SendPeerMessage,
    StopRequested,
)
from hornbeamdeal.membership import Membership
from hornbeamdeal.wire import peer_types

from .dsr_host import RecordingJournal, make_routes, make_server

TICK_SECONDS = 0.1
PEER_PORT = 7720
PEER_DELAY_SECONDS = 0.001
ANSWER_SECONDS = 0.004
# Timeout of a request to a store that doesn't answer.
SILENT_TIMEOUT_SECONDS = 0.7
WATCH_MARGIN_SECONDS = 0.5
# Seconds until a request fails, and how, while a host is kept from the store.
FAILURES_BY_KIND = {
    "503": (0.0, "unavailable"),
    "429": (0.0, "throttled"),
    "reset": (0.0, "lost"),
    "silence": (SILENT_TIMEOUT_SECONDS, "lost"),
    "unreachable": (0.5, "lost"),
}
START_SPREAD_SECONDS = 0.3
PUBLISHED_AT = 10.0
RUN_SECONDS = 20.0
NEW_VERSION = 50


class TrioClock:
    """Clock of trio's virtual time."""

    def monotonic(self):
        return trio.current_time()


class FakeStore:
    """In-memory store of routes and servers that can be made to fail."""

    def __init__(self):
        self.epoch = 1
        self.revision = 1
        self.changes = []
        self.servers_by_id = {}
        self.evacuated_at_by_zone = {}
        self.routes = make_routes(1)
        self.calls = []
        self.refused_hosts = set()
        self.failure_kinds_by_host = {}
        self.is_down = False
        self.omits_events = False
        self.unanswered_hosts = set()
        self.oldest = 0
        self.changed = trio.Event()
        self.cut = trio.Event()

    def put(self, server=None, routes=None, removed=None, zone=None):
        """Write one change; `zone` is a zone and whether it is evacuated."""
        self.revision += 1
        if server is not None:
            server.revision = self.revision
            self.servers_by_id[server.server_id] = server
        if removed is not None:
            del self.servers_by_id[removed]
        if routes is not None:
            self.routes = routes
        if zone is not None:
            self._set_zone(self.revision, *zone)
        self.changes.append((self.revision, server, routes, removed, zone))
        self.changed.set()
        self.changed = trio.Event()

    def compact(self):
        """Drop the history and close all watches."""
        self.oldest = self.revision
        self.omits_events = False
        self.cut.set()
        self.cut = trio.Event()

    def restore(self, revision):
        """Start a new history from a copy as of a revision and close all watches."""
        self.epoch += 1
        self.revision = revision
        self.changes = [change for change in self.changes if change[0] <= revision]
        self.servers_by_id = {}
        self.evacuated_at_by_zone = {}
        self.routes = make_routes(1)
        for changed_at, server, routes, removed, zone in self.changes:
            if server is not None:
                self.servers_by_id[server.server_id] = server
            self.servers_by_id.pop(removed, None)
            self.routes = routes or self.routes
            if zone is not None:
                self._set_zone(changed_at, *zone)
        self.cut.set()
        self.cut = trio.Event()

    def _set_zone(self, revision, name, is_evacuated):
        self.evacuated_at_by_zone.pop(name, None)
        if is_evacuated:
            self.evacuated_at_by_zone[name] = revision

    def calls_between(self, start, end):
        """Return the number of calls from `start` until before `end`."""
        return sum(start <= at < end for at, _ in self.calls)


class FakeSource:
    """The store as one host sees it."""

    def __init__(self, store, host_id):
        self.store = store
        self.host_id = host_id

    async def load(self, may_be_stale, after_page=None):
        await self._call("load")
        store = self.store
        return Update(
            base_revision=None,
            epoch=store.epoch,
            revision=store.revision,
            servers=list(store.servers_by_id.values()),
            routes=store.routes,
            zones=[
                ZoneState(z, True, r) for z, r in store.evacuated_at_by_zone.items()
            ],
        )

    async def watch(self, after_revision, wait_seconds):
        await self._call("watch")
        store = self.store
        if not store.oldest <= after_revision <= store.revision:
            raise SourceError("compacted", "no history from this revision")
        with trio.move_on_after(wait_seconds):
            while store.revision == after_revision or store.omits_events:
                await self._wait()
        await self._fail_if_kept_off()
        if self.host_id in store.unanswered_hosts:
            await trio.sleep(WATCH_MARGIN_SECONDS)
            raise SourceError("lost", "no answer")
        return self._changes(after_revision)

    async def _wait(self):
        cut, changed = self.store.cut, self.store.changed
        async with trio.open_nursery() as nursery:

            async def wait(event):
                await event.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait, cut)
            nursery.start_soon(wait, changed)
        if cut.is_set():
            raise SourceError("lost", "the watch was closed")

    def _changes(self, after_revision):
        store = self.store
        # A store that omits events still answers with its present revision.
        update = Update(
            base_revision=after_revision,
            epoch=store.epoch,
            revision=store.revision,
            servers=[],
            zones=[],
        )
        if store.omits_events:
            return update
        for revision, server, routes, removed, zone in store.changes:
            if revision <= after_revision:
                continue
            if server is not None:
                update.servers.append(server)
            if removed is not None:
                update.removed[removed] = revision
            update.routes = routes or update.routes
            if zone is not None:
                update.zones.append(ZoneState(*zone, revision))
        return update

    async def _call(self, kind):
        self.store.calls.append((trio.current_time(), self.host_id))
        await trio.sleep(ANSWER_SECONDS)
        if self.store.is_down:
            await trio.sleep(SILENT_TIMEOUT_SECONDS)
            raise SourceError("lost", "no answer")
        if self.host_id in self.store.refused_hosts:
            raise SourceError("unavailable", f"{kind}: status 503")
        await self._fail_if_kept_off()

    async def _fail_if_kept_off(self):
        kind = self.store.failure_kinds_by_host.get(self.host_id)
        if kind is not None:
            seconds, reason = FAILURES_BY_KIND[kind]
            await trio.sleep(seconds)
            raise SourceError(reason, kind)


class FleetHost:
    """One simulated host: catalog, reader and messages to peers."""

    def __init__(self, simulation, index, zone, starts=1):
        self.simulation = simulation
        self.start_delay = START_SPREAD_SECONDS if starts == 1 else 0.0
        self.host_id = f"host-{index:03d}"
        self.endpoint = Endpoint(f"10.0.{index // 200}.{index % 200 + 1}", PEER_PORT)
        clock = TrioClock()
        self.journal = RecordingJournal()
        self.catalog = Catalog()
        self.server_health = ServerHealth()
        self.read_scheduler = ReadScheduler(random_state=index)
        self.first_seen_by_version = {}
        self.is_alive = True
        self.scope = trio.CancelScope()
        seeds = [Endpoint("10.0.0.1", PEER_PORT), Endpoint("10.0.0.2", PEER_PORT)]
        self.peer_sync = PeerSync(
            catalog=self.catalog,
            read_scheduler=self.read_scheduler,
            server_health=self.server_health,
            journal=self.journal,
            make_membership=lambda rejoins: Membership(
                own=EntryHost(self.host_id, starts, self.endpoint, zone),
                seeds=[seed for seed in seeds if seed != self.endpoint],
                random_state=index,
            ),
            on_server_changes=lambda changes: None,
            relays=simulation.relays,
            random_state=index,
        )
        self.reader = CatalogReader(
            clock=clock,
            catalog=self.catalog,
            read_scheduler=self.read_scheduler,
            server_health=self.server_health,
            journal=self.journal,
            source=FakeSource(simulation.store, self.host_id),
        )
        self.reader.peering = self

    async def run(self):
        """Read the store and exchange messages until killed."""
        with self.scope:
            await trio.sleep(self.simulation.random.uniform(0, self.start_delay))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.reader.run)
                while True:
                    self.execute(self.peer_sync.tick(trio.current_time()))
                    self.reader.expire()
                    self._record_version()
                    await trio.sleep(TICK_SECONDS)

    def kill(self):
        """End the host without notifying its peers."""
        self.is_alive = False
        self.scope.cancel()

    def leave(self):
        """Notify peers of a planned stop and keep running."""
        now = trio.current_time()
        self.execute(self.peer_sync.handle(StopRequested(), now))

    def broadcast(self, update, previous):
        """Send an answer of the store to peers; called by the reader."""
        self.execute(self.peer_sync.broadcast(update, previous, trio.current_time()))
        self._record_version()

    def execute(self, actions):
        """Send messages to peers."""
        for action in actions:
            if isinstance(action, SendPeerMessage):
                self.simulation.send(self, action)

    def receive(self, sender, message):
        """Handle a peer's message."""
        if not self.is_alive:
            return
        event = PeerMessageReceived(
            sender.host_id,
            sender.peer_sync.membership.own.incarnation,
            sender.endpoint,
            message,
        )
        self.execute(self.peer_sync.handle(event, trio.current_time()))
        self._record_version()

    def _record_version(self):
        routes = self.catalog.routes
        if routes is not None:
            self.first_seen_by_version.setdefault(routes.version, trio.current_time())


class FleetSimulation:
    """Runs hosts in several zones for some seconds of virtual time."""

    def __init__(self, *, hosts, zones=3, loss=0.0, relays=None, random_state=0):
        self.host_count = hosts
        self.zone_count = zones
        self.loss = loss
        self.relays = relays
        self.random_state = random_state
        self.random = random.Random(random_state)
        self.partitioned_zones = set()
        self.cut_hosts = set()
        self.update_sizes = []
        self.updates_sent_by_id = Counter()

    def run(self, script, seconds):
        """Run all hosts and a script for `seconds` of virtual time."""

        async def main():
            self.store = FakeStore()
            for number in range(1, 10):
                self.store.put(make_server(number))
            self.hosts = [
                FleetHost(self, i, f"z{i % self.zone_count}")
                for i in range(self.host_count)
            ]
            self.hosts_by_endpoint = {host.endpoint: host for host in self.hosts}
            with trio.move_on_after(seconds):
                async with trio.open_nursery() as self.nursery:
                    for host in self.hosts:
                        self.nursery.start_soon(host.run)
                    await script(self)
                    await trio.sleep_forever()

        # Without this, trio shuffles the tasks that are ready at the same time.
        trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
        trio._core._run._r.seed(self.random_state)
        trio.run(main, clock=MockClock(autojump_threshold=0))

    def restart_host(self, index):
        """Restart a killed host and return its new process."""
        zone = self.hosts[index].peer_sync.membership.own.zone
        host = self.hosts[index] = FleetHost(self, index, zone, starts=2)
        self.hosts_by_endpoint[host.endpoint] = host
        self.nursery.start_soon(host.run)
        return host

    def send(self, sender, action):
        """Deliver a message after a delay, or lose it."""
        if isinstance(action.message, peer_types.CatalogNews):
            size = len(action.message.servers)
            self.update_sizes.append((trio.current_time(), size))
            self.updates_sent_by_id[sender.host_id] += 1
        target = self.hosts_by_endpoint.get(action.endpoint)
        if target is None or self._is_partitioned(sender, target):
            return
        if not action.over_tcp and self.random.random() < self.loss:
            return
        self.nursery.start_soon(self._deliver, sender, target, action.message)

    async def _deliver(self, sender, target, message):
        await trio.sleep(PEER_DELAY_SECONDS)
        target.receive(sender, message)

    def _is_partitioned(self, sender, target):
        if not self.cut_hosts.isdisjoint((sender.host_id, target.host_id)):
            return True
        zones = [h.peer_sync.membership.own.zone for h in (sender, target)]
        return zones[0] != zones[1] and not self.partitioned_zones.isdisjoint(zones)

    def readers(self):
        """Return the live hosts that currently read for the others."""
        return [
            host
            for host in self.hosts
            if host.is_alive and host.read_scheduler.is_reading
        ]

    def seconds_until_in_force(self, version, since):
        """Return the seconds until all live hosts had a version in force."""
        alive = [host for host in self.hosts if host.is_alive]
        return max(
            min(
                (at for v, at in host.first_seen_by_version.items() if v >= version),
                default=1e9,
            )
            - since
            for host in alive
        )


def simulate_publication(hosts, on_publication, **parameters):
    """Run a fleet in which `on_publication` is called as a version is published."""

    async def script(simulation):
        await trio.sleep(PUBLISHED_AT)
        on_publication(simulation)
        simulation.store.put(routes=make_routes(NEW_VERSION))

    simulation = FleetSimulation(hosts=hosts, **parameters)
    simulation.run(script, RUN_SECONDS)
    return simulation
