"""HTTP/1.1 for small messages, by h11 over trio."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

import h11
import trio
from result import Err, Result

from hornbeamdeal.kernel import Endpoint

from ._http_exchange import HttpError, HttpResponse, exchange, next_event

# A waiting watch lasts up to 30 s.
REQUEST_TIMEOUT_SECONDS = 40.0
MAXIMUM_CONNECTIONS = 64
_FAILURES = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.RemoteProtocolError,
)


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
    """Read a target by GET; a failure names the endpoint."""
    try:
        with trio.fail_after(REQUEST_TIMEOUT_SECONDS):
            stream = await trio.open_tcp_stream(
                endpoint.ip, endpoint.port, local_address=source_ip
            )
            async with stream:
                return await _exchange(stream, endpoint, target)
    except (trio.TooSlowError, *_FAILURES) as error:
        return Err(HttpError(f"GET {target} from {endpoint} failed: {error!r}"))


async def _exchange(stream, endpoint, target) -> Result[HttpResponse, HttpError]:
    connection = h11.Connection(h11.CLIENT)
    headers = [("Host", str(endpoint)), ("Connection", "close")]
    return await exchange(connection, stream, endpoint, target, headers)


class HttpClient:
    """Client of one endpoint that keeps its connection for the next request.

    Only one request is under way at a time. After any failure the connection
    is closed: what was lost on it never comes.
    """

    __slots__ = ("endpoint", "connect_timeout", "connection_", "stream_")

    def __init__(self, *, endpoint: Endpoint, connect_timeout: float):
        self.endpoint = endpoint
        self.connect_timeout = connect_timeout
        self.connection_: h11.Connection | None = None
        self.stream_: trio.SocketStream | None = None

    async def get(
        self, target: str, timeout_seconds: float
    ) -> Result[HttpResponse, HttpError]:
        """Request one resource; the time limit covers the whole answer."""
        try:
            if self.stream_ is None:
                await self._connect()
            with trio.fail_after(timeout_seconds):
                headers = [("Host", str(self.endpoint))]
                result = await exchange(
                    self.connection_, self.stream_, self.endpoint, target, headers
                )
        except (trio.TooSlowError, *_FAILURES) as error:
            result = Err(HttpError(f"GET {target} from {self.endpoint}: {error!r}"))
        except trio.Cancelled:
            self.close()
            raise
        if result.is_err() or not self._start_next_cycle():
            self.close()
        return result

    def close(self) -> None:
        """Close the connection at once."""
        if self.stream_ is not None:
            self.stream_.socket.close()
        self.stream_ = self.connection_ = None

    async def _connect(self) -> None:
        with trio.fail_after(self.connect_timeout):
            opened = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
            try:
                await opened.connect((self.endpoint.ip, self.endpoint.port))
            except BaseException:
                opened.close()
                raise
        self.stream_ = trio.SocketStream(opened)
        self.connection_ = h11.Connection(h11.CLIENT)

    def _start_next_cycle(self) -> bool:
        try:
            self.connection_.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True


async def serve_http(
    listen: Endpoint,
    respond: Callable[[HttpRequest], Awaitable[HttpResponse | None]],
) -> None:
    """Serve GET requests, one for each connection."""
    limit = trio.CapacityLimiter(MAXIMUM_CONNECTIONS)

    async def serve_connection(stream: trio.SocketStream) -> None:
        try:
            async with limit, stream:
                with trio.move_on_after(REQUEST_TIMEOUT_SECONDS):
                    await _serve_one(stream, respond)
        except _FAILURES:
            return

    await trio.serve_tcp(serve_connection, listen.port, host=listen.ip)


async def _serve_one(stream, respond) -> None:
    connection = h11.Connection(h11.SERVER)
    received = await next_event(connection, stream)
    if not isinstance(received, h11.Request):
        return
    parts = urlsplit(received.target.decode())
    request = HttpRequest(
        received.method.decode(),
        parts.path,
        dict(parse_qsl(parts.query)),
        stream.socket.getpeername()[0],
    )
    try:
        response = await respond(request)
    except Exception:
        # A fault in one page must not end the daemon that serves callers.
        logging.getLogger("hornbeamdeal").exception("unexpected_error")
        response = HttpResponse(500, b"internal error; see the log\n")
    if response is None:
        return
    headers = [("Content-Length", str(len(response.body))), ("Connection", "close")]
    headers += list(response.headers.items())
    head = h11.Response(status_code=response.status, headers=headers)
    data = connection.send(head)
    if response.body:
        data += connection.send(h11.Data(data=response.body))
    await stream.send_all(data + connection.send(h11.EndOfMessage()))
