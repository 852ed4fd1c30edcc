"""Stand-in of the platform's metadata store."""

import asyncio
import json
from base64 import b64encode

from . import http

PAGE_ITEMS = 500


class Store:
    """Keeps items with revisions and serves reads and watches."""

    def __init__(self, address, record):
        self.address = address
        self.record = record
        self.revision = 100
        self.items = {}
        self.events = []
        self.compacted = 0
        self.calls = 0
        self._changed = asyncio.Event()

    async def start(self):
        """Open the port."""
        self._listener = await http.serve(self.address, self._respond)

    async def move(self, address):
        """Serve at a second address as well; return the function that ends the first."""
        old, self.address = self._listener, address
        self._listener = await http.serve(address, self._respond)
        return old.close

    def put(self, key, value, is_logged=True):
        """Write a value, given as fields; return its revision."""
        data = json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("created_rev", self.revision)
        item = {"key": key, "value": b64encode(data).decode()}
        item |= {"revision": self.revision, "created_rev": created, "lease": 0}
        self.items[key] = item
        self._add(item)
        if is_logged:
            text = f"acknowledged {key} at revision {self.revision}: {data.decode()}"
            self.record.write("store", text[:400])
        return self.revision

    def delete(self, key):
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        self._add({"key": key, "revision": self.revision, "deleted": True})
        self.record.write("store", f"removed {key} at revision {self.revision}")

    def _add(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _respond(self, path, query):
        self.calls += 1
        if path == "/-/kv-key":
            item = self.items.get(query.get("key"))
            return (200, item | {"as_of": self.revision}) if item else (404, {})
        if path == "/-/kv-range":
            return 200, self._range(query.get("prefix", ""), query.get("after", ""))
        if path == "/-/kv-watch":
            return await self._watch(query)
        return 404, {}

    def _range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[k] for k in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return {"items": items, "more_pages": more, "as_of": self.revision}

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        if after < self.compacted:
            return 410, {}
        end = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        while True:
            found = [
                e
                for e in self.events
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = end - asyncio.get_running_loop().time()
            if found or left <= 0:
                return 200, {"events": found, "as_of": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                pass
