"""Codec of the platform's packets: a header of 32 bytes, then data."""

import socket
import struct

from hornbeamdeal.dsr import CallerPacket

HEADER_BYTES = 32
# Sequence number, acknowledgement number, checksum, handle (`echo`), flow key (12
# bytes: the caller's address, then the service address), flags, padding, and the
# length of the data.
_HEADER = struct.Struct("<IIII12sBBH")
_HANDLE = struct.Struct("<I")
_HANDLE_OFFSET = 12
_SERVICE_ADDRESS_OFFSET = 6
_ADDRESS = struct.Struct("<IH")
FLAG_SYN = 128
FLAG_FIN = 64
FLAG_RST = 2


class EchoPacketCodec:
    """Codec of packets whose `echo` field carries the server's handle.

    The checksum covers neither `echo` nor the padding, so it stays valid when the
    handle is written into an opening packet.

    Parameters
    ----------
    caller_port : int
        UDP port at which callers receive packets.
    """

    __slots__ = ("caller_port",)

    def __init__(self, *, caller_port: int):
        self.caller_port = caller_port

    def decode(self, data: bytes) -> CallerPacket | None:
        """Return the packet's fields, or None if it is malformed."""
        if len(data) < HEADER_BYTES:
            return None
        sequence, acknowledgement, _, handle, flow_key, flags, _, length = (
            _HEADER.unpack_from(data)
        )
        if len(data) != HEADER_BYTES + length:
            return None
        return CallerPacket(
            flow_key,
            flow_key[_SERVICE_ADDRESS_OFFSET:],
            handle,
            sequence,
            acknowledgement,
            length,
            bool(flags & FLAG_SYN),
            bool(flags & (FLAG_FIN | FLAG_RST)),
            data,
        )

    def encapsulate(self, data: bytes, server_number: bytes) -> bytes:
        """Return the packet encapsulated for one server."""
        return server_number + data

    def write_handle(self, data: bytes, handle: int) -> bytes:
        """Return the packet with the handle that both ends echo from now on."""
        rest = data[_HANDLE_OFFSET + _HANDLE.size :]
        return data[:_HANDLE_OFFSET] + _HANDLE.pack(handle) + rest

    def make_reset(
        self, flow_key: bytes, acknowledgement: int
    ) -> tuple[bytes, tuple[str, int]]:
        """Return a reset packet for a flow's caller and its destination address.

        `acknowledgement` is the caller's last acknowledgement number, 0 if the
        flow is not open. The reset's sequence number must be near it.
        """
        caller = flow_key[:_SERVICE_ADDRESS_OFFSET]
        # The reset goes to the caller, so the addresses are swapped.
        swapped_key = flow_key[_SERVICE_ADDRESS_OFFSET:] + caller
        data = _HEADER.pack(acknowledgement, 0, 0, 0, swapped_key, FLAG_RST, 0, 0)
        return data, (_decode_address(caller)[0], self.caller_port)

    def describe_flow(self, flow_key: bytes) -> str:
        """Return the flow as `caller>service address` for logs."""
        caller = self.describe_address(flow_key[:_SERVICE_ADDRESS_OFFSET])
        return f"{caller}>{self.describe_address(flow_key[_SERVICE_ADDRESS_OFFSET:])}"

    def describe_address(self, address_key: bytes) -> str:
        """Return an address as `ip:port` for logs."""
        ip, port = _decode_address(address_key)
        return f"{ip}:{port}"


def encode_address(ip: str, port: int) -> bytes:
    """Return the 6 bytes that encode an address in packets.

    Raise ValueError if it is not an IPv4 address and port.
    """
    try:
        octets = socket.inet_pton(socket.AF_INET, ip)
        return _ADDRESS.pack(int.from_bytes(octets, "big"), port)
    except (OSError, struct.error) as error:
        raise ValueError(f"{ip}:{port} is not an IPv4 address and port") from error


def _decode_address(address_key: bytes) -> tuple[str, int]:
    ip_number, port = _ADDRESS.unpack(address_key)
    octets = ip_number.to_bytes(4, "big")
    return ".".join(map(str, octets)), port
