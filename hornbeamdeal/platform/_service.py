"""The tasks of a running node, its pages, signals and settings."""

import os
import signal

import trio

from hornbeamdeal.dsr import Node
from hornbeamdeal.kernel import Endpoint
from hornbeamdeal.wire import serve_http

from ._pages import NodePages
from ._settings import NodeSettings, SettingsError, load_settings
from ._startup import ForwardingImporter

# The settings file may change without a signal.
SETTINGS_CHECK_SECONDS = 2.0
CATALOG_CHECK_SECONDS = 0.05
# A host that has no catalog by then asks its peers for one.
CATALOG_PATIENCE_SECONDS = 0.5


class SettingsFile:
    """Reads the settings anew when the file changes."""

    __slots__ = ("node", "path", "settings", "_modified")

    def __init__(self, path: str, settings: NodeSettings, node: Node):
        self.path = path
        self.settings = settings
        self.node = node
        self._modified = self._read_time()

    def reload(self) -> None:
        """Take the file's settings; keep the present ones where it is faulty."""
        self._modified = self._read_time()
        try:
            loaded = load_settings(self.path)
        except SettingsError as error:
            self.node.journal.event("settings_kept", problem=error)
            return
        changes = self.settings.differences(loaded)
        self.node.journal.event("settings_reloaded", changed=len(changes), **changes)
        self.settings = loaded

    async def watch(self) -> None:
        """Reload whenever the file's time of change differs."""
        while True:
            await trio.sleep(SETTINGS_CHECK_SECONDS)
            if self._read_time() != self._modified:
                self.reload()

    def _read_time(self) -> int | None:
        try:
            return os.stat(self.path).st_mtime_ns
        except OSError as error:
            self.node.journal.event("settings_unreadable", problem=error)
            return None


async def serve(
    path: str, settings: NodeSettings, node: Node, importer: ForwardingImporter
) -> None:
    """Run a node until SIGTERM, then stop it gracefully."""
    settings_file = SettingsFile(path, settings, node)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.run)
            nursery.start_soon(_serve_pages, settings, node)
            nursery.start_soon(_join_peers, settings, node, importer)
            nursery.start_soon(settings_file.watch)
            async for number in signals:
                if number == signal.SIGTERM:
                    break
                settings_file.reload()
            await node.stop(settings_file.settings.stop_seconds)
            nursery.cancel_scope.cancel()


async def _serve_pages(settings: NodeSettings, node: Node) -> None:
    pages = NodePages(node=node, host_id=settings.host_id, zone=settings.zone)
    metrics = Endpoint(settings.ip, settings.metrics_port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_http, settings.readiness_listen, pages.readiness)
        nursery.start_soon(serve_http, metrics, pages.operators)


async def _join_peers(
    settings: NodeSettings, node: Node, importer: ForwardingImporter
) -> None:
    """Load what peers need once callers are served, then talk to them."""
    with trio.move_on_after(CATALOG_PATIENCE_SECONDS):
        while not node.catalog.is_complete:
            await trio.sleep(CATALOG_CHECK_SECONDS)
    from ._assembly import make_peering

    peering = make_peering(settings, node)
    importer.remove()
    node.reader.peering = peering
    await peering.run()
