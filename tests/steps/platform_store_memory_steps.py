"""Steps for the memory that reads of the store take."""

import json
import tracemalloc

from behave import given, then, when
from fakes.dsr_host import RecordingJournal
from fakes.paged_client import PagedClient
from fakes.platform_store import server_entry

from hornbeamdeal.platform._store import StoreSource
from hornbeamdeal.wire import run_blocking

MEBIBYTE = 1024 * 1024
# A page has about 500 items or 1 MB at most, and one item at least.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


@given("pages of the store with {count:d} odd entries of {size:d} bytes in all")
def given_pages(context, count, size):
    def make_entry(number):
        return f"servers/x-{number:010x}", b"\xff" * size

    page_items = min(PAGE_ITEMS, max(1, PAGE_BYTES // size))
    context.client = PagedClient(make_entry, count, page_items)


def make_value(content, size):
    """Return an entry of a size in bytes with some content."""
    entry = server_entry("reservas", "10.0.0.1:8000")
    filler = "x" * (size - 300)
    if content == "objects without fields":
        return b"[" + b"{}," * (size // 3 - 1) + b"{}]"
    if content == "spaces around a server":
        return json.dumps(entry).encode().center(size)
    changes = {
        "a long service name": {"service": filler},
        "a long zone name": {"zone": filler},
        "a list as service": {"service": [filler]},
    }
    return json.dumps(entry | changes[content]).encode()


@given(
    "pages of the store with {count:d} entries of {size:d} bytes that have {content}"
)
def given_pages_with_content(context, count, size, content):
    value = make_value(content, size)
    assert len(value) <= size
    context.client = PagedClient(lambda n: (f"servers/x-{n:010x}", value), count, 1)


@when("the adapter loads the pages")
def when_load_pages(context):
    context.journal = RecordingJournal()
    context.journal.events = CountedEvents()
    source = StoreSource(client=context.client, journal=context.journal)
    tracemalloc.start()
    try:
        context.update = run_blocking(source.load(may_be_stale=False))
        _, context.peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert context.client.pages == context.client.page_count


@then("the load took at most {size:d} MiB of memory")
def then_peak(context, size):
    assert context.peak_bytes <= size * MEBIBYTE, context.peak_bytes


@then("all {count:d} unusable entries are counted")
def then_counted(context, count):
    counts = context.journal.counts.items()
    assert sum(n for (name, _), n in counts if name == "entries_unusable") == count


class CountedEvents(list):
    """Log lines that are not kept, as a node writes them."""

    def append(self, event):
        """Drop a line."""
