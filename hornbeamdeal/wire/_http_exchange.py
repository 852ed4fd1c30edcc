"""HTTP/1.1 request and response over any byte stream, parsed by httptools."""

from typing import Protocol

import httptools

from hornbeamdeal.kernel import Endpoint, HornbeamdealError

RECEIVE_BYTES = 65536
# A watch of the platform's store returns all values that were written since the one
# before: up to four of 1 MiB in base64.
MAXIMUM_BODY_BYTES = 6_000_000
MAXIMUM_HEAD_BYTES = 65_536


class Stream(Protocol):
    """Interface of the byte stream that an exchange uses."""

    async def send_all(self, data: bytes) -> None:
        """Send all data."""

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return received data, empty at the end of the stream."""


class HttpError(HornbeamdealError):
    """An HTTP exchange failed."""

    __slots__ = ()


class BodyTooLargeError(HttpError):
    """A response is larger than `MAXIMUM_BODY_BYTES`; it can't be received."""

    __slots__ = ()


class HttpResponse:
    """A response with its body."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, body: bytes, headers: dict[str, str] | None = None):
        self.status = status
        self.body = body
        self.headers = headers or {}


class _ResponseReader:
    """Collects one response; its methods are callbacks of the parser.

    It doesn't refer to the parser, which refers to it: a cycle would keep the body until
    the next run of the garbage collector, which counts objects and not their size.
    """

    __slots__ = ("body", "has_head", "headers", "is_complete")

    def __init__(self):
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.has_head = False
        self.is_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Record the end of the headers."""
        self.has_head = True

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Record the end of the response."""
        self.is_complete = True


async def exchange(
    stream: Stream, endpoint: Endpoint, target: str, *, keep_alive: bool
) -> tuple[HttpResponse, bool]:
    """Send a GET request; return the response and whether to reuse the stream.

    Raise HttpError if the response is incomplete or not HTTP, BodyTooLargeError if it is
    too large.
    """
    option = "keep-alive" if keep_alive else "close"
    head = f"GET {target} HTTP/1.1\r\nHost: {endpoint}\r\nConnection: {option}\r\n\r\n"
    await stream.send_all(head.encode("ascii"))
    reader = _ResponseReader()
    parser = httptools.HttpResponseParser(reader)
    received = 0
    while not reader.is_complete:
        data = await stream.receive_some(RECEIVE_BYTES)
        received += len(data)
        if not data:
            raise HttpError(
                f"{endpoint} closed the connection before the response was complete"
            )
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise HttpError(
                f"{endpoint} sent an invalid HTTP response: {error!r}"
            ) from error
        if not reader.has_head and received > MAXIMUM_HEAD_BYTES:
            raise HttpError(f"{endpoint} sent headers without an end")
        if len(reader.body) > MAXIMUM_BODY_BYTES:
            raise BodyTooLargeError(
                f"{target} of {endpoint} is larger than {MAXIMUM_BODY_BYTES} bytes"
            )
    status = parser.get_status_code()
    response = HttpResponse(status, bytes(reader.body), reader.headers)
    return response, parser.should_keep_alive()
