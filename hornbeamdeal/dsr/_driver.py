"""The trio driver of one node: sockets and tasks around the decisions."""

import socket
import time
from typing import Any

import trio

from hornbeamdeal.kernel import Clock

from ._catalog import Catalog
from ._evidence import EvidenceBook
from ._forwarder import Forwarder
from ._packet_port import forward_waiting
from ._reading_duty import ReadingDuty
from ._records import RouteTable, Update
from ._source import Source, SourceError

TICK_SECONDS = 0.1
# A host that has not loaded the catalog asks again this soon.
LOAD_RETRY_SECONDS = 0.25
# A stopping host is out of rotation after two missed checks, two a second;
# it forwards until no packet has come for this long.
STOP_MINIMUM_SECONDS = 1.5
STOP_QUIET_SECONDS = 0.7
# Time kept of the grace period for the end of the process.
STOP_RESERVE_SECONDS = 1.0


class Node:
    """Runs one node: forwards packets, reads the store, talks to peers.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    duty : ReadingDuty
        Decides when to read the store.
    forwarder : Forwarder
        Decides on packets; holds the catalog and the evidence.
    journal : BufferedJournal
        Log lines and counts.
    packet_socket : socket.socket
        Bound socket of callers' packets.
    source : Source
        The store.
    peering : Peering or None
        Messages between hosts; set once it is loaded.
    """

    __slots__ = (
        "clock",
        "duty",
        "forwarder",
        "is_stopping_",
        "journal",
        "last_packet_at_",
        "packet_socket",
        "peering",
        "source",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        duty: ReadingDuty,
        forwarder: Forwarder,
        journal: Any,
        packet_socket: socket.socket,
        source: Source,
    ):
        self.clock = clock
        self.duty = duty
        self.forwarder = forwarder
        self.journal = journal
        self.packet_socket = packet_socket
        self.source = source
        self.peering: Any = None
        self.is_stopping_ = False
        self.last_packet_at_ = float("-inf")

    @property
    def catalog(self) -> Catalog:
        """Return the routes and servers in force."""
        return self.forwarder.catalog

    @property
    def evidence(self) -> EvidenceBook:
        """Return the evidence on servers."""
        return self.forwarder.evidence

    @property
    def is_ready_(self) -> bool:
        """Tell whether this host should get packets of new flows."""
        return self.catalog.is_complete and not self.is_stopping_

    async def run(self) -> None:
        """Forward until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._forward_forever)
            nursery.start_soon(self._read_forever)
            nursery.start_soon(self._tick_forever)

    async def stop(self, grace_seconds: float) -> None:
        """Fail readiness, then forward until the flows have moved."""
        self.is_stopping_ = True
        started = self.clock.monotonic()
        self.journal.event("stopping", flows=len(self.forwarder.flows.flows_by_key))
        if self.peering is not None:
            self.peering.leave()
        deadline = started + grace_seconds - STOP_RESERVE_SECONDS
        while (now := self.clock.monotonic()) < deadline:
            is_quiet = now - self.last_packet_at_ > STOP_QUIET_SECONDS
            if is_quiet and now - started > STOP_MINIMUM_SECONDS:
                break
            await trio.sleep(TICK_SECONDS)
        self.journal.event("stopped", seconds=round(now - started, 2))
        self.journal.flush()

    def note_changes(self, changes: list[tuple[str, Any]]) -> None:
        """Log what changed of servers, and drop evidence on those that left."""
        for change, server in changes:
            if change == "removed":
                self.evidence.forget(server.server_id)
            self.journal.event(
                f"server_{change}",
                server=server.server_id,
                service=server.service,
                address=":".join(map(str, server.address)),
                draining=server.is_draining,
                revision=server.revision,
                at_revision=self.catalog.revision,
            )

    async def _forward_forever(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self.packet_socket)
            self.last_packet_at_ = self.clock.monotonic()
            forward_waiting(self.packet_socket, self.forwarder, self.last_packet_at_)

    async def _tick_forever(self) -> None:
        while True:
            await trio.sleep(TICK_SECONDS)
            now = self.clock.monotonic()
            self.forwarder.tick(now)
            for server_id, change in self.evidence.take_changes():
                self.journal.event(change, server=server_id)
                self.journal.count("server_choice", change)
            self.journal.flush()

    async def _read_forever(self) -> None:
        await self._load_first()
        while True:
            now = self.clock.monotonic()
            delay = self.duty.delay(self.catalog.confirmed_at, now)
            if delay > 0:
                await trio.sleep(min(delay, TICK_SECONDS))
            else:
                await self._read()

    async def _load_first(self) -> None:
        while not self.catalog.is_complete:
            started = self.clock.monotonic()
            try:
                self._apply(await self.source.load(may_be_stale=True))
            except SourceError as error:
                self.journal.event("load_failed", reason=error.reason, detail=error)
                await trio.sleep(LOAD_RETRY_SECONDS)
            else:
                seconds = round(self.clock.monotonic() - started, 3)
                self._log_loaded(seconds, may_be_stale=True)
        # A stale copy counts as current until the usual age, so that all hosts
        # that start together leave the first fresh read to one of them.
        self.catalog.confirm(self.clock.monotonic())

    async def _read(self) -> None:
        was_reading = self.duty.is_reading
        try:
            if self.duty.is_reload_due(self.clock.monotonic()):
                await self._reload()
            else:
                await self._watch()
        except SourceError as error:
            self._note_failure(error, was_reading)
            return
        if not was_reading:
            self.journal.event("reading_started", position=self.duty.position)

    async def _watch(self) -> None:
        revision = self.catalog.revision
        update = await self.source.watch(revision, self.duty.watch_seconds)
        # Without events nothing was new when the watch was answered.
        self._take(update, self.clock.monotonic())

    async def _reload(self) -> None:
        started = self.clock.monotonic()
        update = await self.source.load(may_be_stale=False)
        now = self.clock.monotonic()
        self.duty.note_reload(now)
        self._take(update, started)
        self._log_loaded(round(now - started, 3), may_be_stale=False)

    def _note_failure(self, error: SourceError, was_reading: bool) -> None:
        now = self.clock.monotonic()
        self.duty.note_failure(now, error.reason)
        self.journal.event(
            "read_failed",
            reason=error.reason,
            detail=error,
            was_reading=was_reading,
            age_ms=round(1000 * self.catalog.age(now)),
        )

    def _take(self, update: Update, confirmed_at: float) -> None:
        previous = self.catalog.routes
        self._apply(update)
        self.catalog.confirm(confirmed_at)
        self.duty.note_answer(not update.is_empty, self.clock.monotonic())
        if self.peering is not None:
            self.peering.spread(update, previous)

    def _apply(self, update: Update) -> None:
        version = self._version()
        changes = self.catalog.apply(update, self.clock.monotonic())
        self.note_changes(changes)
        if self._version() != version:
            self.journal.event(
                "version_in_force",
                version=self._version(),
                previous=version,
                revision=update.revision,
                at=round(time.time(), 3),
            )

    def _version(self) -> int:
        routes: RouteTable | None = self.catalog.routes
        return routes.version if routes else 0

    def _log_loaded(self, seconds: float, may_be_stale: bool) -> None:
        self.journal.event(
            "catalog_loaded",
            seconds=seconds,
            stale=may_be_stale,
            revision=self.catalog.revision,
            version=self._version(),
            servers=len(self.catalog.servers_by_id),
        )
