"""Steps for full reads of the store whose pages differ in age."""

import trio
from behave import given, then, when
from fakes.dsr_host import make_server
from fakes.peering_network import PeeringNetwork
from fakes.reading_fleet import make_reader
from fakes.snapshot_store import SnapshotStore

SERVERS = 10
# Servers in the store at first; others are added by changes.
NEW_SERVER = SERVERS + 1
JOIN_SECONDS = 3.0
# A peer that asks for a full copy has it within this time.
COPY_SECONDS = 0.5


def write(store, change):
    """Write a change, described in words; return how to take it back."""
    if change == "a new configuration":
        return store.put(version=8)
    if change == "a new server":
        server = make_server(NEW_SERVER)
        store.put(server=server)
        return lambda: store.put(removed=server.server_id)
    if change == "a draining server":
        store.put(server=make_server(1, draining=True))
        return lambda: store.put(removed=make_server(1).server_id)
    if change == "a server that has left":
        return store.put(removed=make_server(1).server_id)
    if change == "an evacuated zone":
        store.put(zone=("z1", True))
        return lambda: store.put(zone=("z1", False))
    if change == "a returned zone":
        return store.put(zone=("z2", False))
    raise ValueError(change)


def start(context):
    """Start two hosts that know each other, before a store at revision 20."""
    context.store = SnapshotStore()
    for number in range(1, SERVERS + 1):
        context.store.put(server=make_server(number))
    context.store.put(version=3)
    context.store.put(zone=("z2", True))
    while context.store.revision < 20:
        context.store.put(server=make_server(SERVERS))
    context.network = PeeringNetwork()
    # As in a system that starts for the first time.
    options = {"queries_at_start": False}
    context.reader_host, context.peer = (
        context.network.start(name, ip, "e", [seed], **options)
        for name, ip, seed in [
            ("a", "10.0.0.1", "10.0.0.2"),
            ("b", "10.0.0.2", "10.0.0.1"),
        ]
    )
    context.network.run(JOIN_SECONDS)


def load(context, host, **revisions):
    now = context.network.clock.monotonic()
    host.catalog.apply(context.store.read(**revisions), now)
    host.catalog.confirm(now)


@given(
    "a reader with pages of revisions 20 and 21, of which only the newer one shows"
    " {change}"
)
def given_reader_ahead(context, change):
    start(context)
    write(context.store, change)
    load(context, context.reader_host, revision=20, newest_revision=21)


@given("a peer with all entries of revision 20")
def given_peer(context):
    load(context, context.peer, revision=20)


@given("a reader with all entries of revision 20")
def given_reader(context):
    start(context)
    load(context, context.reader_host, revision=20)


@given(
    "a peer with pages of revisions 20 and 21, of which only the newer one shows"
    " {change}"
)
def given_peer_ahead(context, change):
    context.take_back = write(context.store, change)
    load(context, context.peer, revision=20, newest_revision=21)


@when("that is taken back and the reader makes {read}")
def when_taken_back(context, read):
    context.take_back()
    when_reader_reads(context, read)


@when("the reader makes {read}")
def when_reader_reads(context, read):
    # Hosts asked for a catalog until now; they ask again after a pause.
    context.network.run(COPY_SECONDS)
    reader = make_reader(context.network, context.reader_host, context.store)
    reader.read_scheduler.must_reload = read == "a full read"
    trio.run(reader._read)
    context.network.deliver()
    context.network.run(COPY_SECONDS)


@then("the peer holds the same entries as the store")
def then_same_entries(context):
    expected, catalog = context.store.read(), context.peer.catalog
    listed = {s.server_id: s.revision for s in expected.servers}
    held = {i: s.revision for i, s in catalog.servers_by_id.items()}
    assert held == listed, (held, listed)
    zones = sorted(state.zone for state in expected.zones)
    assert catalog.evacuations.evacuated_zones == zones
    assert catalog.version == expected.routes.version
    assert catalog.revision == expected.revision
