"""The socket for callers' packets; imports nothing else, as it is opened first."""

import socket

RECEIVE_BUFFER_BYTES = 1024 * 1024


def open_packet_socket(ip: str, port: int) -> socket.socket:
    """Return a bound non-blocking socket, which queues packets during the start."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    opened.setblocking(False)
    opened.bind((ip, port))
    return opened
