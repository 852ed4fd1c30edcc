"""Flow codecs: what a datagram tells of its flow. They register by name."""

from hornbeamdeal.kernel import Endpoint, FlowPacket, create, register

from ._coap import decode_flow_packet


@register("flow_codec", "coap")
class CoapFlowCodec:
    """Tells opening packets apart and reads handles (RFC 7641, RFC 9175)."""

    __slots__ = ()

    def decode(self, data: bytes, caller: Endpoint, address: Endpoint) -> FlowPacket:
        """Read a datagram of a flow."""
        return decode_flow_packet(data, caller, address)


@register("flow_codec", "opaque")
class OpaqueFlowCodec:
    """Tells nothing: any datagram may open a flow or belong to one."""

    __slots__ = ()

    def decode(self, data: bytes, caller: Endpoint, address: Endpoint) -> FlowPacket:
        """Wrap a datagram of a flow."""
        return FlowPacket(caller, address, data)


_codecs_by_name = {name: create("flow_codec", name) for name in ("coap", "opaque")}


def decode_packet(
    codec: str, data: bytes, caller: Endpoint, address: Endpoint
) -> FlowPacket:
    """Read a datagram by the codec that the address names."""
    return _codecs_by_name[codec].decode(data, caller, address)
