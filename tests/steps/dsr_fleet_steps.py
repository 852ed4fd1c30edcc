"""Steps for a fleet in which one host reads the store for all."""

import trio
from behave import given, then
from fakes.dsr_fleet_simulation import (
    NEW_VERSION,
    PUBLISHED_AT,
    RUN_SECONDS,
    FleetSimulation,
    simulate_publication,
)
from fakes.dsr_host import make_routes, make_server

from hornbeamdeal.dsr import reader_order
from hornbeamdeal.kernel import Endpoint, EntryHost


def simulate(context, hosts, on_publication, **parameters):
    context.published_at = PUBLISHED_AT
    context.simulation = simulate_publication(hosts, on_publication, **parameters)


@given("a fleet of {hosts:d} hosts that runs for {seconds:d} s")
def given_fleet(context, hosts, seconds):
    async def script(simulation):
        await trio.sleep(seconds - 0.5)
        context.reading = simulation.readers()

    context.simulation = FleetSimulation(hosts=hosts)
    context.end = seconds
    context.simulation.run(script, seconds)


@given("a fleet of {hosts:d} hosts in which a version is published at 10 s")
def given_publication(context, hosts):
    simulate(context, hosts, lambda simulation: None)


@given(
    "a fleet of {hosts:d} hosts with a message loss of {loss:g} in which a version is"
    " published at 10 s"
)
def given_loss(context, hosts, loss):
    simulate(context, hosts, lambda simulation: None, loss=loss)


@given(
    "a fleet of {hosts:d} hosts in which 40 versions are published from 10 s to 12 s"
)
def given_burst(context, hosts):
    async def script(simulation):
        await trio.sleep(PUBLISHED_AT)
        for index in range(40):
            simulation.store.put(routes=make_routes(NEW_VERSION - 39 + index))
            context.published_at = trio.current_time()
            await trio.sleep(0.05)

    context.simulation = FleetSimulation(hosts=hosts)
    context.simulation.run(script, RUN_SECONDS)


@given(
    "a fleet of {hosts:d} hosts whose reader is killed at 10 s as a version is"
    " published"
)
def given_reader_killed(context, hosts):
    def kill(simulation):
        for host in simulation.readers():
            host.kill()

    simulate(context, hosts, kill)


@given(
    "a fleet of {hosts:d} hosts whose elected readers are killed at 10 s as a version"
    " is published"
)
def given_all_readers_killed(context, hosts):
    def kill(simulation):
        for host in simulation.hosts:
            if host.read_scheduler.is_elected_reader:
                host.kill()

    simulate(context, hosts, kill)


@given(
    "a fleet of {hosts:d} hosts whose reader gets no answers from 10 s on as a"
    " version is published"
)
def given_unanswered(context, hosts):
    def silence(simulation):
        simulation.store.unanswered_hosts = {
            host.host_id for host in simulation.readers()
        }

    simulate(context, hosts, silence)


@given(
    "a fleet of {hosts:d} hosts whose reader is refused from 10 s on as a version is"
    " published"
)
def given_refused(context, hosts):
    def refuse(simulation):
        simulation.store.refused_hosts = {host.host_id for host in simulation.readers()}
        simulation.store.compact()

    simulate(context, hosts, refuse)


@given(
    "a fleet of {hosts:d} hosts of which all but the last are refused from 10 s on as"
    " a version is published"
)
def given_most_refused(context, hosts):
    def refuse(simulation):
        simulation.store.refused_hosts = {
            host.host_id for host in simulation.hosts[:-1]
        }
        simulation.store.compact()

    simulate(context, hosts, refuse)


@given(
    "a fleet of {hosts:d} hosts in which zone z1 is partitioned at 10 s as a version"
    " is published"
)
def given_zone_partitioned(context, hosts):
    simulate(context, hosts, lambda simulation: simulation.partitioned_zones.add("z1"))


@given(
    "a fleet of {hosts:d} hosts in which host {index:d} leaves at 9 s and a version"
    " is published at 10 s"
)
def given_leaving(context, hosts, index):
    async def script(simulation):
        await trio.sleep(PUBLISHED_AT - 1.0)
        simulation.hosts[index].leave()
        await trio.sleep(1.0)
        simulation.store.put(routes=make_routes(NEW_VERSION))

    context.simulation = FleetSimulation(hosts=hosts)
    context.published_at = PUBLISHED_AT
    context.simulation.run(script, RUN_SECONDS)


@given("a fleet of {hosts:d} hosts whose store is down from 10 s to 20 s")
def given_outage(context, hosts):
    async def script(simulation):
        await trio.sleep(10)
        simulation.store.is_down = True
        simulation.store.compact()
        await trio.sleep(10)
        simulation.store.is_down = False
        simulation.store.put(routes=make_routes(NEW_VERSION))

    context.simulation = FleetSimulation(hosts=hosts)
    context.simulation.run(script, 30)


@given(
    "a fleet of {hosts:d} hosts whose store compacts its history at 11 s after"
    " omitting events for a second"
)
def given_omitted_events(context, hosts):
    async def script(simulation):
        await trio.sleep(10)
        simulation.store.omits_events = True
        await trio.sleep(0.2)
        simulation.store.put(routes=make_routes(NEW_VERSION))
        context.published_at = trio.current_time()
        await trio.sleep(0.8)
        simulation.store.compact()

    context.simulation = FleetSimulation(hosts=hosts)
    context.simulation.run(script, RUN_SECONDS)


@given(
    "a fleet of {hosts:d} hosts whose reader is killed at 10 s as a server is drained"
)
def given_drained(context, hosts):
    context.seen_at = {}

    async def script(simulation):
        await trio.sleep(PUBLISHED_AT)
        for host in simulation.readers():
            host.kill()
        simulation.store.put(make_server(1, draining=True))
        while True:
            await trio.sleep(0.01)
            for host in simulation.hosts:
                server = host.catalog.servers_by_id[make_server(1).server_id]
                if host.is_alive and server.is_draining:
                    context.seen_at.setdefault(host.host_id, trio.current_time())

    context.simulation = FleetSimulation(hosts=hosts)
    context.simulation.run(script, RUN_SECONDS)


@given(
    "a fleet of {hosts:d} hosts in which host {index:d} is restarted at 10 s as the"
    " store goes down"
)
def given_start_without_store(context, hosts, index):
    async def script(simulation):
        await trio.sleep(PUBLISHED_AT)
        simulation.store.is_down = True
        simulation.store.compact()
        simulation.hosts[index].kill()
        context.restarted = simulation.restart_host(index)
        while not context.restarted.catalog.is_complete:
            await trio.sleep(0.01)
        context.complete_at = trio.current_time()
        context.age = context.restarted.catalog.age(context.complete_at)

    context.complete_at = 1e9
    context.simulation = FleetSimulation(hosts=hosts)
    context.simulation.run(script, RUN_SECONDS)


@then("host 3 has a catalog within {seconds:g} s")
def then_has_catalog(context, seconds):
    assert context.complete_at - PUBLISHED_AT <= seconds, context.complete_at


@then("it does not consider its catalog current")
def then_not_current(context):
    outage = context.complete_at - PUBLISHED_AT
    assert context.age >= outage, (context.age, outage)


@then("the store gets at most {calls:d} calls a second from {start:d} s on")
def then_calls_on(context, calls, start):
    found = context.simulation.store.calls_between(start, context.end)
    assert found <= calls * (context.end - start), found


@then("the store gets at most {calls:d} calls a second from {start:d} s to {end:d} s")
def then_call_rate(context, calls, start, end):
    found = context.simulation.store.calls_between(start, end)
    assert found <= calls * (end - start), found


@then("the store gets at most {calls:d} calls from {start:d} s to {end:d} s")
def then_calls(context, calls, start, end):
    found = context.simulation.store.calls_between(start, end)
    assert found <= calls, found


@given("entry hosts with links of 5, 100 and 10 Mbit/s in one zone")
def given_links(context):
    context.entry_hosts = [
        EntryHost(f"host-{mbps}", 1, Endpoint("10.0.0.1", mbps), "z1", link_mbps=mbps)
        for mbps in (5, 100, 10)
    ]


@then("the host with 100 Mbit/s reads first")
def then_widest_link_first(context):
    order, _ = reader_order(context.entry_hosts)
    assert order[0] == "host-100", order


@then("no message to a peer holds more than {count:d} servers from {start:d} s on")
def then_small_updates(context, count, start):
    sizes = [size for at, size in context.simulation.update_sizes if at >= start]
    assert sizes and max(sizes) <= count, max(sizes)


@then("one host reads")
def then_one_reads(context):
    found = [
        (
            host.host_id,
            host.read_scheduler.position,
            len(host.peer_sync.membership.members_),
        )
        for host in context.reading
    ]
    assert len(found) == 1, found


@then("every live host has it in force within {seconds:g} s")
@then("every host has the last one in force within {seconds:g} s")
@then("every host has the version of 10.2 s in force within {seconds:g} s")
def then_in_force(context, seconds):
    slowest = context.simulation.seconds_until_in_force(
        NEW_VERSION, context.published_at
    )
    assert slowest <= seconds, slowest


@then("a version published at 20 s is in force everywhere within {seconds:g} s")
def then_after_outage(context, seconds):
    slowest = context.simulation.seconds_until_in_force(NEW_VERSION, 20.0)
    assert slowest <= seconds, slowest


@then("every host knows that it is draining within {seconds:g} s")
def then_draining(context, seconds):
    alive = [host.host_id for host in context.simulation.hosts if host.is_alive]
    slowest = max(context.seen_at.get(host_id, 1e9) for host_id in alive)
    assert slowest - PUBLISHED_AT <= seconds, slowest - PUBLISHED_AT
