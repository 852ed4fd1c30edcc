"""Stand-in of a server (target) that answers clients directly."""

import asyncio
import random

from .packets import ACK, DATA_BYTES, FIN, RST, SYN, Packet, decode

HEARTBEAT_SECONDS = 1.2
RETRANSMIT_SECONDS = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)


class _Flow:
    __slots__ = (
        "acked",
        "client",
        "echo",
        "inbox",
        "is_open",
        "next_seq",
        "packets",
        "received",
        "sent",
        "service",
        "start",
        "tries",
    )

    def __init__(self, packet):
        self.client, self.service = packet.src, packet.dst
        self.echo = packet.echo
        self.start = random.getrandbits(31)
        self.received = packet.seq + 1
        self.next_seq = self.acked = self.start + 1
        self.sent = []
        self.inbox = b""
        self.packets = 0
        self.is_open = False
        self.tries = 0


class Server(asyncio.DatagramProtocol):
    """Holds up to `max_conns` flows and runs up to `slots` requests at a time."""

    def __init__(self, deployment, server_id, service, zone, address, **limits):
        self.deployment = deployment
        self.server_id = server_id
        self.number = int(server_id.rpartition("-")[2], 16)
        self.service = service
        self.zone = zone
        self.address = address
        self.max_conns = limits.get("max_conns", 2000)
        self.slots = limits.get("slots", 3)
        self.work_seconds = limits.get("work_seconds", 0.034)
        self.answer_bytes = limits.get("answer_bytes", 1500)
        self.state = "ready"
        self.flows = {}
        self.openings = []
        self.ignored_openings = 0
        self.runs = {}
        self._slots = asyncio.Semaphore(self.slots)
        self._beats = 0
        self._tasks = set()

    async def start(self):
        """Open the port and register in the store."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )
        self._spawn(self._report())

    def drain(self):
        """Report that this server leaves."""
        self.state = "draining"
        return self._write()

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _write(self):
        self._beats += 1
        entry = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self._beats,
        }
        is_logged = self._beats == 1 or self.state == "draining"
        key = f"servers/{self.server_id}"
        return self.deployment.store.put(key, entry, is_logged)

    async def _report(self):
        # The store's item changes only when more than `seq` changes.
        while True:
            if self._beats == 0:
                self._write()
            self._beats += 1
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def datagram_received(self, data, addr):
        """Handle one datagram of a node."""
        number = int.from_bytes(data[:8], "big")
        if number not in (0, self.number):
            return
        packet = decode(data[8:])
        if not packet.is_genuine():
            self.deployment.note_forged(self, packet)
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self._open(packet, key, flow, addr[0])
        elif flow is None:
            self.deployment.note_server_reset(self, key)
            self._send_to(packet.src, packet.dst, RST, packet.ack, 0, b"", packet.echo)
        else:
            self._receive(packet, flow, key)

    def _open(self, packet, key, flow, node_ip):
        if flow is None:
            if len(self.flows) >= self.max_conns:
                self.ignored_openings += 1
                return
            flow = self.flows[key] = _Flow(packet)
        flow.echo = packet.echo
        self.openings.append((self.deployment.now(), key, node_ip, packet))
        self.deployment.note_opening(self, key, node_ip, packet)
        self._send(flow, SYN | ACK, flow.start)

    def _receive(self, packet, flow, key):
        if not flow.is_open:
            if packet.ack != flow.start + 1:
                return
            flow.is_open = True
        flow.echo = packet.echo
        if packet.ack > flow.acked:
            flow.acked = packet.ack
            flow.sent = [p for p in flow.sent if p[0] >= packet.ack]
        if packet.flags & (FIN | RST):
            del self.flows[key]
            if packet.flags & FIN:
                self._send(flow, ACK, flow.next_seq)
            return
        if not packet.data:
            return
        if packet.seq != flow.received:
            self._send(flow, ACK, flow.next_seq)
            return
        flow.received += len(packet.data)
        flow.inbox += packet.data
        flow.packets += 1
        if flow.packets % 2 == 0:
            self._send(flow, ACK, flow.next_seq)
        self._take_requests(flow, key)

    def _take_requests(self, flow, key):
        while b"\r\n\r\n" in flow.inbox:
            head, _, rest = flow.inbox.partition(b"\r\n\r\n")
            fields = dict(
                line.split(": ", 1) for line in head.decode().split("\r\n")[1:]
            )
            length = int(fields.get("Content-Length", 0))
            if len(rest) < length:
                return
            flow.inbox = rest[length:]
            self._spawn(self._run(flow, key, fields["Request-Id"]))

    async def _run(self, flow, key, request_id):
        async with self._slots:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            await asyncio.sleep(self.work_seconds)
        body = b"x" * self.answer_bytes
        head = (
            f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
            f"Request-Id: {request_id}\r\nServer-Stamp: {self.server_id}\r\n\r\n"
        ).encode()
        if self.flows.get(key) is not flow:
            return
        answer = head + body
        for start in range(0, len(answer), DATA_BYTES):
            part = answer[start : start + DATA_BYTES]
            flow.sent.append((flow.next_seq, part))
            self._send(flow, ACK, flow.next_seq, part)
            flow.next_seq += len(part)
        for wait in RETRANSMIT_SECONDS:
            await asyncio.sleep(wait)
            if not flow.sent or self.flows.get(key) is not flow:
                return
            self._send(flow, ACK, *flow.sent[0])

    def _send(self, flow, flags, seq, data=b""):
        self._send_to(
            flow.client, flow.service, flags, seq, flow.received, data, flow.echo
        )

    def _send_to(self, client, service, flags, seq, ack, data, echo):
        packet = Packet(service, client, flags, seq, ack, data, echo)
        address = (client[0], self.deployment.packet_port)
        self.transport.sendto(packet.encode(), address)
