"""Codecs and ports for CoAP, HTTP, PROXY headers and messages between entry hosts."""

from hornbeamdeal._lazy import attach

__getattr__, __dir__, __all__ = attach(
    __name__,
    {
        "_coap": [
            "CancelMessage",
            "DEADLINE_OPTION",
            "EmptyMessage",
            "LOAD_OPTION",
            "ServerMessage",
            "add_flow_handle",
            "decode_flow_packet",
            "decode_message",
            "decode_request",
            "decode_server_message",
            "encode_acknowledgement",
            "encode_answer",
            "encode_cancel",
            "encode_request",
        ],
        "_coap_server": [
            "CallerMessage",
            "ServerFlowMessage",
            "ServerRequest",
            "decode_caller_message",
            "decode_server_flow_message",
            "decode_server_request",
            "encode_caller_request",
            "encode_notification",
            "encode_registration",
            "encode_server_answer",
        ],
        "_errors": [
            "MalformedMessageError",
        ],
        "_flow_codecs": [
            "decode_packet",
        ],
        "_blocking_http": ["BlockingHttpClient", "run_blocking"],
        "_http_exchange": ["BodyTooLargeError", "HttpError", "HttpResponse"],
        "_http": [
            "HttpClient",
            "HttpRequest",
            "get",
            "serve_http",
        ],
        "_peer": [
            "MAXIMUM_DATAGRAM_BYTES",
            "MINIMUM_KEY_BYTES",
            "PeerCodec",
            "PeerDatagram",
        ],
        "_peer_types": [
            "peer_types",
        ],
        "_ports": ["BulkPort", "DatagramHandler", "UdpPort"],
        "_proxy": [
            "ProxiedDatagram",
            "decode_proxied",
            "encode_proxied",
        ],
    },
)
