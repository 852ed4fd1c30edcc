"""One HTTP/1.1 exchange by h11, over any stream."""

from dataclasses import dataclass, field
from typing import Any, Protocol

import h11
from result import Err, Ok, Result

from hornbeamdeal.kernel import Endpoint, HornbeamdealError

RECEIVE_BYTES = 65536
# A value of the platform has at most 1 MB; the rest is room for headers.
MAXIMUM_BODY_BYTES = 1_100_000


class Stream(Protocol):
    """The parts of a byte stream that an exchange needs."""

    async def send_all(self, data: bytes) -> None:
        """Send everything."""

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return what has arrived, nothing at the end of the stream."""


class HttpError(HornbeamdealError):
    """An HTTP exchange failed."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response with its body."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


async def next_event(connection: h11.Connection, stream: Stream) -> Any:
    """Return the next event of a connection, reading what it needs."""
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await stream.receive_some(RECEIVE_BYTES))


async def exchange(
    connection: h11.Connection,
    stream: Stream,
    endpoint: Endpoint,
    target: str,
    headers: list[tuple[str, str]],
) -> Result[HttpResponse, HttpError]:
    """Send a GET request and read the whole answer."""
    head = h11.Request(method="GET", target=target, headers=headers)
    data = connection.send(head) + connection.send(h11.EndOfMessage())
    await stream.send_all(data)
    response = await next_event(connection, stream)
    if not isinstance(response, h11.Response):
        return Err(HttpError(f"{endpoint} closed the connection without an answer"))
    body = bytearray()
    while isinstance(event := await next_event(connection, stream), h11.Data):
        body += event.data
        if len(body) > MAXIMUM_BODY_BYTES:
            return Err(HttpError(f"{target} of {endpoint} is larger than 1 MB"))
    if not isinstance(event, h11.EndOfMessage):
        return Err(HttpError(f"{endpoint} closed the connection within an answer"))
    names = {name.decode(): value.decode() for name, value in response.headers}
    return Ok(HttpResponse(response.status_code, bytes(body), names))
