"""Run tokens: idempotency keys issued by hosts and carried in the Echo option.

A token has 40 bytes, the most that RFC 9175 allows: incarnation of the issuer
8, its IPv4 address 4, its port 2, counter 6, expiry 4 (whole seconds of the
issuer's monotonic clock), MAC 16. The MAC is keyed BLAKE2b (RFC 7693) over
these fields, the service and the caller.
"""

import hmac
import socket
import struct
from dataclasses import dataclass
from hashlib import blake2b

from hornbeamdeal.kernel import Endpoint

MAC_BYTES = 16
TOKEN_BYTES = 40
MINIMUM_KEY_BYTES = 16
MAXIMUM_KEY_BYTES = 64

_FIELDS = struct.Struct(">q4sHHII")
_LOW_BITS = 32


@dataclass(frozen=True, slots=True)
class RunToken:
    """Fields of a token; `expiry` is in seconds of the issuer's monotonic clock."""

    incarnation: int
    endpoint: Endpoint
    counter: int
    expiry: int


def _pack(token: RunToken) -> bytes:
    return _FIELDS.pack(
        token.incarnation,
        socket.inet_aton(token.endpoint.ip),
        token.endpoint.port,
        token.counter >> _LOW_BITS,
        token.counter & (2**_LOW_BITS - 1),
        token.expiry,
    )


def _unpack(fields: bytes) -> RunToken:
    incarnation, ip, port, high, low, expiry = _FIELDS.unpack(fields)
    endpoint = Endpoint(socket.inet_ntoa(ip), port)
    return RunToken(incarnation, endpoint, (high << _LOW_BITS) | low, expiry)


class RunTokenCodec:
    """Encodes and decodes authenticated run tokens.

    All hosts share the key, so any host can reject a forged token before it
    relays the request to an issuer. During a key rotation the previous key is
    accepted too.
    """

    __slots__ = ("keys",)

    def __init__(self, *, key: bytes, previous_key: bytes | None = None):
        self.keys = (key,) if previous_key is None else (key, previous_key)

    def encode(self, token: RunToken, service: str, caller: Endpoint) -> bytes:
        """Return the token's bytes, bound to a service and a caller."""
        fields = _pack(token)
        return fields + self._mac(self.keys[0], fields, service, caller)

    def decode(self, data: bytes, service: str, caller: Endpoint) -> RunToken | None:
        """Return the token, or None if its MAC is valid under no accepted key."""
        fields, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        for key in self.keys:
            if hmac.compare_digest(mac, self._mac(key, fields, service, caller)):
                return _unpack(fields)
        return None

    def _mac(self, key: bytes, fields: bytes, service: str, caller: Endpoint) -> bytes:
        bound = b"%b%b\0%b" % (fields, service.encode(), str(caller).encode())
        return blake2b(bound, key=key, digest_size=MAC_BYTES).digest()


class KeyBytes:
    """Constraint on a token key; BLAKE2b allows keys of at most 64 bytes."""

    __slots__ = ()

    def allows(self, value: object) -> bool:
        """Return whether the value can be a key."""
        is_bytes = isinstance(value, bytes)
        return is_bytes and MINIMUM_KEY_BYTES <= len(value) <= MAXIMUM_KEY_BYTES

    def describe(self) -> str:
        """Return the allowed lengths as text."""
        return f"{MINIMUM_KEY_BYTES} to {MAXIMUM_KEY_BYTES} bytes"
