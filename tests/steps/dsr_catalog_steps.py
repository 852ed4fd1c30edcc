"""Steps for the replica of the catalog on one host."""

import random

import trio
from behave import given, then, when
from fakes.dsr_host import Host, make_routes, make_server
from fakes.unexpected_source import UnexpectedSource
from specs.store_epochs import check
from trio.testing import MockClock

from hornbeamdeal.dsr import (
    Catalog,
    CatalogReader,
    ReadScheduler,
    Update,
    ZoneState,
    decode_news,
    encode_news,
)

SERVERS = 4


def make_update(revision, base=None, servers=(), removed=None, routes=None):
    return Update(
        base_revision=base,
        revision=revision,
        servers=list(servers),
        removed=removed,
        routes=routes,
    )


@given("a catalog with version {version:d}")
def given_version(context, version):
    context.catalog = Catalog()
    update = make_update(3, servers=[make_server(1)], routes=make_routes(version))
    context.catalog.apply(update, 0.0)


@given("a catalog from which server 1 was removed at revision {revision:d}")
def given_removed(context, revision):
    given_version(context, 7)
    server_id = make_server(1).server_id
    update = make_update(revision, base=3, removed={server_id: revision})
    context.catalog.apply(update, 1.0)


@given(
    "a catalog to which {count:d} removals of unknown servers come within {seconds:d} s"
)
def given_unknown_removed(context, count, seconds):
    given_version(context, 7)
    for number in range(count):
        revision = 10 + number
        listed = make_server(2, revision=revision)
        update = make_update(
            revision, 0, servers=[listed], removed={f"i-gone-{number}": revision}
        )
        context.catalog.apply(update, number * seconds / count)


@then("it remembers at most {count:d} of them")
def then_forgotten(context, count):
    assert len(context.catalog.removals._revisions_by_id) <= count


@when("a full copy with version {version:d} is applied")
def when_full_copy(context, version):
    update = make_update(2, servers=[make_server(1)], routes=make_routes(version))
    context.catalog.apply(update, 1.0)


@when(
    "a full copy of revision {revision:d} that lists server 1 of revision {own:d} is"
    " applied"
)
def when_stale_copy(context, revision, own):
    update = make_update(revision, servers=[make_server(1, revision=own)])
    context.catalog.apply(update, 2.0)


@when("an update lists server {number:d} of revision {revision:d}")
def when_listed(context, number, revision):
    server = make_server(number, revision=revision)
    base = min(9, revision - 1)
    context.catalog.apply(make_update(revision, base=base, servers=[server]), 2.0)


@then("the catalog has version {version:d}")
def then_version(context, version):
    assert context.catalog.routes.version == version


@then("server {number:d} is not listed")
def then_not_listed(context, number):
    assert make_server(number).server_id not in context.catalog.servers_by_id


@then("server 1 is listed")
def then_listed(context):
    assert make_server(1).server_id in context.catalog.servers_by_id


@then("an update on revision {revision:d} can't be applied")
def then_refused(context, revision):
    update = make_update(revision + 1, base=revision)
    assert not context.catalog.can_apply(update)


def draw_history(generator):
    """Return random updates, each with one change of a server or of the routes."""
    updates = []
    for revision in range(2, 22):
        server = make_server(generator.randrange(1, SERVERS + 1), revision=revision)
        kind = generator.choice(["list", "drain", "remove", "routes"])
        server.is_draining = kind == "drain"
        if kind == "routes":
            update = make_update(revision, base=0, routes=make_routes(revision))
        elif kind == "remove":
            update = make_update(revision, 0, removed={server.server_id: revision})
        else:
            update = make_update(revision, base=0, servers=[server])
        updates.append(update)
    return updates


def result_of(updates):
    """Return the version and servers of a catalog after updates in this order."""
    catalog = Catalog()
    for update in updates:
        catalog.apply(update, 0.0)
    version = catalog.routes.version if catalog.routes else 0
    servers = {i: (s.revision, s.is_draining) for i, s in catalog.servers_by_id.items()}
    return version, servers


@then(
    "{count:d} random histories give the same catalog in any order and with repeated"
    " updates"
)
def then_alike(context, count):
    for seed in range(count):
        generator = random.Random(seed)
        history = draw_history(generator)
        shuffled = history + generator.sample(history, 5)
        generator.shuffle(shuffled)
        assert result_of(shuffled) == result_of(history), f"seed {seed}"


@when("a reader gets an answer that raises an unexpected error")
def when_unexpected_error(context):
    context.host = Host()
    context.host.apply_update([make_server(1)], make_routes())
    context.reader = CatalogReader(
        clock=context.host.clock,
        catalog=context.host.catalog,
        read_scheduler=ReadScheduler(freshness=3.0, random_state=1),
        server_health=context.host.server_health,
        journal=context.host.journal,
        source=UnexpectedSource(),
    )
    trio.run(context.reader._read)


@then("it logs the error and reads again after a back-off")
def then_reads_again(context):
    names = [name for name, _ in context.host.journal.events]
    assert names == ["unexpected_error", "read_failed"], names
    now = context.host.clock.monotonic()
    scheduler = context.reader.read_scheduler
    assert 0 < scheduler.next_read_delay(float("-inf"), now) < 10


@when("a reader's first read raises an unexpected error")
def when_first_read_fails(context):
    context.host = Host()
    update = make_update(5, servers=[make_server(1)], routes=make_routes())
    reader = CatalogReader(
        clock=context.host.clock,
        catalog=context.host.catalog,
        read_scheduler=ReadScheduler(freshness=3.0, random_state=1),
        server_health=context.host.server_health,
        journal=context.host.journal,
        source=UnexpectedSource(update, errors=1),
    )
    trio.run(reader._load_first, clock=MockClock(autojump_threshold=0))


@then("the reader loads the catalog with the next answer")
def then_loaded(context):
    assert context.host.catalog.is_complete
    assert context.host.journal.counts["unexpected_errors", "ZeroDivisionError"] == 1


BASE_REVISION, LISTED_REVISION, READ_REVISION = 20, 24, 26


class AnsweringSource:
    """A store with one prepared answer to each read."""

    def __init__(self, answer):
        self.answer = answer

    async def watch(self, after_revision, wait_seconds):
        return self.answer

    async def load(self, may_be_stale, after_page=None):
        return self.answer


class SentUpdates:
    """Records the messages to peers."""

    def __init__(self):
        self.messages = []

    def broadcast(self, update, previous):
        message = encode_news(update, age=0.0, position=0, previous_routes=previous)
        self.messages.append(message)


def catalog_at(revision, servers=()):
    catalog = Catalog()
    update = make_update(revision, servers=[make_server(1), *servers])
    update.routes = make_routes()
    catalog.apply(update, 0.0)
    return catalog


def broadcast_read(context, answer, is_full):
    """Let a reader at the base revision get an answer; keep its update to peers."""
    host = Host()
    reader = CatalogReader(
        clock=host.clock,
        catalog=catalog_at(BASE_REVISION),
        read_scheduler=ReadScheduler(random_state=1),
        server_health=host.server_health,
        journal=host.journal,
        source=AnsweringSource(answer),
    )
    reader.peering = SentUpdates()
    reader.read_scheduler.must_reload = is_full
    trio.run(reader._read, clock=MockClock(autojump_threshold=0))
    context.message = reader.peering.messages[0]


def is_applied(context, catalog):
    update = decode_news(context.message, catalog.routes, catalog.epoch)
    if not catalog.can_apply(update):
        return False
    catalog.apply(update, 1.0)
    return True


@when("a peer's update of revision {revision:d} lists server 1 at {ip} port {port:d}")
def when_listed_at(context, revision, ip, port):
    update = make_update(revision, base=3, servers=[make_server(1, revision=revision)])
    message = encode_news(update, age=0.0, position=0, previous_routes=None)
    message.servers[0].ip, message.servers[0].port = ip, port
    decoded = decode_news(message, context.catalog.routes, context.catalog.epoch)
    context.catalog.apply(decoded, 1.0)


@given("a reader that gets a server's listing and removal in one watch")
def given_watch_with_both(context):
    removed = {make_server(2).server_id: READ_REVISION}
    answer = make_update(READ_REVISION, base=BASE_REVISION, removed=removed)
    broadcast_read(context, answer, is_full=False)


@given("a reader that makes a full read after a server came and went")
def given_full_read(context):
    answer = make_update(READ_REVISION, servers=[make_server(1)])
    broadcast_read(context, answer, is_full=True)


@given("a reader that makes a full read with {count:d} unusable entries")
def given_full_read_with_unusable(context, count):
    unusable = {f"i-odd-{number}": READ_REVISION for number in range(count)}
    answer = make_update(READ_REVISION, servers=[make_server(1)], removed=unusable)
    broadcast_read(context, answer, is_full=True)


@then("its update has no removals")
def then_no_removals(context):
    assert not context.message.removed, len(context.message.removed)


def peer_with_server():
    listed = make_server(2, revision=LISTED_REVISION)
    return catalog_at(READ_REVISION - 1, [listed])


@then("its update removes the server from a peer that listed it")
def then_removed(context):
    peer = peer_with_server()
    assert is_applied(context, peer)
    assert make_server(2).server_id not in peer.servers_by_id


@then("a peer that listed the server needs a full copy")
def then_needs_full_copy(context):
    assert not is_applied(context, peer_with_server())


@then("a peer at the reader's former revision applies the update")
def then_former_applies(context):
    assert is_applied(context, catalog_at(BASE_REVISION))


@then("a peer that has read as much ignores the update")
def then_ignored(context):
    assert is_applied(context, catalog_at(READ_REVISION))


@then("the model of store epochs holds with all mechanisms")
def then_model_holds(context):
    result = check()
    assert result["exhaustive"]
    assert result["properties"]["current_hosts_agree"]["holds"] is True, result


@then("the model of store epochs fails without {mechanism}")
def then_model_fails(context, mechanism):
    result = check(**{mechanism: False}, maximum_revision=3)
    found = result["properties"]["current_hosts_agree"]
    assert found["holds"] is False
    assert found["counterexample"]


@given(
    "a host that got a copy of revision 20 from a peer without server 2 and {before}"
)
def given_copy_of_peer(context, before):
    zones = [ZoneState("z1", True, 8)] if before == "with a returned zone" else []
    servers = [make_server(1)]
    if before == "after server 2 was listed":
        servers.append(make_server(2, revision=15))
    context.catalog = Catalog()
    update = make_update(15, servers=servers, routes=make_routes())
    update.zones = zones
    context.catalog.apply(update, 0.0)
    copy = make_update(20, servers=[make_server(1)], routes=make_routes())
    context.catalog.apply(copy, 1.0)
    assert make_server(2).server_id not in context.catalog.servers_by_id
    assert not context.catalog.evacuations.is_evacuated("z1")


@when("{news} tells it of server 2 of revision 15 and of zone z1 evacuated at 16")
def when_told(context, news):
    revision = int(news.rpartition(" ")[2])
    is_full = "full read of the store" in news or "copy" in news
    update = Update(
        base_revision=None if is_full else context.catalog.revision,
        revision=revision,
        servers=[make_server(1), make_server(2, revision=15)],
        zones=[ZoneState("z1", True, 16)],
        needs_exact_base="update of a full read" in news,
    )
    if "full read of the store" not in news:
        context.catalog.apply(update, 2.0)
        return
    host = Host()
    reader = CatalogReader(
        clock=host.clock,
        catalog=context.catalog,
        read_scheduler=ReadScheduler(),
        server_health=host.server_health,
        journal=host.journal,
        source=AnsweringSource(update),
    )
    reader.read_scheduler.must_reload = True
    trio.run(reader._read, clock=MockClock(autojump_threshold=0))


@then("the host lists server {number:d}")
def then_host_lists(context, number):
    assert make_server(number).server_id in context.catalog.servers_by_id


@then("zone {zone} is evacuated")
def then_zone_evacuated(context, zone):
    assert context.catalog.evacuations.is_evacuated(zone)


@then("zone {zone} is not evacuated")
def then_zone_not_evacuated(context, zone):
    assert not context.catalog.evacuations.is_evacuated(zone)


@when("{count:d} servers that were never listed are removed")
def when_many_removed(context, count):
    for first in range(0, count, 1000):
        removed = {f"x-{n:x}": 10 + n for n in range(first, first + 1000)}
        update = make_update(10 + first + 1000, base=3, removed=removed)
        context.catalog.apply(update, 1.0)
    context.last_id = f"x-{count - 1:x}"


@then("the catalog remembers {count:d} removals, the latest among them")
def then_remembers(context, count):
    removals = context.catalog.removals
    assert len(removals._revisions_by_id) == count
    assert removals.revision_of(context.last_id) > 0
