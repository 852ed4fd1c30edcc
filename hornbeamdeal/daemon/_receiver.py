"""Decodes received datagrams and hands them on as events."""

from dataclasses import dataclass, replace
from typing import Any

from result import Err

from hornbeamdeal import wire
from hornbeamdeal.kernel import (
    AddressKind,
    BackendServer,
    CancelReceived,
    Endpoint,
    IncrementCounter,
    PacketReceived,
    PeerMessageReceived,
    Request,
    RequestReceived,
    ServerAnswerReceived,
    ServiceAddress,
)
from hornbeamdeal.wire import peer_types

from ._waiting_requests import WaitingRequests


@dataclass(frozen=True, slots=True)
class RelayOrigin:
    """Peer that relayed a caller's datagram; the defaults mean that none did."""

    hops: int = 0
    host_id: str = ""
    endpoint: Endpoint | None = None


NOT_RELAYED = RelayOrigin()


class Receiver:
    """Decodes datagrams from the fabric, backend servers and peers.

    Parameters
    ----------
    driver : EntryDriver
        Receiver of the events.
    """

    __slots__ = ("driver", "waiting_requests_")

    def __init__(self, *, driver: Any):
        self.driver = driver
        self.waiting_requests_ = WaitingRequests()

    def receive_fabric(self, data: bytes, sender: Endpoint) -> None:
        """Process a caller's datagram from the fabric."""
        decoded = wire.decode_proxied(data)
        if isinstance(decoded, Err):
            self._count_malformed("fabric", decoded.err_value)
            return
        datagram = decoded.ok_value
        address = self.driver.configuration.address_of(datagram.destination)
        if address is None:
            self.driver.metrics.count(IncrementCounter("dropped", "unknown_address"))
            return
        self._receive_from_caller(datagram.payload, datagram.source, address)

    def process_waiting(self, now: float) -> None:
        """Process waiting requests once the pause check is over or they time out."""
        is_check_over = not self.driver.components.pause_check.is_running_
        for payload, origin in self.waiting_requests_.take(is_check_over, now):
            caller, endpoint, relay = origin
            address = self.driver.configuration.address_of(endpoint)
            if address is None:
                self.driver.metrics.count(
                    IncrementCounter("dropped", "unknown_address")
                )
            else:
                self._receive_from_caller(payload, caller, address, relay, False)

    def _receive_from_caller(
        self,
        payload: bytes,
        caller: Endpoint,
        address: ServiceAddress,
        relay: RelayOrigin = NOT_RELAYED,
        may_wait: bool = True,
    ) -> None:
        now = self.driver.clock.monotonic()
        is_held = self.driver.configuration.is_held(address.endpoint, now)
        if address.kind is AddressKind.REQUESTS:
            may_wait = may_wait and self.driver.components.pause_check.is_running_
            origin = (caller, address.endpoint, relay)
            if (
                is_held
                and may_wait
                and self.waiting_requests_.put(payload, origin, now)
            ):
                self.driver.metrics.count(
                    IncrementCounter("requests_waiting", "pause_check")
                )
                return
            self._receive_request(payload, caller, address, relay, is_held)
        elif is_held:
            self.driver.metrics.count(
                IncrementCounter("dropped", "address_held", address.service)
            )
        else:
            packet = wire.decode_packet(
                address.codec, payload, caller, address.endpoint
            )
            packet = replace(packet, hops=relay.hops, relayed_by_host_id=relay.host_id)
            self.driver.handle_event(
                PacketReceived(packet), (self.driver.components.steering,)
            )

    def _receive_request(self, payload, caller, address, relay, is_held) -> None:
        decoded = wire.decode_request(payload, caller, address.endpoint)
        if isinstance(decoded, Err):
            self._count_malformed("caller", decoded.err_value)
            return
        message = decoded.ok_value
        if isinstance(message, wire.CancelMessage):
            event = CancelReceived(caller, address.endpoint, message.message_id)
            self.driver.handle_event(event, (self.driver.components.dispatcher,))
        elif isinstance(message, Request):
            request = replace(
                message, hops=relay.hops, relayed_by_endpoint=relay.endpoint
            )
            event = RequestReceived(request, is_held)
            self.driver.handle_event(event, (self.driver.components.dispatcher,))

    def receive_server(self, data: bytes, sender: Endpoint) -> None:
        """Process a backend server's answer, or its datagram for a flow's caller."""
        proxied = wire.decode_proxied(data)
        if proxied.is_ok():
            self._forward_to_caller(proxied.ok_value, sender)
            return
        decoded = wire.decode_server_message(data)
        if isinstance(decoded, Err):
            self._count_malformed("server", decoded.err_value)
            return
        message = decoded.ok_value
        if not isinstance(message, wire.ServerMessage):
            return
        server = self._find_answering_server(sender)
        exchange_id = int.from_bytes(message.token, "big")
        server_id = server.server_id if server else ""
        event = ServerAnswerReceived(server_id, exchange_id, message.answer)
        self.driver.handle_event(event, (self.driver.components.dispatcher,))

    def _find_answering_server(self, sender: Endpoint) -> BackendServer | None:
        """Return the server at an endpoint and record that it is alive."""
        server = self.driver.configuration.server_at(sender)
        if server is not None:
            self.driver.components.steering.record_server_datagram(server.server_id)
        return server

    def _forward_to_caller(
        self, datagram: wire.ProxiedDatagram, sender: Endpoint
    ) -> None:
        server = self._find_answering_server(sender)
        address = self.driver.configuration.address_of(datagram.destination)
        if server is None or address is None or server.service != address.service:
            self.driver.metrics.count(
                IncrementCounter("dropped", "foreign_server_datagram")
            )
            return
        payload = datagram.payload
        if address.codec == "coap":

            def make_handle(token: bytes) -> bytes | None:
                return self.driver.components.steering.make_handle(server, token)

            payload = wire.add_flow_handle(payload, make_handle)
        data = wire.encode_proxied(datagram.source, datagram.destination, payload)
        self.driver.fabric_port_.send(data, self.driver.settings.fabric)

    def receive_peer(self, data: bytes, sender: Endpoint) -> None:
        """Process a message from another entry host."""
        decoded = self.driver.codec.decode(data)
        if isinstance(decoded, Err):
            self._count_malformed("peer", decoded.err_value)
            return
        datagram = decoded.ok_value
        message = datagram.message
        if isinstance(message, peer_types.RelayedPacket | peer_types.RelayedRequest):
            relay = RelayOrigin(message.hops, datagram.host_id, sender)
            self._receive_relayed(message, relay)
            return
        event = PeerMessageReceived(
            datagram.host_id, datagram.incarnation, sender, message
        )
        self.driver.handle_event(event, self.driver.components.all())

    def _receive_relayed(self, message: Any, relay: RelayOrigin) -> None:
        address = self.driver.configuration.address_of(
            Endpoint(message.address_ip, message.address_port)
        )
        if address is None:
            self.driver.metrics.count(IncrementCounter("dropped", "unknown_address"))
            return
        is_packet = isinstance(message, peer_types.RelayedPacket)
        payload = message.payload if is_packet else message.datagram
        caller = Endpoint(message.caller_ip, message.caller_port)
        self._receive_from_caller(payload, caller, address, relay)

    def _count_malformed(self, origin: str, error: wire.MalformedMessageError) -> None:
        self.driver.metrics.count(
            IncrementCounter("malformed", f"{origin}_{error.reason}")
        )
        self.driver.log("malformed_message", "warning", origin=origin, detail=error)
