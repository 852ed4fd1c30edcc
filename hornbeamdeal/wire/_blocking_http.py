"""HTTP/1.1 client over a blocking socket, for use before the event loop runs."""

import socket
from collections.abc import Coroutine
from typing import Any

from hornbeamdeal.kernel import Endpoint

from ._http_exchange import HttpError, HttpResponse, exchange


class _BlockingStream:
    """Stream whose methods block instead of yielding to an event loop."""

    __slots__ = ("connection",)

    def __init__(self, connection: socket.socket):
        self.connection = connection

    async def send_all(self, data: bytes) -> None:
        """Send all data."""
        self.connection.sendall(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return received data, empty at the end of the stream."""
        return self.connection.recv(max_bytes)


class BlockingHttpClient:
    """Blocking client with the interface of `HttpClient`.

    The timeout limits each wait on the socket, not the whole request.
    """

    __slots__ = ("endpoint", "connection_")

    def __init__(self, *, endpoint: Endpoint):
        self.endpoint = endpoint
        self.connection_: socket.socket | None = None

    async def get(self, target: str, timeout_seconds: float) -> HttpResponse:
        """Request one resource; raise HttpError if no complete response arrives."""
        is_reusable = False
        try:
            if self.connection_ is None:
                address = (self.endpoint.ip, self.endpoint.port)
                self.connection_ = socket.create_connection(address, timeout_seconds)
            stream = _BlockingStream(self.connection_)
            response, is_reusable = await exchange(
                stream, self.endpoint, target, keep_alive=True
            )
            return response
        except OSError as error:
            text = f"GET {target} from {self.endpoint}: {error!r}"
            raise HttpError(text) from error
        finally:
            if not is_reusable:
                self.close()

    def move_to(self, endpoint: Endpoint) -> None:
        """Send the next requests to another endpoint."""
        self.endpoint = endpoint
        self.close()

    def close(self) -> None:
        """Close the connection."""
        if self.connection_ is not None:
            self.connection_.close()
        self.connection_ = None


def run_blocking(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never suspends and return its result."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    coroutine.close()
    raise RuntimeError("the coroutine needs an event loop; run it with trio")
