"""Reads the store when the schedule requires it and applies the answers."""

from enum import Enum
from typing import Any, Protocol

import trio

from hornbeamdeal.kernel import Clock

from ._base import Journal
from ._catalog import Catalog
from ._catalog_log import log_changed_zones, log_loaded
from ._packet_io import log_unexpected_error
from ._read_scheduler import ReadScheduler
from ._records import RouteTable, Server, Update, ZoneState
from ._server_health import ServerHealth
from ._server_speeds import ServerSpeeds
from ._source import Source, SourceError

# Upper bound between two checks whether a read is due.
CHECK_INTERVAL_SECONDS = 0.1
# Age of the catalog at which the store is watched between two pages of a full read. With
# large entries of other writers, a read may take many seconds.
PAGE_WATCH_AGE_SECONDS = 0.25
# Interval of reads of the configuration alone, if a watch would have too many changes.
CONFIGURATION_WATCH_SECONDS = 0.7
# Delay between attempts to load the first catalog.
LOAD_RETRY_SECONDS = 0.25
# Kinds of changes after which a server's entry differs from the one before.
_ENTRY_CHANGES = ("listed", "unconfirmed")


class PageWatch(Enum):
    """What a full read that takes long watches between its pages."""

    EVERYTHING = "everything"
    CONFIGURATION = "configuration"
    NOTHING = "nothing"


class ReadBase:
    """State of the catalog to which an answer of the store was applied."""

    __slots__ = ("epoch", "is_exact", "revision", "routes")

    def __init__(self, catalog: Catalog):
        self.epoch = catalog.epoch
        self.revision = catalog.revision
        self.is_exact = catalog.is_exact
        self.routes = catalog.routes

    def precedes(self, epoch: int, revision: int) -> bool:
        """Return whether a revision of the same epoch is later than the base."""
        return epoch == self.epoch and revision > self.revision


class Broadcaster(Protocol):
    """Forwards the store's answers to peers."""

    def broadcast(self, update: Update, previous: RouteTable | None) -> None:
        """Send an answer of the store to all peers."""


class CatalogReader:
    """Reads the store when a read is due and applies the answers to the catalog.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    catalog : Catalog
        The routes and servers in force.
    read_scheduler : ReadScheduler
        Schedules the reads.
    server_health : ServerHealth
        Health of the servers; discarded when a server's entry is removed.
    journal : Journal
        Receives log events and metrics.
    source : Source
        The store.
    server_speeds : ServerSpeeds or None
        Speeds of the servers; discarded when a server leaves or starts again.

    Attributes
    ----------
    peering : Broadcaster or None
        Sends answers to peers; None until its modules are loaded.
    """

    __slots__ = (
        "catalog",
        "clock",
        "read_scheduler",
        "server_health",
        "journal",
        "peering",
        "server_speeds",
        "source",
        "_configuration_watch_due",
        "_page_watch",
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
        server_speeds: ServerSpeeds | None = None,
    ):
        self.clock = clock
        self.catalog = catalog
        self.read_scheduler = read_scheduler
        self.server_health = server_health
        self.journal = journal
        self.source = source
        self.server_speeds = server_speeds
        self.peering: Broadcaster | None = None
        self._configuration_watch_due = float("-inf")
        self._page_watch = PageWatch.EVERYTHING

    def handle_server_changes(self, changes: list[tuple[str, Any]]) -> None:
        """Log changes of servers and discard what was known of removed ones.

        A removed server that was found dead recently is marked as dead, so that
        its flows are reset without waiting for it to register again.
        """
        now = self.clock.monotonic()
        log_changed_zones(self.catalog, self.journal, now)
        if self.server_speeds is not None:
            self.server_speeds.handle_server_changes(changes)
        for change, server in changes:
            if change == "removed":
                if self.server_health.died_recently(server.server_id, now):
                    self.catalog.mark_dead(server.server_id)
                self.server_health.discard(server.server_id)
            if change == "listed":
                self._log_handle_collision(server)
            self.journal.event(
                f"server_{change}",
                server=server.server_id,
                service=server.service,
                address=":".join(map(str, server.address)),
                draining=server.is_draining,
                revision=server.revision,
                at_revision=self.catalog.revision,
                epoch=self.catalog.epoch,
            )

    def _log_handle_collision(self, server: Server) -> None:
        holder = self.catalog.handles.holder_of_first_choice(server)
        if holder is not None and holder.server_id != server.server_id:
            self.journal.count("handle_collisions")
            self.journal.event(
                "handle_collision",
                server=server.server_id,
                holder=holder.server_id,
                has_other=self.catalog.handles.handle_of(server) is not None,
            )

    def expire(self) -> None:
        """Remove or release provisional servers whose time is over."""
        self.handle_server_changes(self.catalog.expire(self.clock.monotonic()))

    async def run(self) -> None:
        """Load the catalog, then read the store whenever a read is due."""
        await self._load_first()
        while True:
            now = self.clock.monotonic()
            delay = self.read_scheduler.next_read_delay(self.catalog.confirmed_at, now)
            if delay > 0:
                await trio.sleep(min(delay, CHECK_INTERVAL_SECONDS))
            else:
                await self._read()

    async def _load_first(self) -> None:
        """Load the catalog unless startup or a peer has supplied it already."""
        while not self.catalog.is_complete:
            started = self.clock.monotonic()
            try:
                update = await self.source.load(
                    may_be_stale=True, after_page=self._check_still_incomplete
                )
            except SourceError as error:
                self.journal.event("load_failed", reason=error.reason, detail=error)
                await trio.sleep(LOAD_RETRY_SECONDS)
                continue
            except Exception as error:
                # As in `_read`: a peer may still send the catalog.
                log_unexpected_error(self.journal, error)
                await trio.sleep(LOAD_RETRY_SECONDS)
                continue
            self._apply(update)
            # Treat a possibly stale copy as current, so that of the hosts that start
            # together only one makes the first consistent read.
            now = self.clock.monotonic()
            self.catalog.confirm(now)
            self._log_loaded(update, now - started, may_be_stale=True)

    async def _check_still_incomplete(self) -> None:
        if self.catalog.is_complete:
            raise SourceError("superseded", "a peer has sent the catalog meanwhile")

    async def _read(self) -> None:
        was_reading = self.read_scheduler.is_reading
        self.read_scheduler.record_read_start()
        try:
            if self.read_scheduler.is_reload_due(self.clock.monotonic()):
                await self._reload()
            else:
                await self._watch(self.read_scheduler.watch_timeout)
        except SourceError as error:
            self._record_failure(error, was_reading)
            return
        except Exception as error:
            # An answer that no check foresaw must not end the process, which serves
            # callers with the catalog that it has.
            log_unexpected_error(self.journal, error)
            self._record_failure(SourceError("unexpected", repr(error)), was_reading)
            return
        if self.read_scheduler.is_reading and not was_reading:
            self.journal.event("reading_started", position=self.read_scheduler.position)

    async def _watch(self, wait_seconds: float) -> None:
        epoch, revision = self.catalog.epoch, self.catalog.revision
        update = await self.source.watch(revision, wait_seconds)
        if update.epoch != epoch:
            # The revision means another position in the answer's history.
            text = f"a watch from epoch {epoch} was answered in epoch {update.epoch}"
            raise SourceError("restored", text)
        self.read_scheduler.record_watch()
        # A watch without events confirms the catalog as of its answer.
        self._apply_answer(update, self.clock.monotonic())

    async def _reload(self) -> None:
        started = self.clock.monotonic()
        epoch, revision = self.catalog.epoch, self.catalog.revision
        # After a failure the position may be old, and an answer with all changes since may
        # cost the store more than the full read, which would keep it from recovering.
        is_after_failure = self.read_scheduler.must_reload
        self._page_watch = (
            PageWatch.CONFIGURATION if is_after_failure else PageWatch.EVERYTHING
        )
        update = await self.source.load(
            may_be_stale=False, after_page=self._watch_between_pages
        )
        update.needs_exact_base = True
        now = self.clock.monotonic()
        self.read_scheduler.record_reload(now, now - started)
        if (update.epoch, update.revision) < (epoch, revision):
            self._record_lost_history(update, epoch, revision)
        self._apply_answer(update, started)
        self._log_loaded(update, now - started, may_be_stale=False)

    async def _watch_between_pages(self) -> None:
        """Read the changes since the catalog's revision if it is old.

        What the full read then shows of an earlier revision does not replace them. Once
        that fails, this reads the changes of the configuration; those of servers then
        come with the full read.
        """
        now = self.clock.monotonic()
        if self.catalog.age(now) < PAGE_WATCH_AGE_SECONDS:
            return
        try:
            if self._page_watch is PageWatch.EVERYTHING:
                await self._watch(wait_seconds=0.0)
            elif self._page_watch is PageWatch.CONFIGURATION:
                await self._watch_configuration(now)
        except SourceError as error:
            had_everything = self._page_watch is PageWatch.EVERYTHING
            self._page_watch = (
                PageWatch.CONFIGURATION if had_everything else PageWatch.NOTHING
            )
            self.journal.event("page_watch_failed", reason=error.reason, detail=error)

    async def _watch_configuration(self, now: float) -> None:
        if now < self._configuration_watch_due:
            return
        self._configuration_watch_due = now + CONFIGURATION_WATCH_SECONDS
        epoch, revision = self.catalog.epoch, self.catalog.revision
        update = await self.source.watch_configuration(revision)
        if update.epoch != epoch:
            text = f"a watch from epoch {epoch} was answered in epoch {update.epoch}"
            raise SourceError("restored", text)
        # It tells nothing of servers, so that the catalog is as old as before.
        self._apply_answer(update, self.catalog.confirmed_at)

    def _record_lost_history(self, update: Update, epoch: int, revision: int) -> None:
        """Discard the known position, since a consistent read is behind it.

        The store was restored without reporting it, or this host has its position from
        a stale copy of a lost history or from a corrupt message.
        """
        self.catalog.lose_history()
        self.journal.event(
            "store_went_back",
            store_epoch=update.epoch,
            store_revision=update.revision,
            epoch=epoch,
            revision=revision,
        )

    def _record_failure(self, error: SourceError, was_reading: bool) -> None:
        now = self.clock.monotonic()
        self.read_scheduler.record_failure(now, error.reason)
        delay = self.read_scheduler.next_read_delay(self.catalog.confirmed_at, now)
        self.journal.event(
            "read_failed",
            reason=error.reason,
            detail=error,
            was_reading=was_reading,
            position=self.read_scheduler.position,
            elected=self.read_scheduler.is_elected_reader,
            next_ms=round(1000 * delay),
            age_ms=round(1000 * self.catalog.age(now)),
        )

    def _apply_answer(self, update: Update, confirmed_at: float) -> None:
        if update.epoch < self.catalog.epoch:
            text = f"an answer of epoch {update.epoch} came after the store's return"
            raise SourceError("restored", text)
        base = ReadBase(self.catalog)
        changes = self._apply(update)
        self.catalog.confirm(confirmed_at)
        now = self.clock.monotonic()
        new_changes = self._new_changes(update, base, changes)
        new_changes.zones = self._new_zones(update, base, now)
        new_changes.fingerprint = self.catalog.fingerprint(now)
        self._log_answer(update, new_changes)
        self.read_scheduler.record_answer(not new_changes.is_empty, now)
        if self.peering is not None:
            # Peers at the base may lack a version that was read ahead of it.
            is_read_ahead = new_changes.routes is base.routes
            previous = None if is_read_ahead else base.routes
            self.peering.broadcast(new_changes, previous)

    def _new_changes(
        self, answer: Update, base: ReadBase, changes: list[tuple[str, Any]]
    ) -> Update:
        """Return only the changes, since peers need no more even after a full read.

        Those are all entries after the base: what this host had read ahead of its
        revision is news to its peers. A server that was not listed here may be listed
        by a peer, so a watch's removals are kept. Those of a full read are unusable
        entries, which peers at the exact base don't list.
        """
        catalog = self.catalog
        servers_by_id = {
            server.server_id: server
            for change, server in changes
            if change in _ENTRY_CHANGES
        }
        for server in answer.servers:
            known = catalog.servers_by_id.get(server.server_id)
            if known is not None and base.precedes(answer.epoch, server.revision):
                servers_by_id[server.server_id] = known
        removed_servers = [server for change, server in changes if change == "removed"]
        withheld = catalog.provisional.withheld_remaining(catalog.confirmed_at)
        is_full = answer.base_revision is None
        # A full read doesn't tell what left since the base, if that was not exact: peers
        # that are not at its own revision then need a full copy.
        is_base_known = base.is_exact or not is_full
        return Update(
            base_epoch=base.epoch if is_base_known else catalog.epoch,
            base_revision=base.revision if is_base_known else catalog.revision,
            epoch=catalog.epoch,
            revision=catalog.revision,
            servers=list(servers_by_id.values()),
            removed=({} if is_full else answer.removed)
            | {
                server.server_id: catalog.removals.by_id[server.server_id].revision
                for server in removed_servers
            },
            needs_exact_base=is_full,
            routes=self._new_routes(answer, base),
            withheld={i: s for i, s in withheld.items() if i in servers_by_id},
            newest_revision=catalog.newest_revision,
            version=catalog.version,
        )

    def _new_routes(self, answer: Update, base: ReadBase) -> RouteTable | None:
        routes = self.catalog.routes
        is_later = base.precedes(answer.epoch, answer.routes_revision)
        return routes if is_later or routes is not base.routes else None

    def _new_zones(self, answer: Update, base: ReadBase, now: float) -> list[ZoneState]:
        evacuations = self.catalog.evacuations
        # In another epoch these are all evacuated zones, as peers forget the revisions.
        zones = dict.fromkeys(self.catalog.changed_zones)
        for state in answer.zones:
            is_known = state.zone in evacuations.records_by_zone
            if is_known and base.precedes(answer.epoch, state.revision):
                zones[state.zone] = None
        return [evacuations.state_of(zone, now) for zone in zones]

    def _log_answer(self, answer: Update, new_changes: Update) -> None:
        """Log what an answer held and what of it goes to peers."""
        if answer.is_empty and new_changes.is_empty:
            return
        self.journal.event(
            "answer_applied",
            is_full=answer.base_revision is None,
            epoch=answer.epoch,
            base_revision=new_changes.base_revision,
            revision=new_changes.revision,
            newest_revision=new_changes.newest_revision,
            version=self.catalog.version,
            entries=answer.entry_count,
            sent_entries=new_changes.entry_count,
            fingerprint=new_changes.fingerprint,
        )

    def _apply(self, update: Update) -> list[tuple[str, Any]]:
        version = self.catalog.version
        changes = self.catalog.apply(update, self.clock.monotonic())
        self.handle_server_changes(changes)
        if self.catalog.version != version:
            self.journal.event(
                "version_in_force",
                version=self.catalog.version,
                previous=version,
                revision=update.revision,
            )
        return changes

    def _log_loaded(self, update: Update, seconds: float, may_be_stale: bool) -> None:
        log_loaded(self.catalog, self.journal, update, round(seconds, 3), may_be_stale)
