"""HTTP/1.1 over a blocking socket, for the time before the event loop runs."""

import socket
from collections.abc import Coroutine
from typing import Any

import h11
from result import Err, Result

from hornbeamdeal.kernel import Endpoint

from ._http_exchange import HttpError, HttpResponse, exchange


class _BlockingStream:
    """Stream whose methods block instead of suspending."""

    __slots__ = ("opened",)

    def __init__(self, opened: socket.socket):
        self.opened = opened

    async def send_all(self, data: bytes) -> None:
        """Send everything."""
        self.opened.sendall(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return what has arrived, nothing at the end of the stream."""
        return self.opened.recv(max_bytes)


class BlockingHttpClient:
    """Client with the interface of `HttpClient` whose requests block.

    Each request uses a connection of its own. Every wait on the socket is
    bounded by the request's time limit.
    """

    __slots__ = ("endpoint",)

    def __init__(self, *, endpoint: Endpoint):
        self.endpoint = endpoint

    async def get(
        self, target: str, timeout_seconds: float
    ) -> Result[HttpResponse, HttpError]:
        """Request one resource."""
        address = (self.endpoint.ip, self.endpoint.port)
        headers = [("Host", str(self.endpoint)), ("Connection", "close")]
        try:
            with socket.create_connection(address, timeout_seconds) as opened:
                return await exchange(
                    h11.Connection(h11.CLIENT),
                    _BlockingStream(opened),
                    self.endpoint,
                    target,
                    headers,
                )
        except (OSError, h11.RemoteProtocolError) as error:
            return Err(HttpError(f"GET {target} from {self.endpoint}: {error!r}"))


def run_blocking(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never suspends and return its result."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    coroutine.close()
    raise RuntimeError("the coroutine waits for an event loop; run it with trio")
