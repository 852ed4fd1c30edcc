"""Steps for the settings of a node and their changes."""

import copy
import tempfile
import tracemalloc

import trio
from behave import given, then, when
from fakes.dsr_host import Host
from fakes.platform_settings import SETTINGS
from fakes.platform_store import PlatformStore, config_entry, server_entry

from hornbeamdeal.dsr import (
    CatalogReader,
    EnvironmentCheck,
    Node,
    ReadScheduler,
    SourceError,
    ZoneReach,
)
from hornbeamdeal.kernel import Endpoint, SystemClock
from hornbeamdeal.platform._settings import (
    SettingsError,
    decode_settings,
    load_settings,
)
from hornbeamdeal.platform._settings_changes import apply_settings
from hornbeamdeal.platform._store import StoreSource
from hornbeamdeal.wire import HttpClient

STORE_PORT = 8169
OLD_STORE, NEW_STORE = (
    Endpoint("127.0.7.2", STORE_PORT),
    Endpoint("127.0.7.3", STORE_PORT),
)


@when("the platform's settings have {fault}")
def when_settings(context, fault):
    fields = copy.deepcopy(SETTINGS)
    match fault:
        case "no listen addresses":
            del fields["listen"]
        case "no store":
            fields["platform"] = None
        case "text as a time limit":
            fields["bounds"]["drain_ms"] = "3000"
        case "no ports between hosts":
            fields["internal_ports"] = []
        case "an unknown field":
            fields["unknown"] = {"field": "value"}
        case "a seed that is not an address":
            fields["seeds"].append("not-an-address")
    context.settings, context.error = None, ""
    try:
        context.settings = decode_settings(fields)
    except SettingsError as error:
        context.error = str(error)


@then("the error names {field}")
def then_error(context, field):
    assert field in context.error, context.error


@then("the platform's settings are accepted")
def then_settings_accepted(context):
    assert context.settings is not None, context.error


@then("the other seeds are kept")
def then_seeds(context):
    assert context.settings.seed_ips == ("10.1.0.10", "10.2.0.40")


def store_with_version(version):
    store = PlatformStore()
    store.put("op/config", config_entry(version, [("198.18.0.1", 443, "reservas")]))
    store.put("servers/i-0000000001", server_entry("reservas", "10.0.0.1:8000"))
    return store


def decoded_settings(**changes):
    fields = copy.deepcopy(SETTINGS)
    fields["platform"]["address"] = str(OLD_STORE)
    for name, value in changes.items():
        parent, _, field = name.rpartition("__")
        (fields[parent] if parent else fields)[field] = value
    return decode_settings(fields)


@given("a node that reads a store with configuration version {version:d}")
def given_reading_node(context, version):
    host = Host(SystemClock())
    context.old_store = store_with_version(version)
    context.old_settings = decoded_settings()
    client = HttpClient(endpoint=OLD_STORE, connect_timeout=1.0)
    reader = CatalogReader(
        clock=host.clock,
        catalog=host.catalog,
        read_scheduler=ReadScheduler(
            freshness=context.old_settings.freshness_seconds, random_state=1
        ),
        server_health=host.server_health,
        journal=host.journal,
        source=StoreSource(client=client, journal=host.journal),
    )
    context.node = Node(
        clock=host.clock,
        environment=EnvironmentCheck(context.old_settings.environment),
        forwarder=host.forwarder,
        journal=host.journal,
        packet_socket=None,
        reader=reader,
        zone_reach=ZoneReach(
            catalog=host.catalog,
            server_health=host.server_health,
            journal=host.journal,
        ),
    )


def run_with_stores(context, new_store, script):
    """Run a script while both stores serve and the node reads."""

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.old_store.run, OLD_STORE)
            nursery.start_soon(new_store.run, NEW_STORE)
            await trio.sleep(0.05)
            await script(nursery)
            nursery.cancel_scope.cancel()

    trio.run(main)


@when("the settings name the address of a store with configuration version {version:d}")
def when_store_moves(context, version):
    async def script(nursery):
        nursery.start_soon(context.node.reader.run)
        await trio.sleep(0.5)
        assert context.node.catalog.routes.version == 4
        new = decoded_settings(platform__address=str(NEW_STORE))
        apply_settings(context.node, context.old_settings, new)
        context.calls_before = len(context.old_store.paths)
        await trio.sleep(2.0)

    run_with_stores(context, store_with_version(version), script)


@then("the node has version {version:d} within 2 s")
def then_has_version(context, version):
    assert context.node.catalog.routes.version == version


@then("the old address gets no further calls")
def then_no_further_calls(context):
    assert len(context.old_store.paths) == context.calls_before


@when("the old address answers a read only after the settings have changed")
def when_late_answer(context):
    source = context.node.reader.source
    context.old_store.delay = 0.3
    context.results = []

    async def load():
        try:
            context.results.append(await source.load(False))
        except SourceError as error:
            context.results.append(error)

    async def script(nursery):
        nursery.start_soon(load)
        await trio.sleep(0.1)
        new = decoded_settings(platform__address=str(NEW_STORE))
        apply_settings(context.node, context.old_settings, new)
        await trio.sleep(0.5)
        await load()

    run_with_stores(context, store_with_version(6), script)


@then("the read fails and the next one asks the new address")
def then_read_fails(context):
    error, update = context.results
    assert error.reason == "lost"
    assert update.routes.version == 6


@when("the settings have another zone, another port and another time limit of drains")
def when_settings_change(context):
    new = decoded_settings(
        zone="aqp-cayma", internal_ports=[7721, 7735], bounds__drain_ms=1500
    )
    apply_settings(context.node, context.old_settings, new)


@then("the log names the settings that need a restart")
def then_restart_logged(context):
    event = ("settings_need_restart", {"changed": "peer_port,zone"})
    assert event in context.node.journal.events


@then("the time limit of drains is in force")
def then_drain_limit(context):
    assert context.node.read_scheduler.freshness == 1.5


@when("the settings name another address of the store")
def when_address_changes(context):
    new = decoded_settings(platform__address=str(NEW_STORE))
    apply_settings(context.node, context.old_settings, new)


@then("the node tells its peers the new address, then the former one")
def then_both_names(context):
    names = context.node.environment.names(context.node.clock.monotonic())
    assert names == [str(NEW_STORE), str(OLD_STORE)]


@when("the settings are read with the environment {name}")
def when_environment(context, name):
    context.settings = decode_settings(SETTINGS, "" if name == "unnamed" else name)


@then("the node's environment is {name}")
def then_environment(context, name):
    assert context.settings.environment == name


@when("a settings file of {size:d} bytes is loaded")
def when_large_file(context, size):
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write('{"node_name": "a", "x": [' + "0," * (size // 2) + "0]}")
        file.flush()
        context.path = file.name
        tracemalloc.start()
        try:
            load_settings(file.name)
        except SettingsError as error:
            context.error = error
        _, context.peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()


@then("it is refused with its path and at most {size:d} MiB were taken")
def then_refused(context, size):
    assert context.path in str(context.error), context.error
    assert context.peak_bytes <= size * 1024 * 1024, context.peak_bytes
