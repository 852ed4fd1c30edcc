"""Flow codecs, registered by name, that read flow data from datagrams."""

from hornbeamdeal.kernel import Endpoint, FlowPacket, create_plugin, register_plugin

from ._coap import decode_flow_packet


@register_plugin("flow_codec", "coap")
class CoapFlowCodec:
    """Recognises opening packets and reads handles (RFC 7641, RFC 9175)."""

    __slots__ = ()

    def decode(self, data: bytes, caller: Endpoint, address: Endpoint) -> FlowPacket:
        """Decode a datagram of a flow."""
        return decode_flow_packet(data, caller, address)


@register_plugin("flow_codec", "opaque")
class OpaqueFlowCodec:
    """Reads nothing: any datagram may open a flow or belong to one."""

    __slots__ = ()

    def decode(self, data: bytes, caller: Endpoint, address: Endpoint) -> FlowPacket:
        """Wrap a datagram of a flow without decoding it."""
        return FlowPacket(caller, address, data)


_codecs_by_name = {
    name: create_plugin("flow_codec", name) for name in ("coap", "opaque")
}


def decode_packet(
    codec: str, data: bytes, caller: Endpoint, address: Endpoint
) -> FlowPacket:
    """Decode a flow's datagram with the codec of its address."""
    return _codecs_by_name[codec].decode(data, caller, address)
