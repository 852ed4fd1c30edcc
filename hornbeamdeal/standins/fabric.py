"""Stand-in for the fabric: sends each packet to a random entry host."""

import random

import fire
import trio

from hornbeamdeal.kernel import Endpoint
from hornbeamdeal.settings import parse_endpoint, parse_endpoints
from hornbeamdeal.wire import decode_proxied, encode_proxied

from ._control import MAXIMUM_DATAGRAM_BYTES, open_udp, serve_control

# Network delay between callers and entry hosts.
ONE_WAY_DELAY_SECONDS = 0.003


class Fabric:
    """Forwards datagrams from callers to random entry hosts, and replies back.

    `loss` and `duplicate` are probabilities from 0 to 1, `delay` is in seconds.

    Parameters
    ----------
    inside : Endpoint
        Endpoint that exchanges datagrams with entry hosts.
    addresses : sequence of Endpoint
        Service addresses on which callers reach the fabric.
    entries : sequence of Endpoint
        Endpoints of the entry hosts that receive packets.
    random_state : int
        Seed of host choice, losses and duplicates.
    """

    __slots__ = (
        "inside",
        "addresses",
        "entries",
        "loss",
        "delay",
        "duplicate",
        "random_",
        "sockets_by_address_",
        "host_facing_socket_",
        "nursery_",
    )

    def __init__(self, *, inside, addresses, entries, random_state=0):
        self.inside = inside
        self.addresses = addresses
        self.entries = list(entries)
        self.loss = 0.0
        self.duplicate = 0.0
        self.delay = ONE_WAY_DELAY_SECONDS
        self.random_ = random.Random(random_state)
        self.sockets_by_address_: dict[Endpoint, trio.socket.SocketType] = {}

    async def run(self, control: Endpoint) -> None:
        """Serve until cancelled."""
        self.host_facing_socket_ = await open_udp(self.inside)
        for address in self.addresses:
            self.sockets_by_address_[address] = await open_udp(address)
        async with trio.open_nursery() as self.nursery_:
            self.nursery_.start_soon(serve_control, control, self.configure)
            self.nursery_.start_soon(self._forward_to_callers)
            for address, udp in self.sockets_by_address_.items():
                self.nursery_.start_soon(self._forward_to_hosts, address, udp)

    def configure(self, message: dict) -> dict:
        """Apply a control message: entries, loss, duplicate, delay (seconds)."""
        if "entries" in message:
            self.entries = list(parse_endpoints(message["entries"]))
        self.loss = float(message.get("loss", self.loss))
        self.duplicate = float(message.get("duplicate", self.duplicate))
        self.delay = float(message.get("delay", self.delay))
        return {"entries": [str(entry) for entry in self.entries]}

    async def _forward_to_hosts(self, address, udp) -> None:
        while True:
            payload, sender = await udp.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            caller = Endpoint(sender[0], sender[1])
            data = encode_proxied(caller, address, payload)
            copies = 2 if self.random_.random() < self.duplicate else 1
            for _ in range(copies):
                self._send_to_random_host(data)

    def _send_to_random_host(self, data: bytes) -> None:
        if not self.entries or self.random_.random() < self.loss:
            return
        entry = self.random_.choice(self.entries)
        destination = (entry.ip, entry.port)
        self.nursery_.start_soon(
            self._send_delayed, self.host_facing_socket_, data, destination
        )

    async def _forward_to_callers(self) -> None:
        while True:
            data, _ = await self.host_facing_socket_.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            decoded = decode_proxied(data)
            if decoded.is_err():
                continue
            datagram = decoded.ok_value
            udp = self.sockets_by_address_.get(datagram.destination)
            if udp is None or self.random_.random() < self.loss:
                continue
            caller = (datagram.source.ip, datagram.source.port)
            self.nursery_.start_soon(self._send_delayed, udp, datagram.payload, caller)

    async def _send_delayed(self, udp, data: bytes, destination) -> None:
        await trio.sleep(self.delay)
        await udp.sendto(data, destination)


def run(inside, addresses, entries, control, random_state=0):
    """Run the fabric; endpoints are ip:port, lists are comma-separated."""
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
