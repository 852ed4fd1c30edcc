"""Client of the platform's store; decodes reads and watches into updates."""

import json
from base64 import b64decode
from typing import Any, Protocol
from urllib.parse import urlencode

from hornbeamdeal.dsr import Journal, Server, SourceError, Update, ZoneState
from hornbeamdeal.kernel import Endpoint
from hornbeamdeal.wire import HttpError, HttpResponse

from ._configuration import decode_configuration
from ._entries import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    SERVER_PREFIX,
    EntryError,
    check_key,
    decode_evacuated_zone,
    decode_server,
)

# The store responds within milliseconds. A host that gives up after this time can
# retry before the time limit for applying changes ends.
RESPONSE_TIMEOUT_SECONDS = 0.7
# Messages between hosts carry revisions and epochs in 64 bits.
MAXIMUM_REVISION = 2**63 - 1
# Problems of a configuration that its log line names at most.
MAXIMUM_LOGGED_PROBLEMS = 5
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
    """

    __slots__ = ("client", "epoch_", "journal", "_reported_revisions")

    def __init__(self, *, client: HttpGetter, journal: Journal):
        self.client = client
        self.journal = journal
        self.epoch_: int | None = None
        # Epoch and revision of each key's last unusable entry.
        self._reported_revisions: dict[str, tuple[int | None, int]] = {}

    def move_to(self, endpoint: Endpoint) -> None:
        """Read the store at another address from now on; a read in progress fails."""
        self.client.move_to(endpoint)

    async def load(self, may_be_stale: bool) -> Update:
        """Return all routes and servers as an update.

        Raise SourceError if the read fails.
        A stale read costs the store less and may be seconds old.
        """
        # Without a prefix, one call returns the configuration with the servers.
        query: dict[str, Any] = {"prefix": ""}
        if may_be_stale:
            query["stale_ok"] = 1
        items: list[Any] = []
        revision, newest_revision = MAXIMUM_REVISION, 0
        epoch: int | None = None
        while True:
            page = await self._get("kv-range", query)
            epoch = self.epoch_ if epoch is None else epoch
            if epoch != self.epoch_:
                raise self._make_error("restored", "pages of two histories")
            # `as_of` is the store revision that an answer shows. Pages are no
            # snapshot, and stale ones may come from copies of any age.
            revision = min(revision, page["as_of"])
            newest_revision = max(newest_revision, page["as_of"])
            page_items = self._list_in(page, "items")
            items += page_items
            if not page.get("more_pages") or not page_items:
                if CONFIG_KEY not in map(self._key_of, items):
                    raise self._make_error("missing", "no configuration in the store")
                update = self._make_update(items, None, revision)
                update.newest_revision = newest_revision
                return update
            query["after"] = self._last_key(page_items, query.get("after", ""))

    async def watch(self, after_revision: int, wait_seconds: float) -> Update:
        """Return changes after a revision, waiting up to `wait_seconds` for the first.

        Without a change, the update is empty. Raise SourceError if the read fails.
        """
        query = {"prefix": "", "after": after_revision}
        query["wait_ms"] = round(1000 * wait_seconds)
        timeout = wait_seconds + WATCH_MARGIN_SECONDS
        response = await self._get("kv-watch", query, timeout)
        events = self._list_in(response, "events")
        return self._make_update(events, after_revision, response["as_of"])

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
            raise self._make_error("garbled", f"{target}: {error!r}") from error

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

    def _make_update(
        self, items: list[dict[str, Any]], base_revision: int | None, revision: int
    ) -> Update:
        update = Update(
            base_revision=base_revision,
            epoch=self.epoch_ or 0,
            revision=revision,
            servers=[],
            zones=[],
        )
        servers_by_id: dict[str, Server] = {}
        try:
            for item in items:
                self._apply_item(update, servers_by_id, item)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise self._make_error("garbled", f"an item: {error!r}") from error
        update.servers = list(servers_by_id.values())
        if base_revision is None:
            self._forget_reports({item["key"] for item in items})
        return update

    def _apply_item(
        self, update: Update, servers_by_id: dict[str, Server], item: dict[str, Any]
    ) -> None:
        key, revision = item["key"], _check_revision(item["revision"])
        if item.get("deleted"):
            self._reported_revisions.pop(key, None)
        try:
            check_key(key)
        except EntryError as error:
            # Peers are not told, since no host can list a server under such a key.
            if not item.get("deleted"):
                self._report_unusable(key, revision, str(error))
            return
        if key == CONFIG_KEY:
            if not item.get("deleted"):
                self._apply_routes(update, b64decode(item["value"]), revision)
            return
        if key.startswith(EVACUATION_PREFIX):
            self._apply_evacuation(update, item)
            return
        if not key.startswith(SERVER_PREFIX):
            return
        server_id = key.removeprefix(SERVER_PREFIX)
        server = None if item.get("deleted") else self._decode_item(server_id, item)
        # The store reports changes in the order of their revisions, so a later one
        # replaces what it follows.
        servers_by_id.pop(server_id, None)
        if server is None:
            update.removed[server_id] = revision
        else:
            update.removed.pop(server_id, None)
            servers_by_id[server_id] = server

    def _apply_routes(self, update: Update, value: bytes, revision: int) -> None:
        try:
            update.routes, problems = decode_configuration(value)
        except EntryError as error:
            self._report_unusable(CONFIG_KEY, revision, str(error))
            return
        update.routes_revision = revision
        if problems:
            self._report_problems(update.routes.version, revision, problems)

    def _apply_evacuation(self, update: Update, item: dict[str, Any]) -> None:
        key, revision = item["key"], item["revision"]
        try:
            zone = decode_evacuated_zone(key)
        except EntryError as error:
            if not item.get("deleted"):
                self._report_unusable(key, revision, str(error))
            return
        update.zones.append(ZoneState(zone, not item.get("deleted"), revision))

    def _decode_item(self, server_id: str, item: dict[str, Any]) -> Server | None:
        key, revision = item["key"], item["revision"]
        try:
            value = b64decode(item["value"], validate=True)
            created = item.get("created_rev")
            if created is not None:
                _check_revision(created)
            return decode_server(server_id, value, revision, created)
        except (ValueError, TypeError, EntryError) as error:
            self._report_unusable(key, revision, str(error))
            return None

    def _forget_reports(self, listed_keys: set[str]) -> None:
        """Forget the unusable entries that the store no longer has."""
        for key in set(self._reported_revisions) - listed_keys:
            del self._reported_revisions[key]

    def _report_problems(
        self, version: int, revision: int, problems: list[str]
    ) -> None:
        if self._is_news(CONFIG_KEY, revision):
            self.journal.count("configuration_problems", amount=len(problems))
            self.journal.event(
                "configuration_problems",
                version=version,
                count=len(problems),
                problems="; ".join(problems[:MAXIMUM_LOGGED_PROBLEMS]),
            )

    def _is_news(self, key: str, revision: int) -> bool:
        """Return whether problems of a key's entry are not reported yet."""
        position = (self.epoch_, revision)
        if self._reported_revisions.get(key) == position:
            return False
        self._reported_revisions[key] = position
        return True

    def _report_unusable(self, key: str, revision: int, problem: str) -> None:
        if self._is_news(key, revision):
            self.journal.count("entries_unusable")
            self.journal.event("entry_unusable", key=key, problem=problem)


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
    _check_revision(fields["as_of"])
    return fields


def _check_revision(value: Any) -> int:
    if not isinstance(value, int) or not 0 <= value <= MAXIMUM_REVISION:
        raise TypeError(f"{value!r} is not a revision")
    return value
