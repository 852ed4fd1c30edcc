"""HTTP/1.1 over a blocking socket, for the time before the event loop runs."""

import socket
from collections.abc import Coroutine
from typing import Any

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

    Each wait on the socket is bounded by the request's time limit.
    """

    __slots__ = ("endpoint", "opened_")

    def __init__(self, *, endpoint: Endpoint):
        self.endpoint = endpoint
        self.opened_: socket.socket | None = None

    async def get(self, target: str, timeout_seconds: float) -> HttpResponse:
        """Request one resource; raise HttpError where no whole answer came."""
        keeps = False
        try:
            if self.opened_ is None:
                address = (self.endpoint.ip, self.endpoint.port)
                self.opened_ = socket.create_connection(address, timeout_seconds)
            stream = _BlockingStream(self.opened_)
            response, keeps = await exchange(
                stream, self.endpoint, target, keep_alive=True
            )
            return response
        except OSError as error:
            text = f"GET {target} from {self.endpoint}: {error!r}"
            raise HttpError(text) from error
        finally:
            if not keeps:
                self.close()

    def close(self) -> None:
        """Close the connection."""
        if self.opened_ is not None:
            self.opened_.close()
        self.opened_ = None


def run_blocking(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never suspends and return its result."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    coroutine.close()
    raise RuntimeError("the coroutine waits for an event loop; run it with trio")
