"""Steps for the adapter to the platform."""

import json
import os
from unittest.mock import patch

import trio
from behave import given, then, when
from fakes.dsr_host import Host, QueuedPackets, RecordingJournal
from fakes.platform_store import PlatformStore, config_entry, server_entry
from fakes.unexpected_source import UnexpectedSource

from hornbeamdeal.dsr import (
    SourceError,
    encode_news,
)
from hornbeamdeal.kernel import Endpoint, ManualClock
from hornbeamdeal.observability import BufferedJournal
from hornbeamdeal.platform import _startup
from hornbeamdeal.platform._configuration import decode_configuration
from hornbeamdeal.platform._entries import EntryError, decode_server
from hornbeamdeal.platform._packets import EchoPacketCodec, encode_address
from hornbeamdeal.platform._startup import ForwardingImportHook, load_first_catalog
from hornbeamdeal.platform._store import StoreSource
from hornbeamdeal.wire import HttpClient, PeerCodec

EXAMPLE = bytes.fromhex(
    "4433221100000000d5c3b2a10000000007004064419c010012c6bb0180000000"
)
EXAMPLE_RESET = bytes.fromhex(
    "000000000000000000000000000000000100 12c6bb01 07004064 419c 02000000".replace(
        " ", ""
    )
)
CALLER_PORT = 8172
STORE_PORT = 8169
STORE_IP = "127.0.7.1"
WATCH_SECONDS = 0.3


def entry_key(number):
    return f"servers/i-{number:010x}"


@given("the platform's example of an opening packet")
def given_example(context):
    context.codec = EchoPacketCodec(caller_port=CALLER_PORT)
    context.segment = context.codec.decode(EXAMPLE)


@then("it opens a flow from {caller} to {address}")
def then_opens_flow(context, caller, address):
    assert context.segment.is_opening
    assert context.segment.sequence == 0x11223344
    described = context.codec.describe_flow(context.segment.flow_key)
    assert described == f"{caller}>{address}"


@then("only bytes 12 to 15 change when handle {handle} is written")
def then_handle(context, handle):
    written = context.codec.write_handle(EXAMPLE, int(handle, 16))
    assert written[12:16] == bytes([4, 3, 2, 1])
    assert written[:12] + written[16:] == EXAMPLE[:12] + EXAMPLE[16:]


@then("its reset equals the protocol's example, sent to {ip} at the callers' port")
def then_reset(context, ip):
    data, destination = context.codec.make_reset(
        context.segment.flow_key, context.segment.acknowledgement
    )
    assert data == EXAMPLE_RESET, data.hex()
    assert destination == (ip, CALLER_PORT)


@when("the platform's entry has {fault}")
def when_entry(context, fault):
    entry = server_entry("huvo11a", "10.128.0.9:8080")
    changes = {
        "a host name as address": {"address": "server:8080"},
        "a port that is too high": {"address": "10.128.0.9:80800"},
        "an unknown state": {"state": "unknown"},
        "text as slots": {"slots": "3"},
        "true as slots": {"slots": True},
        "a list as service": {"service": ["huvo11a"]},
        "a service of 256 characters": {"service": "s" * 256},
        "a zone of 256 characters": {"zone": "z" * 256},
    }
    entry |= changes.get(fault, {})
    if fault == "no address":
        del entry["address"]
    raw = {"bytes that are not JSON": b"\xff\xfe", "JSON that is not an object": b"[1]"}
    context.value = raw.get(fault, json.dumps(entry).encode())


@then("no server is decoded from it")
def then_no_server(context):
    try:
        decode_server("i-7f3a91c2", context.value, 1)
    except EntryError:
        return
    raise AssertionError("the entry was accepted")


@when("a configuration splits a route 90 to 10")
def when_split(context):
    fields = config_entry(3, [("198.18.0.1", 8443, "a")])
    [route] = fields["routes"]
    route["backends"] = [
        {"service": "a", "weight": 90},
        {"service": "b", "weight": 10},
    ]
    context.routes, problems = decode_configuration(json.dumps(fields).encode())
    assert not problems, problems


@then("the route has both services with their weights")
def then_split(context):
    route = context.routes.routes_by_key[encode_address("198.18.0.1", 8443)]
    assert route.weights_by_service == {"a": 90.0, "b": 10.0}


@given("a stand-in store with {count:d} servers on pages of {page:d}")
def given_store(context, count, page):
    context.store = PlatformStore(page)
    context.journal = RecordingJournal()
    context.actions = []
    context.reported_positions = {}
    routes = [("198.18.0.1", 443, "reservas")]
    context.store.put("op/config", config_entry(4, routes))
    for number in range(1, count + 1):
        address = f"10.0.0.{number}:8000"
        context.store.put(entry_key(number), server_entry("reservas", address))


@given("a stand-in store with {count:d} servers and an unreadable entry")
def given_store_with_fault(context, count):
    given_store(context, count, 50)
    context.store.put(entry_key(99), b"\xff\xfe")


@given("a stand-in store with {count:d} servers and {faults:d} unreadable entries")
def given_store_with_faults(context, count, faults):
    given_store(context, count, 500)
    context.unreadable_keys = [entry_key(1000 + fault) for fault in range(faults)]
    for key in context.unreadable_keys:
        context.store.put(key, b"\xff\xfe")


@when("the unreadable entries are removed")
def when_unreadable_removed(context):
    for key in context.unreadable_keys:
        context.store.delete(key)


@when("the adapter watches from its last read")
def when_watches(context):
    watch_from(context, context.update.revision)


@then("the adapter remembers no unusable entry")
def then_none_remembered(context):
    assert context.reported_positions == {}, len(context.reported_positions)


async def _call_adapter(context, call):
    """Run the stand-in store and call the adapter; return its result or SourceError."""
    async with trio.open_nursery() as nursery:
        endpoint = Endpoint(STORE_IP, STORE_PORT)
        nursery.start_soon(context.store.run, endpoint)
        await trio.sleep(0.05)
        client = HttpClient(endpoint=endpoint, connect_timeout=1.0)
        source = StoreSource(client=client, journal=context.journal)
        source.unusable.positions_by_key = context.reported_positions
        try:
            return await call(source)
        except SourceError as error:
            return error
        finally:
            client.close()
            nursery.cancel_scope.cancel()


def load(context):
    return trio.run(_call_adapter, context, lambda source: source.load(False))


def watch_from(context, revision):
    async def call(source):
        return await source.watch(revision, WATCH_SECONDS)

    return trio.run(_call_adapter, context, call)


@when("the adapter loads the store")
def when_load(context):
    context.update = load(context)


@then("it has {count:d} servers and the configuration")
def then_has_servers(context, count):
    assert len(context.update.servers) == count
    assert context.update.routes.version == 4


@then("the store got {count:d} calls")
def then_calls(context, count):
    calls = [
        n for (name, _), n in context.journal.counts.items() if name == "store_calls"
    ]
    assert sum(calls) == count, calls


@then("one unusable entry is logged")
def then_logged(context):
    names = [name for name, _ in context.journal.events]
    assert names.count("entry_unusable") == 1


@when("the store answers {status:d}")
def when_status(context, status):
    context.store.status = status


@given("answers of the store that carry epoch {epoch}")
def given_epoch(context, epoch):
    context.store.epoch = epoch


@when("the adapter loads the store, and again as answers carry no epoch")
def when_load_twice(context):
    async def call(source):
        await source.load(False)
        context.store.epoch = None
        return await source.load(False)

    context.update = trio.run(_call_adapter, context, call)


class RestoringClient:
    """Client of a store that is restored after its first answer."""

    def __init__(self, client, store):
        self.client = client
        self.store = store
        self.answers = 0

    async def get(self, target, timeout_seconds):
        if self.answers == 1:
            self.store.restore(self.store.revision)
        self.answers += 1
        return await self.client.get(target, timeout_seconds)


@when("the store is restored between two pages of a load")
def when_restored_between_pages(context):
    context.store.epoch = int(context.store.epoch)

    async def call(source):
        source.client = RestoringClient(source.client, context.store)
        return await source.load(False)

    context.error = trio.run(_call_adapter, context, call)


@then("the load fails as {reason}")
def then_load_failed(context, reason):
    assert isinstance(context.error, SourceError), context.error
    assert context.error.reason == reason


@then("the update has epoch {epoch:d}")
def then_epoch(context, epoch):
    assert context.update.epoch == epoch


@then("the change to epoch {epoch:d} is logged")
def then_epoch_logged(context, epoch):
    lines = [f for name, f in context.journal.events if name == "store_epoch"]
    assert lines == [{"epoch": epoch, "previous": None}], lines


@when("the store does not answer")
def when_silent(context):
    context.store.is_silent = True


@then("the adapter's load fails as {reason}")
def then_load_fails(context, reason):
    error = load(context)
    assert isinstance(error, SourceError) and error.reason == reason, error


@when("a server drains and another leaves")
def when_changes(context):
    context.revision = context.store.revision
    entry = server_entry("reservas", "10.0.0.1:8000", state="draining")
    context.store.put(entry_key(1), entry)
    context.store.delete(entry_key(2))


@when("a server's entry becomes unreadable")
def when_unreadable(context):
    context.revision = context.store.revision
    context.store.put(entry_key(1), b"{")


@when("{count:d} odd entries of {size:d} bytes are written")
def when_large_entries(context, count, size):
    context.revision = context.store.revision
    for number in range(count):
        context.store.put(entry_key(1000 + number), b"x" * size)


@then("the adapter's watch tells of {count:d} unusable entries")
def then_unusable_entries(context, count):
    update = watch_from(context, context.revision)
    assert not isinstance(update, SourceError), update
    assert context.journal.counts["entries_unusable", ""] == count


@when("the store drops its history")
def when_compacted(context):
    context.revision = context.store.revision - 1
    context.store.compact()


@then("the adapter's watch returns {drained} drained and one removed server")
def then_watch(context, drained):
    update = watch_from(context, context.revision)
    assert len(update.servers) == {"one": 1, "no": 0}[drained]
    assert all(server.is_draining for server in update.servers)
    assert len(update.removed) == 1


@then("the adapter's watch fails as {reason}")
def then_watch_fails(context, reason):
    error = watch_from(context, context.revision)
    assert isinstance(error, SourceError) and error.reason == reason, error


@then(
    "the adapter's watch of the configuration tells only version {version:d}"
    " once it is written"
)
def then_watch_configuration(context, version):
    context.store.put("op/config", config_entry(version, [("198.18.0.1", 443, "a")]))

    async def call(source):
        return await source.watch_configuration(context.revision)

    update = trio.run(_call_adapter, context, call)
    assert update.routes.version == version
    assert not update.servers and not update.removed
    assert update.revision == context.revision
    assert update.newest_revision == context.store.revision


@then("the adapter's load has {count:d} servers")
def then_load_has(context, count):
    assert len(load(context).servers) == count


@given(
    "a start that forwards packets between imports and reads the store each"
    " {seconds:g} s"
)
def given_start(context, seconds):
    context.clock = ManualClock(100.0)
    context.reloads = 0

    def reload_catalog():
        context.reloads += 1

    context.import_hook = ForwardingImportHook(
        QueuedPackets(),
        Host(context.clock).forwarder,
        context.clock,
        reload_catalog=reload_catalog,
        reload_interval=seconds,
    )


@when("the event loop runs")
def when_loop_runs(context):
    context.import_hook.stop_reloading()


@when("imports go on for {seconds:d} s")
def when_imports(context, seconds):
    for _ in range(10 * seconds):
        context.clock.advance(0.1)
        assert context.import_hook.find_spec("module") is None


@then("the store is read again {count:d} times")
def then_reloads(context, count):
    assert context.reloads == count, context.reloads


@when("a server's entry has half a surrogate pair in its key")
def when_surrogate_key(context):
    context.revision_before = context.store.revision
    # The key comes after the first server's and before the second one's.
    address = "10.0.0.9:8000"
    context.store.put(entry_key(1) + "\ud800", server_entry("reservas", address))


@then("the adapter's watch tells of one unusable key and no removal")
def then_unusable_key(context):
    context.update = watch_from(context, context.revision_before)
    assert (context.update.servers, context.update.removed) == ([], {})
    assert context.journal.counts["entries_unusable", ""] == 1


@then("peers can be sent the adapter's update")
def then_peers_can_be_sent(context):
    message = encode_news(context.update, age=0.0, position=0, previous_routes=None)
    codec = PeerCodec(
        host_id="h", incarnation=1, keys_by_id={1: b"k" * 16}, sending_key_id=1
    )
    assert codec.decode(codec.encode(message)).is_ok()


@when("the first read of a start raises an unexpected error")
def when_first_read_fails(context):
    context.host = Host()
    store = Endpoint(STORE_IP, STORE_PORT)
    source = UnexpectedSource()
    with patch.object(_startup, "StoreSource", lambda client, journal: source):
        context.reason = _startup.load_catalog(
            store, context.host.forwarder, context.host.journal, may_be_stale=False
        )


@then("the start goes on and counts 1 unexpected error")
def then_start_goes_on(context):
    assert context.reason == "unexpected"
    assert context.host.journal.counts["unexpected_errors", "ZeroDivisionError"] == 1


@when('a host starts {when} and the store answers a consistent read with "{failure}"')
def when_host_starts(context, when, failure):
    context.reads = []

    def load(may_be_stale):
        context.reads.append("yes" if may_be_stale else "no")
        return "" if may_be_stale else failure

    load_first_catalog(load, is_first_start=when == "for the first time")


@when('a host starts {when} and the store answers a consistent read with ""')
def when_host_starts_well(context, when):
    when_host_starts(context, when, "")


@then("its reads allow a stale copy: {reads}")
def then_reads(context, reads):
    assert ",".join(context.reads) == reads, context.reads


def evacuation_key(zone):
    names = {"nothing": "", "half a surrogate pair": "\ud800"}
    return "op/evacuate/" + names.get(zone, zone)


@when("the operator evacuates {zone}")
def when_evacuates(context, zone):
    context.revision_before = context.store.revision
    context.store.put(evacuation_key(zone), {})


@when("the operator returns {zone}")
def when_returns(context, zone):
    context.store.delete(evacuation_key(zone))


def zone_states(update):
    return [(state.zone, state.is_evacuated) for state in update.zones]


@then("the adapter's update has z1 evacuated")
def then_has_evacuated(context):
    assert zone_states(context.update) == [("z1", True)]


@then("the adapter's watch tells of z1 evacuated, then returned")
def then_told(context):
    update = watch_from(context, context.revision_before)
    assert zone_states(update) == [("z1", True), ("z1", False)]
    assert update.zones[0].revision < update.zones[1].revision


@then("the adapter's watch tells of one unusable entry")
def then_one_unusable(context):
    assert zone_states(watch_from(context, context.revision_before)) == []
    assert context.journal.counts["entries_unusable", ""] == 1


@then("a node's log can hold it")
def then_log_holds(context):
    [fields] = [f for n, f in context.journal.events if n == "entry_unusable"]
    with open(os.devnull, "wb") as log:
        journal = BufferedJournal(
            host_id="h", descriptor=log.fileno(), clock=ManualClock(0.0)
        )
        journal.event("entry_unusable", **fields)
        journal.flush()
