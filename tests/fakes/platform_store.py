"""Fake of the platform's store that follows its published protocol."""

import json
from base64 import b64encode

import trio

from hornbeamdeal.kernel import Endpoint
from hornbeamdeal.wire import HttpResponse, serve_http

PAGE_ITEMS = 50
PAGE_BYTES = 1_000_000


class PlatformStore:
    """Keeps items with revisions; can fail, delay or withhold its responses."""

    def __init__(self, page_items=PAGE_ITEMS):
        self.page_items = page_items
        self.epoch = None
        self.revision = 10
        self.compacted_revision = 0
        self.items_by_key = {}
        self.events = []
        self.status = 200
        self.delay = 0.0
        self.is_silent = False
        self.silent_ips = set()
        self.paths = []
        self._changed = trio.Event()

    def put(self, key, value):
        """Store a value, given as JSON fields or as bytes."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        item = {"key": key, "value": b64encode(value).decode()}
        created = self.items_by_key.get(key, {}).get("created_rev", self.revision)
        item |= {"revision": self.revision, "created_rev": created, "lease": 0}
        self.items_by_key[key] = item
        self._append_event(item)

    def delete(self, key):
        """Remove a key."""
        self.revision += 1
        del self.items_by_key[key]
        self._append_event({"key": key, "revision": self.revision, "deleted": True})

    def compact(self):
        """Compact the history: watches after an earlier revision get status 410."""
        self.compacted_revision = self.revision

    def restore(self, revision):
        """Start a new history from a copy as of a revision; return the lost keys."""
        before = self.items_by_key
        self.epoch = (self.epoch or 0) + 1
        self.revision = revision
        self.events = [event for event in self.events if event["revision"] <= revision]
        self.items_by_key = {}
        for event in self.events:
            self.items_by_key[event["key"]] = event
            if event.get("deleted"):
                del self.items_by_key[event["key"]]
        self._changed.set()
        self._changed = trio.Event()
        return {k for k, item in before.items() if self.items_by_key.get(k) is not item}

    async def run(self, listen: Endpoint):
        """Serve until cancelled."""
        await serve_http(listen, self.respond)

    async def respond(self, request):
        """Respond to one request, with the epoch of the store's history if set."""
        response = await self._respond(request)
        if self.epoch is not None:
            response.headers["Store-Era"] = str(self.epoch)
        return response

    async def _respond(self, request):
        self.paths.append(request.path)
        await trio.sleep(self.delay)
        if self.is_silent or request.sender_ip in self.silent_ips:
            await trio.sleep_forever()
        if self.status != 200:
            return HttpResponse(self.status, b"")
        match request.path:
            case "/-/kv-key":
                return self._get(request.query["key"])
            case "/-/kv-range":
                return self._list(request.query)
            case "/-/kv-watch":
                return await self._watch(request.query)
        return HttpResponse(404, b"")

    def _get(self, key):
        item = self.items_by_key.get(key)
        if item is None:
            return HttpResponse(404, b"")
        return _json_response({**item, "as_of": self.revision})

    def _list(self, query):
        keys = sorted(
            k for k in self.items_by_key if k.startswith(query.get("prefix", ""))
        )
        keys = [k for k in keys if k > query.get("after", "")]
        page, size = [], 0
        for key in keys[: self.page_items]:
            item = self.items_by_key[key]
            size += len(item["value"])
            if page and size > PAGE_BYTES:
                break
            page.append(item)
        more = len(keys) > len(page)
        return _json_response(
            {"items": page, "more_pages": more, "as_of": self.revision}
        )

    async def _watch(self, query):
        after, epoch = int(query["after"]), self.epoch
        if not self.compacted_revision <= after <= self.revision:
            return HttpResponse(410, b"")
        prefix = query.get("prefix", "")
        with trio.move_on_after(int(query["wait_ms"]) / 1000):
            while not self._events_after(after, prefix) and epoch == self.epoch:
                await self._changed.wait()
        if epoch != self.epoch:
            return HttpResponse(503, b"")
        return _json_response(
            {"events": self._events_after(after, prefix), "as_of": self.revision}
        )

    def _events_after(self, revision, prefix):
        return [
            event
            for event in self.events
            if event["revision"] > revision and event["key"].startswith(prefix)
        ]

    def _append_event(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = trio.Event()


def server_entry(service, address, **fields):
    """Return the fields of the entry that a server writes about itself."""
    entry = {"service": service, "address": address, "zone": "z1", "version": "v1"}
    entry |= {"slots": 3, "state": "ready", "cold_remaining_ms": 0, "seq": 1}
    return entry | fields


def config_entry(version, routes, idle_timeout_ms=15_000):
    """Return a configuration with the given (ip, port, service) routes."""
    return {
        "version": version,
        "routes": [
            {"name": f"r{i}", "host": ip, "prefix": f"/{port}/", "service": service}
            for i, (ip, port, service) in enumerate(routes)
        ],
        "services": [],
        "limits": {"idle_timeout_ms": idle_timeout_ms},
    }


def _json_response(fields):
    body = json.dumps(fields).encode()
    return HttpResponse(200, body, {"Content-Type": "application/json"})
