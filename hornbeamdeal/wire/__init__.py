"""Codecs: CoAP, HTTP, PROXY protocol headers and messages between entry hosts."""

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
from ._coap_server import (
    CallerMessage,
    ServerFlowMessage,
    ServerRequest,
    decode_flow_for_server,
    decode_for_caller,
    decode_for_server,
    encode_caller_request,
    encode_from_server,
    encode_notification,
    encode_registration,
)
from ._errors import MalformedMessageError
from ._flow_codecs import decode_packet
from ._generated.peer import ttypes as peer_types
from ._http import HttpError, HttpRequest, HttpResponse, get, serve_http
from ._peer import MAXIMUM_DATAGRAM_BYTES, MINIMUM_KEY_BYTES, PeerCodec, PeerDatagram
from ._proxy import ProxiedDatagram, decode_proxied, encode_proxied

__all__ = [
    "DEADLINE_OPTION",
    "LOAD_OPTION",
    "MAXIMUM_DATAGRAM_BYTES",
    "MINIMUM_KEY_BYTES",
    "CallerMessage",
    "CancelMessage",
    "EmptyMessage",
    "HttpError",
    "HttpRequest",
    "HttpResponse",
    "MalformedMessageError",
    "PeerCodec",
    "PeerDatagram",
    "ProxiedDatagram",
    "ServerFlowMessage",
    "ServerMessage",
    "ServerRequest",
    "add_flow_handle",
    "decode_flow_for_server",
    "decode_flow_packet",
    "decode_for_caller",
    "decode_for_server",
    "decode_message",
    "decode_packet",
    "decode_proxied",
    "decode_request",
    "decode_server_message",
    "encode_acknowledgement",
    "encode_answer",
    "encode_caller_request",
    "encode_cancel",
    "encode_from_server",
    "encode_notification",
    "encode_proxied",
    "encode_registration",
    "encode_request",
    "get",
    "peer_types",
    "serve_http",
]
