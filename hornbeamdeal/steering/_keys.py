"""Flow keys and server digests, computed alike on all hosts."""

from functools import lru_cache

import xxhash

from hornbeamdeal.kernel import BackendServer, FlowPacket

KEY_BYTES = 8
_UNSIGNED_RANGE = 1 << 64
_SIGN_BIT = 1 << 63
_OPENING_BIT = 1


def flow_key(packet: FlowPacket) -> int:
    """Return the 64-bit key of a flow's caller and service address.

    It is even, as odd keys are those of opening packets, and never 0.
    """
    caller, address = packet.caller, packet.address
    text = f"{caller.ip} {caller.port} {address.ip} {address.port}"
    return (xxhash.xxh3_64_intdigest(text.encode()) & ~_OPENING_BIT) or 2


def opening_key(packet: FlowPacket) -> int:
    """Return the odd 64-bit key of an opening packet, the first one of a flow.

    It includes the flow token, so that each flow of a caller is assigned
    separately.
    """
    key = flow_key(packet)
    return xxhash.xxh3_64_intdigest(packet.flow_token, seed=key) | _OPENING_BIT


def is_opening_key(key: int) -> bool:
    """Return whether the key belongs to an opening packet."""
    return bool(key & _OPENING_BIT)


@lru_cache(maxsize=1 << 16)
def server_digest(service: str, server_id: str) -> int:
    """Return the 64-bit digest that identifies a server in handles and records."""
    return xxhash.xxh3_64_intdigest(f"{service}\0{server_id}".encode())


def digest_of(server: BackendServer) -> int:
    """Return the digest of a server of the view."""
    return server_digest(server.service, server.server_id)


def to_signed(value: int) -> int:
    """Convert an unsigned 64-bit integer to the signed one of Thrift."""
    return value - _UNSIGNED_RANGE if value & _SIGN_BIT else value


def to_unsigned(value: int) -> int:
    """Convert a signed 64-bit integer of Thrift to the unsigned one."""
    return value % _UNSIGNED_RANGE
