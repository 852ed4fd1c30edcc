"""Codec of the platform's packets: 32 bytes of header, then data."""

import socket
import struct

from hornbeamdeal.dsr import Segment

HEADER_BYTES = 32
# sequence, acknowledgement, checksum, handle, then the flow's two ends as 12
# opaque bytes, flags, padding and the length of the data.
_HEADER = struct.Struct("<IIII12sBBH")
_HANDLE = struct.Struct("<I")
_HANDLE_OFFSET = 12
_ADDRESS_OFFSET = 6
_END = struct.Struct("<IH")
FLAG_SYN = 128
FLAG_FIN = 64
FLAG_RST = 2


class EchoPacketCodec:
    """Reads packets whose `echo` field carries the server's handle.

    The checksum covers neither `echo` nor padding, so writing the handle into
    an opening packet leaves the packet valid.

    Parameters
    ----------
    caller_port : int
        UDP port at which callers take packets.
    """

    __slots__ = ("caller_port",)

    def __init__(self, *, caller_port: int):
        self.caller_port = caller_port

    def decode(self, data: bytes) -> Segment | None:
        """Return the packet's fields, None where it is malformed."""
        if len(data) < HEADER_BYTES:
            return None
        sequence, acknowledgement, _, handle, ends, flags, _, length = (
            _HEADER.unpack_from(data)
        )
        if len(data) != HEADER_BYTES + length:
            return None
        return Segment(
            ends,
            ends[_ADDRESS_OFFSET:],
            handle,
            sequence,
            acknowledgement,
            length,
            bool(flags & FLAG_SYN),
            bool(flags & (FLAG_FIN | FLAG_RST)),
            data,
        )

    def encapsulate(self, data: bytes, server_number: bytes) -> bytes:
        """Address a packet to one server."""
        return server_number + data

    def write_handle(self, data: bytes, handle: int) -> bytes:
        """Set the handle that both ends of the flow repeat from now on."""
        tail = data[_HANDLE_OFFSET + _HANDLE.size :]
        return data[:_HANDLE_OFFSET] + _HANDLE.pack(handle) + tail

    def make_reset(
        self, flow_key: bytes, acknowledgement: int
    ) -> tuple[bytes, tuple[str, int]]:
        """Return a reset for the caller of a flow, and where to send it.

        Its sequence number must be near what the caller acknowledged last.
        """
        caller = flow_key[:_ADDRESS_OFFSET]
        ends = flow_key[_ADDRESS_OFFSET:] + caller
        data = _HEADER.pack(acknowledgement, 0, 0, 0, ends, FLAG_RST, 0, 0)
        return data, (_decode_end(caller)[0], self.caller_port)

    def describe_flow(self, flow_key: bytes) -> str:
        """Name a flow as operators know it: caller, then service address."""
        caller = self.describe_address(flow_key[:_ADDRESS_OFFSET])
        return f"{caller}>{self.describe_address(flow_key[_ADDRESS_OFFSET:])}"

    def describe_address(self, address_key: bytes) -> str:
        """Name one end of a flow as `ip:port`."""
        ip, port = _decode_end(address_key)
        return f"{ip}:{port}"


def encode_end(ip: str, port: int) -> bytes:
    """Return the 6 bytes by which packets name an address.

    Raise ValueError where it is no IPv4 address and port.
    """
    try:
        octets = socket.inet_pton(socket.AF_INET, ip)
        return _END.pack(int.from_bytes(octets, "big"), port)
    except (OSError, struct.error) as error:
        raise ValueError(f"{ip}:{port} is no IPv4 address and port") from error


def _decode_end(end: bytes) -> tuple[str, int]:
    number, port = _END.unpack(end)
    octets = number.to_bytes(4, "big")
    return ".".join(map(str, octets)), port
