"""Packets of flows: a header of 32 bytes, then data."""

import socket
import struct
import zlib

HEADER_BYTES = 32
DATA_BYTES = 1200
SYN, ACK, FIN, RST = 128, 4, 64, 2
# seq, ack, sum, echo, src, sport, dst, dport, flags, pad, len
_HEADER = struct.Struct("<IIIIIHIHBBH")
# Known to clients and servers only, so that a packet changed on the way is noticed.
_SUM_KEY = b"ends of flows only"


class Packet:
    """One packet of a flow; `src` and `dst` are pairs of IP address and port."""

    __slots__ = ("ack", "data", "dst", "echo", "flags", "seq", "src", "sum")

    def __init__(self, src, dst, flags, seq=0, ack=0, data=b"", echo=0):
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.data, self.echo = seq, ack, data, echo
        self.sum = None

    def encode(self):
        """Return the bytes of the packet with its sum."""
        return self._pack(self.compute_sum()) + self.data

    def compute_sum(self):
        """Return the keyed sum over all fields but `echo` and the padding."""
        echo, self.echo = self.echo, 0
        head = self._pack(0)
        self.echo = echo
        return zlib.crc32(self.data, zlib.crc32(head, zlib.crc32(_SUM_KEY))) or 1

    def is_genuine(self):
        """Return whether the other end of the flow wrote the packet so."""
        return self.sum == self.compute_sum()

    def _pack(self, number):
        return _HEADER.pack(
            self.seq % 2**32,
            self.ack % 2**32,
            number,
            self.echo,
            _to_int(self.src[0]),
            self.src[1],
            _to_int(self.dst[0]),
            self.dst[1],
            self.flags,
            0,
            len(self.data),
        )


def decode(data):
    """Return the packet in a datagram."""
    seq, ack, total, echo, src, sport, dst, dport, flags, _, length = (
        _HEADER.unpack_from(data)
    )
    payload = data[HEADER_BYTES : HEADER_BYTES + length]
    ends = (_to_ip(src), sport), (_to_ip(dst), dport)
    packet = Packet(*ends, flags, seq, ack, payload, echo)
    packet.sum = total
    return packet


def _to_int(ip):
    return int.from_bytes(socket.inet_aton(ip), "big")


def _to_ip(number):
    return socket.inet_ntoa(number.to_bytes(4, "big"))
