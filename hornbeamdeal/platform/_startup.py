"""Fast start of a node.

Requests that arrive after a power loss of the host and before it forwards again are
lost. So a node binds its socket first, reads the catalog with a blocking client, and
forwards packets between the imports of modules that it needs later.
"""

import socket
import sys
import time
from collections.abc import Callable

from hornbeamdeal.dsr import (
    Forwarder,
    Journal,
    SourceError,
    forward_pending,
    log_changed_zones,
    log_loaded,
    log_unexpected_error,
)
from hornbeamdeal.kernel import Clock, Endpoint
from hornbeamdeal.wire import BlockingHttpClient, run_blocking

from ._settings import NodeSettings
from ._store import StoreSource

# Approximate maximum delay of packets while modules are imported.
FORWARD_INTERVAL_SECONDS = 0.002
# Share of the time limits for changes after which a start that still goes on reads the
# catalog again. The first read may be seconds old, and no peer can be heard yet.
RELOAD_SHARE = 0.4
# A read of the start that takes longer is left to the event loop, where packets are
# forwarded meanwhile and peers can send the catalog.
START_READ_SECONDS = 2.0
# Failures of a store that answers but does not serve a consistent read now.
_OVERLOAD_REASONS = ("throttled", "unavailable")


def reload_interval(settings: NodeSettings) -> float:
    """Return the seconds between two reads of the catalog during a long start."""
    return RELOAD_SHARE * settings.freshness_seconds


def load_first_catalog(load: Callable[[bool], str], is_first_start: bool) -> None:
    """Read the catalog at the start; `load` returns why a read failed.

    When the whole fleet starts for the first time, all hosts make stale reads, which
    cost the store less. Later a stale copy could hold a server that has left or a
    route that was withdrawn.
    """
    reason = load(is_first_start)
    if reason in _OVERLOAD_REASONS and not is_first_start:
        load(True)


def load_catalog(
    store: Endpoint, forwarder: Forwarder, journal: Journal, may_be_stale: bool
) -> str:
    """Read the catalog once; return why that failed, empty if it did not.

    The node's reader retries later. A stale copy counts as current, so that of the
    hosts that start together only one makes the first consistent read.
    """
    started = time.monotonic()
    client = BlockingHttpClient(endpoint=store)
    source = StoreSource(client=client, journal=journal)

    async def check_time() -> None:
        if time.monotonic() - started > START_READ_SECONDS:
            text = f"no full read within {START_READ_SECONDS} s"
            raise SourceError("superseded", text)

    try:
        load = source.load(may_be_stale=may_be_stale, after_page=check_time)
        update = run_blocking(load)
    except SourceError as error:
        journal.event("load_failed", reason=error.reason, detail=error)
        return error.reason
    except Exception as error:
        # An answer that no check foresaw must not end the start, as the next one would
        # end in the same way; peers may have the catalog.
        log_unexpected_error(journal, error)
        return "unexpected"
    finally:
        client.close()
    now = time.monotonic()
    forwarder.catalog.apply(update, now)
    log_changed_zones(forwarder.catalog, journal, now)
    forwarder.catalog.confirm(now if may_be_stale else started)
    seconds = round(now - started, 3)
    log_loaded(forwarder.catalog, journal, update, seconds, may_be_stale)
    return ""


class ForwardingImportHook:
    """Import hook that forwards queued packets and leaves imports to other finders.

    Parameters
    ----------
    packet_socket : socket.socket
        Receives callers' packets.
    forwarder : Forwarder
        Forwards them.
    clock : Clock
        Source of monotonic time.
    reload_catalog : callable
        Reads a consistent copy of the catalog.
    reload_interval : float
        Seconds after which a start that still goes on does so, until the event loop
        runs, where a read must not block.
    """

    __slots__ = (
        "clock",
        "forwarder",
        "packet_socket",
        "reload_catalog",
        "reload_interval",
        "_next_forward_at",
        "_next_reload_at",
    )

    def __init__(
        self,
        packet_socket: socket.socket,
        forwarder: Forwarder,
        clock: Clock,
        *,
        reload_catalog: Callable[[], object],
        reload_interval: float,
    ):
        self.packet_socket = packet_socket
        self.forwarder = forwarder
        self.clock = clock
        self.reload_catalog = reload_catalog
        self.reload_interval = reload_interval
        self._next_forward_at = 0.0
        self._next_reload_at = clock.monotonic() + reload_interval

    def find_spec(self, fullname: str, path=None, target=None) -> None:
        """Forward queued packets if due; leave the search to the next finder."""
        now = self.clock.monotonic()
        if now >= self._next_forward_at:
            forward_pending(self.packet_socket, self.forwarder, now)
            self._next_forward_at = self.clock.monotonic() + FORWARD_INTERVAL_SECONDS
        if now >= self._next_reload_at:
            # Set first, since the read may import modules.
            self._next_reload_at = now + self.reload_interval
            self.reload_catalog()

    def stop_reloading(self) -> None:
        """Leave reads of the store to the node's reader from now on."""
        self._next_reload_at = float("inf")

    def install(self) -> None:
        """Install the hook before all other finders."""
        sys.meta_path.insert(0, self)

    def remove(self) -> None:
        """Uninstall the hook."""
        sys.meta_path.remove(self)
