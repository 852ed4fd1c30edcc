"""Fast start of a node.

Requests that arrive after a power loss of the host and before it forwards again are
lost. So a node binds its socket first, reads the catalog with a blocking client, and
forwards packets between the imports of modules that it needs later.
"""

import socket
import sys
import time

from hornbeamdeal.dsr import Forwarder, Journal, SourceError, forward_pending
from hornbeamdeal.kernel import Clock, Endpoint
from hornbeamdeal.wire import BlockingHttpClient, run_blocking

from ._store import StoreSource

# Approximate maximum delay of packets while modules are imported.
FORWARD_INTERVAL_SECONDS = 0.002


def load_catalog(store: Endpoint, forwarder: Forwarder, journal: Journal) -> None:
    """Read the catalog once; log a failure, after which the node's reader retries."""
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


class ForwardingImportHook:
    """Import hook that forwards queued packets and leaves imports to other finders."""

    __slots__ = ("clock", "forwarder", "packet_socket", "_next_forward_at")

    def __init__(
        self, packet_socket: socket.socket, forwarder: Forwarder, clock: Clock
    ):
        self.packet_socket = packet_socket
        self.forwarder = forwarder
        self.clock = clock
        self._next_forward_at = 0.0

    def find_spec(self, fullname: str, path=None, target=None) -> None:
        """Forward queued packets if due; leave the search to the next finder."""
        now = self.clock.monotonic()
        if now >= self._next_forward_at:
            forward_pending(self.packet_socket, self.forwarder, now)
            self._next_forward_at = self.clock.monotonic() + FORWARD_INTERVAL_SECONDS

    def install(self) -> None:
        """Install the hook before all other finders."""
        sys.meta_path.insert(0, self)

    def remove(self) -> None:
        """Uninstall the hook."""
        sys.meta_path.remove(self)
