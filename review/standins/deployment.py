"""A small deployment on loopback addresses: nodes, store, servers, clients, routers."""

import asyncio
import hashlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from . import http
from .client import Client
from .server import Server
from .store import Store

REPOSITORY = Path(__file__).resolve().parents[2]
ZONES = ("almaty-a", "almaty-b", "almaty-c")
ZONE_OF_NODE = (0, 0, 0, 1, 1, 2, 2)
PROBE_SECONDS = 0.5
MISSES = 2
RESTART_SECONDS = 0.5
START_SECONDS = 30.0
CONTACT_SECONDS = 4.0
# A case that lasts longer could not run.
LIMIT_SECONDS = 110.0
BOUNDS = {
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
}


class Record:
    """The lines of `record.txt`."""

    def __init__(self, path):
        self.path = path
        self.started = time.monotonic()
        self.lines = []

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def write(self, who, text):
        """Add a line."""
        self.lines.append(f"{self.now():8.3f} {who}: {text}")

    def save(self):
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


class Node:
    """One node process, started again when it ends, as the platform does."""

    def __init__(self, deployment, index, zone):
        self.deployment = deployment
        self.name = f"front-{deployment.block}-{index + 1}"
        self.ip = deployment.ip(1, index + 1)
        self.zone = ZONES[zone]
        self.process = None
        self.started_at = None
        self.ends = []
        self.is_first_start = True
        self.misses = MISSES
        self.output = deployment.folder / f"{self.name}.log"

    @property
    def packet_address(self):
        """Return where routers send packets."""
        return (self.ip, self.deployment.packet_port)

    @property
    def ready_address(self):
        """Return where readiness is asked."""
        return (self.ip, self.deployment.ready_port)

    @property
    def is_in_rotation(self):
        """Return whether routers use this node."""
        return self.misses < MISSES

    def is_in_touch(self):
        """Return whether the process has run for `contact_ms`."""
        is_running = self.process is not None and self.process.poll() is None
        return is_running and self.deployment.now() - self.started_at > CONTACT_SECONDS

    def start(self):
        """Start the process with the command of the deploy file."""
        path = self.write_settings()
        self.is_first_start = False
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "HORNBEAMDEAL_NODE_FILE": str(path),
        }
        ip, port = self.packet_address
        command = ["python3", "-S", "target/app/__main__.py", f"{ip}:{port}"]
        with open(self.output, "ab") as output:
            self.process = subprocess.Popen(
                command,
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.started_at = self.deployment.now()
        self.deployment.record.write(self.name, f"started, pid {self.process.pid}")

    def write_settings(self):
        """Write the settings file; return its path."""
        path = self.deployment.folder / f"{self.name}.json"
        path.write_text(json.dumps(self._settings()))
        return path

    async def supervise(self):
        """Start the process again after each end; record the ends."""
        while True:
            await asyncio.sleep(0.05)
            if self.process.poll() is None:
                continue
            code = self.process.returncode
            self.ends.append(self.deployment.now())
            self.deployment.record.write(self.name, f"ended by itself, code {code}")
            await asyncio.sleep(RESTART_SECONDS)
            self.start()

    async def probe(self):
        """Ask for readiness twice a second."""
        while True:
            headers = self.deployment.probe_headers
            status = await http.get_status(self.ready_address, "/-/readiness", headers)
            self.misses = 0 if status == 200 else self.misses + 1
            await asyncio.sleep(PROBE_SECONDS)

    def kill(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def _settings(self):
        deployment = self.deployment
        control = deployment.control_port
        ip, port = self.packet_address
        return {
            "node_name": self.name,
            "role": "node",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": ip,
            "zone": self.zone,
            "region": "almaty",
            "zones": dict.fromkeys(ZONES, "almaty"),
            "listen": {
                "datagram_addr": f"{ip}:{port}",
                "ready": f"{ip}:{deployment.ready_port}",
                "control": f"{ip}:{control}",
            },
            "internal_ports": deployment.internal_ports,
            "seeds": [f"{ip}:{control}" for ip in deployment.seed_ips],
            "bootstrap": self.is_first_start,
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
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "flows"]
            + ["platform"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "hash": "steady",
            "reach_mode": "echo",
            "platform": {
                "address": "{}:{}".format(*deployment.store.address),
                "reach_mode": "read",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }


class Deployment:
    """All parties of a case; `block` is the second octet of the addresses."""

    def __init__(self, folder, block, other=None, zones=ZONE_OF_NODE):
        """Make a deployment; one beside `other` has the same ports and record."""
        self.record = other.record if other else Record(Path(folder) / "record.txt")
        self.now = self.record.now
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.block = block
        self.ports = other.ports if other else _free_ports(self.ip(1, 1), 6)
        self.packet_port, self.ready_port, self.control_port = self.ports[:3]
        self.internal_ports = self.ports[3:5]
        self.store = Store((self.ip(9, 1), self.ports[5]), self.record)
        self.nodes = [Node(self, i, zone) for i, zone in enumerate(zones)]
        self.seed_ips = [self.ip(1, n) for n in (1, 4, 6) if n <= len(zones)]
        self.servers = []
        self.clients = []
        self.version = 1
        self.probe_headers = ()
        self.beside = None
        self.violations = []
        self.resets = []
        self._tasks = []

    def ip(self, kind, number):
        """Return a loopback address."""
        return f"127.{self.block}.{kind}.{number}"

    async def start(self, config):
        """Start everything but the clients; wait until all nodes are in touch."""
        self.publish(config)
        await self.store.start()
        for server in self.servers:
            await server.start()
        for node in self.nodes:
            node.start()
            self._tasks += [
                asyncio.ensure_future(node.supervise()),
                asyncio.ensure_future(node.probe()),
            ]
        deadline = self.now() + START_SECONDS
        while not all(n.is_in_rotation and n.is_in_touch() for n in self.nodes):
            if self.now() > deadline:
                missing = [n.name for n in self.nodes if not n.is_in_rotation]
                raise RuntimeError(f"not ready in time: {missing}")
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)
        self.record.write("case", "all nodes are ready and in touch")

    def add_server(self, service, zone, server_id=None, **limits):
        """Add a server; it starts with the deployment."""
        number = len(self.servers) + 1
        seed = f"{self.block}/{number}"
        if server_id is None:
            server_id = f"i-{hashlib.sha256(seed.encode()).hexdigest()[:8]}"
        address = (self.ip(2, number), 8080)
        server = Server(self, server_id, service, ZONES[zone], address, **limits)
        self.servers.append(server)
        return server

    async def add_client(self, zone):
        """Start and return a client."""
        number = len(self.clients) + 1
        client = Client(self, self.ip(3, number), ZONES[zone])
        self.clients.append(client)
        await client.start()
        return client

    def publish(self, config):
        """Write a configuration under the next version."""
        self.version += 3
        self.store.put("op/config", {"version": self.version} | config)
        return self.now()

    def route(self, client, packet):
        """Return the node to which routers forward a packet of a client."""
        zone = [n for n in self.nodes if n.zone == client.zone]
        used = [n for n in zone if n.is_in_rotation]
        if not used:
            used = [n for n in self.nodes if n.is_in_rotation]
            if not used:
                return None
        elif 2 * len(used) < len(zone):
            used = zone
        ends = f"{packet.src}{packet.dst}"
        return max(used, key=lambda n: _weight(n.name, ends)).packet_address

    def note_opening(self, server, key, node_ip, packet):
        """Take note of an opening packet that a server accepted."""

    def note_reset(self, flow):
        """Take note of a reset that a client accepted."""
        self.resets.append((self.now(), flow, flow.is_open))

    def note_server_reset(self, server, key):
        """Take note of a reset that a server sends for a flow it doesn't hold."""

    def note_forged(self, server, packet):
        """Take note of a packet that its sender did not write so."""
        self.violate("UNASKED", f"{server.server_id} got a changed packet")

    def note_foreign(self, flow, packet):
        """Take note of a packet that no server wrote so."""
        self.violate("MIXED", f"{flow.source} got a changed packet")

    def count_events(self, *names):
        """Record how often nodes logged some events."""
        logs = "".join(n.output.read_text() for n in self.nodes if n.output.exists())
        counts = {name: logs.count(f" event={name} ") for name in names}
        self.record.write("case", f"events in the logs of nodes: {counts}")

    def violate(self, rule, text):
        """Record that a rule was broken."""
        self.violations.append((rule, text))
        self.record.write("case", f"BROKEN {rule}: {text}")

    def close(self):
        """End all processes and write the record."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.kill()
        if self.beside is not None:
            self.beside.close()
        self.record.save()
        self._temporary.cleanup()


def make_config(routes, services, idle_timeout_ms=15000):
    """Return a configuration; a route is a name, address, service and kind."""
    return {
        "routes": [
            {
                "name": name,
                "host": ip,
                "prefix": f"/{port}/",
                "type": kind,
                "timeout_ms": 3000,
                "aim_ms": 250,
                "priority": 1,
                "service": service,
                "max_attempts": 2,
            }
            for name, (ip, port), service, kind in routes
        ],
        "services": [
            {
                "name": service,
                "health_path": "/health",
                "max_conns": 2000,
                "protocol": "h1",
                "tls": False,
            }
            for service in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": idle_timeout_ms,
        },
    }


def run_case(folder, block, case):
    """Run `case(deployment, with_trouble)`; exit with 0, 1 or 2."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = None
    # The nodes are ended also if something else ends this process.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def main():
        nonlocal deployment
        deployment = Deployment(folder, block)
        deployment.record.write("case", f"trouble: {with_trouble}")
        async with asyncio.timeout(LIMIT_SECONDS):
            await case(deployment, with_trouble)

    try:
        asyncio.run(main())
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        if deployment is not None:
            deployment.record.write("case", f"could not run: {error!r}")
        code = 2
    else:
        code = 1 if deployment.violations else 0
    finally:
        if deployment is not None:
            deployment.close()
    counts = {}
    for rule, _ in deployment.violations if deployment else ():
        counts[rule] = counts.get(rule, 0) + 1
    print(f"rules broken: {counts or 'none'}")
    sys.exit(code)


def _weight(name, ends):
    return hashlib.blake2b(f"{name}{ends}".encode(), digest_size=8).digest()


def _free_ports(ip, count):
    """Return ports that are free now, below those of outgoing connections."""
    ports = set()
    while len(ports) < count:
        port = random.randrange(12_000, 30_000)
        if _is_free(ip, port, socket.SOCK_STREAM) and _is_free(
            ip, port, socket.SOCK_DGRAM
        ):
            ports.add(port)
    return sorted(ports)


def _is_free(ip, port, kind):
    with socket.socket(type=kind) as opened:
        try:
            opened.bind((ip, port))
        except OSError:
            return False
    return True
