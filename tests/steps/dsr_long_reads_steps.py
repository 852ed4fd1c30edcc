"""Steps for full reads of the store that take long."""

import trio
from behave import given, then, when
from fakes.dsr_host import Host, make_server
from fakes.snapshot_store import SnapshotStore
from trio.testing import MockClock

from hornbeamdeal.dsr import CatalogReader, ReadScheduler, SourceError, Update

START = 100.0
# Of two servers and a version.
BASE_REVISION = 3
TIME_LIMIT_SECONDS = 60.0


class TrioClock:
    """The event loop's clock, as the one of a host."""

    def monotonic(self):
        """Return the monotonic time in seconds."""
        return START + trio.current_time()


class SlowSource:
    """Reads a snapshot store by pages that each take some time."""

    def __init__(self, store, pages, page_seconds):
        self.store = store
        self.pages = pages
        self.page_seconds = page_seconds
        self.has_history = True
        self.is_flooded = False
        self.fails_after = float("inf")
        self.watches = 0
        self.configuration_watches = 0

    async def load(self, may_be_stale, after_page=None):
        answer = self.store.read()
        for page in range(self.pages):
            await trio.sleep(self.page_seconds)
            if (page + 1) * self.page_seconds > self.fails_after:
                raise SourceError("lost", "no answer")
            if page < self.pages - 1 and after_page is not None:
                await after_page()
        return answer

    async def watch(self, after_revision, wait_seconds):
        self.watches += 1
        if not self.has_history:
            raise SourceError("compacted", "no history")
        if self.is_flooded:
            raise SourceError("oversized", "too many changes")
        return self.store.watch(after_revision)

    async def watch_configuration(self, after_revision):
        self.configuration_watches += 1
        answer = self.store.watch(after_revision)
        return Update(
            base_revision=after_revision,
            revision=after_revision,
            newest_revision=max(after_revision, answer.routes_revision),
            routes=answer.routes,
            routes_revision=answer.routes_revision,
            zones=answer.zones,
            servers=[],
        )


class UpdateTimes:
    """Records when peers get updates."""

    def __init__(self):
        self.times = []
        self.updates = []

    def broadcast(self, update, previous):
        self.times.append(trio.current_time())
        self.updates.append(update)


class ReadingHost:
    """A host with a reader of a slow store."""

    def __init__(self, pages, page_seconds):
        self.store = SnapshotStore()
        self.store.put(server=make_server(1))
        self.store.put(server=make_server(2))
        self.store.put(version=7)
        self.source = SlowSource(self.store, pages, page_seconds)
        self.host = Host(clock=TrioClock())
        self.reader = CatalogReader(
            clock=self.host.clock,
            catalog=self.host.catalog,
            read_scheduler=ReadScheduler(random_state=1),
            server_health=self.host.server_health,
            journal=self.host.journal,
            source=self.source,
        )
        self.reader.peering = UpdateTimes()
        self.version_in_force_at = None
        self.read_seconds = None

    def load(self):
        """Put the store's present content in force."""
        self.host.catalog.apply(self.store.read(), START)
        self.host.catalog.confirm(START)

    async def read_fully(self, is_after_failure=False):
        """Make one full read, a reader's regular one or one after a failure."""
        self.reader.read_scheduler.is_reading = True
        self.reader.read_scheduler.reload_due = float("-inf")
        self.reader.read_scheduler.must_reload = is_after_failure
        started = trio.current_time()
        await self.reader._read()
        self.read_seconds = trio.current_time() - started

    async def record_version(self, version):
        """Record when a version is in force."""
        while self.host.catalog.version != version:
            await trio.sleep(0.01)
        self.version_in_force_at = trio.current_time()

    def run(self, *functions):
        """Run functions in parallel with simulated time."""

        async def run_all():
            with trio.move_on_after(TIME_LIMIT_SECONDS):
                async with trio.open_nursery() as nursery:
                    for function in functions:
                        nursery.start_soon(function)

        trio.run(run_all, clock=MockClock(autojump_threshold=0))


@given("a reader of a store with {pages:d} pages of {seconds:g} s each")
def given_reader(context, pages, seconds):
    context.reading = ReadingHost(pages, seconds)
    context.reading.load()


@given("a store whose history is gone")
def given_no_history(context):
    context.reading.source.has_history = False


@given("a store with too many changes for a watch")
def given_flood(context):
    context.reading.source.is_flooded = True


@then("no update tells that the servers are known as of the version's revision")
def then_not_confirmed(context):
    updates = context.reading.reader.peering.updates
    told = next(update for update in updates if update.routes is not None)
    assert told.revision == told.base_revision == BASE_REVISION, told.revision
    assert told.newest_revision == BASE_REVISION + 1, told.newest_revision


@when("a version is written {seconds:g} s after a full read began")
def when_version(context, seconds):
    reading = context.reading
    context.written_at = seconds

    async def write():
        await trio.sleep(seconds)
        reading.store.put(version=8)

    async def record():
        with trio.move_on_after(TIME_LIMIT_SECONDS / 2):
            await reading.record_version(8)

    reading.run(reading.read_fully, write, record)


@then("the version is in force after at most {seconds:g} s")
def then_in_force(context, seconds):
    in_force_at = context.reading.version_in_force_at
    assert in_force_at is not None
    assert in_force_at - context.written_at <= seconds, in_force_at


@then("peers got an update at least every {seconds:g} s")
def then_updates(context, seconds):
    times = [0.0, *context.reading.reader.peering.times]
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert max(gaps) <= seconds, gaps


@then("the full read was completed")
def then_completed(context):
    reading = context.reading
    expected = reading.source.pages * reading.source.page_seconds
    assert reading.read_seconds >= expected, reading.read_seconds
    assert not reading.reader.read_scheduler.must_reload


@then("the store got {count:d} watch of everything")
@then("the store got {count:d} watches of everything")
def then_watches(context, count):
    assert context.reading.source.watches == count, context.reading.source.watches


@then("it got watches of the configuration")
def then_configuration_watches(context):
    assert context.reading.source.configuration_watches > 0


@when("{count:d} full reads fail after {seconds:g} s each")
def when_reads_fail(context, count, seconds):
    reading = context.reading
    reading.source.fails_after = seconds

    async def read_often():
        for _ in range(count):
            await reading.read_fully(is_after_failure=True)
            assert reading.reader.read_scheduler.must_reload

    reading.run(read_often)


@when("a server leaves {seconds:g} s after a full read began")
def when_leaves(context, seconds):
    reading = context.reading
    context.left_id = make_server(2).server_id

    async def remove():
        await trio.sleep(seconds)
        reading.store.put(removed=context.left_id)

    reading.run(reading.read_fully, remove)


@then("the server is not listed after the full read")
def then_not_listed(context):
    reading = context.reading
    assert reading.read_seconds is not None
    assert list(reading.host.catalog.servers_by_id) == [make_server(1).server_id]


@given("a host that starts with a store of {pages:d} pages of {seconds:g} s each")
def given_starting_host(context, pages, seconds):
    context.reading = ReadingHost(pages, seconds)


@when("a peer sends the catalog {seconds:g} s after the start")
def when_peer_sends(context, seconds):
    reading = context.reading

    async def send():
        await trio.sleep(seconds)
        reading.load()

    async def load_first():
        await reading.reader._load_first()
        reading.read_seconds = trio.current_time()

    reading.run(send, load_first)


@then("the host's first read ended after at most {seconds:g} s")
def then_first_read(context, seconds):
    assert context.reading.read_seconds <= seconds, context.reading.read_seconds


@given("the read scheduler of a reader")
def given_reading_scheduler(context):
    context.read_scheduler = ReadScheduler(random_state=1)
    context.read_scheduler.record_answer(changed=False, now=START)


@when("a full read takes {seconds:g} s")
def when_full_read_takes(context, seconds):
    context.read_scheduler.record_reload(START, seconds)
    context.read_scheduler.record_answer(changed=False, now=START)


@then("the next full read is due {seconds:g} s later")
def then_next_full_read(context, seconds):
    assert not context.read_scheduler.is_reload_due(START + seconds - 0.01)
    assert context.read_scheduler.is_reload_due(START + seconds)
