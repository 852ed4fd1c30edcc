"""Tasks of a running node: packets, pages, peers, signals and settings."""

import os
import signal
from functools import partial

import trio

from hornbeamdeal.dsr import Node, log_unexpected_error
from hornbeamdeal.kernel import Endpoint
from hornbeamdeal.wire import serve_http

from ._pages import NodePages
from ._settings import NodeSettings, SettingsError, load_settings
from ._settings_changes import apply_settings
from ._startup import ForwardingImportHook

# The settings file may change without a SIGHUP.
SETTINGS_POLL_SECONDS = 2.0
CATALOG_POLL_SECONDS = 0.05
# Peering starts no later than this, so that a host without an answer of the store
# gets the catalog from its peers.
CATALOG_WAIT_SECONDS = 0.5


class SettingsFile:
    """Reloads the settings when their file changes."""

    __slots__ = ("node", "path", "settings", "_modified_at")

    def __init__(self, path: str, settings: NodeSettings, node: Node):
        self.path = path
        self.settings = settings
        self.node = node
        self._modified_at = self._read_modification_time()

    def reload(self) -> None:
        """Load the settings file and apply it; keep the settings if it is invalid."""
        self._modified_at = self._read_modification_time()
        try:
            loaded = load_settings(self.path)
        except SettingsError as error:
            self.node.journal.event("settings_kept", problem=error)
            return
        changes = self.settings.differences(loaded)
        self.node.journal.event("settings_reloaded", changed=len(changes), **changes)
        apply_settings(self.node, self.settings, loaded)
        self.settings = loaded

    async def watch(self) -> None:
        """Reload whenever the file's modification time differs, until cancelled."""
        while True:
            await trio.sleep(SETTINGS_POLL_SECONDS)
            if self._read_modification_time() != self._modified_at:
                self.reload()

    def _read_modification_time(self) -> int | None:
        try:
            return os.stat(self.path).st_mtime_ns
        except OSError as error:
            self.node.journal.event("settings_unreadable", problem=error)
            return None


async def serve(
    path: str, settings: NodeSettings, node: Node, import_hook: ForwardingImportHook
) -> None:
    """Run a node until SIGTERM, then stop it gracefully."""
    import_hook.stop_reloading()
    settings_file = SettingsFile(path, settings, node)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.run)
            nursery.start_soon(_serve_pages, settings, node)
            nursery.start_soon(_join_peers, settings, node, import_hook)
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
    record_error = partial(log_unexpected_error, node.journal)
    async with trio.open_nursery() as nursery:
        for listen, answer in (
            (settings.readiness_listen, pages.answer_readiness),
            (metrics, pages.answer_operators),
        ):
            nursery.start_soon(serve_http, listen, answer, record_error)


async def _join_peers(
    settings: NodeSettings, node: Node, import_hook: ForwardingImportHook
) -> None:
    """Import and start the peering once the catalog is complete or the wait is over."""
    with trio.move_on_after(CATALOG_WAIT_SECONDS):
        while not node.catalog.is_complete:
            await trio.sleep(CATALOG_POLL_SECONDS)
    from ._assembly import make_peering

    peering = make_peering(settings, node)
    import_hook.remove()
    node.reader.peering = peering
    await peering.run()
