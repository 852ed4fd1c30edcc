"""CPU time of flows' packets through codecs and steering."""

from collections.abc import Iterable
from dataclasses import replace

from hornbeamdeal import wire
from hornbeamdeal.kernel import (
    Address,
    AddressKind,
    BackendServer,
    Endpoint,
    ForwardPacket,
    PacketReceived,
    RelayPacket,
    View,
)
from hornbeamdeal.wire import peer_types

from ._components import INCARNATION, make_codec, make_steering
from ._fit import Slope, fit_slope
from ._samples import make_view
from ._sizes import Sizes
from ._timing import cpu_seconds

NOW = 61.0
PAYLOAD = bytes(64)
TOKEN_BYTES = 4
PING_UPDATES = (0, 3, 6, 9)


class PacketBench:
    """One host's packet path, from the fabric's datagram to the server's."""

    def __init__(self, view: View):
        self.view = view
        self.steering = make_steering(view)
        self.codec = make_codec()
        self.address = flows_address(view)
        self.server = server_of(view, self.address)

    def opening_datagrams(self, count: int) -> list[bytes]:
        """Return opening packets of different callers."""
        return [self._datagram(i, None) for i in range(count)]

    def handled_datagrams(self, count: int) -> list[bytes]:
        """Return packets with valid handles."""
        return [
            self._datagram(i, self.steering.make_handle(self.server, token_of(i)))
            for i in range(count)
        ]

    def server_datagrams(self, count: int) -> list[bytes]:
        """Return a server's notifications for its callers."""
        return [
            wire.encode_proxied(
                self.address.endpoint,
                caller_of(i),
                wire.encode_notification(token_of(i), i % 60_000, PAYLOAD),
            )
            for i in range(count)
        ]

    def receive(self, datagrams: Iterable[bytes]) -> list[bytes]:
        """Steer datagrams of the fabric; return what goes to servers and peers."""
        return [self._steer(self._decode(data)) for data in datagrams]

    def receive_relayed(self, sealed: Iterable[bytes]) -> list[bytes]:
        """Open relayed packets and steer them as their owner."""
        return [self._steer(self._open(data)) for data in sealed]

    def pass_back(self, datagrams: Iterable[bytes]) -> list[bytes]:
        """Pass servers' datagrams to callers, with handles added."""
        return [self._pass_back(data) for data in datagrams]

    def seal(self, packet) -> bytes:
        """Return the peer datagram that relays a packet."""
        caller, address = packet.caller, packet.address
        message = peer_types.RelayedPacket(
            caller.ip, caller.port, address.ip, address.port, packet.payload, 1
        )
        return self.codec.encode(message)

    def sealed(self, datagrams: Iterable[bytes]) -> list[bytes]:
        """Return the peer datagrams that relay packets of the fabric."""
        return [self.seal(self._decode(data)) for data in datagrams]

    def packets(self, count: int) -> list:
        """Return decoded packets with handles."""
        return [self._decode(data) for data in self.handled_datagrams(count)]

    def seal_and_open(self, packets: Iterable) -> None:
        """Pass packets through the envelope of relayed packets and back."""
        for packet in packets:
            self._open(self.seal(packet))

    def _datagram(self, index: int, handle: bytes | None) -> bytes:
        payload = wire.encode_registration(
            token_of(index), index % 60_000, "/m", handle
        )
        return wire.encode_proxied(caller_of(index), self.address.endpoint, payload)

    def _decode(self, data: bytes):
        datagram = wire.decode_proxied(data).ok_value
        address = self.view.addresses_by_endpoint[datagram.destination]
        return wire.decode_packet(
            address.codec, datagram.payload, datagram.source, address.endpoint
        )

    def _open(self, data: bytes):
        message = self.codec.decode(data).ok_value.message
        caller = Endpoint(message.caller_ip, message.caller_port)
        address = Endpoint(message.address_ip, message.address_port)
        packet = wire.decode_packet("coap", message.payload, caller, address)
        return replace(packet, hops=message.hops)

    def _steer(self, packet) -> bytes:
        (action,) = self.steering.handle(PacketReceived(packet), NOW)
        if isinstance(action, RelayPacket):
            return self.seal(action.packet)
        if not isinstance(action, ForwardPacket):
            raise RuntimeError(f"the packet was not forwarded: {action}")
        packet, server = action.packet, action.server
        return wire.encode_proxied(
            packet.caller, packet.address, packet.payload, server.service
        )

    def _pass_back(self, data: bytes) -> bytes:
        datagram = wire.decode_proxied(data).ok_value

        def make_handle(token: bytes) -> bytes | None:
            return self.steering.make_handle(self.server, token)

        payload = wire.add_flow_handle(datagram.payload, make_handle)
        return wire.encode_proxied(datagram.source, datagram.destination, payload)


def caller_of(index: int) -> Endpoint:
    """Return a caller's endpoint."""
    return Endpoint(f"172.16.{index // 250 % 250}.{index % 250 + 1}", 40_000)


def token_of(index: int) -> bytes:
    """Return a flow's CoAP token."""
    return index.to_bytes(TOKEN_BYTES, "big")


def flows_address(view: View) -> Address:
    """Return a flows address of the view."""
    addresses = view.addresses_by_endpoint.values()
    return next(a for a in addresses if a.kind is AddressKind.FLOWS)


def server_of(view: View, address: Address) -> BackendServer:
    """Return a server of an address's service."""
    return view.servers_of(address.service)[0]


def measure(sizes: Sizes) -> list[Slope]:
    """Return the slopes of packets."""
    view = make_view(sizes.context_targets, sizes.context_hosts)
    bench = PacketBench(view)

    def openings(count: int):
        return PacketBench(view), bench.opening_datagrams(count)

    def relayed_openings(count: int):
        return PacketBench(view), bench.sealed(bench.opening_datagrams(count))

    return [
        _time("packet_cpu", bench.handled_datagrams, bench.receive, sizes),
        _time("server_packet_cpu", bench.server_datagrams, bench.pass_back, sizes),
        # A new host each time, so that no flow is known before.
        _time("new_flow_entry_cpu", openings, lambda p: p[0].receive(p[1]), sizes),
        _time(
            "new_flow_owner_cpu",
            relayed_openings,
            lambda p: p[0].receive_relayed(p[1]),
            sizes,
        ),
        _time("envelope_cpu", bench.packets, bench.seal_and_open, sizes),
        _relayed_bytes(bench, sizes),
        _ping_bytes(bench),
    ]


def _time(name, prepare, work, sizes: Sizes) -> Slope:
    points = [(n, cpu_seconds(lambda n=n: prepare(n), work)) for n in sizes.packets]
    return fit_slope(name, "packets", "s", points)


def _relayed_bytes(bench: PacketBench, sizes: Sizes) -> Slope:
    points = []
    for size in sizes.payloads:
        caller, address = caller_of(1), bench.address.endpoint
        packet = wire.decode_packet("opaque", bytes(size), caller, address)
        points.append((size, len(bench.seal(packet))))
    return fit_slope("relayed_packet_bytes", "payload bytes", "B", points)


def _ping_bytes(bench: PacketBench) -> Slope:
    """Measure a ping with the member records that ride on it."""
    record = peer_types.MemberRecord(
        "host-0001", INCARNATION, "10.0.0.2", 7000, "zone-a", 0, 1, 1, bytes(32)
    )
    points = []
    for updates in PING_UPDATES:
        ping = peer_types.Ping(1 << 40, [record] * updates)
        points.append((updates, len(bench.codec.encode(ping))))
    return fit_slope("ping_bytes", "updates", "B", points)
