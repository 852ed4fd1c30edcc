"""Flow keys and server digests, equal on all hosts."""

from functools import lru_cache

import xxhash

from hornbeamdeal.kernel import BackendServer, FlowPacket

KEY_BYTES = 8
_UNSIGNED_RANGE = 1 << 64
_SIGN_BIT = 1 << 63
_OPENING_BIT = 1


def flow_key(packet: FlowPacket) -> int:
    """Return the even 64-bit key of a flow: its caller and service address."""
    caller, address = packet.caller, packet.address
    text = f"{caller.ip} {caller.port} {address.ip} {address.port}"
    return (xxhash.xxh3_64_intdigest(text.encode()) & ~_OPENING_BIT) or 2


def opening_key(packet: FlowPacket) -> int:
    """Return the odd 64-bit key of an opening packet.

    It covers the token as well, so that a second flow of one caller is
    assigned separately.
    """
    key = flow_key(packet)
    return xxhash.xxh3_64_intdigest(packet.flow_token, seed=key) | _OPENING_BIT


def is_opening_key(key: int) -> bool:
    """Tell whether the key is that of an opening packet."""
    return bool(key & _OPENING_BIT)


@lru_cache(maxsize=1 << 16)
def server_digest(service: str, server_id: str) -> int:
    """Return the 64-bit digest that names a server in handles and records."""
    return xxhash.xxh3_64_intdigest(f"{service}\0{server_id}".encode())


def digest_of(server: BackendServer) -> int:
    """Return the digest of a server of a view."""
    return server_digest(server.service, server.server_id)


def to_signed(value: int) -> int:
    """Convert to the signed integers of thrift."""
    return value - _UNSIGNED_RANGE if value & _SIGN_BIT else value


def to_unsigned(value: int) -> int:
    """Convert from the signed integers of thrift."""
    return value % _UNSIGNED_RANGE
