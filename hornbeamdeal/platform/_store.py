"""Client of the platform's store: reads and watches, decoded into updates."""

import json
from base64 import b64decode
from typing import Any, Protocol
from urllib.parse import urlencode

from result import Err, Ok, Result

from hornbeamdeal.dsr import Journal, Server, SourceError, Update
from hornbeamdeal.wire import HttpError, HttpResponse

from ._entries import CONFIG_KEY, SERVER_PREFIX, decode_routes, decode_server

# The store answers in some milliseconds; a host that waits longer asks anew
# while the time in which news must be in force lasts.
ANSWER_TIMEOUT_SECONDS = 0.7
# A watch may be answered this much after its waiting time.
WATCH_MARGIN_SECONDS = 0.5
_REASON_BY_STATUS = {404: "missing", 410: "compacted", 429: "throttled"}
_REASON_BY_STATUS[503] = "unavailable"


class HttpGetter(Protocol):
    """Requests one resource of the store."""

    async def get(
        self, target: str, timeout_seconds: float
    ) -> Result[HttpResponse, HttpError]:
        """Return the response, or why there is none."""


class StoreSource:
    """Reads routes and servers from the store.

    Parameters
    ----------
    client : HttpGetter
        Client of the store.
    journal : Journal
        Receiver of one log line for each unusable entry and of call counts.
    """

    __slots__ = ("client", "journal", "_reported")

    def __init__(self, *, client: HttpGetter, journal: Journal):
        self.client = client
        self.journal = journal
        self._reported: dict[str, int] = {}

    async def load(self, may_be_stale: bool) -> Result[Update, SourceError]:
        """Read everything; a stale read is cheap and may be seconds old."""
        options = {"stale_ok": 1} if may_be_stale else {}
        config = await self._call("kv-key", {"key": CONFIG_KEY, **options})
        if config.is_err():
            return config
        items, revision = [], config.ok_value["as_of"]
        query = {"prefix": SERVER_PREFIX, **options}
        while True:
            page = await self._call("kv-range", query)
            if page.is_err():
                return page
            revision = min(revision, page.ok_value["as_of"])
            items += page.ok_value["items"]
            if not page.ok_value["more_pages"]:
                break
            query["after"] = items[-1]["key"]
        return self._update([config.ok_value, *items], None, revision)

    async def watch(
        self, after_revision: int, wait_seconds: float
    ) -> Result[Update, SourceError]:
        """Wait for changes after a revision; no change gives an empty update."""
        query = {"prefix": "", "after": after_revision}
        query["wait_ms"] = round(1000 * wait_seconds)
        timeout = wait_seconds + WATCH_MARGIN_SECONDS
        answer = await self._call("kv-watch", query, timeout)
        if answer.is_err():
            return answer
        fields = answer.ok_value
        return self._update(fields["events"], after_revision, fields["as_of"])

    async def _call(
        self, name: str, query: dict[str, Any], timeout: float = ANSWER_TIMEOUT_SECONDS
    ) -> Result[dict[str, Any], SourceError]:
        target = f"/-/{name}?{urlencode(query)}"
        self.journal.count("store_calls", name)
        result = await self.client.get(target, timeout)
        if result.is_err():
            return self._fail("lost", str(result.err_value))
        response = result.ok_value
        if response.status != 200:
            reason = _REASON_BY_STATUS.get(response.status, "refused")
            return self._fail(reason, f"{target}: status {response.status}")
        try:
            fields = json.loads(response.body)
            if isinstance(fields["as_of"], int):
                return Ok(fields)
        except (ValueError, KeyError, TypeError) as error:
            return self._fail("garbled", f"{target}: {error!r}")
        return self._fail("garbled", f"{target}: as_of is no number")

    def _fail(self, reason: str, text: str) -> Err[SourceError]:
        self.journal.count("store_failures", reason)
        return Err(SourceError(reason, text))

    def _update(
        self, items: list[dict[str, Any]], base_revision: int | None, revision: int
    ) -> Result[Update, SourceError]:
        update = Update(base_revision=base_revision, revision=revision, servers=[])
        try:
            for item in items:
                self._take_item(update, item)
        except (ValueError, KeyError, TypeError) as error:
            return self._fail("garbled", f"an item of the store: {error!r}")
        return Ok(update)

    def _take_item(self, update: Update, item: dict[str, Any]) -> None:
        key, revision = item["key"], item["revision"]
        if key == CONFIG_KEY:
            if not item.get("deleted"):
                self._take_routes(update, b64decode(item["value"]), revision)
            return
        if not key.startswith(SERVER_PREFIX):
            return
        server_id = key.removeprefix(SERVER_PREFIX)
        server = None if item.get("deleted") else self._server(server_id, item)
        update.servers = [s for s in update.servers if s.server_id != server_id]
        if server is None:
            update.removed[server_id] = revision
        else:
            update.removed.pop(server_id, None)
            update.servers.append(server)

    def _take_routes(self, update: Update, value: bytes, revision: int) -> None:
        decoded = decode_routes(value)
        if decoded.is_ok():
            update.routes = decoded.ok_value
        else:
            self._report(CONFIG_KEY, revision, str(decoded.err_value))

    def _server(self, server_id: str, item: dict[str, Any]) -> Server | None:
        revision = item["revision"]
        try:
            value = b64decode(item["value"], validate=True)
        except (ValueError, TypeError) as error:
            self._report(server_id, revision, repr(error))
            return None
        decoded = decode_server(server_id, value, revision)
        if decoded.is_err():
            self._report(server_id, revision, str(decoded.err_value))
            return None
        return decoded.ok_value

    def _report(self, key: str, revision: int, problem: str) -> None:
        if self._reported.get(key) != revision:
            self._reported[key] = revision
            self.journal.count("entries_unusable")
            self.journal.event("entry_unusable", key=key, problem=problem)
