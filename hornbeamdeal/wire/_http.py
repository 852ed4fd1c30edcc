"""HTTP/1.1 clients and a server for small messages, over trio."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from urllib.parse import parse_qsl, urlsplit

import httptools
import trio
from result import Err, Ok, Result

from hornbeamdeal.kernel import Endpoint

from ._connections import STREAM_ERRORS, ErrorRecorder, log_error, serve_connections
from ._http_exchange import (
    RECEIVE_BYTES,
    BodyTooLargeError,
    HttpError,
    HttpResponse,
    exchange,
)

# Longer than the 30 s for which the platform may delay the response to a watch.
REQUEST_TIMEOUT_SECONDS = 40.0
# A response that arrives at this rate or faster is waited for. The narrowest link has
# some 600 KB/s, which callers' packets share.
MINIMUM_BYTES_PER_SECOND = 250_000
MAXIMUM_CONNECTIONS = 64
# Requests have no body, so this limits the request line and headers.
MAXIMUM_REQUEST_BYTES = 65536
_REASONS_BY_STATUS = {200: "OK", 400: "Bad Request", 404: "Not Found"}
_REQUEST_ERRORS = (trio.TooSlowError, HttpError, *STREAM_ERRORS)


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A received GET request."""

    method: str
    path: str
    query: dict[str, str] = field(default_factory=dict)
    sender_ip: str = ""


async def get(
    endpoint: Endpoint, target: str, source_ip: str | None = None
) -> Result[HttpResponse, HttpError]:
    """Send a GET request over a new connection; errors name the endpoint."""
    try:
        with trio.fail_after(REQUEST_TIMEOUT_SECONDS):
            stream = await trio.open_tcp_stream(
                endpoint.ip, endpoint.port, local_address=source_ip
            )
            async with stream:
                response, _ = await exchange(stream, endpoint, target, keep_alive=False)
                return Ok(response)
    except _REQUEST_ERRORS as error:
        return Err(HttpError(f"GET {target} from {endpoint} failed: {error!r}"))


class HttpClient:
    """Client of one endpoint that reuses its connection for the next request.

    Only one request may be in progress at a time. The connection is closed
    after any error, since the response that was missed cannot arrive any more.
    """

    __slots__ = ("connect_timeout", "endpoint", "stream_")

    def __init__(self, *, endpoint: Endpoint, connect_timeout: float):
        self.endpoint = endpoint
        self.connect_timeout = connect_timeout
        self.stream_: trio.SocketStream | None = None

    async def get(self, target: str, timeout_seconds: float) -> HttpResponse:
        """Request one resource; raise HttpError if no complete response arrives.

        It is a BodyTooLargeError if the response is too large. The timeout excludes the
        time to connect; a large response gets more time as long as it keeps arriving.
        """
        is_reusable = False
        endpoint = self.endpoint
        try:
            if self.stream_ is None:
                await self._connect()
            self._check_endpoint(endpoint)
            with trio.fail_after(timeout_seconds) as scope:
                stream = _TimedStream(self.stream_, scope, timeout_seconds)
                response, keeps_alive = await exchange(
                    stream, endpoint, target, keep_alive=True
                )
            self._check_endpoint(endpoint)
            is_reusable = keeps_alive
            return response
        except BodyTooLargeError:
            raise
        except _REQUEST_ERRORS as error:
            text = f"GET {target} from {endpoint}: {error!r}"
            raise HttpError(text) from error
        finally:
            if not is_reusable:
                self.close()

    def move_to(self, endpoint: Endpoint) -> None:
        """Send the next requests to another endpoint; one in progress fails."""
        self.endpoint = endpoint
        self.close()

    def _check_endpoint(self, endpoint: Endpoint) -> None:
        # A response of the former endpoint may be older than what is known by now.
        if endpoint != self.endpoint:
            raise HttpError(f"requests go to {self.endpoint} from now on")

    def close(self) -> None:
        """Close the connection immediately."""
        if self.stream_ is not None:
            self.stream_.socket.close()
        self.stream_ = None

    async def _connect(self) -> None:
        connection = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
        try:
            with trio.fail_after(self.connect_timeout):
                await connection.connect((self.endpoint.ip, self.endpoint.port))
        except BaseException:
            connection.close()
            raise
        self.stream_ = trio.SocketStream(connection)


class _TimedStream:
    """Stream that extends a time limit by what is received at the minimum rate.

    A pause as long as the first limit ends the wait all the same.
    """

    __slots__ = ("received", "scope", "stream", "timeout", "_first_deadline")

    def __init__(
        self, stream: trio.SocketStream, scope: trio.CancelScope, timeout: float
    ):
        self.stream = stream
        self.scope = scope
        self.timeout = timeout
        self.received = 0
        self._first_deadline = scope.deadline

    async def send_all(self, data: bytes) -> None:
        """Send all data."""
        await self.stream.send_all(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return received data, empty at the end of the stream."""
        data = await self.stream.receive_some(max_bytes)
        self.received += len(data)
        extension = self.received / MINIMUM_BYTES_PER_SECOND
        pause_ends_at = trio.current_time() + self.timeout
        self.scope.deadline = max(
            self._first_deadline, min(self._first_deadline + extension, pause_ends_at)
        )
        return data


class _RequestReader:
    """Collects one request; its methods are callbacks of the parser.

    As in the reader of a response, there is no reference to the parser.
    """

    __slots__ = ("is_complete", "url")

    def __init__(self):
        self.url = b""
        self.is_complete = False

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self.url += url

    def on_message_complete(self) -> None:
        """Record the end of the request."""
        self.is_complete = True


async def serve_http(
    listen: Endpoint,
    respond: Callable[[HttpRequest], Awaitable[HttpResponse | None]],
    record_error: ErrorRecorder = log_error,
) -> None:
    """Serve GET requests, one per connection; a response of None sends nothing."""
    await serve_connections(
        listen,
        partial(_serve_one, respond=respond, record_error=record_error),
        maximum_connections=MAXIMUM_CONNECTIONS,
        timeout_seconds=REQUEST_TIMEOUT_SECONDS,
        record_error=record_error,
    )


async def _serve_one(stream, respond, record_error) -> None:
    request = await _read_request(stream)
    if request is None:
        return
    try:
        response = await respond(request)
    except Exception as error:
        record_error(error)
        response = HttpResponse(500, b"internal error; see the log\n")
    if response is not None:
        await stream.send_all(_encode_response(response))


async def _read_request(stream: trio.SocketStream) -> HttpRequest | None:
    """Return the request, None if it is missing, too large or not HTTP."""
    reader = _RequestReader()
    parser = httptools.HttpRequestParser(reader)
    received = 0
    while not reader.is_complete:
        data = await stream.receive_some(RECEIVE_BYTES)
        received += len(data)
        if not data or received > MAXIMUM_REQUEST_BYTES:
            return None
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request offers another protocol after it, which a server may ignore
            # (RFC 9110, 7.8).
            break
        except httptools.HttpParserError as error:
            logging.getLogger("hornbeamdeal").info("no_http_request: %r", error)
            return None
    try:
        parts = urlsplit(reader.url.decode("latin-1"))
    except ValueError as error:
        logging.getLogger("hornbeamdeal").info("no_http_request: %r", error)
        return None
    return HttpRequest(
        parser.get_method().decode(),
        parts.path,
        dict(parse_qsl(parts.query)),
        stream.socket.getpeername()[0],
    )


def _encode_response(response: HttpResponse) -> bytes:
    headers = {"Content-Length": str(len(response.body)), "Connection": "close"}
    headers.update(response.headers)
    lines = [
        f"HTTP/1.1 {response.status} {_REASONS_BY_STATUS.get(response.status, '')}"
    ]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + response.body
