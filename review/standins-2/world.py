"""Stand-ins of the platform for the scripts of this review.

The nodes are the project's own processes, started as the deploy file says. Store, targets,
clients and routers run in this process and follow the users' pages. Everything is bound
to one random block of loopback addresses, and every process that was started is ended.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import zlib
from base64 import b64encode
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
SYN, FIN, ACK, RST = 128, 64, 4, 2
NODE_NET, CLIENT_NET, TARGET_NET, SERVICE_NET, STORE_NET = 1, 2, 3, 8, 9
KEY = b"keyed sum of the clients and targets"
# Bounds of the small sites.
CONTACT_S, DRAIN_S, CONFIG_S = 4.0, 3.0, 3.0
OPENING_COPIES_S = (0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
RETRANSMIT_S, RETRANSMIT_MAX_S = 0.2, 1.6
# A packet that would wait longer at a link is lost, as the link is full.
LINK_FULL_S = 1.2
DATAGRAM_HEAD_BYTES = 28  # IP and UDP


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.path = Path(path)
        self.path.write_text("")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.path.open("a", encoding="utf-8") as file:
            file.write(f"{self.now():8.3f} {text}\n")


def encode_end(ip, port):
    return int.from_bytes(socket.inet_aton(ip), "big").to_bytes(4, "little") + (
        port.to_bytes(2, "little")
    )


def make_packet(source, destination, flags, seq=0, ack=0, echo=0, data=b""):
    """Return a packet between two ends of (ip, port), with its keyed sum."""
    ends = encode_end(*source) + encode_end(*destination)
    head = (seq % 2**32).to_bytes(4, "little") + (ack % 2**32).to_bytes(4, "little")
    tail = ends + bytes([flags, 0]) + len(data).to_bytes(2, "little") + data
    keyed = zlib.crc32(KEY + head + tail) or 1
    return head + keyed.to_bytes(4, "little") + echo.to_bytes(4, "little") + tail


class Packet:
    """Fields of a packet; `is_forged` if its sum is not that of a client or target."""

    def __init__(self, data):
        word = [int.from_bytes(data[i : i + 4], "little") for i in (0, 4, 8, 12)]
        self.seq, self.ack, self.sum, self.echo = word
        self.source, self.destination = data[16:22], data[22:28]
        self.flags, self.length = data[28], int.from_bytes(data[30:32], "little")
        self.data = data[32:]
        keyed = zlib.crc32(KEY + data[:8] + data[16:]) or 1
        self.is_forged = self.sum != keyed

    @property
    def is_system_reset(self):
        return bool(self.flags & RST) and self.sum == 0


def decode_end(end):
    ip = socket.inet_ntoa(int.from_bytes(end[:4], "little").to_bytes(4, "big"))
    return ip, int.from_bytes(end[4:], "little")


class Store:
    """The platform's store, which answers reads and watches from one history."""

    def __init__(self, world, page_items=50):
        self.world = world
        self.page_items = page_items
        self.revision = 40
        self.history = []  # (time, event)
        self.changed = asyncio.Event()
        self.range_calls = 0
        # Decides how old the state of a stale page is: (call number, query) -> revision.
        self.choose_stale = None
        self.first_call = asyncio.Event()
        self.writers_by_ip = {}

    def put(self, key, value):
        self.revision += 1
        items = self.state(self.revision)
        created = items.get(key, {}).get("created_rev", self.revision)
        item = {"key": key, "value": b64encode(json.dumps(value).encode()).decode()}
        item |= {"revision": self.revision, "created_rev": created, "lease": 0}
        self._append(item)
        self.world.record.write(f"store: {key} written at revision {self.revision}")

    def delete(self, key):
        self.revision += 1
        self._append({"key": key, "revision": self.revision, "deleted": True})
        self.world.record.write(f"store: {key} deleted at revision {self.revision}")

    def _append(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def state(self, revision):
        """Return the items by key as of a revision."""
        items = {}
        for event in self.history:
            if event["revision"] > revision:
                break
            if event.get("deleted"):
                items.pop(event["key"], None)
            else:
                items[event["key"]] = event
        return items

    async def run(self, ip, port):
        return await asyncio.start_server(self._serve, ip, port)

    async def _serve(self, reader, writer):
        ip = writer.get_extra_info("sockname")[0]
        self.writers_by_ip.setdefault(ip, []).append(writer)
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                status, body = await self._respond(line.split()[1].decode())
                data = json.dumps(body).encode() if body is not None else b""
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, IndexError):
            pass
        finally:
            writer.close()

    async def _respond(self, target):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, True).items()}
        await asyncio.sleep(0.004)
        if parts.path == "/-/kv-range":
            return 200, self._range(query)
        if parts.path == "/-/kv-watch":
            return 200, await self._watch(query)
        return 404, None

    def _range(self, query):
        self.range_calls += 1
        self.first_call.set()
        as_of, kind = self.revision, "consistent"
        if query.get("stale_ok") == "1":
            kind = "stale"
            if self.choose_stale is not None:
                as_of = self.choose_stale(self.range_calls, query)
        items = self.state(as_of)
        keys = sorted(k for k in items if k.startswith(query.get("prefix", "")))
        keys = [k for k in keys if k > query.get("after", "")]
        page = [items[k] for k in keys[: self.page_items]]
        text = f"store: {kind} page after {query.get('after', '')!r} as of {as_of}"
        self.world.record.write(f"{text}, {len(page)} items")
        more = len(keys) > self.page_items
        return {"items": page, "more_pages": more, "as_of": as_of}

    async def _watch(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [e for e in self.history if e["revision"] > after]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                return {"events": events, "as_of": self.revision}
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), remaining)


class Target(asyncio.DatagramProtocol):
    """A target: accepts flows, acknowledges data and answers each request once."""

    def __init__(self, world, number, service, zone):
        self.world, self.number, self.service, self.zone = world, number, service, zone
        self.server_id = f"i-{0x7F3A0000 + number:08x}"
        self.name = f"T{number}"
        self.ip = world.ip(TARGET_NET, number)
        self.flows = {}  # flow key -> state
        self.opened = []  # (time, flow key) of flows whose handshake is complete
        self.is_full = False  # it holds as many flows as it can
        self.is_down = False
        self.down_since = None
        self.work_s = 0.03
        self.transport = None
        self.openings = []  # (time, flow key) of opening packets taken

    def connection_made(self, transport):
        self.transport = transport

    def entry(self, state="ready"):
        address = f"{self.ip}:{self.world.server_port}"
        return {
            "service": self.service, "address": address, "zone": self.zone,
            "version": "v1", "slots": 3, "state": state, "cold_remaining_ms": 0,
            "seq": 1,
        }  # fmt: skip

    def crash(self):
        self.is_down, self.down_since, self.flows = True, self.world.record.now(), {}
        self.world.record.write(f"{self.name}: crashed, silent from now on")

    def datagram_received(self, data, sender):
        if self.is_down:
            return
        number, packet = int.from_bytes(data[:8], "big"), Packet(data[8:])
        if number not in (0, 0x7F3A0000 + self.number):
            return
        key = packet.source + packet.destination
        if packet.is_forged:
            self.world.violations.append("UNASKED: a forged packet")
            return
        state = self.flows.get(key)
        if packet.flags & SYN:
            if self.is_full and state is None:
                return
            self.openings.append((self.world.record.now(), key))
            if state is None:
                seq = random.getrandbits(32)
                state = {
                    "open": False,
                    "seq": seq,
                    "next": packet.seq + 1,
                    "answers": [],
                }
                state["echo"] = packet.echo
                self.flows[key] = state
            self._send(packet, SYN | ACK, state["seq"], packet.seq + 1, packet.echo)
            return
        if state is None:
            self.world.record.write(f"{self.name}: reset of {self.world.flow(key)}")
            self._send(packet, RST, packet.ack, packet.seq, packet.echo)
            return
        state["echo"] = packet.echo
        if not state["open"]:
            if packet.ack != (state["seq"] + 1) % 2**32:
                return
            state["open"] = True
            state["seq"] = packet.ack
            self.opened.append((self.world.record.now(), key))
            self.world.record.write(f"{self.name}: open {self.world.flow(key)}")
        if packet.flags & (FIN | RST):
            del self.flows[key]
            if packet.flags & FIN:
                self._send(packet, ACK | FIN, state["seq"], packet.seq + 1, packet.echo)
            return
        if not packet.length:
            return
        if packet.seq == state["next"] % 2**32:
            state["next"] += packet.length
            self.world.record.write(
                f"{self.name}: runs a request of {self.world.flow(key)}"
            )
            asyncio.get_running_loop().call_later(
                self.work_s, self._answer, packet, key, state
            )
        else:
            # A repeated packet is acknowledged again.
            self._send(packet, ACK, state["seq"], state["next"], state["echo"])

    def _answer(self, packet, key, state):
        if self.is_down or self.flows.get(key) is not state:
            return
        body = b"a" * 600
        self._send(packet, ACK, state["seq"], state["next"], state["echo"], body)
        state["seq"] = (state["seq"] + len(body)) % 2**32

    def _send(self, packet, flags, seq, ack, echo, data=b""):
        source, destination = decode_end(packet.destination), decode_end(packet.source)
        answer = make_packet(source, destination, flags, seq, ack, echo, data)
        self.transport.sendto(answer, (destination[0], self.world.packet_port))


class Flow:
    """One flow of a client."""

    def __init__(self, client, port, route_port):
        self.client, self.world = client, client.world
        self.source = (client.ip, port)
        self.destination = (self.world.ip(SERVICE_NET, 1), route_port)
        self.key = encode_end(*self.source) + encode_end(*self.destination)
        self.seq = random.getrandbits(32)
        self.ack = self.echo = 0
        self.inbox = asyncio.Queue()
        self.reset_by_system_at = None
        self.reset_by_target_at = None
        self.is_open = False

    def name(self):
        return self.world.flow(self.key)

    def send(self, flags, data=b"", ack=None):
        ack = self.ack if ack is None else ack
        packet = make_packet(
            self.source, self.destination, flags, self.seq, ack, self.echo, data
        )
        self.world.route(self.client, packet)

    async def open(self, with_ack=True):
        """Open the flow; return whether a target took it."""
        started = time.monotonic()
        for copy, until in enumerate((*OPENING_COPIES_S, OPENING_TIMEOUT_S)):
            self._record("opens" if copy == 0 else "opens again")
            self.send(SYN, ack=copy)
            packet = await self._receive(started + until - time.monotonic())
            if packet is not None:
                if packet.flags & RST:
                    return False
                self.seq = (self.seq + 1) % 2**32
                self.ack, self.echo = (packet.seq + 1) % 2**32, packet.echo
                self.is_open = True
                if with_ack:
                    self.send(ACK)
                return True
        self._record("no answer to")
        return False

    async def request(self, budget_s=3.0):
        """Send one request; return "served", "reset" or "silent"."""
        data, started, wait = b"r" * 900, time.monotonic(), RETRANSMIT_S
        what = "request on"
        while time.monotonic() - started < budget_s:
            self._record(what)
            what = "repeats the request on"
            self.send(ACK, data)
            until = time.monotonic() + wait
            wait = min(2 * wait, RETRANSMIT_MAX_S)
            while (remaining := until - time.monotonic()) > 0:
                packet = await self._receive(remaining)
                if packet is None:
                    break
                if packet.flags & RST:
                    return "reset"
                if packet.length and packet.seq == self.ack:
                    self.seq = (self.seq + len(data)) % 2**32
                    self.ack = (self.ack + packet.length) % 2**32
                    self.send(ACK)
                    self._record("answer on")
                    return "served"
                if packet.ack == (self.seq + len(data)) % 2**32:
                    # Acknowledged: nothing is missing, and only the answer is awaited.
                    until = started + budget_s
        return "silent"

    def close(self):
        if self.is_open:
            self.send(ACK | FIN)

    def _record(self, what):
        client = self.client
        text = f"{client.name} at {client.node.name}: {what} {self.name()}"
        self.world.record.write(text)

    async def _receive(self, seconds):
        try:
            return await asyncio.wait_for(self.inbox.get(), max(0.0, seconds))
        except TimeoutError:
            return None


class Client(asyncio.DatagramProtocol):
    """A client, whose packets the routers send to one node."""

    def __init__(self, world, number, node):
        self.world, self.node = world, node
        self.name = f"C{number}"
        self.ip = world.ip(CLIENT_NET, number)
        self.flows = {}
        self.port = 40000
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def flow(self, route_port):
        self.port += 1
        flow = Flow(self, self.port, route_port)
        self.flows[self.port] = flow
        return flow

    def datagram_received(self, data, sender):
        packet = Packet(data)
        flow = self.flows.get(decode_end(packet.destination)[1])
        if flow is None:
            return
        if packet.flags & RST:
            who = "system" if packet.is_system_reset else "target"
            self.world.record.write(f"{self.name}: reset by the {who} on {flow.name()}")
            if packet.is_system_reset:
                flow.reset_by_system_at = self.world.record.now()
            else:
                flow.reset_by_target_at = self.world.record.now()
        elif packet.flags & SYN and flow.is_open:
            return  # a second target answered; the flow is open elsewhere
        flow.inbox.put_nowait(packet)


class Node:
    """One node process of the project."""

    def __init__(self, world, number, zone, link_mbps):
        self.world, self.number, self.zone = world, number, zone
        self.link_mbps = link_mbps
        self.name = f"front-{number}"
        self.ip = world.ip(NODE_NET, number)
        self.process = None
        # Packets wait at the machine's link on the way in if its bandwidth counts.
        self.has_narrow_link = False
        self.link_free_at = 0.0
        self.longest_wait_s = 0.0
        self.lost_at_link = 0
        self.faults = []

    def settings(self, is_first_start):
        world = self.world
        seeds = [f"{world.ip(NODE_NET, n)}:{world.control_port}" for n in (1, 2, 3)]
        zones = {node.zone: "r" for node in world.nodes}
        return {
            "node_name": self.name, "role": "node", "machine_class": "front",
            "serves": ["front", "control"], "ip": self.ip, "zone": self.zone,
            "region": "r", "zones": zones,
            "listen": {
                "datagram_addr": f"{self.ip}:{world.packet_port}",
                "ready": f"{self.ip}:{world.ready_port}",
                "control": f"{self.ip}:{world.control_port}",
            },
            "internal_ports": [world.peer_port, world.metrics_port],
            "seeds": seeds, "bootstrap": is_first_start, "in_fault_budget": False,
            "limits": {
                "cpu_share": 0.236, "cores": 1, "memory_mb": 300, "max_fds": 4100,
                "link_mbps": self.link_mbps, "disk_mb": 0,
            },
            "data_dir": None, "discovery": "platform", "entry": "announce",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "recover", "flows", "platform"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {
                "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000,
                "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200,
                "config_apply_ms": 3000, "rollback_slack_ms": 250,
                "max_stretch_ms": 12000, "recovery_s": 12, "flow_stray_ms": 2000,
                "flow_lifetime_s": 60,
            },
            "hash": "steady", "reach_mode": "echo",
            "platform": {
                "address": f"{world.ip(STORE_NET, world.store_number)}:{world.store_port}",
                "reach_mode": "read", "writes_per_s": 400, "reads_per_s": 2000,
                "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
            },
        }  # fmt: skip

    def write_settings(self, is_first_start=True):
        """Put the settings file in place at once, as the platform does."""
        path = self.world.folder / f"{self.name}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self.settings(is_first_start)))
        new.replace(path)
        return path

    def start(self, is_first_start=True):
        path = self.write_settings(is_first_start)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "HORNBEAMDEAL_NODE_FILE": str(path),
        }
        command = ["python3", "-S", "target/app/__main__.py"]
        with open(self.world.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [*command, f"{self.ip}:{self.world.packet_port}"],
                cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT,
            )  # fmt: skip
        self.world.record.write(f"{self.name}: started, pid {self.process.pid}")

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None


class World:
    """All parties of one script; `violations` holds the broken rules."""

    def __init__(self, folder):
        self.block = random.randrange(60, 250)
        self.out = Path(folder)
        self.record = Record(self.out / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        ports = self._free_ports(7)
        self.packet_port, self.ready_port, self.control_port = ports[:3]
        self.peer_port, self.metrics_port, self.store_port, self.server_port = ports[3:]
        self.store = Store(self)
        self.nodes, self.targets, self.clients = [], [], []
        self.violations = []
        self.store_number, self.servers_by_number = 1, {}
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"

    def _free_ports(self, count):
        ports = []
        while len(ports) < count:
            port = random.randrange(20000, 30000)
            probes = []
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = socket.socket(socket.AF_INET, kind)
                    probes.append(probe)
                    probe.bind((self.ip(NODE_NET, 1), port))
            except OSError:
                continue
            finally:
                for probe in probes:
                    probe.close()
            if port not in ports:
                ports.append(port)
        return ports

    def ip(self, net, number):
        return f"127.{self.block}.{net}.{number}"

    def flow(self, key):
        client, service = decode_end(key[:6]), decode_end(key[6:])
        return f"{client[0]}:{client[1]}>{service[1]}"

    def add_node(self, zone, link_mbps=1000.0):
        node = Node(self, len(self.nodes) + 1, zone, link_mbps)
        self.nodes.append(node)
        return node

    async def add_target(self, service, zone):
        target = Target(self, len(self.targets) + 1, service, zone)
        self.targets.append(target)
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: target, local_addr=(target.ip, self.server_port)
        )
        self.store.put(f"servers/{target.server_id}", target.entry())
        return target

    async def add_client(self, node):
        client = Client(self, len(self.clients) + 1, node)
        self.clients.append(client)
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: client, local_addr=(client.ip, self.packet_port)
        )
        return client

    def put_config(self, version, routes):
        """Write a configuration; `routes` are pairs of port and service."""
        self.store.put(
            "op/config",
            {
                "version": version,
                "routes": [
                    {"name": f"r-{port}", "host": self.ip(SERVICE_NET, 1), "prefix": f"/{port}/",
                     "type": "safe", "timeout_ms": 3000, "aim_ms": 500, "priority": 1,
                     "service": service, "max_attempts": 2}
                    for port, service in routes
                ],
                "services": [
                    {"name": name, "health_path": "/health", "max_conns": 2000,
                     "protocol": "h1", "tls": False}
                    for name in sorted({service for _, service in routes})
                ],
                "limits": {
                    "max_header_bytes": 16384, "max_body_bytes": 262144,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                },
            },
        )  # fmt: skip

    def route(self, client, packet):
        """Send a client's packet to its node, as the platform's routers do."""
        node, address = client.node, (client.node.ip, self.packet_port)
        if not node.has_narrow_link:
            client.transport.sendto(packet, address)
            return
        loop = asyncio.get_running_loop()
        starts_at = max(loop.time(), node.link_free_at)
        wait_s = starts_at - loop.time()
        if wait_s > LINK_FULL_S:
            node.lost_at_link += 1
            return
        bits = 8 * (len(packet) + DATAGRAM_HEAD_BYTES)
        node.link_free_at = starts_at + bits / (1e6 * node.link_mbps)
        node.longest_wait_s = max(node.longest_wait_s, wait_s)
        loop.call_at(node.link_free_at, client.transport.sendto, packet, address)

    async def run_store(self):
        """Serve the store at the address that the settings name."""
        ip = self.ip(STORE_NET, self.store_number)
        self.servers_by_number[self.store_number] = await self.store.run(
            ip, self.store_port
        )

    def stop_store(self, number):
        """Close a former address of the store and its connections."""
        self.servers_by_number.pop(number).close()
        for writer in self.store.writers_by_ip.pop(self.ip(STORE_NET, number), []):
            writer.transport.abort()

    async def is_ready(self, node):
        try:
            reader, writer = await asyncio.open_connection(node.ip, self.ready_port)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        except (TimeoutError, OSError):
            return False

    async def wait_ready(self, seconds=20.0):
        """Wait until all nodes are ready; exit with 2 if they don't get so."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if all([await self.is_ready(node) for node in self.nodes]):
                self.record.write("all nodes are ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the nodes did not get ready")

    def end(self):
        for node in self.nodes:
            node.end()
        logs = self.out / "logs"
        if os.environ.get("KEEP_LOGS"):
            shutil.rmtree(logs, ignore_errors=True)
            shutil.copytree(self.folder, logs)
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be run; the script exits with 2."""


def main(script, folder):
    """Run a script's coroutine function; return its exit code."""
    # Ended from outside, the script still ends its nodes.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    world = World(folder)

    async def run():
        await asyncio.wait_for(script(world), 110)

    try:
        asyncio.run(run())
    except (TimeoutError, CannotRun, OSError) as error:
        world.record.write(f"can't run: {error!r}")
        print(f"can't run: {error!r}")
        return 2
    finally:
        world.end()
    for text in world.violations:
        world.record.write(f"broken: {text}")
        print(f"broken: {text}")
    if not world.violations:
        world.record.write("held")
        print("held")
    return 1 if world.violations else 0
