"""Steps for the memory that received messages take."""

import contextlib
import gc
import socket
import tracemalloc
from contextlib import contextmanager

import trio
from behave import given, then, when
from fakes.fake_connection import FakeConnection

from hornbeamdeal.kernel import Endpoint
from hornbeamdeal.wire import (
    BlockingHttpClient,
    BulkPort,
    HttpResponse,
    PeerCodec,
    peer_types,
    run_blocking,
)
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


@contextmanager
def measured_peak(context):
    """Record the most bytes that were allocated at once, beyond those from before."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        yield
        context.peak_bytes = tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()


@when("a peer's message lists {count:d} servers without fields")
def when_empty_servers(context, count):
    codec = PeerCodec(
        host_id="a", incarnation=1, keys_by_id={1: b"k" * 16}, sending_key_id=1
    )
    servers = [peer_types.DirectServer()] * count
    data = codec.encode(peer_types.CatalogNews(servers=servers))
    assert len(data) < 2 * MEBIBYTE, len(data)
    with measured_peak(context):
        context.decoded = codec.decode(data)


@then("it is dropped as malformed")
def then_malformed(context):
    assert context.decoded.is_err()
    assert context.decoded.err_value.reason == "bad_thrift", context.decoded


@then("at most {size:d} MiB were allocated at once")
def then_peak(context, size):
    assert context.peak_bytes <= size * MEBIBYTE, context.peak_bytes


@given("a message port")
def given_message_port(context):
    context.messages = []
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        listen = Endpoint("127.0.0.1", probe.getsockname()[1])
    context.port = BulkPort(
        listen=listen, handle_datagram=lambda data, _: context.messages.append(data)
    )


@when("{count:d} connections send {size:d} bytes each and stay open")
def when_connections_send(context, count, size):
    # Shared, so that what is measured is the receiver's memory.
    piece = bytes(size // 10)

    async def send():
        # The port closes connections that it doesn't serve.
        with contextlib.suppress(trio.BrokenResourceError):
            stream = await trio.open_tcp_stream(*context.port.listen)
            async with stream:
                for _ in range(10):
                    await stream.send_all(piece)
                await trio.sleep_forever()

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.port.run)
            await trio.sleep(0.05)
            with measured_peak(context):
                for _ in range(count):
                    nursery.start_soon(send)
                await trio.sleep(1.0)
            await receive_message(context)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def receive_message(context):
    """Send messages until one arrives; record how long that takes."""
    started = trio.current_time()
    with trio.move_on_after(10):
        while not context.messages:
            await context.port.send(b"hello", context.port.listen)
            await trio.sleep(0.05)
    context.seconds = trio.current_time() - started


@then("the port receives a message within {seconds:g} s")
def then_receives(context, seconds):
    assert context.messages == [b"hello"]
    assert context.seconds <= seconds, context.seconds
