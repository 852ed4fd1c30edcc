"""The start of a node, while callers wait for it.

A host that lost power loses the requests that come before it forwards again.
So it binds its socket first, reads the catalog with a blocking client, and
forwards packets between the imports of what is needed later.
"""

import socket
import sys
import time

from hornbeamdeal.dsr import Forwarder, Journal, SourceError, forward_pending
from hornbeamdeal.kernel import Clock, Endpoint
from hornbeamdeal.wire import BlockingHttpClient, run_blocking

from ._store import StoreSource

# Packets wait at most about this long while modules are imported.
FORWARD_INTERVAL_SECONDS = 0.002


def load_catalog(store: Endpoint, forwarder: Forwarder, journal: Journal) -> None:
    """Read the catalog once; where it fails, the node's own reads go on."""
    client = BlockingHttpClient(endpoint=store)
    source = StoreSource(client=client, journal=journal)
    try:
        update = run_blocking(source.load(may_be_stale=True))
    except SourceError as error:
        journal.event("load_failed", reason=error.reason, detail=error)
        return
    finally:
        client.close()
    now = time.monotonic()
    forwarder.catalog.apply(update, now)
    forwarder.catalog.confirm(now)


class ForwardingImporter:
    """Import hook that forwards waiting packets; it finds no modules itself."""

    __slots__ = ("clock", "forwarder", "packet_socket", "_due")

    def __init__(
        self, packet_socket: socket.socket, forwarder: Forwarder, clock: Clock
    ):
        self.packet_socket = packet_socket
        self.forwarder = forwarder
        self.clock = clock
        self._due = 0.0

    def find_spec(self, fullname: str, path=None, target=None) -> None:
        """Forward what waits, then let the next finder look for the module."""
        now = self.clock.monotonic()
        if now >= self._due:
            forward_pending(self.packet_socket, self.forwarder, now)
            self._due = self.clock.monotonic() + FORWARD_INTERVAL_SECONDS

    def install(self) -> None:
        """Forward before each import from now on."""
        sys.meta_path.insert(0, self)

    def remove(self) -> None:
        """Leave imports alone again."""
        sys.meta_path.remove(self)
