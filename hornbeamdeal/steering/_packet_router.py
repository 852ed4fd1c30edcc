"""Routing decision for each packet in the `tracked` plug-in."""

from dataclasses import replace
from typing import Any

from hornbeamdeal.kernel import (
    BackendServer,
    DropPacket,
    FlowPacket,
    ForwardPacket,
    IncrementCounter,
    LogEvent,
    PeerMessageReceived,
    RelayPacket,
)

from ._handles import HandleCodec
from ._keys import digest_of, flow_key, opening_key
from ._opening_assigner import OpeningAssigner
from ._pause import PauseBuffer
from ._routes import Route
from ._state import FlowState

MAXIMUM_HOPS = 1
OPAQUE = "opaque"
# A starting or resumed host relays packets of opaque flows without a valid record
# to a holder until its peers have handed over, and for at most this time.
MAXIMUM_JOINING_SECONDS = 10.0
# Each tick routes the waiting packets again, which takes about 10 us per packet.
MAXIMUM_WAITING_PACKETS = 1024


class PacketRouter:
    """Routes packets by handle, record, owner or rendezvous choice, in this order."""

    __slots__ = ("state", "handles", "idle_seconds", "owned_seconds")
    __slots__ += (
        "joining_at_least_until",
        "joining_until",
        "_assigner",
        "_pause_buffer",
        "_waiting",
    )

    def __init__(self, state, handles, **parameters):
        self.state: FlowState = state
        self.handles: HandleCodec = handles
        self.idle_seconds: float = parameters["idle_seconds"]
        # Packets at other hosts renew an owner's record only at the next refresh, so
        # the owner's record stays valid for the refresh interval beyond idle_seconds.
        self.owned_seconds: float = parameters["owned_seconds"]
        self.joining_at_least_until = self.joining_until = 0.0
        self._assigner = OpeningAssigner(
            state,
            parameters["opening_seconds"],
            parameters["random"],
            parameters["reachability"],
        )
        self._pause_buffer = PauseBuffer()
        self._waiting: list[FlowPacket] = []

    def steer(self, packet: FlowPacket, now: float) -> list[Any]:
        """Return the actions for a packet, empty if it has to wait."""
        routes = self.state.routes
        route = routes.by_address.get(packet.address)
        reason = routes.drop_reason(route, now)
        if reason:
            return [DropPacket(packet, reason)]
        if packet.handle is not None:
            return [self._route_by_handle(packet, route)]
        if self._pause_buffer.is_holding():
            if self._pause_buffer.hold(packet):
                return []
            count = IncrementCounter("flow_packets_not_held", service=route.service)
            return [count, *self._route_without_handle(packet, route, now)]
        return self._route_without_handle(packet, route, now)

    def handle_pause(self, seconds: float, now: float) -> list[Any]:
        """Hold packets without handles after a pause, as the state may be outdated."""
        self.state.trusted_from = now
        self.state.ownership.rejoin(now)
        self.start_joining(now)
        self._pause_buffer.start(now)
        return [LogEvent("flow_packets_held", {"paused_seconds": seconds}, "warning")]

    def handle_peer_message(self, event: PeerMessageReceived, now: float) -> list[Any]:
        """Record a peer's version, which may release packets held after a pause."""
        if not self._pause_buffer.is_holding():
            return []
        self._pause_buffer.record_version(event)
        return self.release(now)

    def release(self, now: float) -> list[Any]:
        """Route the packets that were held or waiting; some may have to wait again."""
        packets = self._pause_buffer.release(self.state.version_number, now)
        waiting, self._waiting = self._waiting, []
        packets += waiting
        return [action for packet in packets for action in self.steer(packet, now)]

    def start_joining(self, now: float) -> None:
        """Relay packets of opaque flows without a valid record to their holders.

        Peers may know of changes that this host has missed.
        A peer may complete its handover before it knows that it has become an
        owner, so these relays go on for at least as long as a host takes to join.
        """
        self.joining_at_least_until = now + self.state.ownership.join_seconds
        self.joining_until = now + MAXIMUM_JOINING_SECONDS

    def update_joining(self, now: float) -> None:
        """End the joining period once all peers have handed over."""
        if not self.joining_at_least_until <= now < self.joining_until:
            return
        if not self.state.ownership.peers():
            return
        if self.state.handovers.all_handed_over():
            self.joining_until = now

    def _route_without_handle(
        self, packet: FlowPacket, route: Route, now: float
    ) -> list[Any]:
        if route.codec == OPAQUE:
            return self._route_opaque(packet, route, now)
        if packet.opens_flow:
            return [self._route_opening(packet, route, now)]
        # Requests without a registration, and acknowledgements, belong to no flow.
        return [_forward(packet, route.server_set.choose(flow_key(packet)))]

    def _route_by_handle(self, packet: FlowPacket, route: Route) -> Any:
        digest = self.handles.read(packet.handle, route.service, packet.flow_token)
        if digest is None:
            return DropPacket(packet, "bad_handle")
        server = self.state.routes.servers_by_digest.get(digest)
        if server is None:
            # No other server has the flow's state, so the caller has to open a new one.
            return DropPacket(packet, "server_gone")
        return ForwardPacket(server, packet)

    def _route_opening(self, packet: FlowPacket, route: Route, now: float) -> Any:
        key = opening_key(packet)
        if packet.hops < MAXIMUM_HOPS:
            holder = self.state.ownership.reachable_holder(key)
            if not holder:
                return _forward(packet, route.server_set.choose(key))
            if holder != self.state.ownership.own_id:
                return _relay(packet, holder)
        return _forward(packet, self._assigner.assign(key, route, now))

    def _route_opaque(self, packet: FlowPacket, route: Route, now: float) -> list[Any]:
        state, key = self.state, flow_key(packet)
        slot = state.table.find(key)
        server = self._recorded_server(slot, route)
        is_relayed = packet.hops >= MAXIMUM_HOPS
        if server is not None and self._is_record_valid(slot, key, is_relayed, now):
            return [self._route_by_record(packet, key, slot, server, now)]
        if not is_relayed:
            holder = self._holder_to_relay_to(key, route, server, now)
            if holder:
                messages = self._message_of_own_record(holder, key, slot, server, now)
                return [*messages, _relay(packet, holder)]
        history = state.histories_by_service[route.service]
        if state.handovers.must_wait(history, key, now) and self._add_waiting(packet):
            return []
        return [self._route_unrecorded(packet, key, history, now)]

    def _add_waiting(self, packet: FlowPacket) -> bool:
        if len(self._waiting) >= MAXIMUM_WAITING_PACKETS:
            return False
        self._waiting.append(packet)
        return True

    def _route_by_record(
        self, packet, key, slot, server: BackendServer, now: float
    ) -> Any:
        self.state.table.touch(slot, now)
        if packet.relayed_by_host_id:
            self._reply(packet, key, server)
        return ForwardPacket(server, packet)

    def _recorded_server(self, slot: int, route: Route) -> BackendServer | None:
        if slot < 0:
            return None
        server = self.state.server_at(slot)
        if server is None or server.service != route.service:
            return None
        return server

    def _is_record_valid(
        self, slot: int, key: int, is_relayed: bool, now: float
    ) -> bool:
        """Return whether a packet may follow a record without a relay to a holder."""
        state = self.state
        age = state.table.age_at(slot, now)
        if age <= self.idle_seconds and state.is_trusted(slot, now):
            return True
        is_deciding = is_relayed or self._is_deciding_host(key)
        return is_deciding and age <= self.owned_seconds

    def _is_deciding_host(self, key: int) -> bool:
        """Return whether this host is a key's deciding host, which need not relay.

        The deciding host is the reachable holder, or this host if there is none.
        """
        ownership = self.state.ownership
        return ownership.reachable_holder(key) in ("", ownership.own_id)

    def _holder_to_relay_to(
        self, key: int, route: Route, server: BackendServer | None, now: float
    ) -> str:
        """Return the holder to relay to, empty if this host need not relay."""
        state = self.state
        may_differ_from_holder = (
            now < self.joining_until
            or state.handovers.is_lagging()
            or (server is not None and state.differs_from_choice(server, key))
            or state.histories_by_service[route.service].is_ambiguous(key)
        )
        if not may_differ_from_holder or self._is_deciding_host(key):
            return ""
        return state.ownership.reachable_holder(key)

    def _message_of_own_record(
        self, holder, key, slot, server, now: float
    ) -> list[Any]:
        """Return the message with this host's record from before a pause, if any.

        It is sent ahead of the relayed packet, as the holder may have no record.
        """
        if server is None or self.state.table.age_at(slot, now) > self.idle_seconds:
            return []
        return self.state.send_record(holder, key, server)

    def _route_unrecorded(
        self, packet: FlowPacket, key: int, history, now: float
    ) -> Any:
        state = self.state
        server = state.handovers.choose_unrecorded(history, key, now)
        if server is None:
            return DropPacket(packet, "no_server")
        tracked = state.store(key, server, now)
        # Until the change of the server set has settled, other holders might choose
        # another server.
        is_undecided = not history.is_settled() and history.is_ambiguous(key)
        if tracked or is_undecided or state.is_stopping:
            state.replicate(key, server)
        if packet.relayed_by_host_id:
            self._reply(packet, key, server)
        return ForwardPacket(server, packet)

    def _reply(self, packet: FlowPacket, key: int, server: BackendServer) -> None:
        """Queue a record for the relaying host, so that it relays a flow only once."""
        self.state.reply_outbox.add(packet.relayed_by_host_id, key, digest_of(server))


def _forward(packet: FlowPacket, server: BackendServer | None) -> Any:
    if server is None:
        return DropPacket(packet, "no_server")
    return ForwardPacket(server, packet)


def _relay(packet: FlowPacket, host_id: str) -> RelayPacket:
    return RelayPacket(host_id, replace(packet, hops=packet.hops + 1))
