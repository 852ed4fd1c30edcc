"""Client of a store whose items exist only while their page is read."""

import json
from base64 import b64encode

from hornbeamdeal.wire import HttpResponse

from .platform_store import config_entry

REVISION = 10
VERSION = 4


class PagedClient:
    """Answers reads by page with a configuration and other writers' entries.

    `make_entry` returns the key and the value of the entry with a number, from 0 on.
    """

    def __init__(self, make_entry, count, page_items):
        self.make_entry = make_entry
        self.count = count
        self.page_items = page_items
        self.pages = 0

    async def get(self, target, timeout_seconds):
        """Return the next page of a read."""
        first = (self.pages % self.page_count) * self.page_items
        self.pages += 1
        last = min(first + self.page_items, self.count)
        entries = [self.make_entry(number) for number in range(first, last)]
        if first == 0:
            routes = [("198.18.0.1", 443, "reservas")]
            configuration = json.dumps(config_entry(VERSION, routes)).encode()
            entries.insert(0, ("op/config", configuration))
        items = [_make_item(key, value) for key, value in entries]
        page = {"items": items, "more_pages": last < self.count, "as_of": REVISION}
        return HttpResponse(200, json.dumps(page).encode())

    @property
    def page_count(self):
        """Return the number of pages of one read."""
        return -(-self.count // self.page_items)


def _make_item(key, value):
    item = {"key": key, "value": b64encode(value).decode(), "revision": REVISION}
    return item | {"created_rev": REVISION, "lease": 0}
