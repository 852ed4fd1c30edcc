"""Forwards each packet of a caller to a server, answers with a reset or drops it."""

import random
import zlib

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
)
from ._catalog import Catalog
from ._eligibility import Eligibility
from ._flow_table import MINIMUM_RETRANSMISSION_SECONDS, Flow, FlowTable
from ._link_queue import LinkQueue
from ._outstanding_requests import MAXIMUM_WAIT_SECONDS, OutstandingRequests
from ._placement import Placement
from ._records import NO_HANDLE, Route, Server
from ._server_health import ServerHealth, UnansweredPacket
from ._zone_spill import ZoneSpill

# An opening packet is refused only if the catalog is newer than this. With an older
# catalog, a route or server may have been added that this host has not seen yet.
REFUSAL_MAXIMUM_CATALOG_AGE_SECONDS = 2.0
# A request counts as failed if its answer is this much later than its objective.
FAILURE_MARGIN_SECONDS = 0.3
# Length of the caller's IPv4 address, with which a flow's key begins.
CALLER_IP_BYTES = 4


class Forwarder:
    """Forwards callers' packets by the handle that they carry.

    For an opening packet a server is chosen and its handle written into the
    packet. Every later packet of the flow carries the handle, so that any host
    finds the server without a flow record. Resets are sent only if a new flow
    can't be served (no route, no server) or the flow's server is dead or gone.
    """

    __slots__ = (
        "admission",
        "answer_observers",
        "catalog",
        "codec",
        "eligibility",
        "server_health",
        "flows",
        "handshake_observers",
        "journal",
        "link_queue",
        "outstanding",
        "placement",
        "random_state",
        "transmit",
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
        zone_spill: ZoneSpill | None = None,
        handshake_observers: tuple[HandshakeObserver, ...] = (),
        random_state: int | None = None,
    ):
        self.admission = admission or AdmitAll()
        self.answer_observers = answer_observers
        self.handshake_observers = handshake_observers
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
        if self.answer_observers:
            self._record_failures(now)
        if self.catalog.routes is None or not self.flows.is_sweep_due(now):
            return
        for flow in self.flows.flows_by_key.values():
            if self.outstanding.is_expired(flow, now):
                self._finish_unanswered(flow, now)
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

    def _record_failures(self, now: float) -> None:
        """Record the requests whose answers are overdue, each once.

        Waits that began before this host was last behind may include its own pause.
        """
        for flow in self.outstanding.waiting_flows_:
            seconds = now - flow.awaited_since
            if (
                seconds > FAILURE_MARGIN_SECONDS
                and flow.awaits_request
                and flow.awaited_since >= self.arrivals.resumed_at
            ):
                route = self.catalog.find_route(flow.address_key)
                if route is not None and seconds > _failure_seconds(route):
                    self._record_failure(flow, route, now)

    def _record_failure(self, flow: Flow, route: Route, now: float) -> None:
        if flow.failed_since == flow.awaited_since:
            return
        flow.failed_since = flow.awaited_since
        for observer in self.answer_observers:
            observer.record_failure(route, flow.awaited_server, now)

    def _handle_opening(
        self, packet: CallerPacket, now: float, arrived_at: float
    ) -> None:
        if not self.catalog.is_complete:
            self.journal.count("packets_dropped", "no_catalog")
            return
        route = self.catalog.find_route(packet.address_key)
        if route is None:
            self._refuse(packet, "no_route", now)
            return
        flow = self.flows.get(packet.flow_key)
        if flow is None or flow.is_established:
            self._discard_flow(packet.flow_key, now)
            flow = self.flows.open(packet.flow_key, now, packet.address_key)
            flow.route = route
        flow.last_packet_at = now
        is_duplicate = packet.copy_number <= flow.last_copy_number
        if flow.tried_servers and (
            is_duplicate or arrived_at - flow.sent_at < MINIMUM_RETRANSMISSION_SECONDS
        ):
            self._send_opening(packet, flow.tried_servers[-1], now)
            return
        self._place(packet, route, flow, now)

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
        if not flow.tried_servers:
            if not self.admission.admits(route, hash_caller(packet), now):
                self._refuse(packet, "overload", now)
                return
            self._send_trial(packet, permitted, flow, now)
        candidates = self.eligibility.prefer(permitted, flow.tried_servers, now)
        if self.zone_spill is not None and not flow.tried_servers:
            candidates = self.zone_spill.filter(candidates, now)
        server = self.placement.choose(candidates, now)
        self.placement.record_placement(server, now)
        self.outstanding.start(flow, server, now)
        flow.tried_servers.append(server)
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
            version=self.catalog.routes.version,
            revision=self.catalog.revision,
            age_ms=round(1000 * self.catalog.age(now)),
        )

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
            alive_ms=self._progress_age_ms(last_server, now),
        )

    def _progress_age_ms(self, server: Server, now: float) -> int:
        """Return the milliseconds since a server's last progress, -1 if none."""
        at = self.server_health.progress_at(server.server_id)
        return round(1000 * (now - at)) if at > float("-inf") else -1

    def _send_trial(
        self, packet: CallerPacket, permitted: list[Server], flow: Flow, now: float
    ) -> None:
        """Send the packet also to a server that is out, if its trial is due."""
        server = self.server_health.pick_trial_server(permitted, now)
        if server is not None:
            self._send_opening(packet, server, now)
            self.journal.count("flows_placed", "trial")

    def _handle_unplaceable(
        self, packet: CallerPacket, route: Route, flow: Flow, now: float
    ) -> None:
        if flow.tried_servers:
            # A server may have accepted an earlier copy, so a refusal could be untrue.
            self.journal.count("openings_dropped", "tried_before")
            return
        self._refuse(packet, self.eligibility.missing_reason(route), now)

    def _pick_service(
        self, route: Route, servers_by_service: dict[str, list[Server]]
    ) -> str:
        if len(servers_by_service) == 1:
            return next(iter(servers_by_service))
        names = list(servers_by_service)
        weights = [route.weights_by_service[name] for name in names]
        return self._random.choices(names, weights)[0]

    def _send_opening(self, packet: CallerPacket, server: Server, now: float) -> None:
        self.eligibility.slow_start.record_opening(server, now)
        self._send(self.codec.write_handle(packet.data, server.handle), server, now)

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
        server = self.catalog.servers_by_handle.get(packet.handle)
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
        if not flow.is_established:
            self._record_handshake(flow, max(0.0, now - flow.sent_at), now)
        is_new = not flow.is_established
        if flow.record_packet(caller_packet, now):
            self.server_health.record_local_progress(server.server_id, now)
            # The first packet only shows that the server accepted the flow; the
            # request follows the handshake.
            if not is_new:
                self._record_answer(caller_packet, flow, now)
                self.outstanding.finish(flow)
        if caller_packet.is_ending:
            self._finish_unanswered(flow, now)
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

    def _record_handshake(self, flow: Flow, seconds: float, now: float) -> None:
        self.journal.observe("handshake_seconds", seconds)
        if flow.route is None or flow.sent_at < self.arrivals.resumed_at:
            return
        for observer in self.handshake_observers:
            observer.record_handshake(flow.route, seconds, now)

    def _record_answer(self, packet: CallerPacket, flow: Flow, now: float) -> None:
        # With data, the packet may be the next request, which comes after a pause.
        if packet.payload_bytes or not self._is_wait_known(flow):
            return
        seconds = now - flow.awaited_since
        for observer in self.answer_observers:
            observer.record_answer(flow.route, flow.awaited_server, seconds, now)
        self.admission.record_work(flow.route, hash_caller(packet), now)

    def _is_wait_known(self, flow: Flow) -> bool:
        """Return whether the flow awaits an answer for as long as this host thinks.

        While this host was behind with its packets, the answer may have come.
        """
        is_awaiting = flow.awaited_server is not None and flow.route is not None
        return is_awaiting and flow.awaited_since >= self.arrivals.resumed_at

    def _finish_unanswered(self, flow: Flow, now: float) -> None:
        """Stop counting a flow; record a failure if it has sent a request."""
        # A flow without data has no request yet, and an opening without an answer is
        # a matter of the server's health.
        has_request = flow.next_sequence is not None
        if self.answer_observers and has_request and self._is_wait_known(flow):
            self.journal.count("requests_unanswered")
            self._record_failure(flow, flow.route, now)
        self.outstanding.finish(flow)

    def _adopt_flow(self, packet: CallerPacket, now: float) -> Flow:
        """Create the record of a flow opened elsewhere or dropped here when idle."""
        flow = self.flows.open(packet.flow_key, now, packet.address_key)
        flow.route = self.catalog.find_route(packet.address_key)
        flow.is_established = True
        flow.acknowledgement = packet.acknowledgement
        return flow

    def _discard_flow(self, flow_key: bytes, now: float) -> None:
        flow = self.flows.get(flow_key)
        if flow is not None:
            self._finish_unanswered(flow, now)
            self.flows.discard(flow_key)

    def _refuse(self, packet: CallerPacket, reason: str, now: float) -> None:
        """Reset an unservable flow, or drop the packet if the catalog is old."""
        age = self.catalog.age(now)
        is_catalog_fresh = age < REFUSAL_MAXIMUM_CATALOG_AGE_SECONDS
        outcome = "refused" if is_catalog_fresh else "dropped"
        self.journal.count(f"openings_{outcome}", reason)
        self.journal.event(
            f"opening_{outcome}",
            flow=self.codec.describe_flow(packet.flow_key),
            reason=reason,
            version=self.catalog.routes.version,
            revision=self.catalog.revision,
            age_ms=round(1000 * age),
        )
        if is_catalog_fresh:
            self.transmit(*self.codec.make_reset(packet.flow_key, 0))

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
        self._discard_flow(flow_key, now)
        self.journal.count("flows_reset", reason)
        self.journal.event(
            "flow_reset",
            flow=self.codec.describe_flow(flow_key),
            server=server.server_id,
            reason=reason,
            alive_ms=self._progress_age_ms(server, now),
            revision=self.catalog.revision,
            age_ms=round(1000 * self.catalog.age(now)),
        )
        self.transmit(*self.codec.make_reset(flow_key, acknowledgement))


def _failure_seconds(route: Route) -> float:
    """Return how long a request may wait before it counts as failed."""
    if not route.aim_seconds:
        return MAXIMUM_WAIT_SECONDS
    return min(route.aim_seconds + FAILURE_MARGIN_SECONDS, MAXIMUM_WAIT_SECONDS)


def hash_caller(packet: CallerPacket) -> int:
    """Return a 31-bit hash of the caller's IP address, without the port.

    A hash of 31 bits fits the signed 32-bit integer of a peer message.
    """
    return zlib.crc32(packet.flow_key[:CALLER_IP_BYTES]) >> 1
