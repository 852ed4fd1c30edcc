"""Stand-in of clients: one address each, many flows at a time."""

import asyncio
import random

from .packets import ACK, FIN, RST, SYN, Packet, decode

COPY_SECONDS = (0.2, 0.4)
GIVE_UP_SECONDS = 1.4
RETRANSMIT_SECONDS = (0.2, 0.4, 0.8, 1.6)
RESET_WINDOW = 76_800


class FlowClosedError(Exception):
    """The flow did not open, or ended early; the message says how."""


class Flow:
    """The client's end of one flow."""

    def __init__(self, client, port, service):
        self.client = client
        self.source = (client.ip, port)
        self.service = service
        self.seq = random.getrandbits(31)
        self.ack = 0
        self.echo = 0
        self.is_open = False
        self.opened_at = None
        self.used_at = None
        self.reset_by = None
        self.inbox = b""
        self.packets = 0
        self._event = asyncio.Event()

    async def open(self):
        """Open the flow; raise FlowClosedError if that fails."""
        end = self.client.loop.time() + GIVE_UP_SECONDS
        for copy, wait in enumerate((*COPY_SECONDS, GIVE_UP_SECONDS)):
            self._send(SYN, self.seq, copy, b"", 0)
            if await self._wait(min(wait, end - self.client.loop.time())):
                break
        if self.reset_by:
            raise FlowClosedError(f"reset by {self.reset_by} before it opened")
        if not self.is_open:
            raise FlowClosedError("no answer to the opening packets")
        self.seq += 1

    async def request(self, request_id, budget_seconds, body=b"", method="GET"):
        """Send a request; return the answer's header fields."""
        head = f"{method} /work HTTP/1.1\r\nHost: s\r\nRequest-Id: {request_id}\r\n"
        data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        self.inbox = b""
        waits = iter(RETRANSMIT_SECONDS)
        end = self.client.loop.time() + budget_seconds
        start, self.seq = self.seq, self.seq + len(data)
        while True:
            self._send(ACK, start, self.ack, data, self.echo)
            left = end - self.client.loop.time()
            if left <= 0:
                raise FlowClosedError("no answer within the time budget")
            if await self._wait(min(next(waits, RETRANSMIT_SECONDS[-1]), left)):
                break
        if self.reset_by:
            raise FlowClosedError(f"reset by {self.reset_by} while open")
        head, _, _ = self.inbox.partition(b"\r\n\r\n")
        return dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])

    def close(self):
        """End the flow."""
        self._send(ACK | FIN, self.seq, self.ack, b"", self.echo)
        self.client.flows.pop(self.source[1], None)

    def receive(self, packet):
        """Handle a packet for this flow."""
        if packet.flags & RST:
            self._receive_reset(packet)
        elif not packet.is_genuine():
            self.client.deployment.note_foreign(self, packet)
        elif packet.flags & SYN:
            if not self.is_open:
                self.is_open = True
                self.opened_at = self.used_at = self.client.now()
                self.ack, self.echo = packet.seq + 1, packet.echo
                self._event.set()
        elif packet.data:
            self._receive_data(packet)

    def _receive_data(self, packet):
        if packet.seq != self.ack:
            self._send(ACK, self.seq, self.ack, b"", self.echo)
            return
        self.ack += len(packet.data)
        self.echo = packet.echo
        self.inbox += packet.data
        self.packets += 1
        is_whole = self._is_whole()
        if is_whole or self.packets % 2 == 0:
            self._send(ACK, self.seq, self.ack, b"", self.echo)
        if is_whole:
            self.used_at = self.client.now()
            self._event.set()

    def _is_whole(self):
        head, separator, body = self.inbox.partition(b"\r\n\r\n")
        if not separator:
            return False
        fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
        return len(body) >= int(fields["Content-Length"])

    def _receive_reset(self, packet):
        # A reset of the system has the sum 0; one of a server has a genuine sum.
        is_near = abs(packet.seq - self.ack) <= RESET_WINDOW
        if self.reset_by or (self.is_open and not is_near):
            return
        self.reset_by = "the system" if packet.sum == 0 else "the server"
        self.client.deployment.note_reset(self)
        self._event.set()

    async def _wait(self, seconds):
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                await self._event.wait()
        except TimeoutError:
            return False
        self._event.clear()
        return True

    def _send(self, flags, seq, ack, data, echo):
        packet = Packet(self.source, self.service, flags, seq, ack, data, echo)
        node = self.client.deployment.route(self.client, packet)
        if node is not None:
            self.client.transport.sendto(packet.encode(), node)


class Client(asyncio.DatagramProtocol):
    """One client address; each flow has a port of its own."""

    def __init__(self, deployment, ip, zone):
        self.deployment = deployment
        self.ip = ip
        self.zone = zone
        self.now = deployment.now
        self.flows = {}
        self._ports = iter(range(40_001, 65_000))

    async def start(self):
        """Open the socket."""
        self.loop = asyncio.get_running_loop()
        self.transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.deployment.packet_port)
        )

    def new_flow(self, service, port=None):
        """Return a flow that is not open yet, from a new port unless one is given."""
        port = next(self._ports) if port is None else port
        flow = self.flows[port] = Flow(self, port, service)
        return flow

    def datagram_received(self, data, addr):
        """Pass a packet to its flow."""
        packet = decode(data)
        flow = self.flows.get(packet.dst[1])
        if flow is not None and packet.src == flow.service:
            flow.receive(packet)
