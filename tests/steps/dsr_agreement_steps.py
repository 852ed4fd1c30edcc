"""Steps for hosts that read one store and hold the same entries."""

from behave import given, then, when
from fakes.dsr_host import make_routes, make_server
from fakes.reading_fleet import ReadingFleet

from hornbeamdeal.dsr import ReadScheduler, Update, ZoneState, encode_news
from hornbeamdeal.kernel import Endpoint, PeerMessageReceived

PEER = Endpoint("10.0.0.2", 7720)
# Interval of a reader's updates.
UPDATE_SECONDS = 0.7
GONE_SERVER = 9


@when("{count:d} random fleets take {steps:d} steps each")
def when_fleets_run(context, count, steps):
    # Each scenario has seeds of its own.
    seeds = range(steps * 1000, steps * 1000 + count)
    context.fleets_by_seed = {seed: ReadingFleet(seed) for seed in seeds}
    for fleet in context.fleets_by_seed.values():
        fleet.disturb(steps)


@then("{seconds:d} s later all hosts hold what the store holds")
def then_agree(context, seconds):
    for seed, fleet in context.fleets_by_seed.items():
        fleet.settle(seconds)
        differences = fleet.differences()
        assert not differences, f"seed {seed}: {differences}"


@when("it gets the changes of a full read from {base:d} to {revision:d}")
def when_full_read_changes(context, base, revision):
    receive(context.host, Update(base_revision=base, revision=revision), is_full=True)


@when("it gets the changes of a watch from {base:d} to {revision:d} with {news}")
def when_watch_changes(context, base, revision, news):
    update = Update(base_revision=base, revision=revision)
    if news == "a listing of server 2":
        update.servers = [make_server(2, revision=revision)]
    else:
        update.zones = [ZoneState("z1", True, revision)]
    receive(context.host, update, is_full=False)


def receive(host, update, is_full):
    update.needs_exact_base = is_full
    message = encode_news(update, age=0.0, position=0, previous_routes=None)
    host.peer_sync.handle(PeerMessageReceived("b", 1, PEER, message), 101.0)


@then("it holds no server {number:d}")
def then_no_server(context, number):
    assert make_server(number).server_id not in context.host.catalog.servers_by_id


@then("no zone is evacuated there")
def then_no_zone(context):
    assert context.host.catalog.evacuations.evacuated_zones == []


@given("a random fleet whose hosts agree")
def given_agreeing_fleet(context):
    fleet = ReadingFleet(1)
    # Longer than the interval of the reader's full reads, so that none is due soon.
    fleet.settle(12.0)
    assert not fleet.differences()
    context.fleets_by_seed = {1: fleet}


@when("the catalog of {host} gets {other}")
def when_host_differs(context, host, other):
    fleet = context.fleets_by_seed[1]
    is_reading = host == "the reader"
    catalog = next(
        reader.catalog
        for reader in fleet.readers
        if reader.read_scheduler.is_reading == is_reading
    )
    spoil(catalog, other, fleet.now)
    assert fleet.differences()


def spoil(catalog, other, now):
    """Bring a catalog to a state that the store doesn't have at its revision."""
    revision = catalog.revision
    update = Update(base_revision=revision, revision=revision)
    first = next(iter(catalog.servers_by_id.values()))
    if other == "a server that has left":
        update.servers = [make_server(GONE_SERVER, revision=revision)]
        catalog.removals.complete_revision = 0
    elif other == "one server less":
        update.removed = {first.server_id: revision}
    elif other == "an older draining entry":
        older = first.with_revision(first.revision - 1)
        older.is_draining = not first.is_draining
        catalog._put_server(older)
    elif other == "an ended evacuation":
        update.zones = [ZoneState("z3", True, revision)]
        catalog.evacuations._complete_revision = 0
    else:
        catalog.routes = make_routes(catalog.version - 1)
    catalog.apply(update, now)


@given(
    "{count:d} hosts that differ from the reader at each of its updates for"
    " {seconds:d} s"
)
def given_differing_hosts(context, count, seconds):
    context.read_times, context.seconds = [], seconds
    for index in range(count):
        scheduler = ReadScheduler(random_state=index)
        now = 0.0
        while now < seconds:
            scheduler.verification.record_difference(count, now)
            if scheduler.is_reload_due(now):
                scheduler.record_reload(now)
                context.read_times.append(now)
            now += UPDATE_SECONDS


@then("they make at most {limit:d} full reads a second in any {span:d} s")
def then_few_reads(context, limit, span):
    times = sorted(context.read_times)
    for start in range(context.seconds - span):
        reads = sum(start <= at < start + span for at in times)
        assert reads <= limit * span, (start, reads)


@given("a read scheduler whose host differs from a peer")
def given_differing_host(context):
    context.scheduler = ReadScheduler(random_state=1)
    context.scheduler.verification.record_difference(100, 10.0)


@when("the host agrees with a peer before its read is due")
def when_host_agrees(context):
    context.scheduler.verification.record_agreement()


@then("no full read is due")
def then_no_read(context):
    assert not context.scheduler.is_reload_due(20.0)
