"""Forwards each packet of a caller to a server, answers with a reset or drops it."""

import random

from ._admission import AdmitAll
from ._arrival_bound import ArrivalBound
from ._base import (
    Admission,
    AnswerObserver,
    CallerPacket,
    HandshakeObserver,
    Journal,
    PacketCodec,
    Transmit,
    hash_caller,
)
from ._catalog import Catalog
from ._eligibility import NO_SERVER, Eligibility
from ._flow_table import MINIMUM_RETRANSMISSION_SECONDS, Flow, FlowTable
from ._link_queue import LinkQueue
from ._outstanding_requests import OutstandingRequests
from ._placement import Placement
from ._records import NO_HANDLE, Route, Server
from ._request_waits import RequestWaits
from ._resets import Resets
from ._server_health import ServerHealth, UnansweredPacket
from ._zone_spill import ZoneSpill


class Forwarder:
    """Forwards callers' packets by the handle that they carry.

    For an opening packet a server is chosen and its handle written into the
    packet. Every later packet of the flow carries the handle, so that any host
    finds the server without a flow record. Resets are sent only if a new flow
    can't be served (no route, no server) or the flow's server is dead or gone.
    """

    __slots__ = (
        "admission",
        "catalog",
        "codec",
        "eligibility",
        "server_health",
        "flows",
        "journal",
        "link_queue",
        "outstanding",
        "placement",
        "random_state",
        "resets",
        "transmit",
        "waits",
        "zone_spill",
        "_random",
    )

    def __init__(
        self,
        *,
        catalog: Catalog,
        codec: PacketCodec,
        server_health: ServerHealth,
        flows: FlowTable,
        journal: Journal,
        link_queue: LinkQueue,
        outstanding: OutstandingRequests,
        placement: Placement,
        transmit: Transmit,
        eligibility: Eligibility,
        admission: Admission | None = None,
        answer_observers: tuple[AnswerObserver, ...] = (),
        handshake_observers: tuple[HandshakeObserver, ...] = (),
        zone_spill: ZoneSpill | None = None,
        random_state: int | None = None,
    ):
        self.admission = admission or AdmitAll()
        self.resets = Resets(
            catalog=catalog,
            codec=codec,
            journal=journal,
            server_health=server_health,
            transmit=transmit,
        )
        self.waits = RequestWaits(
            outstanding=outstanding,
            arrivals=server_health.arrivals,
            journal=journal,
            admission=admission,
            answer_observers=answer_observers,
            handshake_observers=handshake_observers,
        )
        self.eligibility = eligibility
        self.catalog = catalog
        self.codec = codec
        self.server_health = server_health
        self.flows = flows
        self.journal = journal
        self.link_queue = link_queue
        self.outstanding = outstanding
        self.placement = placement
        self.transmit = transmit
        self.zone_spill = zone_spill
        self.random_state = random_state
        self._random = random.Random(random_state)

    @property
    def arrivals(self) -> ArrivalBound:
        """Return since when this host has kept up with its packets."""
        return self.server_health.arrivals

    def receive(self, data: bytes, now: float, arrived_at: float | None = None) -> None:
        """Handle one packet read at monotonic time `now`.

        `arrived_at` is the earliest time at which the packet may have arrived, if it
        may have waited in the socket.
        """
        if arrived_at is None:
            arrived_at = now
        packet = self.codec.decode(data)
        if packet is None:
            self.journal.count("packets_dropped", "malformed")
        elif packet.is_opening:
            self._handle_opening(packet, now, arrived_at)
        else:
            self._forward_established(packet, now, arrived_at)

    def tick(self, now: float) -> None:
        """Reset flows that await a dead or gone server's answer; drop idle records."""
        self._reset_waiting_flows(now)
        self.waits.record_overdue(now)
        if self.catalog.routes is None or not self.flows.is_sweep_due(now):
            return
        for flow in self.flows.flows_by_key.values():
            if self.outstanding.is_expired(flow, now):
                self.waits.finish_unanswered(flow, now)
        self.flows.sweep(self.catalog.routes.idle_timeout, now)

    def _reset_waiting_flows(self, now: float) -> None:
        """Reset flows whose callers await an answer of a dead or gone server.

        A caller whose request was acknowledged sends nothing more and would
        otherwise wait until its own timeout.
        """
        dead_or_gone_ids = self.server_health.dead_ids(now) | self.catalog.gone_ids(now)
        dead_or_gone_ids = {i for i in dead_or_gone_ids if self.outstanding.count(i)}
        if not dead_or_gone_ids:
            return
        for flow_key, flow in list(self.flows.flows_by_key.items()):
            server = flow.awaited_server
            if flow.is_established and server and server.server_id in dead_or_gone_ids:
                acknowledgement = flow.acknowledgement or 0
                self._reset(flow_key, acknowledgement, server, "answer_awaited", now)

    def _handle_opening(
        self, packet: CallerPacket, now: float, arrived_at: float
    ) -> None:
        if not self.catalog.is_complete:
            self.journal.count("packets_dropped", "no_catalog")
            return
        route = self.catalog.find_route(packet.address_key)
        if route is None:
            self.resets.refuse(packet, "no_route", now)
            return
        flow = self.flows.get(packet.flow_key)
        if flow is None or not _is_copy(packet, flow):
            self._discard_flow(packet.flow_key, now)
            flow = self._open_flow(packet.flow_key, now)
            flow.opening_sequence = packet.sequence
            flow.route = route
        flow.last_packet_at = now
        is_duplicate = packet.copy_number <= flow.last_copy_number
        if flow.tried_servers and (
            is_duplicate or arrived_at - flow.sent_at < MINIMUM_RETRANSMISSION_SECONDS
        ):
            self._resend_opening(packet, flow.tried_servers[-1], now)
            return
        self._place(packet, route, flow, now)

    def _resend_opening(self, packet: CallerPacket, server: Server, now: float) -> None:
        """Send a duplicate to the same server, unless it gets no new flows by now."""
        entry = self.catalog.accepting_entry(server.server_id)
        if entry is not None and self.eligibility.may_resend(entry, now):
            self._send_opening(packet, entry, now)
        else:
            self.journal.count("openings_dropped", "duplicate")

    def _place(
        self, packet: CallerPacket, route: Route, flow: Flow, now: float
    ) -> None:
        if flow.tried_servers:
            self._record_unanswered_opening(flow, packet, now)
        flow.last_copy_number = packet.copy_number
        servers_by_service = self.eligibility.servers_by_service(route, now)
        if not servers_by_service:
            self._handle_unplaceable(packet, route, flow, now)
            return
        permitted = servers_by_service[self._pick_service(route, servers_by_service)]
        trial_server = None
        if not flow.tried_servers:
            # A later copy may have been sent to a server by another host.
            is_first_copy = packet.copy_number == 0
            if is_first_copy and not self._admits(packet, route, now):
                return
            trial_server = self._send_trial(packet, permitted, now)
        # The trial counts, so that a cold server may have no room for another copy.
        others = self.eligibility.without_spent(permitted, trial_server, now)
        candidates = self.eligibility.prefer(
            others or permitted, flow.tried_servers, now
        )
        if self.zone_spill is not None and not flow.tried_servers:
            candidates = self.zone_spill.filter(candidates, now)
        server = self.placement.choose(candidates, now)
        self.placement.record_placement(server, now)
        self.outstanding.start(flow, server, now)
        flow.tried_servers.append(server)
        if others:
            self._send_opening(packet, server, now)
        flow.sent_at = self.link_queue.departure(now)
        self.journal.count(
            "flows_placed", "repeated" if flow.last_copy_number else "first"
        )
        self.journal.event(
            "flow_placed",
            flow=self.codec.describe_flow(packet.flow_key),
            route=route.name,
            server=server.server_id,
            copy=packet.copy_number,
            candidates=len(candidates),
            permitted=len(permitted),
            trial=trial_server.server_id if trial_server else "",
            version=self.catalog.routes.version,
            revision=self.catalog.revision,
            age_ms=round(1000 * self.catalog.age(now)),
        )

    def _admits(self, packet: CallerPacket, route: Route, now: float) -> bool:
        """Return whether the flow is served; refuse it otherwise."""
        is_admitted = self.admission.admits(route, hash_caller(packet), now)
        if not is_admitted:
            self.resets.refuse(packet, "overload", now)
        return is_admitted

    def _record_unanswered_opening(
        self, flow: Flow, packet: CallerPacket, now: float
    ) -> None:
        last_server = flow.tried_servers[-1]
        caller = hash_caller(packet)
        self.server_health.record_unanswered(
            last_server.server_id, UnansweredPacket(flow.sent_at, caller, 0), now
        )
        self.journal.count("opening_unanswered")
        self.journal.event(
            "opening_unanswered",
            flow=self.codec.describe_flow(packet.flow_key),
            server=last_server.server_id,
            copy=packet.copy_number,
            silence_ms=round(1000 * (now - flow.sent_at)),
            alive_ms=self.resets.progress_age_ms(last_server, now),
        )

    def _send_trial(
        self, packet: CallerPacket, permitted: list[Server], now: float
    ) -> Server | None:
        """Send the packet also to a server that is out, if its trial is due."""
        server = self.server_health.pick_trial_server(permitted, now)
        if server is not None:
            self._send_opening(packet, server, now)
            self.journal.count("flows_placed", "trial")
        return server

    def _handle_unplaceable(
        self, packet: CallerPacket, route: Route, flow: Flow, now: float
    ) -> None:
        reason = self.eligibility.missing_reason(route)
        # A server may have accepted an earlier copy, so a refusal could be untrue.
        # Another host may have sent that copy, while servers of the route got flows.
        may_be_placed = packet.copy_number > 0 and reason != NO_SERVER
        if flow.tried_servers or may_be_placed:
            self.journal.count("openings_dropped", "tried_before")
            return
        self.resets.refuse(packet, reason, now)

    def _pick_service(
        self, route: Route, servers_by_service: dict[str, list[Server]]
    ) -> str:
        if len(servers_by_service) == 1:
            return next(iter(servers_by_service))
        names = list(servers_by_service)
        weights = [route.weights_by_service[name] for name in names]
        return self._random.choices(names, weights)[0]

    def _send_opening(self, packet: CallerPacket, server: Server, now: float) -> None:
        handle = self.catalog.handles.handle_of(server)
        # A server that the packet's first copy went to may be unknown by now.
        data = self.codec.write_handle(packet.data, handle or server.handle)
        self._send(data, server, now)
        departs_at = self.link_queue.departure(now)
        self.eligibility.slow_start.record_opening(server, departs_at)

    def _send(self, data: bytes, server: Server, now: float) -> None:
        datagram = self.codec.encapsulate(data, server.number)
        self.transmit(datagram, server.address)
        self.link_queue.add(len(datagram), now)

    def _forward_established(
        self, packet: CallerPacket, now: float, arrived_at: float
    ) -> None:
        if packet.handle == NO_HANDLE:
            self.journal.count("packets_dropped", "no_handle")
            return
        server = self.catalog.find_server(packet.handle, now)
        if server is None:
            self.journal.count("packets_dropped", "unknown_handle")
            return
        if self.catalog.is_gone(server, now):
            self._reset_flow_of_packet(packet, server, "server_gone", now)
            return
        flow = self.flows.get(packet.flow_key) or self._adopt_flow(packet, now)
        self._record_packet(packet, flow, server, now, arrived_at)
        if packet.payload_bytes and self.server_health.is_dead(server.server_id, now):
            self._reset_flow_of_packet(packet, server, "server_silent", now)
            return
        self._send(packet.data, server, now)

    def _record_packet(
        self,
        caller_packet: CallerPacket,
        flow: Flow,
        server: Server,
        now: float,
        arrived_at: float,
    ) -> None:
        """Update the flow record and the server's health from a packet."""
        self._record_holder(flow, server, now)
        if not flow.is_established:
            self.waits.record_handshake(flow, now)
        is_new = not flow.is_established
        if flow.record_packet(caller_packet, now):
            self.server_health.record_local_progress(server.server_id, now)
            # The first packet only shows that the server accepted the flow; the
            # request follows the handshake.
            if not is_new:
                self.waits.finish_answered(flow, caller_packet, now)
        if caller_packet.is_ending:
            self.waits.finish_unanswered(flow, now)
        if not caller_packet.payload_bytes:
            return
        if is_new:
            # The request follows the handshake, with which the server was counted.
            flow.awaited_since = now
        self.outstanding.start(flow, server, now)
        departs_at = self.link_queue.departure(now)
        sent_at = flow.record_data(caller_packet, arrived_at, departs_at)
        if sent_at is not None:
            self.journal.count("data_repeated")
            packet = UnansweredPacket(
                sent_at, hash_caller(caller_packet), flow.retransmissions
            )
            self.server_health.record_unanswered(server.server_id, packet, now)

    def _record_holder(self, flow: Flow, server: Server, now: float) -> None:
        """Count a flow for the server that holds it, if it was placed on another one.

        Several servers may have got the opening packet: a trial, a copy, or one that
        another host chose. The flow would be reset once one of these is dead.
        """
        flow.holder = server
        awaited = flow.awaited_server
        if awaited is not None and awaited.server_id != server.server_id:
            self.journal.count("flows_held_elsewhere")
            self.outstanding.start(flow, server, now)

    def _adopt_flow(self, packet: CallerPacket, now: float) -> Flow:
        """Create the record of a flow opened elsewhere or dropped here when idle."""
        flow = self._open_flow(packet.flow_key, now)
        flow.route = self.catalog.find_route(packet.address_key)
        flow.is_established = True
        flow.acknowledgement = packet.acknowledgement
        return flow

    def _open_flow(self, flow_key: bytes, now: float) -> Flow:
        """Create the record of a flow; drop the oldest one if there are too many."""
        surplus_key = self.flows.oldest_surplus()
        if surplus_key is not None:
            self.journal.count("flow_records_evicted")
            self.outstanding.finish(self.flows.get(surplus_key))
            self.flows.discard(surplus_key)
        return self.flows.open(flow_key, now)

    def _discard_flow(self, flow_key: bytes, now: float) -> None:
        flow = self.flows.get(flow_key)
        if flow is not None:
            self.waits.finish_unanswered(flow, now)
            self.flows.discard(flow_key)

    def _reset_flow_of_packet(
        self, packet: CallerPacket, server: Server, reason: str, now: float
    ) -> None:
        self._reset(packet.flow_key, packet.acknowledgement, server, reason, now)

    def _reset(
        self,
        flow_key: bytes,
        acknowledgement: int,
        server: Server,
        reason: str,
        now: float,
    ) -> None:
        flow = self.flows.get(flow_key)
        self._discard_flow(flow_key, now)
        self.resets.reset(flow_key, flow, acknowledgement, server, reason, now)


def _is_copy(packet: CallerPacket, flow: Flow) -> bool:
    """Return whether an opening packet is one more copy of the flow's.

    A caller that uses a port again draws another sequence number.
    """
    return not flow.is_established and packet.sequence == flow.opening_sequence
