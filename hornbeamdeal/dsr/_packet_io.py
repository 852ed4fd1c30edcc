"""Non-blocking receipt and sending of packets."""

import socket
from collections.abc import Callable
from typing import Any

from ._base import Journal
from ._forwarder import Forwarder

MAXIMUM_DATAGRAM_BYTES = 2048
# Packets received in a row before other tasks run.
RECEIVE_BATCH = 64


class PacketSender:
    """Sends datagrams without blocking; counts those that the kernel refuses."""

    __slots__ = ("journal", "packet_socket")

    def __init__(self, packet_socket: socket.socket, journal: Journal):
        self.packet_socket = packet_socket
        self.journal = journal

    def __call__(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, or drop and count it if the kernel refuses it."""
        try:
            self.packet_socket.sendto(data, address)
        except OSError as error:
            self.journal.count("packets_dropped", f"send_{type(error).__name__}")


def forward_pending(
    packet_socket: socket.socket, forwarder: Forwarder, now: float
) -> None:
    """Forward up to one batch of the packets queued in the socket."""
    arrivals = forwarder.arrivals
    arrived_at = arrivals.start_turn(now)
    for _ in range(RECEIVE_BATCH):
        try:
            data = packet_socket.recv(MAXIMUM_DATAGRAM_BYTES)
        except BlockingIOError:
            arrivals.end_batch(arrived_at, now, is_drained=True)
            return
        # Routers may deliver the same packet to every host in turn, so a packet that
        # triggers a bug must not end the process.
        call_guarded(forwarder.journal, forwarder.receive, data, now, arrived_at)
    arrivals.end_batch(arrived_at, now, is_drained=False)


def call_guarded(
    journal: Journal, function: Callable[..., Any], *arguments: Any
) -> Any:
    """Call a function and return its value; log an exception and return None.

    One unexpected error, such as of a record that no check foresaw, must not end a
    process whose other tasks serve callers.
    """
    try:
        return function(*arguments)
    except Exception as error:
        log_unexpected_error(journal, error)
        return None


def log_unexpected_error(journal: Journal, error: Exception) -> None:
    """Log and count an unexpected exception."""
    # Imported here, as loading it would delay the start.
    from traceback import format_exception

    journal.count("unexpected_errors", type(error).__name__)
    journal.event("unexpected_error", detail="".join(format_exception(error)))
