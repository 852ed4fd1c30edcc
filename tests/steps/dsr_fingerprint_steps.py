"""Steps for fingerprints of catalogs, from which hosts see that theirs differ."""

import random

from behave import given, then, when
from fakes.dsr_host import make_routes, make_server
from fakes.peering_network import PeeringNetwork

from hornbeamdeal.dsr import Catalog, Update, ZoneState, encode_news
from hornbeamdeal.kernel import Endpoint, PeerMessageReceived

SERVERS = 5
ZONES = ("z1", "z2")
VERSION = 3
PEER = Endpoint("10.0.0.2", 7720)


def random_change(generator, revision):
    """Return a change of one server or zone."""
    update = Update(base_revision=revision - 1, revision=revision)
    server = make_server(generator.randrange(1, SERVERS + 1), revision=revision)
    kind = generator.choice(["list", "list", "remove", "evacuate", "return"])
    if kind == "list":
        update.servers = [server]
    elif kind == "remove":
        update.removed = {server.server_id: revision}
    else:
        zone = generator.choice(ZONES)
        update.zones = [ZoneState(zone, kind == "evacuate", revision)]
    return update


def full_copy(catalog):
    """Return a catalog that got the state of another one as a full copy."""
    copied = Catalog()
    copied.apply(catalog.as_update(0.0), 0.0)
    return copied


@then(
    "{count:d} random histories and their last states alone have the same fingerprints"
)
def then_same_fingerprints(context, count):
    context.catalogs = []
    for seed in range(count):
        generator = random.Random(seed)
        catalog = Catalog()
        for revision in range(1, 30):
            catalog.apply(random_change(generator, revision), 0.0)
        expected = full_copy(catalog).fingerprint(0.0)
        assert catalog.fingerprint(0.0) == expected, f"seed {seed}"
        context.catalogs.append(catalog)


@then("states that differ in one entry have different fingerprints")
def then_other_fingerprints(context):
    for seed, catalog in enumerate(context.catalogs):
        other = full_copy(catalog)
        change = random_change(random.Random(seed), 30)
        before = other.as_update(0.0)
        other.apply(change, 0.0)
        after = other.as_update(0.0)
        is_changed = describe(before) != describe(after)
        differs = other.fingerprint(0.0) != catalog.fingerprint(0.0)
        assert differs == is_changed, f"seed {seed}"


def describe(update):
    """Return the entries of a full copy."""
    servers = {(s.server_id, s.revision) for s in update.servers}
    return servers, {(z.zone, z.revision) for z in update.zones}


@given("a host that loaded two pages, of revisions {oldest:d} and {newest:d}")
def given_mixed_pages(context, oldest, newest):
    context.catalog = Catalog()
    servers = [make_server(1, revision=10), make_server(2, revision=newest)]
    update = Update(
        base_revision=None,
        revision=oldest,
        newest_revision=newest,
        servers=servers,
        routes=make_routes(VERSION),
    )
    context.catalog.apply(update, 0.0)


@when("the changes up to revision {revision:d} are applied")
def when_changes_applied(context, revision):
    changed = [make_server(2, revision=revision)]
    base = context.catalog.revision
    update = Update(base_revision=base, revision=revision, servers=changed)
    context.catalog.apply(update, 0.0)


@then("it tells peers no fingerprint")
def then_no_fingerprint(context):
    assert context.catalog.as_update(0.0).fingerprint is None


@then("it tells peers a fingerprint")
def then_fingerprint(context):
    assert context.catalog.as_update(0.0).fingerprint is not None


@given("a host at revision {revision:d}")
def given_host(context, revision):
    context.host = PeeringNetwork().start("a", "10.0.0.1", "e", [])
    servers = [make_server(1, revision=10)]
    context.host.load(servers, make_routes(VERSION), revision, 100.0)


@when(
    "a peer at revision {revision:d} that holds {other} sends it an update without"
    " changes"
)
def when_peer_sends(context, revision, other):
    version = {"a newer version": VERSION + 1, "an older version": VERSION - 1}
    number = 2 if other == "another server" else 1
    update = Update(
        base_revision=None,
        revision=revision,
        servers=[make_server(number, revision=10)],
        zones=[ZoneState("z1", True, 15)] if other == "an evacuated zone" else [],
        routes=make_routes(version.get(other, VERSION)),
    )
    peer = Catalog()
    peer.apply(update, 0.0)
    message = encode_news(
        Update(
            base_revision=revision,
            revision=revision,
            fingerprint=peer.fingerprint(0.0),
            version=peer.version,
        ),
        age=0.0,
        position=0,
        previous_routes=None,
    )
    event = PeerMessageReceived("b", 1, PEER, message)
    context.host.peer_sync.handle(event, 100.0)


@then("it logs {count:d} differences")
def then_differences(context, count):
    names = [name for name, _ in context.host.journal.events]
    assert names.count("catalog_differs") == count, names
