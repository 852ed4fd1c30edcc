"""Control port of a stand-in: JSON datagrams that switch faults on and off."""

import json
from collections.abc import Callable
from typing import Any

import trio

from hornbeamdeal.kernel import Endpoint

MAXIMUM_DATAGRAM_BYTES = 65507


async def open_udp(endpoint: Endpoint) -> trio.socket.SocketType:
    """Open a UDP socket on an endpoint."""
    udp = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    udp.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4 * 1024 * 1024)
    await udp.bind((endpoint.ip, endpoint.port))
    return udp


async def serve_control(
    endpoint: Endpoint, handle: Callable[[dict[str, Any]], dict[str, Any]]
) -> None:
    """Answer each JSON datagram with the result of `handle`."""
    udp = await open_udp(endpoint)
    while True:
        data, sender = await udp.recvfrom(MAXIMUM_DATAGRAM_BYTES)
        try:
            answer = handle(json.loads(data))
        except (ValueError, KeyError, TypeError) as error:
            answer = {"error": f"bad control message: {error!r}"}
        await udp.sendto(json.dumps(answer).encode(), sender)


def set_attributes(target: object, allowed: set[str], message: dict[str, Any]) -> None:
    """Set the attributes that a control message names; refuse unknown ones."""
    for name, value in message.items():
        if name not in allowed:
            raise KeyError(f"{name} is not one of {sorted(allowed)}")
        setattr(target, name, value)
