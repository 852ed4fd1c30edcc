"""UDP and TCP ports of an entry host."""

from collections.abc import Callable

import trio

from hornbeamdeal.kernel import Endpoint

MAXIMUM_DATAGRAM_BYTES = 65507
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
# Datagrams read in a row before other tasks get their turn.
RECEIVE_BATCH = 64
MAXIMUM_BULK_BYTES = 2 * 1024 * 1024
LENGTH_BYTES = 4
BULK_TIMEOUT_SECONDS = 2.0
MAXIMUM_BULK_CONNECTIONS = 32

Receive = Callable[[bytes, Endpoint], None]


class UdpPort:
    """A UDP socket that hands each datagram to a function.

    Sending never waits: a datagram that the kernel does not take at once is
    lost, as on a full link, and counted.
    """

    __slots__ = ("listen", "receive", "socket_", "unsent_")

    def __init__(self, *, listen: Endpoint, receive: Receive):
        self.listen = listen
        self.receive = receive
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
        """Send a datagram without waiting."""
        raw_socket = self.socket_._sock
        try:
            raw_socket.sendto(data, (destination.ip, destination.port))
        except OSError:
            self.unsent_ += 1

    async def run(self) -> None:
        """Receive until cancelled."""
        raw_socket = self.socket_._sock
        while True:
            data, sender = await self.socket_.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            self.receive(data, Endpoint(sender[0], sender[1]))
            for _ in range(RECEIVE_BATCH):
                try:
                    data, sender = raw_socket.recvfrom(MAXIMUM_DATAGRAM_BYTES)
                except OSError:
                    break
                self.receive(data, Endpoint(sender[0], sender[1]))


class BulkPort:
    """Messages too large for a datagram, one for each TCP connection."""

    __slots__ = ("listen", "receive")

    def __init__(self, *, listen: Endpoint, receive: Receive):
        self.listen = listen
        self.receive = receive

    async def send(self, data: bytes, destination: Endpoint) -> None:
        """Send one message; a failure counts as a lost message."""
        with trio.move_on_after(BULK_TIMEOUT_SECONDS):
            try:
                # Peers and address translation tell hosts apart by this address.
                stream = await trio.open_tcp_stream(
                    destination.ip, destination.port, local_address=self.listen.ip
                )
                async with stream:
                    await stream.send_all(len(data).to_bytes(LENGTH_BYTES, "big"))
                    await stream.send_all(data)
            except (OSError, trio.BrokenResourceError):
                return

    async def run(self) -> None:
        """Receive until cancelled."""
        limit = trio.CapacityLimiter(MAXIMUM_BULK_CONNECTIONS)

        async def serve_connection(stream: trio.SocketStream) -> None:
            async with limit, stream:
                with trio.move_on_after(BULK_TIMEOUT_SECONDS):
                    await self._receive_message(stream)

        await trio.serve_tcp(serve_connection, self.listen.port, host=self.listen.ip)

    async def _receive_message(self, stream: trio.SocketStream) -> None:
        peer = stream.socket.getpeername()
        buffer = bytearray()
        try:
            while chunk := await stream.receive_some():
                buffer += chunk
                if len(buffer) > MAXIMUM_BULK_BYTES + LENGTH_BYTES:
                    return
        except trio.BrokenResourceError:
            return
        length = int.from_bytes(buffer[:LENGTH_BYTES], "big")
        if len(buffer) == length + LENGTH_BYTES:
            self.receive(bytes(buffer[LENGTH_BYTES:]), Endpoint(peer[0], peer[1]))
