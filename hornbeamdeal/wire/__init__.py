"""Codecs: CoAP, PROXY protocol headers and messages between entry hosts."""

from ._coap import (
    DEADLINE_OPTION,
    LOAD_OPTION,
    CancelMessage,
    EmptyMessage,
    ServerMessage,
    add_flow_handle,
    decode_flow_packet,
    decode_message,
    decode_request,
    decode_server_message,
    encode_acknowledgement,
    encode_answer,
    encode_cancel,
    encode_request,
)
from ._errors import MalformedMessageError
from ._generated.peer import ttypes as peer_types
from ._peer import MAXIMUM_DATAGRAM_BYTES, MINIMUM_KEY_BYTES, PeerCodec, PeerDatagram
from ._proxy import ProxiedDatagram, decode_proxied, encode_proxied

__all__ = [
    "DEADLINE_OPTION",
    "LOAD_OPTION",
    "MAXIMUM_DATAGRAM_BYTES",
    "MINIMUM_KEY_BYTES",
    "CancelMessage",
    "EmptyMessage",
    "MalformedMessageError",
    "PeerCodec",
    "PeerDatagram",
    "ProxiedDatagram",
    "ServerMessage",
    "add_flow_handle",
    "decode_flow_packet",
    "decode_message",
    "decode_proxied",
    "decode_request",
    "decode_server_message",
    "encode_acknowledgement",
    "encode_answer",
    "encode_cancel",
    "encode_proxied",
    "encode_request",
    "peer_types",
]
