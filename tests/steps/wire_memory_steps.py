"""Steps for the memory that received messages take."""

import gc
import tracemalloc
from contextlib import contextmanager

import trio
from behave import then, when
from fakes.fake_connection import FakeConnection

from hornbeamdeal.kernel import Endpoint
from hornbeamdeal.wire import BlockingHttpClient, HttpResponse, run_blocking
from hornbeamdeal.wire._http import _serve_one

MEBIBYTE = 1024 * 1024
ENDPOINT = Endpoint("127.0.0.1", 1)


@contextmanager
def measured_growth(context):
    """Record the bytes that are allocated at the end and were not before.

    The garbage collector is off, as in a process that has allocated few objects.
    """
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        yield
        context.growth = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
        gc.enable()


@when(
    "{count:d} responses of {size:d} MiB are received and dropped one after the other"
)
def when_responses(context, count, size):
    length = size * MEBIBYTE
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + bytes(length)
    client = BlockingHttpClient(endpoint=ENDPOINT)
    with measured_growth(context):
        for _ in range(count):
            client.connection_ = FakeConnection(answer)
            response = run_blocking(client.get("/", 1.0))
            assert len(response.body) == length
            del response


@when(
    "{count:d} requests with a target of {size:d} KiB are answered one after the other"
)
def when_requests(context, count, size):
    request = b"GET /" + b"a" * (1024 * size) + b" HTTP/1.1\r\nHost: a\r\n\r\n"

    async def respond(request):
        return HttpResponse(200, b"served")

    async def serve_all():
        for _ in range(count):
            await _serve_one(FakeConnection(request), respond, None)

    async def measure():
        with measured_growth(context):
            await serve_all()

    trio.run(measure)


@then("the process holds at most {size:d} MiB more than before")
def then_growth(context, size):
    assert context.growth <= size * MEBIBYTE, context.growth
