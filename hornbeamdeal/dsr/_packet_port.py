"""The socket of callers' packets."""

import socket

from hornbeamdeal.kernel import Endpoint

from ._base import Journal
from ._forwarder import Forwarder

RECEIVE_BUFFER_BYTES = 1024 * 1024
MAXIMUM_DATAGRAM_BYTES = 2048
# Packets read in a row before other tasks get their turn.
RECEIVE_BATCH = 64


def open_packet_socket(listen: Endpoint) -> socket.socket:
    """Bind the socket of callers' packets, so that they wait during the start."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    opened.setblocking(False)
    opened.bind((listen.ip, listen.port))
    return opened


class PacketPort:
    """Sends datagrams without waiting; what the kernel refuses is counted."""

    __slots__ = ("journal", "packet_socket")

    def __init__(self, packet_socket: socket.socket, journal: Journal):
        self.packet_socket = packet_socket
        self.journal = journal

    def __call__(self, data: bytes, address: tuple[str, int]) -> None:
        """Send, or drop and count."""
        try:
            self.packet_socket.sendto(data, address)
        except OSError as error:
            self.journal.count("packets_dropped", f"send_{type(error).__name__}")


def forward_waiting(
    packet_socket: socket.socket, forwarder: Forwarder, now: float
) -> None:
    """Forward the packets that wait in the socket, up to a batch."""
    for _ in range(RECEIVE_BATCH):
        try:
            data = packet_socket.recv(MAXIMUM_DATAGRAM_BYTES)
        except BlockingIOError:
            return
        forwarder.receive(data, now)
