"""Client of the platform's store; decodes reads and watches into updates."""

import json
from typing import Any, Protocol
from urllib.parse import urlencode

from hornbeamdeal.dsr import AfterPage, Journal, SourceError, Update
from hornbeamdeal.kernel import Endpoint
from hornbeamdeal.wire import BodyTooLargeError, HttpError, HttpResponse

from ._entries import OPERATOR_PREFIX, EntryError, check_key
from ._update_builder import (
    MAXIMUM_REVISION,
    UnusableEntries,
    UpdateBuilder,
    check_revision,
)

# The store responds within milliseconds. A host that gives up after this time can
# retry before the time limit for applying changes ends.
RESPONSE_TIMEOUT_SECONDS = 0.7
# Extra time for the response to a watch after its wait time.
WATCH_MARGIN_SECONDS = 0.5
# `Store-Era` rises by one each time that the store is restored from an older copy.
EPOCH_HEADER = "store-era"
_REASON_BY_STATUS = {404: "missing", 410: "compacted", 429: "throttled"}
_REASON_BY_STATUS[503] = "unavailable"


class HttpGetter(Protocol):
    """HTTP client that sends GET requests to the store."""

    async def get(self, target: str, timeout_seconds: float) -> HttpResponse:
        """Return the response; raise HttpError if there is none in time."""

    def move_to(self, endpoint: Endpoint) -> None:
        """Send the next requests to another endpoint; one in progress fails."""


class StoreSource:
    """Reads routes and servers from the store.

    Parameters
    ----------
    client : HttpGetter
        Client of the store.
    journal : Journal
        Receiver of log lines, one per revision of an unusable entry, and of call
        counts.

    Attributes
    ----------
    epoch_ : int or None
        Epoch of the last response that has one, None before the first.
    unusable : UnusableEntries
        Entries of the store that can't be used.
    """

    __slots__ = ("client", "epoch_", "journal", "unusable")

    def __init__(self, *, client: HttpGetter, journal: Journal):
        self.client = client
        self.journal = journal
        self.epoch_: int | None = None
        self.unusable = UnusableEntries(journal=journal)

    def move_to(self, endpoint: Endpoint) -> None:
        """Read the store at another address from now on; a read in progress fails."""
        self.client.move_to(endpoint)

    async def load(
        self, may_be_stale: bool, after_page: AfterPage | None = None
    ) -> Update:
        """Return all routes and servers as an update.

        Raise SourceError if the read fails, or what `after_page` raises between two
        pages. A stale read costs the store less and may be seconds old.
        """
        # Without a prefix, one call returns the configuration with the servers.
        query: dict[str, Any] = {"prefix": ""}
        if may_be_stale:
            query["stale_ok"] = 1
        builder: UpdateBuilder | None = None
        while True:
            builder, next_key = await self._read_page(query, builder)
            if next_key is None:
                break
            query["after"] = next_key
            if after_page is not None:
                await after_page()
        if not builder.has_configuration:
            raise self._make_error("missing", "no configuration in the store")
        return builder.build()

    async def _read_page(
        self, query: dict[str, Any], builder: UpdateBuilder | None
    ) -> tuple[UpdateBuilder, str | None]:
        """Add a page to the builder, a new one at the first page.

        Return it with the key after which the next page begins, None if there is none.
        A page is decoded at once, since all of them may be larger than a host's memory.
        """
        try:
            page = await self._get("kv-range", query)
        except BodyTooLargeError as error:
            raise self._make_error("lost", str(error)) from error
        # `as_of` is the store revision that an answer shows. Pages are no snapshot, and
        # stale ones may come from copies of any age.
        builder = builder or self._start_update(None, page["as_of"])
        update = builder.update
        if update.epoch != (self.epoch_ or 0):
            raise self._make_error("restored", "pages of two histories")
        update.revision = min(update.revision, page["as_of"])
        update.newest_revision = max(update.newest_revision, page["as_of"])
        items = self._list_in(page, "items")
        self._add(builder, items)
        if not page.get("more_pages") or not items:
            return builder, None
        return builder, self._last_key(items, query.get("after", ""))

    async def watch(self, after_revision: int, wait_seconds: float) -> Update:
        """Return changes after a revision, waiting up to `wait_seconds` for the first.

        Without a change, the update is empty. Raise SourceError if the read fails.
        """
        response = await self._watch("", after_revision, wait_seconds)
        builder = self._start_update(after_revision, response["as_of"])
        self._add(builder, self._list_in(response, "events"))
        return builder.build()

    async def watch_configuration(self, after_revision: int) -> Update:
        """Return the operators' changes after a revision, without waiting.

        The update stays at that revision. Raise SourceError if the read fails.
        """
        response = await self._watch(OPERATOR_PREFIX, after_revision, 0.0)
        builder = self._start_update(after_revision, after_revision)
        self._add(builder, self._list_in(response, "events"))
        update = builder.build()
        zone_revisions = [state.revision for state in update.zones]
        update.newest_revision = max(
            after_revision, update.routes_revision, *zone_revisions
        )
        return update

    async def _watch(
        self, prefix: str, after_revision: int, wait_seconds: float
    ) -> dict[str, Any]:
        query = {"prefix": prefix, "after": after_revision}
        query["wait_ms"] = round(1000 * wait_seconds)
        timeout = wait_seconds + WATCH_MARGIN_SECONDS
        try:
            return await self._get("kv-watch", query, timeout)
        except BodyTooLargeError as error:
            # A full read is answered page by page.
            raise self._make_error("oversized", str(error)) from error

    def _list_in(self, response: dict[str, Any], name: str) -> list[Any]:
        values = response.get(name)
        if not isinstance(values, list):
            raise self._make_error("garbled", f"{name} is no list")
        return values

    def _last_key(self, items: list[Any], after: str) -> str:
        """Return the key after which the next page begins.

        It is sent in a request, so that the last usable key of the page is taken.
        """
        for key in map(self._key_of, reversed(items)):
            try:
                check_key(key)
            except EntryError:
                continue
            if key > after:
                return key
            break
        raise self._make_error("garbled", "a page that does not advance")

    def _key_of(self, item: Any) -> str:
        key = item.get("key") if isinstance(item, dict) else None
        if not isinstance(key, str):
            raise self._make_error("garbled", "an item without a key")
        return key

    async def _get(
        self,
        name: str,
        query: dict[str, Any],
        timeout: float = RESPONSE_TIMEOUT_SECONDS,
    ) -> dict[str, Any]:
        target = f"/-/{name}?{urlencode(query)}"
        self.journal.count("store_calls", name)
        try:
            response = await self.client.get(target, timeout)
        except BodyTooLargeError:
            raise
        except HttpError as error:
            raise self._make_error("lost", str(error)) from error
        self.journal.count("store_bytes", name, amount=len(response.body))
        self._record_epoch(response, target)
        if response.status != 200:
            reason = _REASON_BY_STATUS.get(response.status, "refused")
            raise self._make_error(reason, f"{target}: status {response.status}")
        try:
            return _check_response(json.loads(response.body))
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            # The representation of an error may hold the whole body.
            text = f"{target}: {type(error).__name__}: {error}"
            raise self._make_error("garbled", text) from error

    def _record_epoch(self, response: HttpResponse, target: str) -> None:
        try:
            epoch = _decode_epoch(response)
        except ValueError as error:
            raise self._make_error("garbled", f"{target}: {error}") from error
        if epoch is not None and epoch != self.epoch_:
            self.journal.count("store_epoch_changes")
            self.journal.event("store_epoch", epoch=epoch, previous=self.epoch_)
            self.epoch_ = epoch

    def _make_error(self, reason: str, text: str) -> SourceError:
        self.journal.count("store_failures", reason)
        return SourceError(reason, text)

    def _add(self, builder: UpdateBuilder, items: list[Any]) -> None:
        try:
            builder.add(items)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            text = f"an item: {type(error).__name__}: {error}"
            raise self._make_error("garbled", text) from error

    def _start_update(self, base_revision: int | None, revision: int) -> UpdateBuilder:
        update = Update(
            base_revision=base_revision,
            epoch=self.epoch_ or 0,
            revision=revision,
            servers=[],
            zones=[],
        )
        self.unusable.epoch = self.epoch_
        return UpdateBuilder(update=update, unusable=self.unusable)


def _decode_epoch(response: HttpResponse) -> int | None:
    text = response.headers.get(EPOCH_HEADER)
    if text is None:
        return None
    if not text.isdecimal() or not text.isascii() or int(text) > MAXIMUM_REVISION:
        raise ValueError(f"{EPOCH_HEADER} {text!r} is not an integer of 63 bits")
    return int(text)


def _check_response(fields: Any) -> dict[str, Any]:
    if not isinstance(fields, dict):
        raise TypeError("the response is no object")
    check_revision(fields["as_of"])
    return fields
