"""UDP and TCP ports for datagrams and larger messages."""

from collections.abc import Callable
from functools import partial

import trio

from hornbeamdeal.kernel import Endpoint

from ._connections import ErrorRecorder, log_error, run_contained, serve_connections

MAXIMUM_DATAGRAM_BYTES = 65507
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
# Datagrams read in a row before other tasks run.
RECEIVE_BATCH = 64
MAXIMUM_BULK_BYTES = 2 * 1024 * 1024
LENGTH_BYTES = 4
BULK_TIMEOUT_SECONDS = 2.0
MAXIMUM_BULK_CONNECTIONS = 32
# Of all messages that are being received. Few large ones come at a time, since a host asks
# one peer for a full copy.
MAXIMUM_BUFFERED_BYTES = 8 * 1024 * 1024

DatagramHandler = Callable[[bytes, Endpoint], None]


class UdpPort:
    """A UDP socket that passes each received datagram to a function.

    Sending never blocks: a datagram that the operating system does not accept
    immediately is dropped, as on a congested link, and counted.
    """

    __slots__ = ("handle_datagram", "listen", "socket_", "unsent_")

    def __init__(self, *, listen: Endpoint, handle_datagram: DatagramHandler):
        self.listen = listen
        self.handle_datagram = handle_datagram
        self.unsent_ = 0

    async def open(self) -> None:
        """Bind the socket."""
        family = trio.socket.AF_INET6 if ":" in self.listen.ip else trio.socket.AF_INET
        self.socket_ = trio.socket.socket(family, trio.socket.SOCK_DGRAM)
        self.socket_.setsockopt(
            trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        await self.socket_.bind((self.listen.ip, self.listen.port))

    def send(self, data: bytes, destination: Endpoint) -> None:
        """Send a datagram without blocking."""
        raw_socket = self.socket_._sock
        try:
            raw_socket.sendto(data, (destination.ip, destination.port))
        except OSError:
            self.unsent_ += 1

    async def run(self) -> None:
        """Handle received datagrams until cancelled."""
        raw_socket = self.socket_._sock
        while True:
            data, sender = await self.socket_.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            self.handle_datagram(data, Endpoint(sender[0], sender[1]))
            for _ in range(RECEIVE_BATCH):
                try:
                    data, sender = raw_socket.recvfrom(MAXIMUM_DATAGRAM_BYTES)
                except OSError:
                    break
                self.handle_datagram(data, Endpoint(sender[0], sender[1]))


class BulkPort:
    """A TCP port for messages too large for a datagram, one per connection.

    A message is dropped if the ones being received would take too much memory.
    """

    __slots__ = ("handle_datagram", "listen", "record_error", "_buffered_bytes")

    def __init__(
        self,
        *,
        listen: Endpoint,
        handle_datagram: DatagramHandler,
        record_error: ErrorRecorder = log_error,
    ):
        self.listen = listen
        self.handle_datagram = handle_datagram
        self.record_error = record_error
        self._buffered_bytes = 0

    async def send(self, data: bytes, destination: Endpoint) -> None:
        """Send one message; drop it without an error if that fails or times out."""
        with trio.move_on_after(BULK_TIMEOUT_SECONDS):
            await run_contained(
                partial(self._send_message, data, destination), self.record_error
            )

    async def run(self) -> None:
        """Handle received messages until cancelled."""
        await serve_connections(
            self.listen,
            self._receive_message,
            maximum_connections=MAXIMUM_BULK_CONNECTIONS,
            timeout_seconds=BULK_TIMEOUT_SECONDS,
            record_error=self.record_error,
        )

    async def _send_message(self, data: bytes, destination: Endpoint) -> None:
        # Peers and address translation identify hosts by this address.
        stream = await trio.open_tcp_stream(
            destination.ip, destination.port, local_address=self.listen.ip
        )
        async with stream:
            await stream.send_all(len(data).to_bytes(LENGTH_BYTES, "big"))
            await stream.send_all(data)

    async def _receive_message(self, stream: trio.SocketStream) -> None:
        peer = stream.socket.getpeername()
        buffer = bytearray()
        try:
            while chunk := await stream.receive_some():
                buffer += chunk
                self._buffered_bytes += len(chunk)
                is_too_long = len(buffer) > MAXIMUM_BULK_BYTES + LENGTH_BYTES
                if is_too_long or self._buffered_bytes > MAXIMUM_BUFFERED_BYTES:
                    return
        finally:
            self._buffered_bytes -= len(buffer)
        length = int.from_bytes(buffer[:LENGTH_BYTES], "big")
        if len(buffer) == length + LENGTH_BYTES:
            self.handle_datagram(
                bytes(buffer[LENGTH_BYTES:]), Endpoint(peer[0], peer[1])
            )
