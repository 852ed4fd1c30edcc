"""Entry point of a node on the platform."""

# Only the modules that opening the socket needs are imported here. Others are imported
# where they are used, while packets are already queued or forwarded.
import os
import signal
import socket
import sys
from functools import partial

from hornbeamdeal.dsr import open_packet_socket

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3


def main(packet_address: str) -> None:
    """Run one node until SIGTERM.

    `packet_address` is the `ip:port` at which callers' packets arrive.
    """
    # SIGHUP ends a process without a handler. Until the settings are loaded, there is
    # nothing to reload.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    ip, _, port = packet_address.rpartition(":")
    try:
        packet_socket = open_packet_socket(ip, int(port))
    except (OSError, ValueError, OverflowError) as error:
        text = f"can't listen at {packet_address!r} ({error}); give a free ip:port"
        print(f"hornbeamdeal: {text}", file=sys.stderr)
        sys.exit(EXIT_ADDRESS)
    _start(packet_socket)


def _start(packet_socket: socket.socket) -> None:
    from hornbeamdeal.kernel import SystemClock
    from hornbeamdeal.observability import BufferedJournal

    from ._assembly import make_forwarder, make_node
    from ._settings import SETTINGS_VARIABLE, SettingsError, load_settings
    from ._startup import (
        ForwardingImportHook,
        load_catalog,
        load_first_catalog,
        reload_interval,
    )

    path = os.environ.get(SETTINGS_VARIABLE)
    try:
        settings = load_settings(path)
    except SettingsError as error:
        print(f"hornbeamdeal: {error}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    os.set_blocking(sys.stdout.fileno(), False)
    clock = SystemClock()
    journal = BufferedJournal(host_id=settings.host_id, clock=clock)
    journal.event("starting", zone=settings.zone, store=settings.store)
    forwarder = make_forwarder(settings, packet_socket, journal)
    load = partial(load_catalog, settings.store, forwarder, journal)
    load_first_catalog(load, settings.is_first_start)
    import_hook = ForwardingImportHook(
        packet_socket,
        forwarder,
        clock,
        reload_catalog=partial(load, False),
        reload_interval=reload_interval(settings),
    )
    import_hook.install()
    import trio

    from ._service import serve

    node = make_node(settings, packet_socket, forwarder, clock, journal)
    trio.run(serve, path, settings, node, import_hook)
