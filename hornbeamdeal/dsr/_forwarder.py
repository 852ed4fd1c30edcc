"""Forwards each packet of a caller to a server, answers with a reset or drops it."""

import random
import zlib
from typing import Any

from ._arrival_bound import ArrivalBound
from ._base import CallerPacket, Journal, PacketCodec, Transmit
from ._catalog import Catalog
from ._flow_table import MINIMUM_RETRANSMISSION_SECONDS, Flow, FlowTable
from ._link_queue import LinkQueue
from ._outstanding_requests import OutstandingRequests
from ._placement import Placement
from ._records import NO_HANDLE, Route, Server
from ._server_health import ServerHealth, UnansweredPacket

# An opening packet is refused only if the catalog is newer than this. With an older
# catalog, a route or server may have been added that this host has not seen yet.
REFUSAL_MAXIMUM_CATALOG_AGE_SECONDS = 2.0
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
        "catalog",
        "codec",
        "server_health",
        "flows",
        "journal",
        "link_queue",
        "outstanding",
        "placement",
        "random_state",
        "transmit",
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
        random_state: int | None = None,
    ):
        self.catalog = catalog
        self.codec = codec
        self.server_health = server_health
        self.flows = flows
        self.journal = journal
        self.link_queue = link_queue
        self.outstanding = outstanding
        self.placement = placement
        self.transmit = transmit
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
        if self.catalog.routes is None or not self.flows.is_sweep_due(now):
            return
        for flow in self.flows.flows_by_key.values():
            self.outstanding.expire(flow, now)
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

    def explain(self, address_key: bytes, now: float) -> dict[str, Any]:
        """Return how an opening packet for an address would be handled, and why."""
        route = self.catalog.find_route(address_key)
        if route is None:
            is_fresh = self.catalog.age(now) < REFUSAL_MAXIMUM_CATALOG_AGE_SECONDS
            verdict = "refused: no route" if is_fresh else "dropped: no route, old view"
            return {"verdict": verdict, "servers": []}
        services = route.weights_by_service
        servers = [
            s for s in self.catalog.servers_by_id.values() if s.service in services
        ]
        described = [self._describe_server(server, now) for server in servers]
        usable = sum(server["state"] == "takes new flows" for server in described)
        verdict = f"route {route.name}: {usable} of {len(described)} servers"
        if not self._weights_in_use(route):
            is_fresh = self.catalog.age(now) < REFUSAL_MAXIMUM_CATALOG_AGE_SECONDS
            outcome = "refused" if is_fresh else "dropped, old view"
            verdict = f"{outcome}: route {route.name} has no server for new flows"
        return {"verdict": verdict, "servers": described}

    def _describe_server(self, server: Server, now: float) -> dict[str, Any]:
        state = "takes new flows"
        if server.is_draining:
            state = "draining"
        elif self.catalog.provisional.is_withheld(server.server_id):
            state = "withheld"
        elif self.server_health.is_dead(server.server_id, now):
            state = "dead"
        elif self.server_health.is_out(server.server_id):
            state = "out"
        return {
            "server": server.server_id,
            "zone": server.zone,
            "state": state,
            "under_way": self.outstanding.count(server.server_id),
            "alive_ms": self._progress_age_ms(server, now),
        }

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
            self._discard_flow(packet.flow_key)
            flow = self.flows.open(packet.flow_key, now)
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
        weights = self._weights_in_use(route)
        service = self._pick_service(weights) if weights else ""
        listed = self.catalog.accepting_servers(service)
        untried = [server for server in listed if server not in flow.tried_servers]
        usable = [s for s in untried if not self.server_health.is_out(s.server_id)]
        candidates = usable or untried or listed
        if not candidates:
            self._refuse(packet, "no_server", now)
            return
        if not flow.tried_servers:
            self._send_trial(packet, listed, flow, now)
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
            listed=len(listed),
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
        self, packet: CallerPacket, listed: list[Server], flow: Flow, now: float
    ) -> None:
        """Send the packet also to a server that is out, if its trial is due."""
        server = self.server_health.pick_trial_server(listed, now)
        if server is not None:
            self._send_opening(packet, server, now)
            self.journal.count("flows_placed", "trial")

    def _weights_in_use(self, route: Route) -> dict[str, float]:
        """Return the weights of the route's services that take new flows.

        A service without such a server leaves its share to the others, since the
        route allows each of them.
        """
        return {
            service: weight
            for service, weight in route.weights_by_service.items()
            if weight and self.catalog.accepting_servers(service)
        }

    def _pick_service(self, weights: dict[str, float]) -> str:
        if len(weights) == 1:
            return next(iter(weights))
        names = list(weights)
        return self._random.choices(names, [weights[name] for name in names])[0]

    def _send_opening(self, packet: CallerPacket, server: Server, now: float) -> None:
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
            self.journal.observe("handshake_seconds", max(0.0, now - flow.sent_at))
        is_new = not flow.is_established
        if flow.record_packet(caller_packet, now):
            self.server_health.record_local_progress(server.server_id, now)
            # The first packet only shows that the server accepted the flow; the
            # request follows the handshake.
            if not is_new:
                self.outstanding.finish(flow)
        if caller_packet.is_ending:
            self.outstanding.finish(flow)
        if not caller_packet.payload_bytes:
            return
        self.outstanding.start(flow, server, now)
        departs_at = self.link_queue.departure(now)
        sent_at = flow.record_data(caller_packet, arrived_at, departs_at)
        if sent_at is not None:
            self.journal.count("data_repeated")
            packet = UnansweredPacket(
                sent_at, hash_caller(caller_packet), flow.retransmissions
            )
            self.server_health.record_unanswered(server.server_id, packet, now)

    def _adopt_flow(self, packet: CallerPacket, now: float) -> Flow:
        """Create the record of a flow opened elsewhere or dropped here when idle."""
        flow = self.flows.open(packet.flow_key, now)
        flow.is_established = True
        flow.acknowledgement = packet.acknowledgement
        return flow

    def _discard_flow(self, flow_key: bytes) -> None:
        flow = self.flows.get(flow_key)
        if flow is not None:
            self.outstanding.finish(flow)
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
        self._discard_flow(flow_key)
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


def hash_caller(packet: CallerPacket) -> int:
    """Return a 31-bit hash of the caller's IP address, without the port.

    A hash of 31 bits fits the signed 32-bit integer of a peer message.
    """
    return zlib.crc32(packet.flow_key[:CALLER_IP_BYTES]) >> 1
