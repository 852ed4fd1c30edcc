"""Steps for connections that fail or send malformed data."""

import contextlib
import random
import socket
import struct
from functools import partial

import trio
from behave import given, then, when

from hornbeamdeal.kernel import Endpoint
from hornbeamdeal.wire import BulkPort, HttpClient, HttpError, HttpResponse, serve_http

IP = "127.0.0.1"
REQUEST = b"GET /status HTTP/1.1\r\nHost: a\r\nAccept: */*\r\n\r\n"
MESSAGE = (5).to_bytes(4, "big") + b"hello"
FAILING = b"fail!"
ANSWER_SECONDS = 2.0


class ListeningPort:
    """A page server or a message port, with what it recorded."""

    def __init__(self, kind, fails=False):
        self.kind = kind
        self.fails = fails
        self.errors = []
        self.messages = []
        self.endpoint = Endpoint(IP, free_port())
        self.bulk_port = BulkPort(
            listen=self.endpoint,
            handle_datagram=self.handle_message,
            record_error=self.errors.append,
        )

    @property
    def sample(self):
        """Return what a connection sends that is served."""
        return REQUEST if self.kind == "page server" else MESSAGE

    async def respond(self, request):
        if self.fails and request.path == "/fail":
            raise ZeroDivisionError("unforeseen")
        return HttpResponse(200, b"served")

    def handle_message(self, data, sender):
        if self.fails and data == FAILING:
            raise ZeroDivisionError("unforeseen")
        self.messages.append(data)

    async def run(self):
        if self.kind == "page server":
            await serve_http(self.endpoint, self.respond, self.errors.append)
        else:
            await self.bulk_port.run()

    async def serves(self):
        """Return whether a well-formed connection is served."""
        self.messages.clear()
        data = await self.exchange(self.sample)
        if self.kind == "page server":
            return data.endswith(b"served")
        return self.messages == [MESSAGE[4:]]

    async def exchange(self, data, half_closes=True):
        """Send data and close that side; return what comes back."""
        received = b""
        with trio.move_on_after(ANSWER_SECONDS):
            stream = await trio.open_tcp_stream(*self.endpoint)
            async with stream:
                try:
                    await stream.send_all(data)
                    if half_closes:
                        await stream.send_eof()
                    while chunk := await stream.receive_some():
                        received += chunk
                except trio.BrokenResourceError:
                    pass
        return received

    def connect_and_reset(self, data):
        """Send data and reset the connection, before this thread accepts it."""
        connection = socket.create_connection(self.endpoint)
        connection.sendall(data)
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()


def free_port():
    with socket.socket() as probe:
        probe.bind((IP, 0))
        return probe.getsockname()[1]


def run_beside(context, script):
    """Run a script beside the port; record afterwards whether the port serves."""

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.port.run)
            await trio.sleep(0.05)
            context.result = await script(context.port)
            await trio.sleep(0.05)
            context.errors = list(context.port.errors)
            context.serves = await context.port.serves()
            nursery.cancel_scope.cancel()

    trio.run(main)


@given("a {kind} that records unexpected errors")
def given_port(context, kind):
    context.port = ListeningPort(kind)


@given("a {kind} that fails in {place}")
def given_failing_port(context, kind, place):
    context.port = ListeningPort(kind, fails=True)


def mutate(generator, sample):
    """Return random bytes, or the sample with a few bytes replaced."""
    if generator.random() < 0.3:
        return generator.randbytes(generator.randrange(200))
    data = bytearray(sample * generator.choice((1, 1, 3)))
    for _ in range(generator.randrange(1, 5)):
        data[generator.randrange(len(data))] = generator.randrange(256)
    return bytes(data[: generator.randrange(1, len(data) + 1)])


@when("{count:d} connections send random and mutated requests")
def when_mutated(context, count):
    generator = random.Random(1)

    async def script(port):
        for _ in range(count):
            await port.exchange(mutate(generator, port.sample))

    run_beside(context, script)


@when("{count:d} connections are reset before they are accepted")
def when_reset_early(context, count):
    async def script(port):
        for _ in range(count):
            port.connect_and_reset(b"")

    run_beside(context, script)


@when("{count:d} connections are reset after half of a request")
def when_reset_midway(context, count):
    async def script(port):
        for _ in range(count):
            port.connect_and_reset(port.sample[:5])
            await trio.sleep(0.005)

    run_beside(context, script)


@when("{count:d} connections are half-closed after half of a request")
def when_half_closed(context, count):
    async def script(port):
        for _ in range(count):
            await port.exchange(port.sample[:5])

    run_beside(context, script)


@when('a request with "{offer}" is sent')
def when_offer(context, offer):
    fields = "".join(f"{field}\r\n" for field in offer.split("; "))
    request = f"GET /metrics HTTP/1.1\r\nHost: a\r\n{fields}\r\n".encode()
    run_beside(context, lambda port: port.exchange(request, half_closes=False))


@when("{count:d} requests are sent at once on one connection")
def when_pipelined(context, count):
    run_beside(context, lambda port: port.exchange(count * REQUEST, half_closes=False))


@when("a connection makes it fail")
def when_fails(context):
    data = REQUEST.replace(b"/status", b"/fail")
    if context.port.kind == "message port":
        data = MESSAGE[:4] + FAILING
    run_beside(context, lambda port: port.exchange(data))


@when("it sends a message to port {number:d}")
def when_sent_to(context, number):
    run_beside(context, lambda port: port.bulk_port.send(b"data", Endpoint(IP, number)))


@when("a server answers a request with status 101")
def when_switching(context):
    endpoint = Endpoint(IP, free_port())

    async def answer(stream):
        await stream.receive_some()
        head = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n"
        await stream.send_all(head + b"Connection: Upgrade\r\n\r\n")

    async def main():
        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_tcp, answer, endpoint.port)
            client = HttpClient(endpoint=endpoint, connect_timeout=1.0)
            try:
                context.result = await client.get("/", ANSWER_SECONDS)
            except HttpError as error:
                context.result = error
            nursery.cancel_scope.cancel()

    trio.run(main)


@then("the {kind} still serves")
def then_serves(context, kind):
    assert context.serves


@then("no unexpected error was recorded")
def then_no_error(context):
    assert context.errors == [], context.errors


@then("one unexpected error was recorded")
def then_one_error(context):
    assert [type(e) for e in context.errors] == [ZeroDivisionError], context.errors


@then("it is answered with status {status:d}")
def then_status(context, status):
    assert context.result.startswith(f"HTTP/1.1 {status} ".encode()), context.result
    assert context.errors == [], context.errors


@then("the request fails with an HTTP error")
def then_http_error(context):
    assert isinstance(context.result, HttpError), context.result


CHUNK_SECONDS = 0.05


@when(
    "a store sends a response of {size:d} bytes at {rate:d} bytes a second and {then}"
)
def when_slow_response(context, size, rate, then):
    async def serve(stream):
        await stream.receive_some(1000)
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        left = size
        end = size * 3 // 4 if then == "stops after a quarter" else 0
        while left > end:
            count = min(left, round(rate * CHUNK_SECONDS))
            await stream.send_all(bytes(count))
            left -= count
            await trio.sleep(CHUNK_SECONDS)
        await trio.sleep_forever()

    async def serve_one(stream):
        # The client may have closed the connection.
        with contextlib.suppress(trio.BrokenResourceError):
            await serve(stream)

    async def main():
        async with trio.open_nursery() as nursery:
            listen = partial(trio.serve_tcp, serve_one, 0, host=IP)
            [listener] = await nursery.start(listen)
            port = listener.socket.getsockname()[1]
            client = HttpClient(endpoint=Endpoint(IP, port), connect_timeout=1.0)
            started = trio.current_time()
            try:
                await client.get("/", 0.7)
                context.result = "succeeds"
            except HttpError:
                context.result = "fails"
            context.seconds = trio.current_time() - started
            client.close()
            nursery.cancel_scope.cancel()

    trio.run(main)


@then("a request with a timeout of 0.7 s {result} within {seconds:g} s")
def then_request(context, result, seconds):
    assert context.result == result
    assert context.seconds <= seconds, context.seconds
