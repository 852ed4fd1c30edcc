"""HTTP/1.1 for small messages, by h11 over trio."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

import h11
import trio
from result import Err, Ok, Result

from hornbeamdeal.kernel import Endpoint, HornbeamdealError

RECEIVE_BYTES = 65536
# A value of the platform has at most 1 MB; the rest is room for headers.
MAXIMUM_BODY_BYTES = 1_100_000
# A waiting watch lasts up to 30 s.
REQUEST_TIMEOUT_SECONDS = 40.0
MAXIMUM_CONNECTIONS = 64
_FAILURES = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.RemoteProtocolError,
)


class HttpError(HornbeamdealError):
    """An HTTP exchange failed."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A received GET request."""

    method: str
    path: str
    query: dict[str, str] = field(default_factory=dict)
    sender_ip: str = ""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response with its body."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


async def _next_event(connection: h11.Connection, stream: trio.SocketStream):
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await stream.receive_some(RECEIVE_BYTES))


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
    request = h11.Request(method="GET", target=target, headers=headers)
    await stream.send_all(connection.send(request))
    await stream.send_all(connection.send(h11.EndOfMessage()))
    response = await _next_event(connection, stream)
    if not isinstance(response, h11.Response):
        return Err(HttpError(f"{endpoint} closed the connection without an answer"))
    body = bytearray()
    while isinstance(event := await _next_event(connection, stream), h11.Data):
        body += event.data
        if len(body) > MAXIMUM_BODY_BYTES:
            return Err(HttpError(f"{target} of {endpoint} is larger than 1 MB"))
    if not isinstance(event, h11.EndOfMessage):
        return Err(HttpError(f"{endpoint} closed the connection within an answer"))
    names = {name.decode(): value.decode() for name, value in response.headers}
    return Ok(HttpResponse(response.status_code, bytes(body), names))


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
    received = await _next_event(connection, stream)
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
