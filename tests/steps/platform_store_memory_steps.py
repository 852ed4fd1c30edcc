"""Steps for the memory that reads of the store take."""

import json
import time
import tracemalloc
from contextlib import contextmanager
from unittest.mock import patch

from behave import given, then, when
from fakes.dsr_host import Host, RecordingJournal
from fakes.fake_connection import FakeConnection
from fakes.paged_client import PagedClient
from fakes.platform_store import server_entry

from hornbeamdeal.dsr import SourceError
from hornbeamdeal.kernel import Endpoint, ManualClock
from hornbeamdeal.observability import BufferedJournal
from hornbeamdeal.platform import _startup
from hornbeamdeal.platform._store import StoreSource
from hornbeamdeal.wire import BlockingHttpClient, run_blocking

MEBIBYTE = 1024 * 1024
# A page has about 500 items or 1 MB at most, and one item at least.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


@contextmanager
def traced_peak(context):
    """Record the most bytes that were allocated at once."""
    tracemalloc.start()
    try:
        yield
        _, context.peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()


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


@given("an answer of the store with {size:d} bytes that {fault}")
def given_large_answer(context, size, fault):
    padding = b"x" * (size - 100)
    head = b"HTTP/1.1 200 OK\r\nX-A: "
    if fault == "has headers without end":
        answer = head + padding
    else:
        body = {
            "is no text": b"\xff" * size,
            "has a text as revision": b'{"as_of":"%s"}' % padding,
            "has a list as key": b'{"as_of":1,"items":[{"key":["%s"]}]}' % padding,
            "is no list of items": b'{"as_of":1,"items":"%s"}' % padding,
        }[fault]
        answer = head + b"a\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    context.client = BlockingHttpClient(endpoint=Endpoint("127.0.0.1", 1))
    context.client.connection_ = FakeConnection(answer)


@when("the adapter reads it and logs the failure")
def when_read_fails(context):
    journal = BufferedJournal(host_id="a", clock=ManualClock(0.0))
    source = StoreSource(client=context.client, journal=journal)
    with traced_peak(context):
        try:
            run_blocking(source.load(may_be_stale=False))
        except SourceError as error:
            journal.event("read_failed", reason=error.reason, detail=error)
            context.reason = error.reason


@then("the read failed as {reason}")
def then_reason(context, reason):
    assert context.reason == reason, context.reason


@when("the adapter loads the pages")
def when_load_pages(context):
    context.journal = RecordingJournal()
    context.journal.events = UnkeptEvents()
    source = StoreSource(client=context.client, journal=context.journal)
    with traced_peak(context):
        context.update = run_blocking(source.load(may_be_stale=False))
    assert context.client.pages == context.client.page_count


@then("the load took at most {size:d} MiB of memory")
def then_peak(context, size):
    assert context.peak_bytes <= size * MEBIBYTE, context.peak_bytes


@then("all {count:d} unusable entries are counted")
def then_counted(context, count):
    counts = context.journal.counts.items()
    assert sum(n for (name, _), n in counts if name == "entries_unusable") == count


class UnkeptEvents(list):
    """Log lines that are not kept, as a node writes them."""

    def append(self, event):
        """Drop a line."""


@given("a store with {pages:d} pages that answers in {seconds:g} s")
def given_slow_pages(context, pages, seconds):
    context.client = SlowPages(lambda n: (f"servers/x-{n:010x}", b"x"), pages, 1)
    context.client.seconds = seconds


@when("a node reads it at its start")
def when_node_reads(context):
    host = Host()
    started = time.monotonic()
    with patch.object(_startup, "BlockingHttpClient", lambda endpoint: context.client):
        _startup.load_catalog(None, host.forwarder, host.journal, may_be_stale=False)
    context.seconds = time.monotonic() - started
    assert not host.catalog.is_complete


@then("the read is given up after {least:g} s to {most:g} s")
def then_given_up(context, least, most):
    assert least <= context.seconds <= most, context.seconds


class SlowPages(PagedClient):
    """Client of a store that answers after some time."""

    async def get(self, target, timeout_seconds):
        """Block for the time and return the next page."""
        time.sleep(self.seconds)
        return await super().get(target, timeout_seconds)

    def close(self):
        """Do nothing."""
