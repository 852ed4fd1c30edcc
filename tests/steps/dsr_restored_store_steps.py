"""Steps for a fleet whose store is restored from an older copy."""

import random

import trio
from behave import given, then
from fakes.dsr_fleet_simulation import FleetSimulation
from fakes.dsr_host import make_routes, make_server

RESTORED_AT = 9.0
RETURNED_AT = 10.0
RUN_SECONDS = 20.0
# The last write is before 20 s and must be in force 3 s later.
RANDOM_RUN_SECONDS = 23.0
HOSTS = 7
SERVERS = 9
LOST_VERSION = 20
NEW_VERSION = 30


async def restore_store(simulation, changes):
    """Take the store away and bring it back without its last changes."""
    store = simulation.store
    await trio.sleep_until(RESTORED_AT)
    store.is_down = True
    store.restore(store.revision - changes)
    await trio.sleep_until(RETURNED_AT)
    store.is_down = False


async def write_lost_changes(simulation):
    """Write one version and one server's entry that the copy will not hold."""
    await trio.sleep_until(5.0)
    simulation.store.put(routes=make_routes(LOST_VERSION))
    simulation.store.put(server=make_server(3))


@given(
    "a fleet of {hosts:d} hosts whose store returns at 10 s from a copy 2 changes old"
)
def given_restored(context, hosts):
    async def script(simulation):
        await write_lost_changes(simulation)
        await restore_store(simulation, changes=2)

    context.simulation = FleetSimulation(hosts=hosts)
    context.end = RUN_SECONDS
    context.simulation.run(script, RUN_SECONDS)


def simulate_publication(published_at):
    async def script(simulation):
        await write_lost_changes(simulation)
        await restore_store(simulation, changes=1)
        await trio.sleep_until(published_at)
        simulation.store.put(routes=make_routes(NEW_VERSION))

    simulation = FleetSimulation(hosts=HOSTS)
    simulation.run(script, RUN_SECONDS)
    return simulation


@then(
    "a version published at any of {count:d} moments after the return is in force"
    " within {seconds:d} s"
)
def then_in_force(context, count, seconds):
    for index in range(count):
        published_at = RETURNED_AT + 2.0 + 0.001 * index
        simulation = simulate_publication(published_at)
        took = simulation.seconds_until_in_force(NEW_VERSION, published_at)
        assert took <= seconds, f"moment {index}: {took} s"


@given(
    "a fleet of {hosts:d} hosts of which host {index:d} is cut off as the store is"
    " restored"
)
def given_cut_off(context, hosts, index):
    context.hosts, context.cut_index = hosts, index


@given("a server that drains then")
def given_drains(context):
    async def script(simulation):
        await write_lost_changes(simulation)
        cut = simulation.hosts[context.cut_index]
        await trio.sleep_until(RESTORED_AT - 1.0)
        simulation.cut_hosts.add(cut.host_id)
        simulation.store.refused_hosts.add(cut.host_id)
        await restore_store(simulation, changes=2)
        simulation.store.put(server=make_server(3, draining=True))
        for version in range(NEW_VERSION - 5, NEW_VERSION):
            simulation.store.put(routes=make_routes(version))
        context.drained_at = RETURNED_AT + 1.0
        await trio.sleep_until(context.drained_at)
        simulation.cut_hosts.clear()
        simulation.store.refused_hosts.clear()
        await trio.sleep(3.0)
        context.draining_by_host = [
            host.catalog.servers_by_id[make_server(3).server_id].is_draining
            for host in simulation.hosts
        ]

    context.simulation = FleetSimulation(hosts=context.hosts)
    context.simulation.run(script, RUN_SECONDS)


@then("every host considers it as draining 3 s after the cut")
def then_draining(context):
    assert all(context.draining_by_host), context.draining_by_host


class RandomSeries:
    """Random changes of a store that is restored twice; its writers repeat theirs.

    As the platform's writers do, each server and the operator write again what the
    restored store has lost, unless the server has left.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.version = NEW_VERSION
        self.servers_by_number = {n: make_server(n) for n in range(1, SERVERS + 1)}

    async def run(self, simulation):
        """Write for 20 s, with an outage at a random time of each half."""
        self.simulation = simulation
        await trio.sleep_until(4.0)
        for start in (5.0, 13.0):
            outage_at = start + self.random.uniform(1.0, 3.0)
            await self._write_until(outage_at)
            await self._restore(outage_at)
            await self._write_until(start + 7.0)

    async def _write_until(self, end):
        while trio.current_time() < end:
            self._write_one()
            await trio.sleep(self.random.uniform(0.02, 1.5))

    def _write_one(self):
        store = self.simulation.store
        number = self.random.randrange(1, SERVERS + 1)
        kind = self.random.choice(["routes", "list", "drain", "remove"])
        if kind == "routes":
            self.version += 1
            store.put(routes=make_routes(self.version))
        elif kind == "remove":
            server = self.servers_by_number.pop(number, None)
            if server is not None:
                store.put(removed=server.server_id)
        else:
            server = make_server(number, draining=kind == "drain")
            self.servers_by_number[number] = server
            store.put(server=server)

    async def _restore(self, outage_at):
        store, simulation = self.simulation.store, self.simulation
        store.is_down = True
        before = dict(store.servers_by_id)
        store.restore(max(11, store.revision - self.random.randrange(0, 8)))
        lost = {i for i, s in before.items() if store.servers_by_id.get(i) is not s}
        restarted = self.random.randrange(HOSTS)
        simulation.hosts[restarted].kill()
        cut = self.random.choice([h for h in simulation.hosts if h.is_alive])
        simulation.cut_hosts.add(cut.host_id)
        await trio.sleep(self.random.uniform(0.1, 2.0))
        store.is_down = False
        simulation.restart_host(restarted)
        await trio.sleep(self.random.uniform(0.0, 0.5))
        self._write_again(store, lost)
        await trio.sleep(self.random.uniform(0.0, 1.0))
        simulation.cut_hosts.clear()

    def _write_again(self, store, lost):
        if store.routes.version != self.version:
            store.put(routes=make_routes(self.version))
        servers = list(self.servers_by_number.items())
        self.random.shuffle(servers)
        for number, server in servers:
            if server.server_id in lost:
                copy = make_server(number, draining=server.is_draining)
                self.servers_by_number[number] = copy
                store.put(server=copy)
        listed = {server.server_id for server in self.servers_by_number.values()}
        # The entries of servers that have left lapse.
        for server_id in sorted(set(store.servers_by_id) - listed):
            store.put(removed=server_id)


def state_of(servers_by_id, routes):
    """Return what a catalog and the store must agree on."""
    servers = {i: s.is_draining for i, s in servers_by_id.items()}
    return routes.version, servers


@then(
    "after {count:d} random series of changes, restores and lost hosts all hosts agree"
    " with the store"
)
def then_agree(context, count):
    for seed in range(count):
        simulation = FleetSimulation(hosts=HOSTS, loss=0.05, random_state=seed)
        simulation.run(RandomSeries(seed).run, RANDOM_RUN_SECONDS)
        store = simulation.store
        expected = state_of(store.servers_by_id, store.routes)
        for host in simulation.hosts:
            found = state_of(host.catalog.servers_by_id, host.catalog.routes)
            assert found == expected, f"seed {seed}, {host.host_id}"
