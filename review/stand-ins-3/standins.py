"""Stand-ins of the platform's store, routers, servers and clients, on loopback.

They follow PROTOCOL.md: packets of 32 bytes of header and data, reach mode `echo`,
retransmission after 200 ms, 600 ms and so on, readiness checks twice a second. All run
in one event loop; the nodes are processes of their own, started as in the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEADER = struct.Struct("<IIIIIHIHBBH")
SYN, FIN, ACK, RST = 128, 64, 4, 2
MODULUS = 1 << 32
# Key of the sums of these stand-ins; the system does not know it.
SUM_KEY = b"stand-ins of the review"
RETRANSMISSIONS_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
OPENING_COPIES_S = (0.2, 0.4)
OPENING_TIMEOUT_S = 1.4
PROBE_INTERVAL_S = 0.5
HEARTBEAT_S = 1.2
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


def ip_number(ip):
    return int.from_bytes(socket.inet_aton(ip), "big")


def ip_text(number):
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class Packet:
    """One packet of a flow."""

    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b"", echo=0):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq, ack, data
        self.echo = echo
        self.sum = 0
        self.pad = 0

    def keyed_sum(self):
        fields = struct.pack(
            "<IIIHIHBH",
            self.seq,
            self.ack,
            self.src,
            self.sport,
            self.dst,
            self.dport,
            self.flags & ~16,
            len(self.data),
        )
        return zlib.crc32(SUM_KEY + fields + self.data) or 1

    def encode(self):
        return (
            HEADER.pack(
                self.seq,
                self.ack,
                self.keyed_sum(),
                self.echo,
                self.src,
                self.sport,
                self.dst,
                self.dport,
                self.flags,
                self.pad,
                len(self.data),
            )
            + self.data
        )

    @classmethod
    def decode(cls, raw):
        if len(raw) < HEADER.size:
            return None
        seq, ack, total, echo, src, sport, dst, dport, flags, pad, length = (
            HEADER.unpack_from(raw)
        )
        packet = cls(src, sport, dst, dport, flags, seq, ack, raw[HEADER.size :], echo)
        packet.sum, packet.pad = total, pad
        return packet if length == len(packet.data) else None

    @property
    def is_genuine(self):
        return self.sum == self.keyed_sum()


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.path = Path(path)
        self.path.write_text("", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.path.open("a", encoding="utf-8") as file:
            file.write(f"{self.now():9.3f} s  {text}\n")


class Store:
    """The platform's store: keys, one revision counter, reads and watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.servers = {}
        self.calls = 0
        self.answers = 0
        # Behaviour by address: "serve", "silent" (accepts and never answers) or "busy"
        # (answers 503).
        self.behaviour = {}
        self.connections = {}

    async def listen(self, ip, port):
        self.behaviour[ip, port] = "serve"
        self.connections[ip, port] = set()
        server = await asyncio.start_server(
            lambda r, w: self._serve(r, w, (ip, port)), ip, port
        )
        self.servers[ip, port] = server

    def reject(self, ip, port):
        """Answer 503 at an address from now on."""
        self.behaviour[ip, port] = "busy"

    def serve(self, ip, port):
        """Answer at an address again."""
        self.behaviour[ip, port] = "serve"

    def silence(self, ip, port):
        """Answer nothing at an address from now on, on old and new connections."""
        self.behaviour[ip, port] = "silent"

    async def put(self, key, value):
        raw = json.dumps(value).encode() if not isinstance(value, bytes) else value
        old = self.items.get(key)
        if old is not None and _without_seq(old["raw"]) == _without_seq(raw):
            old["raw"] = raw
            return self.revision
        self.revision += 1
        created = old["created_rev"] if old else self.revision
        item = {"key": key, "raw": raw, "revision": self.revision}
        item["created_rev"] = created
        self.items[key] = item
        self.history.append(dict(item))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def delete(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append({"key": key, "revision": self.revision, "deleted": True})
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader, writer, address):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                self.calls += 1
                if self.behaviour[address] == "busy":
                    status, body = 503, {}
                else:
                    status, body = await self._answer(target)
                if self.behaviour[address] == "silent":
                    await asyncio.sleep(3600)
                text = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text
                )
                await writer.drain()
                self.answers += 1
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, True).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, _shown(item)) if item else (404, {})
        if parts.path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix))
            keys = [k for k in keys if k > query.get("after", "")]
            page, size = [], 0
            for key in keys[:PAGE_ITEMS]:
                size += len(self.items[key]["raw"])
                if page and size > PAGE_BYTES:
                    break
                page.append(_shown(self.items[key]))
            more = len(keys) > len(page)
            return 200, {"items": page, "more_pages": more, "as_of": self.revision}
        if parts.path == "/-/kv-watch":
            after = int(query["after"])
            deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while True:
                events = [
                    _shown(e)
                    for e in self.history
                    if e["revision"] > after and e["key"].startswith(prefix)
                ]
                left = deadline - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "as_of": self.revision}
                async with self.changed:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), left)
        return 404, {}


def _without_seq(raw):
    try:
        fields = json.loads(raw)
    except (ValueError, RecursionError):
        return raw
    if isinstance(fields, dict):
        fields.pop("seq", None)
    return fields


def _shown(item):
    if item.get("deleted"):
        return dict(item)
    shown = {k: v for k, v in item.items() if k not in ("raw", "text")}
    if item.get("text") is None or item["text"][0] is not item["raw"]:
        item["text"] = (item["raw"], base64.b64encode(item["raw"]).decode())
    shown["value"] = item["text"][1]
    shown["lease"] = 0
    return shown


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, data, addr):
        self.receive(data, addr)

    def error_received(self, exc):
        pass


async def open_udp(ip, port, receive):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Datagrams(receive), local_addr=(ip, port)
    )
    return transport


class Server:
    """A backend server (a target): one process of one service."""

    def __init__(self, world, server_id, service, ip, port, zone, work_s=0.03, slots=3):
        self.world, self.server_id, self.service = world, server_id, service
        self.ip, self.port, self.zone = ip, port, zone
        self.work_s, self.slots = work_s, slots
        self.number = int("".join(server_id.rpartition("-")[2]), 16)
        self.state = "ready"
        self.flows = {}
        self.ended = set()
        self.runs = []
        self.openings = []
        self.foreign = []
        self.heartbeat = None
        self.transport = None
        self.seq = 0

    async def start(self):
        self.transport = await open_udp(self.ip, self.port, self._receive)
        self.born = int(time.time() * 1000)
        await self.report()
        self.heartbeat = asyncio.create_task(self._beat())

    async def report(self):
        self.seq += 1
        await self.world.store.put(
            f"servers/{self.server_id}",
            {
                "service": self.service,
                "address": f"{self.ip}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold_remaining_ms": 0,
                "born": self.born,
                "seq": self.seq,
            },
        )

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.report()

    async def drain(self):
        """Report `draining`; the store's acknowledgement is the return."""
        self.state = "draining"
        await self.report()

    async def leave(self):
        """End as planned: nothing more is served, and the entry is removed."""
        self.heartbeat.cancel()
        self.transport.close()
        self.transport = None
        await self.world.store.delete(f"servers/{self.server_id}")

    def _receive(self, data, addr):
        if len(data) < 8 or int.from_bytes(data[:8], "big") not in (0, self.number):
            return
        packet = Packet.decode(data[8:])
        if packet is None or not packet.is_genuine:
            self.foreign.append(addr)
            self.world.record.write(f"{self.server_id} got a forged packet from {addr}")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & SYN:
            self._open(key, packet)
            return
        flow = self.flows.get(key)
        if flow is None or packet.ack != flow["next"] and not flow["open"]:
            if not packet.flags & (FIN | RST):
                self._send(key, RST, 0, 0, packet.echo)
            elif packet.flags & FIN and key in self.ended:
                self._send(key, ACK, packet.ack, packet.seq, packet.echo)
            return
        flow["echo"] = packet.echo
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if not flow["open"]:
            flow["open"] = True
        self._take(key, flow, packet)

    def _open(self, key, packet):
        flow = self.flows.get(key)
        if flow is None or flow["client_seq"] != packet.seq:
            start = random.getrandbits(31)
            flow = self.flows[key] = {
                "client_seq": packet.seq,
                "expected": (packet.seq + 1) % MODULUS,
                "start": start,
                "next": (start + 1) % MODULUS,
                "open": False,
                "buffer": b"",
                "echo": packet.echo,
                "answer": None,
                "done": False,
            }
            self.openings.append((self.world.record.now(), key))
        flow["echo"] = packet.echo
        self._send(key, SYN | ACK, flow["start"], flow["expected"], packet.echo)

    def _take(self, key, flow, packet):
        if packet.data and packet.seq == flow["expected"]:
            flow["expected"] = (packet.seq + len(packet.data)) % MODULUS
            flow["buffer"] += packet.data
        if packet.flags & FIN:
            self.flows.pop(key, None)
            self.ended.add(key)
            self._send(
                key,
                FIN | ACK,
                flow["next"],
                (flow["expected"] + 1) % MODULUS,
                packet.echo,
            )
            return
        if packet.data:
            self._send(key, ACK, flow["next"], flow["expected"], flow["echo"])
            self._run_complete(key, flow)

    def _run_complete(self, key, flow):
        head, found, body = flow["buffer"].partition(b"\r\n\r\n")
        if not found:
            return
        headers = dict(
            line.split(": ", 1) for line in head.decode().split("\r\n")[1:] if line
        )
        length = int(headers.get("Content-Length", 0))
        if len(body) < length:
            return
        flow["buffer"] = body[length:]
        request_id = headers["Request-Id"]
        method, path = head.decode().split(" ", 2)[:2]
        self.runs.append((self.world.record.now(), request_id))
        self.world.record.write(
            f"{self.server_id} ({self.service}) runs {method} {path} {request_id}"
        )
        asyncio.get_running_loop().call_later(
            self.work_s, self._answer, key, flow, request_id
        )

    def _answer(self, key, flow, request_id):
        if self.flows.get(key) is not flow or self.transport is None:
            return
        body = f"{self.service} {request_id}".encode()
        text = (
            f"HTTP/1.1 200 OK\r\nServer-Stamp: {self.server_id}\r\n"
            f"Request-Id: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        start = flow["next"]
        flow["next"] = (start + len(text)) % MODULUS
        flow["answer"] = (start, text)
        self._send_answer(key, flow, start, text, 0)

    def _send_answer(self, key, flow, start, text, tries):
        """Send an answer until the client has ended the flow or sent a new request."""
        if self.flows.get(key) is not flow or flow["answer"] != (start, text):
            return
        if tries >= len(RETRANSMISSIONS_S) or self.transport is None:
            return
        self._send(key, ACK, start, flow["expected"], flow["echo"], text)
        asyncio.get_running_loop().call_later(
            RETRANSMISSIONS_S[tries],
            self._send_answer,
            key,
            flow,
            start,
            text,
            tries + 1,
        )

    def _send(self, key, flags, seq, ack, echo, data=b""):
        src, sport, dst, dport = key
        packet = Packet(dst, dport, src, sport, flags, seq, ack, data, echo)
        if self.transport is not None:
            self.transport.sendto(
                packet.encode(), (ip_text(src), self.world.packet_port)
            )


class Router:
    """Readiness checks, and the choice of a node for each flow of a zone's clients."""

    def __init__(self, world):
        self.world = world
        self.misses = {}
        self.tasks = []

    def start(self):
        for node in self.world.nodes:
            self.misses[node.name] = 2
            self.tasks.append(asyncio.create_task(self._probe(node)))

    async def _probe(self, node):
        while True:
            started = time.monotonic()
            is_ready = False
            with contextlib.suppress(TimeoutError, OSError, ValueError, IndexError):
                is_ready = await asyncio.wait_for(self._ask(node), PROBE_INTERVAL_S)
            self.misses[node.name] = 0 if is_ready else self.misses[node.name] + 1
            await asyncio.sleep(max(0, PROBE_INTERVAL_S - time.monotonic() + started))

    async def _ask(self, node):
        reader, writer = await asyncio.open_connection(node.ip, self.world.ready_port)
        try:
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: node\r\n\r\n")
            line = await reader.readline()
            return line.split()[1] == b"200"
        finally:
            writer.close()

    def is_in_rotation(self, node):
        return self.misses[node.name] < 2

    def choose(self, zone, src, sport, dst, dport):
        local = [n for n in self.world.nodes if n.zone == zone]
        ready = [n for n in local if self.is_in_rotation(n)]
        if 2 * len(ready) < len(local):
            ready = local if ready else []
        if not ready:
            # The nodes of the nearest zones.
            ready = [n for n in self.world.nodes if self.is_in_rotation(n)] or local
        text = f"{src}:{sport}>{dst}:{dport}"
        return max(ready, key=lambda n: zlib.crc32(f"{text}/{n.name}".encode()))


class Client:
    """A client host of one zone; opens flows from its address."""

    def __init__(self, world, ip, zone):
        self.world, self.ip, self.zone = world, ip, zone
        self.port = random.randrange(20000, 40000)
        self.flows = {}
        self.transport = None

    async def start(self):
        self.transport = await open_udp(self.ip, self.world.packet_port, self._receive)

    def _receive(self, data, addr):
        packet = Packet.decode(data)
        if packet is None:
            return
        queue = self.flows.get((packet.dport, packet.src, packet.sport))
        if queue is not None:
            queue.put_nowait(packet)

    def open_flow(self, host, port, node=None):
        self.port += 1
        return Flow(self, self.port, host, port, node)


class Flow:
    """A client's end of a flow."""

    def __init__(self, client, sport, host, port, node=None):
        self.client, self.sport = client, sport
        self.dst, self.dport = ip_number(host), port
        self.fixed_node = node
        self.seq = random.getrandbits(31)
        self.ack = 0
        self.echo = 0
        self.queue = asyncio.Queue()
        self.is_open = False
        self.reset_by = None
        client.flows[sport, self.dst, port] = self.queue

    def send(self, flags, seq, data=b"", ack=None):
        client = self.client
        node = self.fixed_node or client.world.router.choose(
            client.zone, ip_number(client.ip), self.sport, self.dst, self.dport
        )
        packet = Packet(
            ip_number(client.ip),
            self.sport,
            self.dst,
            self.dport,
            flags,
            seq,
            self.ack if ack is None else ack,
            data,
            self.echo,
        )
        client.transport.sendto(packet.encode(), (node.ip, client.world.packet_port))
        return node

    async def connect(self):
        """Open the flow; return "open", "reset" or "timeout"."""
        deadline = time.monotonic() + OPENING_TIMEOUT_S
        copies = [0.0, *OPENING_COPIES_S]
        due = time.monotonic()
        copy = 0
        while time.monotonic() < deadline:
            if copy < len(copies) and time.monotonic() >= due:
                self.send(SYN, self.seq, ack=copy)
                copy += 1
                due += copies[copy] if copy < len(copies) else 3600
            packet = await self._next(min(due, deadline))
            if packet is None:
                continue
            if packet.flags & RST:
                self.reset_by = "target" if packet.sum else "system"
                return "reset"
            if packet.flags & SYN and packet.flags & ACK and packet.is_genuine:
                self.seq = (self.seq + 1) % MODULUS
                self.ack = (packet.seq + 1) % MODULUS
                self.echo = packet.echo
                self.is_open = True
                self.send(ACK, self.seq)
                return "open"
        return "timeout"

    async def request(self, method, path, request_id, budget_s, body=b""):
        """Send a request on the open flow; return status or why there is none, body."""
        text = (
            f"{method} {path} HTTP/1.1\r\nRequest-Id: {request_id}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        deadline = time.monotonic() + budget_s
        start, self.seq = self.seq, (self.seq + len(text)) % MODULUS
        self.send(ACK, start, text)
        tries, is_acknowledged, received = 0, False, b""
        due = time.monotonic() + RETRANSMISSIONS_S[0]
        while time.monotonic() < deadline:
            packet = await self._next(
                deadline if is_acknowledged else min(due, deadline)
            )
            if packet is None:
                if not is_acknowledged and time.monotonic() >= due:
                    self.send(ACK, start, text)
                    tries = min(tries + 1, len(RETRANSMISSIONS_S) - 1)
                    due = time.monotonic() + RETRANSMISSIONS_S[tries]
                continue
            if packet.flags & RST:
                self.reset_by = "target" if packet.sum else "system"
                return "reset", b""
            if not packet.is_genuine:
                return "forged", b""
            if packet.flags & SYN:
                continue
            self.echo = packet.echo
            if packet.ack == self.seq:
                is_acknowledged = True
            if packet.data and packet.seq == self.ack:
                self.ack = (self.ack + len(packet.data)) % MODULUS
                received += packet.data
            if packet.data:
                self.send(ACK, self.seq)
            head, found, answer = received.partition(b"\r\n\r\n")
            if found:
                lines = head.decode().split("\r\n")
                headers = dict(line.split(": ", 1) for line in lines[1:])
                if len(answer) >= int(headers["Content-Length"]):
                    return lines[0].split()[1], answer
        return "deadline", b""

    def close(self):
        if self.is_open:
            self.send(FIN | ACK, self.seq)
        self.client.flows.pop((self.sport, self.dst, self.dport), None)

    async def _next(self, until):
        try:
            left = max(0.0, until - time.monotonic())
            return await asyncio.wait_for(self.queue.get(), left)
        except TimeoutError:
            return None


class Node:
    """A process of the system on one machine, with its settings file."""

    def __init__(self, world, name, ip, zone):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.path = world.folder / f"{name}.json"
        self.log_path = world.folder / f"{name}.log"
        self.process = None
        self.store = None

    def write_settings(self, store, bootstrap=False):
        """Put the settings file in place in one step."""
        self.store = store
        world = self.world
        fields = world.settings(self, store, bootstrap)
        partial = self.path.with_suffix(".partial")
        partial.write_text(json.dumps(fields))
        partial.rename(self.path)

    async def start(self):
        """Start the process, also if the caller is cancelled meanwhile."""
        task = asyncio.create_task(self._spawn())
        self.world.starts.add(task)
        task.add_done_callback(self.world.starts.discard)
        await asyncio.shield(task)

    async def _spawn(self):
        if self.world.is_closing:
            return
        keep = ("PATH", "HOME", "LANG")
        variables = {k: os.environ[k] for k in keep if k in os.environ}
        variables["HORNBEAMDEAL_NODE_FILE"] = str(self.path)
        variables["PYTHONPATH"] = "target/deps"
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-S",
                "target/app/__main__.py",
                f"{self.ip}:{self.world.packet_port}",
                cwd=ROOT,
                env=variables,
                stdout=log,
                stderr=log,
            )
        self.world.record.write(f"{self.name} starts, store {self.store}")

    async def kill(self):
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        self.world.record.write(f"{self.name} is killed")

    def signal(self, number):
        self.process.send_signal(number)

    def memory_mb(self):
        """Return the resident memory of the process, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            return int(text.split("VmRSS:")[1].split()[0]) / 1024
        except (OSError, IndexError):
            return 0

    async def status(self):
        """Return the operators' status page, None if there is none."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.world.metrics_port
            )
            writer.write(b"GET /status HTTP/1.1\r\nHost: node\r\n\r\n")
            text = await asyncio.wait_for(reader.read(), 1.0)
            writer.close()
            return json.loads(text.partition(b"\r\n\r\n")[2])
        except (TimeoutError, OSError, ValueError):
            return None


class World:
    """A small deployment on loopback."""

    zones = ("z1", "z2", "z3")

    def __init__(self, record_path, bounds=None):
        self.record = Record(record_path)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        pid = os.getpid()
        self.prefix = f"127.{100 + pid % 100}.{pid // 100 % 250}"
        self.bounds = bounds or {}
        ports = _free_ports(self.prefix, 6)
        self.packet_port, self.ready_port, self.control_port = ports[:3]
        self.peer_port, self.metrics_port, self.store_port = sorted(ports[3:])
        self.metrics_port, self.store_port = self.store_port, self.metrics_port
        self.server_port = self.store_port
        self.store = Store(self.record)
        self.nodes = []
        self.servers = []
        self.clients = []
        self.router = Router(self)
        self.outcomes = []
        # Starts of processes that are under way; none begins once the world is closing.
        self.starts = set()
        self.is_closing = False

    def ip(self, last):
        return f"{self.prefix}.{last}"

    def settings(self, node, store, bootstrap):
        bounds = {
            "seed_lag_s": 3,
            "reuse_after_s": 2,
            "contact_ms": 4000,
            "ack_ms": 5000,
            "catch_up_s": 4,
            "drain_ms": 3000,
            "grace_s": 6,
            "loss_slack_ms": 200,
            "config_apply_ms": 3000,
            "rollback_slack_ms": 250,
            "max_stretch_ms": 12000,
            "recovery_s": 12,
            "flow_stray_ms": 2000,
            "flow_lifetime_s": 60,
        } | self.bounds
        return {
            "node_name": node.name,
            "role": "node",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": node.ip,
            "zone": node.zone,
            "region": "r1",
            "zones": dict.fromkeys(self.zones, "r1"),
            "listen": {
                "datagram_addr": f"{node.ip}:{self.packet_port}",
                "ready": f"{node.ip}:{self.ready_port}",
                "control": f"{node.ip}:{self.control_port}",
            },
            "internal_ports": [self.peer_port, self.metrics_port],
            "seeds": [f"{n.ip}:{self.control_port}" for n in self.nodes[:3]],
            "bootstrap": bootstrap,
            "in_fault_budget": False,
            "limits": {
                "cpu_share": 0.236,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "announce",
            "heartbeat_ms": round(1000 * HEARTBEAT_S),
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "flows",
                "platform",
            ],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": bounds,
            "hash": "steady",
            "reach_mode": "echo",
            "platform": {
                "address": store,
                "reach_mode": "read",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }

    async def wait_ready(self, seconds=15):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if all(self.router.is_in_rotation(n) for n in self.nodes):
                return True
            await asyncio.sleep(0.1)
        return False

    async def attempt(self, client, host, port, request_id, budget_s=1.2, node=None):
        """Make one attempt of a request on a flow of its own; return its outcome."""
        sent = self.record.now()
        flow = client.open_flow(host, port, node)
        outcome, body = await flow.connect(), b""
        if outcome == "open":
            outcome, body = await flow.request("GET", "/", request_id, budget_s)
        flow.close()
        result = {
            "id": request_id,
            "sent": sent,
            "host": host,
            "port": port,
            "outcome": outcome,
            "body": body.decode(errors="replace"),
            "reset_by": flow.reset_by,
        }
        self.outcomes.append(result)
        self.record.write(
            f"{request_id} to {host}:{port}, sent at {sent:.3f} s: {outcome} "
            f"{result['body']}{' by ' + flow.reset_by if flow.reset_by else ''}"
        )
        return result

    async def traffic(self, addresses, per_second, until):
        """Send requests at a rate until a time of the record."""
        tasks, number = [], 0
        while self.record.now() < until:
            client = self.clients[number % len(self.clients)]
            host, port = addresses[number % len(addresses)]
            number += 1
            tasks.append(
                asyncio.create_task(self.attempt(client, host, port, f"q{number:05d}"))
            )
            await asyncio.sleep(1 / per_second)
        await asyncio.gather(*tasks)

    async def close(self, keep_logs_in=None):
        self.is_closing = True
        await asyncio.gather(*self.starts, return_exceptions=True)
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.send_signal(signal.SIGKILL)
                await node.process.wait()
        if keep_logs_in is not None:
            for node in self.nodes:
                if node.log_path.exists():
                    shutil.copy(node.log_path, keep_logs_in)
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_ports(prefix, count):
    """Return ports that are free for UDP and TCP at the addresses in use."""
    found = []
    while len(found) < count:
        port = random.randrange(10000, 30000)
        if port in found:
            continue
        try:
            for last in (3, 4, 10, 11, 12):
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((f"{prefix}.{last}", port))
        except OSError:
            continue
        found.append(port)
    return found


def route(name, host, port, service, timeout_ms=1200):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": host,
        "prefix": f"/{port}/",
        "type": "safe",
        "timeout_ms": timeout_ms,
        "aim_ms": 200,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
    }


def configuration(version, routes, services):
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 2000,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def run_case(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it failed."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(Path(folder) / "record.txt")

    async def main():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(case(world, trouble), 115)
        finally:
            await world.close(os.environ.get("LOGS"))

    try:
        code = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:
        world.record.write(f"the case could not run: {error!r}")
        code = 2
    world.record.write(f"exit code {code}")
    sys.exit(code)
