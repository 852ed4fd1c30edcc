"""Steps for evacuations of zones, on one host and in a fleet."""

import trio
from behave import given, then, when
from fakes.dsr_fleet_simulation import FleetSimulation
from fakes.dsr_host import (
    FLAG_SYN,
    SERVICE,
    Host,
    handle_in,
    is_reset,
    make_packet,
    make_routes,
    make_server,
)
from specs.zone_evacuations import check

from hornbeamdeal.dsr import Update, ZoneState

CALLER = "100.64.0.1:1000"
BASE_REVISION, NEXT_EPOCH = 10, 2
# Time within which an evacuation must be in force (`evacuation_ms`).
BOUND_SECONDS = 5.0
# The zone is evacuated for longer than a lost evacuation stays in force.
EVACUATED_AT, RETURNED_AT, FLEET_RUN_SECONDS = 10.0, 50.0, 57.0
ZONE = "z1"
CHECK_INTERVAL_SECONDS = 0.05


@given("an evacuation host with servers in zones {zones}")
def given_host(context, zones):
    context.zones = zones.split(",")
    context.host = Host()
    context.epoch = 1
    context.servers = [
        make_server(number, zone=zone)
        for number, zone in enumerate(context.zones, start=1)
    ]
    context.host.apply_update(
        context.servers, make_routes(), revision=BASE_REVISION - 5, epoch=1
    )


def change_zone(context, zone, is_evacuated, revision, base=None):
    context.host.apply_update(
        revision=revision,
        base=context.host.catalog.revision if base is None else base,
        zones=[ZoneState(zone, is_evacuated, revision)],
        epoch=context.epoch,
    )


@when("the store evacuates zone {zone} at revision {revision:d}")
def when_evacuated(context, zone, revision):
    change_zone(context, zone, True, revision)


@when("the store returns zone {zone} at revision {revision:d}")
@when("a peer reports that zone {zone} returned again at revision {revision:d}")
def when_returned(context, zone, revision):
    change_zone(context, zone, False, revision)


@when("a flow is open and the store evacuates zone {zone} at revision {revision:d}")
def when_open_and_evacuated(context, zone, revision):
    context.handle = context.host.establish(CALLER)
    change_zone(context, zone, True, revision)


@when("a late change of revision {revision:d} evacuates zone {zone}")
def when_late(context, revision, zone):
    change_zone(context, zone, True, revision, base=revision - 1)


def apply_copy(context, revision, zones=()):
    context.host.apply_update(
        context.servers, revision=revision, zones=zones, epoch=context.epoch
    )


@when("a full copy of revision {revision:d} lists no evacuation")
def when_full_copy(context, revision):
    apply_copy(context, revision)


@when("the store is restored to revision {revision:d} and lists no evacuation")
def when_restored(context, revision):
    context.epoch += 1
    apply_copy(context, revision)


@when("the store is restored to revision {revision:d} and lists z1 at revision {at:d}")
def when_restored_with(context, revision, at):
    context.epoch += 1
    apply_copy(context, revision, [ZoneState(ZONE, True, at)])


@when("a peer's copy of the next history lists z1 as lost with {seconds:g} s left")
def when_peer_lost(context, seconds):
    context.epoch += 1
    apply_copy(context, BASE_REVISION, [ZoneState(ZONE, True, 0, seconds)])


@when("a peer's copy of the same history lists z1 as lost with {seconds:g} s left")
def when_peer_lost_here(context, seconds):
    apply_copy(context, BASE_REVISION, [ZoneState(ZONE, True, 0, seconds)])


@when("changes from revision 10 to revision 9 of the next history come")
def when_next_history(context):
    context.host.apply_update(context.servers, revision=BASE_REVISION, epoch=1)
    update = Update(
        base_epoch=1, base_revision=BASE_REVISION, epoch=NEXT_EPOCH, revision=9
    )
    context.epoch = NEXT_EPOCH
    assert context.host.catalog.can_apply(update)
    context.host.catalog.apply(update, context.host.clock.monotonic())


@when("{seconds:g} s pass on the evacuation host")
def when_time_passes(context, seconds):
    context.host.clock.advance(seconds)
    context.host.catalog.expire(context.host.clock.monotonic())


def send_copy(context, number):
    return context.host.receive(make_packet(CALLER, FLAG_SYN, sequence=5, ack=number))


@when("copy {number:d} of an opening packet is sent to a server")
def when_sent(context, number):
    [(data, _)] = send_copy(context, number)
    context.handle = handle_in(data)


@then("copy {number:d} of an opening packet is dropped")
def then_dropped(context, number):
    assert send_copy(context, number) == []


@then("copy {number:d} of an opening packet is refused with the reason {reason}")
def then_refused(context, number, reason):
    [(data, _)] = send_copy(context, number)
    assert is_reset(data)
    assert context.host.journal.counts["openings_refused", reason] == 1


@then("data of the open flow goes to its server")
def then_data(context):
    [(data, _)] = context.host.send_data(CALLER, context.handle)
    assert handle_in(data) == context.handle


@then("of the evacuation host's zones {zones} gets new flows")
def then_zones(context, zones):
    accepting = context.host.catalog.accepting_servers(SERVICE)
    assert {server.zone for server in accepting} == set(zones.split(","))


@then("the evacuation host shows {zone} as evacuated")
def then_shown(context, zone):
    assert context.host.catalog.evacuations.evacuated_zones == [zone]


@then("the evacuation host tells that z1 is lost and ends in {seconds:g} s")
def then_lost(context, seconds):
    catalog = context.host.catalog
    state = catalog.evacuations.state_of(ZONE, context.host.clock.monotonic())
    assert catalog.changed_zones == [ZONE]
    assert (state.is_evacuated, state.remaining_seconds) == (True, seconds)


@then("the evacuation host learned of the return of z1 {seconds:g} s ago")
def then_learned(context, seconds):
    returned_at = context.host.catalog.evacuations.returned_at(ZONE)
    assert context.host.clock.monotonic() - returned_at == seconds


def uses_zone(host):
    servers = host.catalog.accepting_servers(SERVICE)
    return any(server.zone == ZONE for server in servers)


async def record_uses(context, simulation):
    """Record when which hosts would open flows to the zone, and which hosts would not."""
    context.uses, context.unused = [], []
    while True:
        for host in simulation.hosts:
            if host.is_alive and host.catalog.is_complete:
                uses = context.uses if uses_zone(host) else context.unused
                uses.append((trio.current_time(), host.host_id))
        await trio.sleep(CHECK_INTERVAL_SECONDS)


def simulate(context, script, seconds, **parameters):
    async def main(simulation):
        simulation.store.put(server=make_server(10, zone="z2"))
        simulation.nursery.start_soon(record_uses, context, simulation)
        await script(simulation)

    context.simulation = FleetSimulation(**parameters)
    context.simulation.run(main, seconds)


async def restart(simulation, index, is_cut):
    """Restart a host that is cut off from the store, or from its peers, for a while."""
    await trio.sleep_until(EVACUATED_AT + BOUND_SECONDS)
    host_id = simulation.hosts[index].host_id
    cut = simulation.cut_hosts if is_cut else simulation.store.refused_hosts
    cut.add(host_id)
    simulation.hosts[index].kill()
    await trio.sleep(0.5)
    simulation.restart_host(index)
    await trio.sleep(5.0)
    cut.discard(host_id)


async def cut_reader(simulation):
    """Cut the readers off from store and peers, which exempts them, until the end."""
    await trio.sleep_until(EVACUATED_AT + 1.0)
    cut = {host.host_id for host in simulation.readers()}
    simulation.cut_hosts |= cut
    simulation.store.refused_hosts |= cut
    simulation.store.compact()
    await trio.sleep_until(RETURNED_AT + 1.0)
    simulation.cut_hosts.clear()
    simulation.store.refused_hosts.clear()


async def restore(simulation, revision, rewritten=None):
    """Take the store away and bring it back as of a revision."""
    store = simulation.store
    store.is_down = True
    store.restore(revision)
    await trio.sleep(1.0)
    store.is_down = False
    if rewritten is not None:
        await trio.sleep(2.0)
        store.put(zone=rewritten)


async def fail(simulation, failure, revision):
    """Let one failure happen to an evacuation that has just been written."""
    store = simulation.store
    match failure:
        case "a host restarts without the store":
            await restart(simulation, 4, is_cut=False)
        case "a host restarts without its peers":
            await restart(simulation, 4, is_cut=True)
        case "the reader is killed":
            for host in simulation.readers():
                host.kill()
        case "the reader is cut off from the store":
            store.refused_hosts = {host.host_id for host in simulation.readers()}
            store.compact()
        case "the reader is cut off between start and end":
            await cut_reader(simulation)
        case "zone z1 is cut off from the other zones":
            simulation.partitioned_zones.add(ZONE)
        case "the store is silent after it":
            await trio.sleep(1.0)
            store.is_down = True
            store.compact()
            await trio.sleep_until(RETURNED_AT - 1.0)
            store.is_down = False
        case "the store is compacted":
            store.compact()
        case "the store is restored and loses it":
            await trio.sleep(2.0)
            await restore(simulation, revision - 1, rewritten=(ZONE, True))
        case "the store is restored and brings it back":
            await trio.sleep(2.0)
            store.put(zone=(ZONE, False))
            await trio.sleep(1.0)
            await restore(simulation, revision)
            # The zone was in use in between.
            simulation.evacuated_at = trio.current_time()


@given("a fleet of {hosts:d} hosts that evacuates zone z1 while {failure}")
def given_fleet(context, hosts, failure):
    async def script(simulation):
        await trio.sleep_until(EVACUATED_AT)
        simulation.evacuated_at = EVACUATED_AT
        simulation.store.put(zone=(ZONE, True))
        await fail(simulation, failure, simulation.store.revision)
        context.evacuated_at = simulation.evacuated_at
        await trio.sleep_until(RETURNED_AT)
        simulation.store.put(zone=(ZONE, False))

    context.ended_at = RETURNED_AT
    loss = 0.1 if failure == "one message in ten is lost" else 0.0
    simulate(context, script, FLEET_RUN_SECONDS, hosts=hosts, loss=loss)


@given("a fleet of {hosts:d} hosts whose store loses the evacuation of zone z1")
def given_lost(context, hosts):
    async def script(simulation):
        await trio.sleep_until(EVACUATED_AT)
        simulation.store.put(zone=(ZONE, True))
        await trio.sleep(2.0)
        context.lost_at = trio.current_time()
        await restore(simulation, simulation.store.revision - 1)
        context.ended_at = trio.current_time() + 30.0

    simulate(context, script, 60.0, hosts=hosts)


@given("a fleet of {hosts:d} hosts that evacuates and returns zone z1 within one watch")
def given_at_once(context, hosts):
    async def script(simulation):
        await trio.sleep_until(EVACUATED_AT)
        simulation.store.put(zone=(ZONE, True))
        simulation.store.put(zone=(ZONE, False))

    context.ended_at = EVACUATED_AT
    simulate(context, script, 20.0, hosts=hosts)


@then("no host uses zone z1 from 5 s after the evacuation until its end")
def then_unused(context):
    start = context.evacuated_at + BOUND_SECONDS
    late = [use for use in context.uses if start <= use[0] < RETURNED_AT]
    assert not late, late[:5]


@then("no host uses zone z1 within {seconds:g} s after the loss")
def then_unused_after_loss(context, seconds):
    start, end = EVACUATED_AT + BOUND_SECONDS, context.lost_at + seconds
    late = [use for use in context.uses if start <= use[0] < end]
    assert not late, late[:5]


@then("every host uses zone z1 again 5 s after the end")
@then("every host uses zone z1 again 35 s after the store's return")
def then_used_again(context):
    late = [use for use in context.unused if use[0] > context.ended_at + BOUND_SECONDS]
    assert not late, late[:5]
    assert any(use[0] > context.ended_at + BOUND_SECONDS for use in context.uses)


@then("every host that read or heard of it knows of the return")
def then_known(context):
    for host in context.simulation.hosts:
        returned_at = host.catalog.evacuations.returned_at(ZONE)
        assert returned_at >= EVACUATED_AT, host.host_id


@then("the model of zone evacuations holds with all mechanisms")
def then_model_holds(context):
    result = check()
    assert result["exhaustive"]
    assert result["properties"]["current_hosts_agree"]["holds"] is True, result


@then("the model of zone evacuations fails without {mechanism}")
def then_model_fails(context, mechanism):
    result = check(**{mechanism: False}, maximum_revision=3)
    found = result["properties"]["current_hosts_agree"]
    assert found["holds"] is False
    assert found["counterexample"]
