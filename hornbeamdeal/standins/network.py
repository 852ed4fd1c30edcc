"""Stand-in of the network between entry hosts: links that can be cut.

Each host advertises an endpoint of this process, which passes datagrams and
streams on to the host's own endpoint and shows the sender's advertised one, as
a one-to-one address translation does. Messages between hosts that are cut from
each other are dropped.
"""

import random

import fire
import trio

from hornbeamdeal.kernel import Endpoint
from hornbeamdeal.settings import parse_endpoint, parse_endpoints

from ._control import MAXIMUM_DATAGRAM_BYTES, open_udp, serve_control

RECEIVE_BYTES = 65536


class Network:
    """Passes messages between entry hosts.

    Parameters
    ----------
    advertised, real : sequence of Endpoint
        Advertised endpoints of the hosts and their own ones, in one order.
    random_state : int
        Seed of losses.
    """

    __slots__ = (
        "advertised",
        "real",
        "random_state",
        "loss",
        "cut_",
        "random_",
        "sockets_by_ip_",
        "advertised_by_real_ip_",
    )

    def __init__(self, *, advertised, real, random_state=0):
        self.advertised = advertised
        self.real = real
        self.random_state = random_state
        self.loss = 0.0
        self.cut_: set[tuple[str, str]] = set()
        self.random_ = random.Random(random_state)
        self.sockets_by_ip_: dict[str, trio.socket.SocketType] = {}
        self.advertised_by_real_ip_ = {
            own.ip: shown.ip for own, shown in zip(real, advertised, strict=True)
        }

    async def run(self, control: Endpoint) -> None:
        """Serve until cancelled."""
        for shown in self.advertised:
            self.sockets_by_ip_[shown.ip] = await open_udp(shown)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_control, control, self.configure)
            for shown, own in zip(self.advertised, self.real, strict=True):
                nursery.start_soon(self._pass_datagrams, shown, own)
                nursery.start_soon(self._pass_streams, shown, own)

    def configure(self, message: dict) -> dict:
        """Take a control message: `loss`, and `cut` as [from, to] pairs of IPs."""
        self.loss = float(message.get("loss", self.loss))
        if "cut" in message:
            self.cut_ = {(source, target) for source, target in message["cut"]}
        return {"cut": len(self.cut_), "loss": self.loss}

    def _passes(self, source_ip: str, target_ip: str) -> bool:
        is_cut = (source_ip, target_ip) in self.cut_
        return not is_cut and self.random_.random() >= self.loss

    async def _pass_datagrams(self, shown: Endpoint, own: Endpoint) -> None:
        udp = self.sockets_by_ip_[shown.ip]
        while True:
            data, sender = await udp.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            source_ip = self.advertised_by_real_ip_.get(sender[0])
            if source_ip is None or not self._passes(source_ip, shown.ip):
                continue
            outgoing = self.sockets_by_ip_[source_ip]
            await outgoing.sendto(data, (own.ip, own.port))

    async def _pass_streams(self, shown: Endpoint, own: Endpoint) -> None:
        async def pass_stream(stream: trio.SocketStream) -> None:
            async with stream:
                sender_ip = stream.socket.getpeername()[0]
                source_ip = self.advertised_by_real_ip_.get(sender_ip, "")
                if self._passes(source_ip, shown.ip):
                    await _pass_bytes(stream, own)

        await trio.serve_tcp(pass_stream, shown.port, host=shown.ip)


async def _pass_bytes(stream: trio.SocketStream, own: Endpoint) -> None:
    try:
        async with await trio.open_tcp_stream(own.ip, own.port) as outgoing:
            while data := await stream.receive_some(RECEIVE_BYTES):
                await outgoing.send_all(data)
    except (OSError, trio.BrokenResourceError):
        return


def run(advertised, real, control, random_state=0):
    """Run the network between entry hosts; lists of ip:port by commas."""
    network = Network(
        advertised=parse_endpoints(advertised),
        real=parse_endpoints(real),
        random_state=random_state,
    )
    trio.run(network.run, parse_endpoint(control))


def main():
    """Start the command line."""
    fire.Fire(run)
