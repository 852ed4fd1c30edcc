"""Entry point of a node on the platform."""

import os
import signal
import sys

from hornbeamdeal.dsr import open_packet_socket
from hornbeamdeal.kernel import Endpoint, SystemClock
from hornbeamdeal.observability import BufferedJournal

from ._settings import SETTINGS_VARIABLE, NodeSettings, load_settings

EXIT_SETTINGS = 2
# The settings file may change without a signal.
SETTINGS_CHECK_SECONDS = 2.0


async def _serve(settings: NodeSettings, node, importer) -> None:
    import trio

    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.run)
            nursery.start_soon(_serve_pages, settings, node)
            nursery.start_soon(_join_peers, settings, node, importer)
            async for number in signals:
                if number == signal.SIGTERM:
                    break
                settings = _reload(settings, node)
            await node.stop(settings.stop_seconds)
            nursery.cancel_scope.cancel()


async def _serve_pages(settings: NodeSettings, node) -> None:
    import trio

    from hornbeamdeal.wire import serve_http

    from ._pages import NodePages

    pages = NodePages(node=node, host_id=settings.host_id, zone=settings.zone)
    metrics = Endpoint(settings.ip, settings.metrics_port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_http, settings.readiness_listen, pages.readiness)
        nursery.start_soon(serve_http, metrics, pages.operators)


async def _join_peers(settings: NodeSettings, node, importer) -> None:
    """Load what peers need once callers are served, then talk to them."""
    import trio

    while not node.catalog.is_complete:
        await trio.sleep(0.05)
    from ._assembly import make_peering

    node.peering = make_peering(settings, node)
    importer.remove()
    await node.peering.run()


def _reload(settings: NodeSettings, node) -> NodeSettings:
    loaded = load_settings(os.environ.get(SETTINGS_VARIABLE))
    if loaded.is_err():
        node.journal.event("settings_kept", problem=loaded.err_value)
        return settings
    changes = settings.differences(loaded.ok_value)
    node.journal.event("settings_reloaded", **changes)
    return loaded.ok_value


def main() -> None:
    """Run one node until it is told to stop."""
    loaded = load_settings(os.environ.get(SETTINGS_VARIABLE))
    if loaded.is_err():
        print(f"hornbeamdeal: {loaded.err_value}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    settings = loaded.ok_value
    packet_socket = open_packet_socket(settings.packet_listen)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    os.set_blocking(sys.stdout.fileno(), False)
    clock = SystemClock()
    journal = BufferedJournal(host_id=settings.host_id, clock=clock)
    journal.event("starting", zone=settings.zone, store=settings.store)
    _start(settings, packet_socket, clock, journal)


def _start(settings, packet_socket, clock, journal) -> None:
    from ._assembly import make_forwarder, make_node
    from ._startup import ForwardingImporter, load_catalog

    forwarder = make_forwarder(settings, packet_socket, journal)
    load_catalog(settings.store, forwarder, journal)
    importer = ForwardingImporter(packet_socket, forwarder, clock)
    importer.install()
    import trio

    node = make_node(settings, packet_socket, forwarder, clock, journal)
    trio.run(_serve, settings, node, importer)
