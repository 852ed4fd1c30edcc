"""Stand-in for the network between entry hosts, with partitions and loss.

Each host advertises an endpoint of this process. The process forwards datagrams
and streams to the host's real endpoint and replaces the source by the sender's
advertised endpoint, as one-to-one NAT does. Messages between partitioned hosts
are dropped.
"""

import random

import fire
import trio

from hornbeamdeal.kernel import Endpoint
from hornbeamdeal.settings import parse_endpoint, parse_endpoints

from ._control import MAXIMUM_DATAGRAM_BYTES, open_udp, serve_control

RECEIVE_BUFFER_BYTES = 65536


class Network:
    """Forwards messages between entry hosts.

    Parameters
    ----------
    advertised, real : sequence of Endpoint
        Advertised and real endpoints of the hosts, in the same order.
    random_state : int
        Seed of random losses.
    """

    __slots__ = (
        "advertised",
        "real",
        "random_state",
        "loss",
        "blocked_pairs_",
        "random_",
        "sockets_by_ip_",
        "advertised_by_real_ip_",
    )

    def __init__(self, *, advertised, real, random_state=0):
        self.advertised = advertised
        self.real = real
        self.random_state = random_state
        self.loss = 0.0
        self.blocked_pairs_: set[tuple[str, str]] = set()
        self.random_ = random.Random(random_state)
        self.sockets_by_ip_: dict[str, trio.socket.SocketType] = {}
        self.advertised_by_real_ip_ = {
            real_endpoint.ip: advertised_endpoint.ip
            for real_endpoint, advertised_endpoint in zip(real, advertised, strict=True)
        }

    async def run(self, control: Endpoint) -> None:
        """Serve until cancelled."""
        for advertised_endpoint in self.advertised:
            self.sockets_by_ip_[advertised_endpoint.ip] = await open_udp(
                advertised_endpoint
            )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_control, control, self.configure)
            for advertised_endpoint, real_endpoint in zip(
                self.advertised, self.real, strict=True
            ):
                nursery.start_soon(
                    self._forward_datagrams, advertised_endpoint, real_endpoint
                )
                nursery.start_soon(
                    self._forward_streams, advertised_endpoint, real_endpoint
                )

    def configure(self, message: dict) -> dict:
        """Apply a control message: `loss`, and `cut` as [source, target] IP pairs."""
        self.loss = float(message.get("loss", self.loss))
        if "cut" in message:
            self.blocked_pairs_ = {
                (source, target) for source, target in message["cut"]
            }
        return {"cut": len(self.blocked_pairs_), "loss": self.loss}

    def _should_deliver(self, source_ip: str, target_ip: str) -> bool:
        is_blocked = (source_ip, target_ip) in self.blocked_pairs_
        return not is_blocked and self.random_.random() >= self.loss

    async def _forward_datagrams(
        self, advertised_endpoint: Endpoint, real_endpoint: Endpoint
    ) -> None:
        udp = self.sockets_by_ip_[advertised_endpoint.ip]
        while True:
            data, sender = await udp.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            source_ip = self.advertised_by_real_ip_.get(sender[0])
            if source_ip is None or not self._should_deliver(
                source_ip, advertised_endpoint.ip
            ):
                continue
            outgoing = self.sockets_by_ip_[source_ip]
            await outgoing.sendto(data, (real_endpoint.ip, real_endpoint.port))

    async def _forward_streams(
        self, advertised_endpoint: Endpoint, real_endpoint: Endpoint
    ) -> None:
        async def forward_stream(stream: trio.SocketStream) -> None:
            async with stream:
                sender_ip = stream.socket.getpeername()[0]
                source_ip = self.advertised_by_real_ip_.get(sender_ip, "")
                if self._should_deliver(source_ip, advertised_endpoint.ip):
                    await _copy_stream(stream, real_endpoint)

        await trio.serve_tcp(
            forward_stream, advertised_endpoint.port, host=advertised_endpoint.ip
        )


async def _copy_stream(stream: trio.SocketStream, real_endpoint: Endpoint) -> None:
    try:
        async with await trio.open_tcp_stream(
            real_endpoint.ip, real_endpoint.port
        ) as outgoing:
            while data := await stream.receive_some(RECEIVE_BUFFER_BYTES):
                await outgoing.send_all(data)
    except (OSError, trio.BrokenResourceError):
        return


def run(advertised, real, control, random_state=0):
    """Run the network between entry hosts; lists are comma-separated ip:port."""
    network = Network(
        advertised=parse_endpoints(advertised),
        real=parse_endpoints(real),
        random_state=random_state,
    )
    trio.run(network.run, parse_endpoint(control))


def main():
    """Start the command line."""
    fire.Fire(run)
