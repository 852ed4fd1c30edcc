"""Stand-in callers and servers that notice when a flow changes its server."""

from dataclasses import dataclass

from hornbeamdeal.kernel import Endpoint, FlowPacket

ADDRESS = Endpoint("10.0.0.1", 5683)
REFRESH_SECONDS = (10.0, 20.0)
RETRY_SECONDS = 2.0
# As RFC 7252 has it, each of the repeats waits twice as long as the one before.
MAXIMUM_REPEATS = 4
LEAVING_BOUND_SECONDS = 3.0


@dataclass(slots=True)
class Flow:
    """A caller's flow as its server knows it."""

    caller: Endpoint
    token: bytes
    server_id: str = ""
    handle: bytes | None = None
    is_broken: bool = False
    opened_at: float | None = None
    answered_at: float | None = None
    repeats: int = 0


class Callers:
    """Opens flows, repeats their packets and counts what goes wrong."""

    def __init__(self, cluster, codec, caller_ip):
        self.cluster, self.codec, self.caller_ip = cluster, codec, caller_ip
        self.flows: list[Flow] = []
        self.packets = self.lost = self.late = self.duplicates = 0

    def open_flows(self, number, seconds):
        """Open flows at random times within some seconds."""
        for _ in range(number):
            position = len(self.flows)
            caller = Endpoint(self.caller_ip, position)
            self.flows.append(Flow(caller, position.to_bytes(4, "big")))
            delay = self.cluster.random.uniform(0, seconds)
            self.cluster.at(delay, self.emit, self.flows[-1], True)

    def emit(self, flow, is_repeated):
        """Send a packet of a flow to a random host of the fabric."""
        host_id = self.cluster.random.choice(self.cluster.fabric)
        opens = None if self.codec == "opaque" else flow.handle is None
        packet = FlowPacket(flow.caller, ADDRESS, b"", opens, flow.token, flow.handle)
        self.packets += 1
        if flow.opened_at is None:
            flow.opened_at = self.cluster.now
        self.cluster.receive(host_id, packet)
        if is_repeated:
            delay = self.cluster.random.uniform(*REFRESH_SECONDS)
            self.cluster.at(delay, self.emit, flow, True)

    def lose(self, packet):
        """Repeat a packet that a dead host has got."""
        self.lost += 1
        self.cluster.at(RETRY_SECONDS, self.emit, self._flow(packet), False)

    def drop(self, packet):
        """Take note that a host dropped a packet."""
        self._break(self._flow(packet), "")

    def arrive(self, steering, server, packet):
        """Take note of the server that a packet reached."""
        flow = self._flow(packet)
        if flow.answered_at is None:
            flow.answered_at = self.cluster.now
        if not flow.server_id:
            left_at = self.cluster.left_at.get(server.server_id, self.cluster.now)
            self.late += self.cluster.now - left_at > LEAVING_BOUND_SECONDS
        elif packet.opens and flow.handle is not None:
            # A late copy of the opening packet; the caller keeps its handle.
            self.duplicates += flow.server_id != server.server_id
            return
        elif flow.server_id != server.server_id:
            self._break(flow, server.server_id)
        flow.server_id = server.server_id
        if packet.opens:
            flow.handle = steering.make_handle(server, flow.token)

    def wait(self, packet):
        """Repeat an opening packet that a server has not answered."""
        flow = self._flow(packet)
        if flow.answered_at is None and flow.repeats < MAXIMUM_REPEATS:
            delay = RETRY_SECONDS * 2**flow.repeats
            flow.repeats += 1
            self.cluster.at(delay, self.emit, flow, False)

    def unanswered(self, since, seconds):
        """Return how many flows opened since a time, and those that waited longer."""
        opened = [f for f in self.flows if f.opened_at and f.opened_at > since]
        late = [
            f
            for f in opened
            if f.answered_at is None or f.answered_at - f.opened_at > seconds
        ]
        return len(opened), len(late)

    def broken(self):
        """Return the number of broken flows."""
        return sum(flow.is_broken for flow in self.flows)

    def _flow(self, packet):
        return self.flows[packet.caller.port]

    def _break(self, flow, server_id):
        flow.is_broken = flow.is_broken or bool(flow.server_id)
        flow.server_id, flow.handle = server_id, None
