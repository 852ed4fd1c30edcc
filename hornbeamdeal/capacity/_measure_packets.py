"""Measures the CPU time of packets of flows in codecs and steering."""

from collections.abc import Iterable
from dataclasses import replace

from hornbeamdeal import wire
from hornbeamdeal.kernel import (
    AddressKind,
    BackendServer,
    ClusterView,
    Endpoint,
    ForwardPacket,
    PacketReceived,
    RelayPacket,
    ServiceAddress,
)
from hornbeamdeal.wire import peer_types

from ._components import INCARNATION, make_codec, make_steering
from ._fit import Slope, fit_slope
from ._resource_usage import cpu_seconds
from ._samples import make_view
from ._sizes import Sizes

NOW_SECONDS = 61.0
PAYLOAD = bytes(64)
TOKEN_BYTES = 4
PING_UPDATE_COUNTS = (0, 3, 6, 9)


class PacketHarness:
    """Packet path of one host, from the fabric's datagram to the server's."""

    def __init__(self, view: ClusterView):
        self.view = view
        self.steering = make_steering(view)
        self.codec = make_codec()
        self.address = first_flows_address(view)
        self.server = first_server(view, self.address)

    def opening_datagrams(self, count: int) -> list[bytes]:
        """Return datagrams that open flows of different callers."""
        return [self._datagram(i, None) for i in range(count)]

    def datagrams_with_handles(self, count: int) -> list[bytes]:
        """Return datagrams with valid flow handles, each of another caller."""
        return [
            self._datagram(i, self.steering.make_handle(self.server, coap_token(i)))
            for i in range(count)
        ]

    def notification_datagrams(self, count: int) -> list[bytes]:
        """Return datagrams with a server's notifications to different callers."""
        return [
            wire.encode_proxied(
                self.address.endpoint,
                caller_endpoint(i),
                wire.encode_notification(coap_token(i), i % 60_000, PAYLOAD),
            )
            for i in range(count)
        ]

    def steer_datagrams(self, datagrams: Iterable[bytes]) -> list[bytes]:
        """Steer datagrams of the fabric; return those for servers and peers."""
        return [self._steer_packet(self._decode(data)) for data in datagrams]

    def steer_relayed(self, relayed_datagrams: Iterable[bytes]) -> list[bytes]:
        """Decode relayed packets and steer them as their owner."""
        return [
            self._steer_packet(self._decode_relayed(data)) for data in relayed_datagrams
        ]

    def forward_to_callers(self, datagrams: Iterable[bytes]) -> list[bytes]:
        """Add flow handles to servers' datagrams and return those for callers."""
        return [self._forward_to_caller(data) for data in datagrams]

    def encode_relayed(self, packet) -> bytes:
        """Return the peer datagram that relays a packet."""
        caller, address = packet.caller, packet.address
        message = peer_types.RelayedPacket(
            caller.ip, caller.port, address.ip, address.port, packet.payload, 1
        )
        return self.codec.encode(message)

    def relayed_datagrams(self, datagrams: Iterable[bytes]) -> list[bytes]:
        """Return the peer datagrams that relay packets of the fabric."""
        return [self.encode_relayed(self._decode(data)) for data in datagrams]

    def packets(self, count: int) -> list:
        """Return decoded packets with flow handles."""
        return [self._decode(data) for data in self.datagrams_with_handles(count)]

    def encode_and_decode(self, packets: Iterable) -> None:
        """Encode packets as relayed ones and decode them again."""
        for packet in packets:
            self._decode_relayed(self.encode_relayed(packet))

    def _datagram(self, index: int, handle: bytes | None) -> bytes:
        payload = wire.encode_registration(
            coap_token(index), index % 60_000, "/m", handle
        )
        return wire.encode_proxied(
            caller_endpoint(index), self.address.endpoint, payload
        )

    def _decode(self, data: bytes):
        datagram = wire.decode_proxied(data).ok_value
        address = self.view.addresses_by_endpoint[datagram.destination]
        return wire.decode_packet(
            address.codec, datagram.payload, datagram.source, address.endpoint
        )

    def _decode_relayed(self, data: bytes):
        message = self.codec.decode(data).ok_value.message
        caller = Endpoint(message.caller_ip, message.caller_port)
        address = Endpoint(message.address_ip, message.address_port)
        packet = wire.decode_packet("coap", message.payload, caller, address)
        return replace(packet, hops=message.hops)

    def _steer_packet(self, packet) -> bytes:
        (action,) = self.steering.handle(PacketReceived(packet), NOW_SECONDS)
        if isinstance(action, RelayPacket):
            return self.encode_relayed(action.packet)
        if not isinstance(action, ForwardPacket):
            raise RuntimeError(f"expected a forwarded or relayed packet, got {action}")
        packet, server = action.packet, action.server
        return wire.encode_proxied(
            packet.caller, packet.address, packet.payload, server.service
        )

    def _forward_to_caller(self, data: bytes) -> bytes:
        datagram = wire.decode_proxied(data).ok_value

        def make_handle(token: bytes) -> bytes | None:
            return self.steering.make_handle(self.server, token)

        payload = wire.add_flow_handle(datagram.payload, make_handle)
        return wire.encode_proxied(datagram.source, datagram.destination, payload)


def caller_endpoint(index: int) -> Endpoint:
    """Return the endpoint of the caller with an index."""
    return Endpoint(f"172.16.{index // 250 % 250}.{index % 250 + 1}", 40_000)


def coap_token(index: int) -> bytes:
    """Return the CoAP token of the flow or request with an index."""
    return index.to_bytes(TOKEN_BYTES, "big")


def first_flows_address(view: ClusterView) -> ServiceAddress:
    """Return the first address of kind `flows` in a view."""
    addresses = view.addresses_by_endpoint.values()
    return next(a for a in addresses if a.kind is AddressKind.FLOWS)


def first_server(view: ClusterView, address: ServiceAddress) -> BackendServer:
    """Return the first server of an address's service."""
    return view.servers_of(address.service)[0]


def measure(sizes: Sizes) -> list[Slope]:
    """Measure CPU time and sizes of packets and pings."""
    view = make_view(sizes.fixed_targets, sizes.fixed_hosts)
    harness = PacketHarness(view)

    def prepare_openings(count: int):
        return PacketHarness(view), harness.opening_datagrams(count)

    def prepare_relayed_openings(count: int):
        return PacketHarness(view), harness.relayed_datagrams(
            harness.opening_datagrams(count)
        )

    return [
        _measure_cpu(
            "packet_cpu", harness.datagrams_with_handles, harness.steer_datagrams, sizes
        ),
        _measure_cpu(
            "server_packet_cpu",
            harness.notification_datagrams,
            harness.forward_to_callers,
            sizes,
        ),
        # Each run uses a new host, to which all flows are new.
        _measure_cpu(
            "new_flow_entry_cpu",
            prepare_openings,
            lambda prepared: prepared[0].steer_datagrams(prepared[1]),
            sizes,
        ),
        _measure_cpu(
            "new_flow_owner_cpu",
            prepare_relayed_openings,
            lambda prepared: prepared[0].steer_relayed(prepared[1]),
            sizes,
        ),
        _measure_cpu("envelope_cpu", harness.packets, harness.encode_and_decode, sizes),
        _measure_relayed_packet_sizes(harness, sizes),
        _measure_ping_sizes(harness),
    ]


def _measure_cpu(name, prepare, work, sizes: Sizes) -> Slope:
    points = [(n, cpu_seconds(lambda n=n: prepare(n), work)) for n in sizes.packets]
    return fit_slope(name, "packets", "s", points)


def _measure_relayed_packet_sizes(harness: PacketHarness, sizes: Sizes) -> Slope:
    points = []
    for size in sizes.payloads:
        caller, address = caller_endpoint(1), harness.address.endpoint
        packet = wire.decode_packet("opaque", bytes(size), caller, address)
        points.append((size, len(harness.encode_relayed(packet))))
    return fit_slope("relayed_packet_bytes", "payload bytes", "B", points)


def _measure_ping_sizes(harness: PacketHarness) -> Slope:
    """Measure the size of a ping with piggybacked member records."""
    record = peer_types.MemberRecord(
        "host-0001", INCARNATION, "10.0.0.2", 7000, "zone-a", 0, 1, 1, bytes(32)
    )
    points = []
    for count in PING_UPDATE_COUNTS:
        ping = peer_types.Ping(1 << 40, [record] * count)
        points.append((count, len(harness.codec.encode(ping))))
    return fit_slope("ping_bytes", "updates", "B", points)
