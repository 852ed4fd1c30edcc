"""Stand-in of the fabric: sprays each packet over the entry hosts."""

import random

import fire
import trio

from hornbeamdeal.kernel import Endpoint
from hornbeamdeal.settings import parse_endpoint, parse_endpoints
from hornbeamdeal.wire import decode_proxied, encode_proxied

from ._control import MAXIMUM_DATAGRAM_BYTES, open_udp, serve_control

# One way between callers and entry hosts, in seconds.
CALLER_DELAY = 0.003


class Fabric:
    """Hands each caller's datagram to a random entry host, and answers back."""

    __slots__ = (
        "inside",
        "addresses",
        "entries",
        "loss",
        "delay",
        "duplicate",
        "random_",
        "sockets_by_address_",
        "inside_socket_",
        "nursery_",
    )

    def __init__(self, *, inside, addresses, entries, random_state=0):
        self.inside = inside
        self.addresses = addresses
        self.entries = list(entries)
        self.loss = 0.0
        self.duplicate = 0.0
        self.delay = CALLER_DELAY
        self.random_ = random.Random(random_state)
        self.sockets_by_address_: dict[Endpoint, trio.socket.SocketType] = {}

    async def run(self, control: Endpoint) -> None:
        """Serve until cancelled."""
        self.inside_socket_ = await open_udp(self.inside)
        for address in self.addresses:
            self.sockets_by_address_[address] = await open_udp(address)
        async with trio.open_nursery() as self.nursery_:
            self.nursery_.start_soon(serve_control, control, self.configure)
            self.nursery_.start_soon(self._serve_entries)
            for address, udp in self.sockets_by_address_.items():
                self.nursery_.start_soon(self._serve_callers, address, udp)

    def configure(self, message: dict) -> dict:
        """Take a control message: entries, loss, duplicate, delay."""
        if "entries" in message:
            self.entries = list(parse_endpoints(message["entries"]))
        self.loss = float(message.get("loss", self.loss))
        self.duplicate = float(message.get("duplicate", self.duplicate))
        self.delay = float(message.get("delay", self.delay))
        return {"entries": [str(entry) for entry in self.entries]}

    async def _serve_callers(self, address, udp) -> None:
        while True:
            payload, sender = await udp.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            caller = Endpoint(sender[0], sender[1])
            data = encode_proxied(caller, address, payload)
            copies = 2 if self.random_.random() < self.duplicate else 1
            for _ in range(copies):
                self._spray(data)

    def _spray(self, data: bytes) -> None:
        if not self.entries or self.random_.random() < self.loss:
            return
        entry = self.random_.choice(self.entries)
        destination = (entry.ip, entry.port)
        self.nursery_.start_soon(self._send, self.inside_socket_, data, destination)

    async def _serve_entries(self) -> None:
        while True:
            data, _ = await self.inside_socket_.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            decoded = decode_proxied(data)
            if decoded.is_err():
                continue
            datagram = decoded.ok_value
            udp = self.sockets_by_address_.get(datagram.destination)
            if udp is None or self.random_.random() < self.loss:
                continue
            caller = (datagram.source.ip, datagram.source.port)
            self.nursery_.start_soon(self._send, udp, datagram.payload, caller)

    async def _send(self, udp, data: bytes, destination) -> None:
        await trio.sleep(self.delay)
        await udp.sendto(data, destination)


def run(inside, addresses, entries, control, random_state=0):
    """Run the fabric; all endpoints are ip:port, lists are separated by commas."""
    fabric = Fabric(
        inside=parse_endpoint(inside),
        addresses=parse_endpoints(addresses),
        entries=parse_endpoints(entries),
        random_state=random_state,
    )
    trio.run(fabric.run, parse_endpoint(control))


def main():
    """Start the command line."""
    fire.Fire(run)
