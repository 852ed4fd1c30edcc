"""Simulated callers that detect when a flow changes its server."""

from dataclasses import dataclass

from hornbeamdeal.kernel import Endpoint, FlowPacket

ADDRESS = Endpoint("10.0.0.1", 5683)
REFRESH_SECONDS = (10.0, 20.0)
RETRY_SECONDS = 2.0
# As in RFC 7252, each retransmission waits twice as long as the previous one.
MAXIMUM_RETRANSMISSIONS = 4
DRAIN_LIMIT_SECONDS = 3.0


@dataclass(slots=True)
class Flow:
    """State of a caller's flow, with the server that received its last packet."""

    caller: Endpoint
    token: bytes
    server_id: str = ""
    handle: bytes | None = None
    is_broken: bool = False
    opened_at: float | None = None
    answered_at: float | None = None
    retransmissions: int = 0


class Callers:
    """Opens and refreshes flows, retransmits packets and counts failures."""

    def __init__(self, cluster, codec, caller_ip):
        self.cluster, self.codec, self.caller_ip = cluster, codec, caller_ip
        self.flows: list[Flow] = []
        self.packets = self.lost_packets = self.late_new_flows = (
            self.duplicate_openings
        ) = 0

    def open_flows(self, count, seconds):
        """Open flows at random times within the given seconds."""
        for _ in range(count):
            index = len(self.flows)
            caller = Endpoint(self.caller_ip, index)
            self.flows.append(Flow(caller, index.to_bytes(4, "big")))
            delay = self.cluster.random.uniform(0, seconds)
            self.cluster.schedule_after(delay, self.send_packet, self.flows[-1], True)

    def send_packet(self, flow, is_refreshed):
        """Send a packet to a random host of the fabric; schedule the next refresh."""
        host_id = self.cluster.random.choice(self.cluster.fabric_host_ids)
        opens_flow = None if self.codec == "opaque" else flow.handle is None
        packet = FlowPacket(
            flow.caller, ADDRESS, b"", opens_flow, flow.token, flow.handle
        )
        self.packets += 1
        if flow.opened_at is None:
            flow.opened_at = self.cluster.now
        self.cluster.receive(host_id, packet)
        if is_refreshed:
            delay = self.cluster.random.uniform(*REFRESH_SECONDS)
            self.cluster.schedule_after(delay, self.send_packet, flow, True)

    def handle_lost_packet(self, packet):
        """Retransmit a packet that was sent to a dead host."""
        self.lost_packets += 1
        self.cluster.schedule_after(
            RETRY_SECONDS, self.send_packet, self._flow(packet), False
        )

    def handle_dropped_packet(self, packet):
        """Record that a host dropped a packet."""
        self._change_server(self._flow(packet), "")

    def handle_arrival(self, steering, server, packet):
        """Record the server that received a packet."""
        flow = self._flow(packet)
        if flow.answered_at is None:
            flow.answered_at = self.cluster.now
        if not flow.server_id:
            removed_at = self.cluster.removed_at_by_server.get(
                server.server_id, self.cluster.now
            )
            self.late_new_flows += self.cluster.now - removed_at > DRAIN_LIMIT_SECONDS
        elif packet.opens_flow and flow.handle is not None:
            # A delayed copy of the opening packet; the caller keeps its handle.
            self.duplicate_openings += flow.server_id != server.server_id
            return
        elif flow.server_id != server.server_id:
            self._change_server(flow, server.server_id)
        flow.server_id = server.server_id
        if packet.opens_flow:
            flow.handle = steering.make_handle(server, flow.token)

    def handle_unanswered_packet(self, packet):
        """Retransmit an opening packet that no server has answered."""
        flow = self._flow(packet)
        if flow.answered_at is None and flow.retransmissions < MAXIMUM_RETRANSMISSIONS:
            delay = RETRY_SECONDS * 2**flow.retransmissions
            flow.retransmissions += 1
            self.cluster.schedule_after(delay, self.send_packet, flow, False)

    def count_unanswered(self, since, seconds):
        """Return how many flows opened since a time, and how many waited too long."""
        opened = [f for f in self.flows if f.opened_at and f.opened_at > since]
        slow = [
            f
            for f in opened
            if f.answered_at is None or f.answered_at - f.opened_at > seconds
        ]
        return len(opened), len(slow)

    def count_broken(self):
        """Return the number of broken flows."""
        return sum(flow.is_broken for flow in self.flows)

    def _flow(self, packet):
        return self.flows[packet.caller.port]

    def _change_server(self, flow, server_id):
        flow.is_broken = flow.is_broken or bool(flow.server_id)
        flow.server_id, flow.handle = server_id, None
