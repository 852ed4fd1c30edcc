"""Reads the store when that is this host's duty, and keeps the catalog current."""

from typing import Any, Protocol

import trio

from hornbeamdeal.kernel import Clock

from ._base import Journal
from ._catalog import Catalog
from ._read_scheduler import ReadScheduler
from ._records import RouteTable, Update
from ._server_health import ServerHealth
from ._source import Source, SourceError

# Longest wait between two looks at whether a read is due.
CHECK_INTERVAL_SECONDS = 0.1
# A host that has not loaded the catalog asks again this soon.
LOAD_RETRY_SECONDS = 0.25


class Broadcaster(Protocol):
    """Passes answers of the store on to peers."""

    def broadcast(self, update: Update, previous: RouteTable | None) -> None:
        """Tell all peers of an answer of the store."""


class CatalogReader:
    """Applies what the store and peers tell, and reads where it is due.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    catalog : Catalog
        The routes and servers in force.
    read_scheduler : ReadingDuty
        Decides when to read.
    server_health : EvidenceBook
        Evidence on servers; dropped where a server is no longer listed.
    journal : Journal
        Log lines and counts.
    source : Source
        The store.

    Attributes
    ----------
    peering : Spreader or None
        Messages between hosts; None until they are loaded.
    """

    __slots__ = (
        "catalog",
        "clock",
        "read_scheduler",
        "server_health",
        "journal",
        "peering",
        "source",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        catalog: Catalog,
        read_scheduler: ReadScheduler,
        server_health: ServerHealth,
        journal: Journal,
        source: Source,
    ):
        self.clock = clock
        self.catalog = catalog
        self.read_scheduler = read_scheduler
        self.server_health = server_health
        self.journal = journal
        self.source = source
        self.peering: Broadcaster | None = None

    def handle_server_changes(self, changes: list[tuple[str, Any]]) -> None:
        """Log what changed of servers, and settle the evidence on those that left.

        A server that both its callers and the store have lost is gone for certain.
        """
        now = self.clock.monotonic()
        for change, server in changes:
            if change == "removed":
                if self.server_health.died_recently(server.server_id, now):
                    self.catalog.mark_dead(server.server_id)
                self.server_health.discard(server.server_id)
            self.journal.event(
                f"server_{change}",
                server=server.server_id,
                service=server.service,
                address=":".join(map(str, server.address)),
                draining=server.is_draining,
                revision=server.revision,
                at_revision=self.catalog.revision,
            )

    async def run(self) -> None:
        """Load the catalog, then read whenever that is due."""
        await self._load_first()
        while True:
            now = self.clock.monotonic()
            delay = self.read_scheduler.next_read_delay(self.catalog.confirmed_at, now)
            if delay > 0:
                await trio.sleep(min(delay, CHECK_INTERVAL_SECONDS))
            else:
                await self._read()

    async def _load_first(self) -> None:
        """Read the catalog, unless the start or a peer has brought it already."""
        while not self.catalog.is_complete:
            started = self.clock.monotonic()
            try:
                update = await self.source.load(may_be_stale=True)
            except SourceError as error:
                self.journal.event("load_failed", reason=error.reason, detail=error)
                await trio.sleep(LOAD_RETRY_SECONDS)
                continue
            self._apply(update)
            # A stale copy counts as current until the usual age, so that all
            # hosts that start together leave the first fresh read to one of them.
            now = self.clock.monotonic()
            self.catalog.confirm(now)
            self._log_loaded(round(now - started, 3), may_be_stale=True)

    async def _read(self) -> None:
        was_reading = self.read_scheduler.is_reading
        self.read_scheduler.record_read_start()
        try:
            if self.read_scheduler.is_reload_due(self.clock.monotonic()):
                await self._reload()
            else:
                await self._watch()
        except SourceError as error:
            self._record_failure(error, was_reading)
            return
        if self.read_scheduler.is_reading and not was_reading:
            self.journal.event("reading_started", position=self.read_scheduler.position)

    async def _watch(self) -> None:
        revision = self.catalog.revision
        update = await self.source.watch(revision, self.read_scheduler.watch_timeout)
        # Without events nothing was new when the watch was answered.
        self._apply_answer(update, self.clock.monotonic())

    async def _reload(self) -> None:
        started = self.clock.monotonic()
        update = await self.source.load(may_be_stale=False)
        now = self.clock.monotonic()
        self.read_scheduler.record_reload(now)
        self._apply_answer(update, started)
        self._log_loaded(round(now - started, 3), may_be_stale=False)

    def _record_failure(self, error: SourceError, was_reading: bool) -> None:
        now = self.clock.monotonic()
        self.read_scheduler.record_failure(now, error.reason)
        self.journal.event(
            "read_failed",
            reason=error.reason,
            detail=error,
            was_reading=was_reading,
            age_ms=round(1000 * self.catalog.age(now)),
        )

    def _apply_answer(self, update: Update, confirmed_at: float) -> None:
        base, previous = self.catalog.revision, self.catalog.routes
        changes = self._apply(update)
        self.catalog.confirm(confirmed_at)
        news = self._new_changes(base, previous, changes)
        self.read_scheduler.record_answer(not news.is_empty, self.clock.monotonic())
        if self.peering is not None:
            self.peering.broadcast(news, previous)

    def _new_changes(
        self, base: int, previous: RouteTable | None, changes: list[tuple[str, Any]]
    ) -> Update:
        """Return what was new here: peers need no more, even after a full read."""
        routes = self.catalog.routes
        return Update(
            base_revision=base,
            revision=self.catalog.revision,
            servers=[server for change, server in changes if change == "listed"],
            removed={
                server.server_id: self.catalog.removals_by_id[server.server_id].revision
                for change, server in changes
                if change == "removed"
            },
            routes=routes if routes is not previous else None,
        )

    def _apply(self, update: Update) -> list[tuple[str, Any]]:
        version = self._version_number()
        changes = self.catalog.apply(update, self.clock.monotonic())
        self.handle_server_changes(changes)
        if self._version_number() != version:
            self.journal.event(
                "version_in_force",
                version=self._version_number(),
                previous=version,
                revision=update.revision,
            )
        return changes

    def _version_number(self) -> int:
        routes: RouteTable | None = self.catalog.routes
        return routes.version if routes else 0

    def _log_loaded(self, seconds: float, may_be_stale: bool) -> None:
        self.journal.event(
            "catalog_loaded",
            seconds=seconds,
            stale=may_be_stale,
            revision=self.catalog.revision,
            version=self._version_number(),
            servers=len(self.catalog.servers_by_id),
        )
