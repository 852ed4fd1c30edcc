"""Control port of the stand-ins: JSON over UDP, to read counts and inject faults."""

import json
from collections.abc import Callable
from typing import Any

import trio

from hornbeamdeal.kernel import Endpoint

MAXIMUM_DATAGRAM_BYTES = 65507


async def open_udp(endpoint: Endpoint) -> trio.socket.SocketType:
    """Open a UDP socket bound to an endpoint."""
    udp = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    udp.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4 * 1024 * 1024)
    await udp.bind((endpoint.ip, endpoint.port))
    return udp


async def serve_control(
    endpoint: Endpoint, handler: Callable[[dict[str, Any]], dict[str, Any]]
) -> None:
    """Reply to each JSON datagram with the result of `handler`."""
    udp = await open_udp(endpoint)
    while True:
        data, sender = await udp.recvfrom(MAXIMUM_DATAGRAM_BYTES)
        try:
            reply = handler(json.loads(data))
        except (ValueError, KeyError, TypeError) as error:
            reply = {"error": f"invalid control message: {error!r}"}
        await udp.sendto(json.dumps(reply).encode(), sender)


def set_attributes(target: object, allowed: set[str], message: dict[str, Any]) -> None:
    """Set the attributes named in a message; raise KeyError for unknown ones."""
    for name, value in message.items():
        if name not in allowed:
            raise KeyError(f"unknown setting {name}; expected one of {sorted(allowed)}")
        setattr(target, name, value)
