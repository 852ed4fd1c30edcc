"""PROXY protocol version 2 headers on datagrams.

The header follows "The PROXY protocol, versions 1 & 2" (W. Tarreau, 2020).
"""

import socket
import struct
from dataclasses import dataclass
from functools import lru_cache
from ipaddress import ip_address

from proxyprotocol import ProxyProtocolIncompleteError, ProxyProtocolSyntaxError
from proxyprotocol.result import ProxyResultIPv4, ProxyResultIPv6
from proxyprotocol.tlv import ProxyProtocolTLV
from proxyprotocol.v2 import ProxyProtocolV2
from result import Err, Ok, Result

from hornbeamdeal.kernel import Endpoint

from ._errors import MalformedMessageError

HEADER_BYTES = 16
# A host at the design size forwards 8,000 flows, each with a header to the server
# and one to the fabric; a smaller cache misses on nearly every packet.
HEADER_CACHE_ENTRIES = 16_384

# Type of the field with a CRC32C checksum of the header.
CHECKSUM_FIELD = 0x03
_ADDRESS_BYTES_BY_FAMILY = {1: 12, 2: 36}
_FIELD_HEAD = struct.Struct("!BH")

_HEADER_ERRORS = (
    ProxyProtocolIncompleteError,
    ProxyProtocolSyntaxError,
    ValueError,
    KeyError,
    struct.error,
)

_protocol = ProxyProtocolV2()


@dataclass(frozen=True, slots=True)
class ProxiedDatagram:
    """A datagram's payload with the endpoints and service of its PROXY header."""

    source: Endpoint
    destination: Endpoint
    service: str
    payload: bytes


@lru_cache(maxsize=HEADER_CACHE_ENTRIES)
def _pack_header(source: Endpoint, destination: Endpoint, service: str) -> bytes:
    source_ip = ip_address(source.ip)
    result_type = ProxyResultIPv4 if source_ip.version == 4 else ProxyResultIPv6
    result = result_type(
        (source_ip, source.port),
        (ip_address(destination.ip), destination.port),
        protocol=socket.SOCK_DGRAM,
        tlv=ProxyProtocolTLV(authority=service or None),
    )
    return _protocol.pack(result)


def encode_proxied(
    source: Endpoint, destination: Endpoint, payload: bytes, service: str = ""
) -> bytes:
    """Prepend a PROXY header to a datagram's payload."""
    return _pack_header(source, destination, service) + payload


def decode_proxied(data: bytes) -> Result[ProxiedDatagram, MalformedMessageError]:
    """Decode the PROXY header of a datagram and split off the payload."""
    if len(data) < HEADER_BYTES or not _protocol.is_valid(data[:8]):
        return Err(MalformedMessageError("no_proxy_header", f"{len(data)} bytes"))
    header_length = HEADER_BYTES + int.from_bytes(data[14:16], "big")
    header = data[:header_length]
    try:
        result = _protocol.unpack(header)
        _check_fields(header)
        service = _service_of(result)
    except _HEADER_ERRORS as error:
        return Err(MalformedMessageError("bad_proxy_header", str(error)))
    if not isinstance(result, ProxyResultIPv4 | ProxyResultIPv6):
        return Err(MalformedMessageError("bad_proxy_header", "no IP addresses"))
    if result.protocol is not socket.SOCK_DGRAM:
        return Err(MalformedMessageError("bad_proxy_header", "not a datagram"))
    source_ip, source_port = result.source
    destination_ip, destination_port = result.dest
    return Ok(
        ProxiedDatagram(
            Endpoint(str(source_ip), source_port),
            Endpoint(str(destination_ip), destination_port),
            service,
            data[header_length:],
        )
    )


def _check_fields(header: bytes) -> None:
    """Raise ValueError if the fields after the addresses don't fill the header."""
    at = HEADER_BYTES + _ADDRESS_BYTES_BY_FAMILY.get(header[13] >> 4, 0)
    while at < len(header):
        field, length = _FIELD_HEAD.unpack_from(header, at)
        at += _FIELD_HEAD.size + length
        if field == CHECKSUM_FIELD:
            raise ValueError("a checksum is not supported; send the header without")
    if at != len(header):
        raise ValueError(f"the header has {len(header)} bytes, its fields end at {at}")


def _service_of(result: object) -> str:
    tlv = getattr(result, "tlv", None)
    return (tlv.authority if tlv else None) or ""
