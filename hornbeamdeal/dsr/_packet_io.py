"""Reading and sending of packets without waiting."""

import socket

from ._base import Journal
from ._forwarder import Forwarder

MAXIMUM_DATAGRAM_BYTES = 2048
# Packets read in a row before other tasks get their turn.
RECEIVE_BATCH = 64


class PacketSender:
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


def forward_pending(
    packet_socket: socket.socket, forwarder: Forwarder, now: float
) -> None:
    """Forward the packets that wait in the socket, up to a batch."""
    for _ in range(RECEIVE_BATCH):
        try:
            data = packet_socket.recv(MAXIMUM_DATAGRAM_BYTES)
        except BlockingIOError:
            return
        try:
            forwarder.receive(data, now)
        except Exception as error:
            # The routers may hand the same packet to every host in turn, so one
            # that meets a fault must not end the process.
            log_unexpected_error(forwarder.journal, error)


def log_unexpected_error(journal: Journal, error: Exception) -> None:
    """Log and count a fault of the program that concerns one datagram."""
    # Not needed at the start, and it takes long to load.
    from traceback import format_exception

    journal.count("unexpected_errors", type(error).__name__)
    journal.event("unexpected_error", detail="".join(format_exception(error)))
