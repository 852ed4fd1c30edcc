"""Authenticated messages between entry hosts, in Thrift's compact protocol."""

import hmac
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from result import Err, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from ._errors import MalformedMessageError
from ._generated.peer import ttypes

MAC_BYTES = 16
MAXIMUM_DATAGRAM_BYTES = 1200
MINIMUM_KEY_BYTES = 16

# A full copy of the catalog lists 15,000 servers at the target size. An element may take a
# byte of a message and a kilobyte once decoded.
MAXIMUM_ELEMENTS = 30_000

_protocol_factory = TCompactProtocolAcceleratedFactory(
    container_length_limit=MAXIMUM_ELEMENTS
)
_FIELD_NAMES_BY_TYPE = {
    ttypes.Ping: "ping",
    ttypes.PingReply: "ping_reply",
    ttypes.PingRequest: "ping_request",
    ttypes.JoinRequest: "join_request",
    ttypes.JoinReply: "join_reply",
    ttypes.VersionOffer: "version_offer",
    ttypes.ManifestRequest: "manifest_request",
    ttypes.Manifest: "manifest",
    ttypes.SegmentRequest: "segment_request",
    ttypes.Segments: "segments",
    ttypes.FlowRecords: "flow_records",
    ttypes.RelayedPacket: "relayed_packet",
    ttypes.RelayedRequest: "relayed_request",
    ttypes.IncarnationGone: "incarnation_gone",
    ttypes.CatalogNews: "catalog_news",
    ttypes.CatalogRequest: "catalog_request",
    ttypes.ServerSigns: "server_signs",
    ttypes.ServerSpeeds: "server_speeds",
}


@dataclass(frozen=True, slots=True)
class PeerDatagram:
    """An authenticated message and its sender.

    `environments` are the names of the sender's environment, none if it told none.
    """

    host_id: str
    incarnation: int
    sequence: int
    message: Any
    environments: tuple[str, ...] = ()


class PeerCodec:
    """Encodes and decodes messages between entry hosts, authenticated by a MAC.

    Parameters
    ----------
    host_id : str
        Identifier of the sending host.
    incarnation : int
        Number that the sender generates when it starts.
    keys_by_id : dict of int to bytes
        Accepted keys; key identifiers are 0 to 255.
    sending_key_id : int
        Identifier of the key that authenticates outgoing messages.
    environments : sequence of str
        Names of the sender's environment, none to tell none.
    """

    __slots__ = (
        "environments",
        "host_id",
        "incarnation",
        "keys_by_id",
        "sending_key_id",
        "sequence_",
    )

    def __init__(
        self, *, host_id, incarnation, keys_by_id, sending_key_id, environments=()
    ):
        self.environments = environments
        self.host_id = host_id
        self.incarnation = incarnation
        self.keys_by_id = keys_by_id
        self.sending_key_id = sending_key_id
        self.sequence_ = 0

    def encode(self, message: Any) -> bytes:
        """Encode and authenticate a message, with the next sequence number."""
        self.sequence_ += 1
        field_name = _FIELD_NAMES_BY_TYPE[type(message)]
        envelope = ttypes.Envelope(
            self.host_id,
            self.incarnation,
            self.sequence_,
            ttypes.PeerMessage(**{field_name: message}),
            list(self.environments) or None,
        )
        body = bytes([self.sending_key_id]) + serialize(envelope, _protocol_factory)
        return self._mac(self.sending_key_id, body) + body

    def decode(self, data: bytes) -> Result[PeerDatagram, MalformedMessageError]:
        """Verify and decode a message; return it with its sender."""
        body = data[MAC_BYTES:]
        if len(body) < 2 or body[0] not in self.keys_by_id:
            return Err(MalformedMessageError("unknown_key", f"{len(data)} bytes"))
        if not hmac.compare_digest(data[:MAC_BYTES], self._mac(body[0], body)):
            return Err(MalformedMessageError("bad_mac", "peer key differs"))
        try:
            envelope = deserialize(ttypes.Envelope(), body[1:], _protocol_factory)
        except Exception as error:
            # The library raises many types for malformed input, such as OverflowError
            # and struct.error, which it does not document.
            return Err(MalformedMessageError("bad_thrift", repr(error)))
        message = _union_value(envelope.message)
        if message is None:
            return Err(MalformedMessageError("unknown_message", envelope.host_id))
        return Ok(
            PeerDatagram(
                envelope.host_id,
                envelope.incarnation,
                envelope.sequence,
                message,
                tuple(envelope.environments or ()),
            )
        )

    def _mac(self, key_id: int, body: bytes) -> bytes:
        key = self.keys_by_id[key_id]
        return blake2b(body, key=key, digest_size=MAC_BYTES).digest()


def _union_value(union: ttypes.PeerMessage | None) -> Any:
    if union is None:
        return None
    for field_name in _FIELD_NAMES_BY_TYPE.values():
        value = getattr(union, field_name)
        if value is not None:
            return value
    return None
