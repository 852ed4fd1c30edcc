"""The trio tasks of one node."""

import socket
from typing import Any

import trio

from hornbeamdeal.kernel import Clock

from ._catalog import Catalog
from ._catalog_reader import CatalogReader
from ._environment import EnvironmentCheck
from ._forwarder import Forwarder
from ._packet_io import call_guarded, forward_pending
from ._read_scheduler import ReadScheduler
from ._server_health import ServerHealth
from ._zone_reach import ZoneReach

TICK_SECONDS = 0.1
# Routers check readiness twice a second and drop a host after two failed checks.
# A stopping host then forwards until no packet has arrived for the quiet time.
STOP_MINIMUM_SECONDS = 1.5
STOP_QUIET_SECONDS = 0.7
# Part of the grace period that is reserved for the process to exit.
STOP_RESERVE_SECONDS = 1.0


class Node:
    """Runs one node: forwards packets and reads the store.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    environment : EnvironmentCheck
        Recognizes the hosts of this one's environment.
    forwarder : Forwarder
        Forwards packets; holds the catalog and the health of servers.
    journal : BufferedJournal
        Receives log events and metrics.
    packet_socket : socket.socket
        Bound UDP socket that receives callers' packets.
    reader : CatalogReader
        Keeps the catalog current.
    zone_reach : ZoneReach
        Decides whether this host reaches servers.
    """

    __slots__ = (
        "clock",
        "environment",
        "forwarder",
        "is_stopping_",
        "journal",
        "last_packet_at_",
        "packet_socket",
        "reader",
        "zone_reach",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        environment: EnvironmentCheck,
        forwarder: Forwarder,
        journal: Any,
        packet_socket: socket.socket,
        reader: CatalogReader,
        zone_reach: ZoneReach,
    ):
        self.clock = clock
        self.environment = environment
        self.forwarder = forwarder
        self.journal = journal
        self.packet_socket = packet_socket
        self.reader = reader
        self.zone_reach = zone_reach
        self.is_stopping_ = False
        self.last_packet_at_ = float("-inf")

    @property
    def catalog(self) -> Catalog:
        """Return the routes and servers in force."""
        return self.forwarder.catalog

    @property
    def read_scheduler(self) -> ReadScheduler:
        """Return the schedule of this host's reads of the store."""
        return self.reader.read_scheduler

    @property
    def server_health(self) -> ServerHealth:
        """Return the health of the servers."""
        return self.forwarder.server_health

    @property
    def is_ready_(self) -> bool:
        """Return whether routers should send packets of new flows to this host."""
        may_serve = self.catalog.is_complete and not self.zone_reach.is_withdrawn_
        return may_serve and not self.is_stopping_

    async def run(self) -> None:
        """Run all tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._forward_forever)
            nursery.start_soon(self.reader.run)
            nursery.start_soon(self._tick_forever)

    async def stop(self, grace_seconds: float) -> None:
        """Fail readiness, then forward until routers have moved the flows.

        Return after `grace_seconds` at the latest, less a reserve.
        """
        self.is_stopping_ = True
        started = self.clock.monotonic()
        self.journal.event("stopping", flows=len(self.forwarder.flows.flows_by_key))
        if self.reader.peering is not None:
            self.reader.peering.leave()
        deadline = started + grace_seconds - STOP_RESERVE_SECONDS
        while (now := self.clock.monotonic()) < deadline:
            is_quiet = now - self.last_packet_at_ > STOP_QUIET_SECONDS
            if is_quiet and now - started > STOP_MINIMUM_SECONDS:
                break
            await trio.sleep(TICK_SECONDS)
        self.journal.event("stopped", seconds=round(now - started, 2))
        self.journal.flush()

    async def _forward_forever(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self.packet_socket)
            self.last_packet_at_ = self.clock.monotonic()
            forward_pending(self.packet_socket, self.forwarder, self.last_packet_at_)

    async def _tick_forever(self) -> None:
        while True:
            await trio.sleep(TICK_SECONDS)
            call_guarded(self.journal, self._tick)
            self.journal.flush()

    def _tick(self) -> None:
        now = self.clock.monotonic()
        self.forwarder.arrivals.start_turn(now)
        self.reader.expire()
        self.forwarder.tick(now)
        self.zone_reach.update(now)
        for server_id, change, reason in self.server_health.pop_changes():
            self.journal.event(change, server=server_id, **reason)
            self.journal.count("server_choice", change)
