"""Steps for one host's catalog and reader after the store was restored."""

import trio
from behave import given, then, when
from fakes.dsr_fleet_simulation import FleetSimulation, TrioClock
from fakes.dsr_host import SERVICE, RecordingJournal, make_routes, make_server
from trio.testing import MockClock

from hornbeamdeal.dsr import (
    Catalog,
    CatalogReader,
    ReadScheduler,
    RouteTable,
    ServerHealth,
    Update,
    decode_news,
    encode_news,
)

NEXT_EPOCH = 2
VERSION, OLD_VERSION = 5, 3
LOST_VERSION = 20
READ_SECONDS = 0.1


def id_of(number):
    return make_server(number).server_id


def apply(context, update):
    context.changes = context.catalog.apply(update, context.now)
    context.catalog.confirm(context.now)


@given("a catalog at revision 20 that knows server 1 as {state}")
def given_catalog(context, state):
    context.now = 100.0
    context.catalog = Catalog()
    context.epoch = 1
    servers = [make_server(1, revision=5), make_server(2, revision=6)]
    update = Update(
        base_revision=None,
        epoch=context.epoch,
        revision=12,
        servers=servers,
        routes=make_routes(VERSION),
    )
    apply(context, update)
    if state.startswith("drain"):
        drained = make_server(1, draining=True, revision=18)
        apply(context, change(context, 18, servers=[drained]))
    if state.endswith("gone") or state == "lapsed":
        apply(context, change(context, 19, removed={id_of(1): 19}))
    if state == "dead and gone":
        context.catalog.mark_dead(id_of(1))
    if state == "ready":
        listed = make_server(1, revision=18)
        apply(context, change(context, 18, servers=[listed]))
    apply(context, change(context, 20))


def change(context, revision, **fields):
    """Return an update on the catalog's present revision."""
    base = context.catalog.revision
    return Update(base_revision=base, epoch=context.epoch, revision=revision, **fields)


def return_store(context, revision, servers):
    context.epoch += 1
    copy = Update(
        base_revision=None,
        epoch=context.epoch,
        revision=revision,
        servers=servers,
        routes=make_routes(OLD_VERSION),
    )
    apply(context, copy)


@when(
    "the store returns with a copy of revision {revision:d} that lists servers 1 and 2"
)
def when_returns(context, revision):
    servers = [make_server(1, revision=5), make_server(2, revision=6)]
    return_store(context, revision, servers)


@when("the store returns with a copy of revision {revision:d} that lists server 2 only")
def when_returns_without(context, revision):
    return_store(context, revision, [make_server(2, revision=6)])


@when("server 1 registers again at revision {revision:d}")
def when_registers(context, revision):
    listed = make_server(1, revision=revision)
    apply(context, change(context, revision, servers=[listed]))


@when("the store is read for {seconds:g} s")
def when_read(context, seconds):
    for _ in range(round(seconds / READ_SECONDS)):
        context.now += READ_SECONDS
        context.catalog.confirm(context.now)
        context.catalog.expire(context.now)


@when("the store is away for {seconds:d} s")
def when_away(context, seconds):
    context.now += seconds
    context.catalog.expire(context.now)


@when(
    "an update of the former history arrives with version {version:d} and server 2"
    " draining"
)
def when_former_update(context, version):
    draining = make_server(2, draining=True, revision=30)
    update = Update(
        base_revision=20,
        epoch=1,
        revision=30,
        servers=[draining],
        routes=make_routes(version),
    )
    assert context.catalog.can_apply(update)
    context.catalog.apply(update, context.now)


@when(
    "changes from revision {base:d} of its history to revision {revision:d} of the next"
    " arrive"
)
def when_changes_between(context, base, revision):
    context.update = Update(
        base_epoch=1, base_revision=base, epoch=NEXT_EPOCH, revision=revision
    )


@then("they are applied")
def then_applied(context):
    assert context.catalog.can_apply(context.update)
    apply(context, context.update)
    assert (context.catalog.epoch, context.catalog.revision) == (NEXT_EPOCH, 12)


@then("they need a full copy")
def then_full_copy(context):
    assert not context.catalog.can_apply(context.update)


def is_used(catalog, number):
    return id_of(number) in {s.server_id for s in catalog.accepting_servers(SERVICE)}


@then("server {number:d} gets no new flows")
def then_unused(context, number):
    assert not is_used(context.catalog, number)


@then("server {number:d} gets new flows")
def then_used(context, number):
    assert is_used(context.catalog, number)


@then("server 1 is gone")
def then_gone(context):
    assert not is_used(context.catalog, 1)
    assert context.catalog.is_gone(make_server(1), context.now)


@then("version {version:d} is in force")
def then_in_force(context, version):
    assert context.catalog.routes.version == version


@then("a peer's message without an epoch is decoded with the catalog's epoch")
def then_older_build(context):
    update = change(context, 21)
    message = encode_news(update, age=0.0, position=0, previous_routes=None)
    message.epoch = message.base_epoch = message.withheld_ms = None
    decoded = decode_news(message, context.catalog.routes, context.catalog.epoch)
    assert (decoded.epoch, decoded.base_epoch) == (1, 1)
    assert context.catalog.can_apply(decoded)


@then("a host without a catalog withholds server 1 after a full copy")
def then_peer_withholds(context):
    update = context.catalog.as_update(0.0)
    message = encode_news(update, age=0.0, position=0, previous_routes=None)
    other = Catalog()
    decoded = decode_news(message, None, other.epoch)
    other.apply(decoded, context.now)
    assert not is_used(other, 1) and is_used(other, 2)


class ScriptedSource:
    """A store with one prepared answer for each kind of read."""

    def __init__(self):
        self.answer = None
        self.watched_from = []
        self.loads = 0

    async def watch(self, after_revision, wait_seconds):
        self.watched_from.append(after_revision)
        return self.answer

    async def load(self, may_be_stale, after_page=None):
        self.loads += 1
        return self.answer


@given("a reader at revision 20")
def given_reader(context):
    given_catalog(context, "ready")
    context.source = ScriptedSource()
    context.reader = CatalogReader(
        clock=TrioClock(),
        catalog=context.catalog,
        read_scheduler=ReadScheduler(random_state=1),
        server_health=ServerHealth(),
        journal=RecordingJournal(),
        source=context.source,
    )


def read_once(context, answer):
    context.source.answer = answer
    trio.run(context.reader._read, clock=MockClock(autojump_threshold=0))


@when("its watch is answered in the next history at revision {revision:d}")
def when_watch_in_next(context, revision):
    draining = make_server(2, draining=True, revision=revision)
    answer = Update(
        base_revision=20, epoch=NEXT_EPOCH, revision=revision, servers=[draining]
    )
    read_once(context, answer)


@then("the reader's catalog is unchanged")
def then_unchanged(context):
    assert (context.catalog.epoch, context.catalog.revision) == (1, 20)
    assert is_used(context.catalog, 2)


@then("the next read of the store is a full one")
def then_full_read(context):
    assert context.reader.read_scheduler.is_reload_due(0.0)
    assert context.source.loads == 0


@when("a peer's update of epoch {epoch:d} is applied")
def when_poisoned(context, epoch):
    copy = Update(base_revision=None, epoch=epoch, revision=5)
    context.catalog.apply(copy, context.now)
    assert context.catalog.epoch == epoch


@when("its watch is answered in the first history at revision {revision:d}")
def when_watch_in_first(context, revision):
    read_once(context, Update(base_revision=5, epoch=1, revision=revision))
    then_full_read(context)


@when("a full read is answered with revision {revision:d} of the first history")
@when("a full read is answered with revision {revision:d} of the same history")
def when_goes_back(context, revision):
    context.reader.read_scheduler.must_reload = True
    servers = [make_server(1, revision=5), make_server(2, revision=6)]
    answer = Update(
        base_revision=None,
        epoch=1,
        revision=revision,
        servers=servers,
        routes=make_routes(OLD_VERSION),
    )
    read_once(context, answer)


@then("the reader's catalog is at revision {revision:d}")
def then_at_revision(context, revision):
    assert context.catalog.revision == revision


@then("the next watch starts there")
def then_watch_starts(context):
    revision = context.catalog.revision
    read_once(context, Update(base_revision=revision, epoch=1, revision=revision))
    assert context.source.watched_from[-1] == revision


@given(
    "a fleet of {hosts:d} hosts whose store returns at 10 s without a version and a"
    " drain"
)
def given_lost_version(context, hosts):
    context.hosts = hosts


@given("host {index:d} is restarted then")
def given_restarted(context, index):
    async def script(simulation):
        store = simulation.store
        await trio.sleep_until(5.0)
        store.put(routes=make_routes(LOST_VERSION))
        store.put(server=make_server(3, draining=True))
        await trio.sleep_until(9.0)
        simulation.hosts[index].kill()
        store.is_down = True
        store.restore(store.revision - 2)
        await trio.sleep_until(10.0)
        store.is_down = False
        context.restarted = simulation.restart_host(index)
        await trio.sleep(1.0)
        context.routes: RouteTable = context.restarted.catalog.routes
        context.is_drained_used = is_used(context.restarted.catalog, 3)

    FleetSimulation(hosts=context.hosts).run(script, 12.0)


@then(
    "host {index:d} knows the lost version and gives the server no new flows within 1 s"
)
def then_knows(context, index):
    assert context.routes.version == LOST_VERSION, context.routes.version
    assert not context.is_drained_used
