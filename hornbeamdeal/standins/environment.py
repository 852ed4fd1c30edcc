"""A whole environment on loopback: platform, fabric, servers and entry hosts.

Used by the demo and by the tests that need real processes.
"""

import http.client
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from hornbeamdeal.kernel import Endpoint

FABRIC_PORT = 6000
SERVER_PORT = 6001
PEER_PORT = 6002
ADMIN_PORT = 6003
CONTROL_PORT = 6004
COAP_PORT = 5683
START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 10.0
CONTROL_TIMEOUT_SECONDS = 2.0
POLL_SECONDS = 0.05
SEED_COUNT = 2
HOSTS = 16
# Last numbers of the IPs: those of hosts, and those that peers are told.
OWN_OFFSET = 10
ADVERTISED_OFFSET = 30


@dataclass(frozen=True, slots=True)
class ServiceLayout:
    """A service of the environment: its targets and mean service times."""

    targets: int
    work: str


@dataclass(frozen=True, slots=True)
class Layout:
    """Zones, entry hosts and services of an environment."""

    zones: tuple[str, ...]
    entry_hosts: int
    services_by_name: dict[str, ServiceLayout]
    document: str
    host_flags: dict[str, str] = field(default_factory=dict)


class LocalEnvironment:
    """Starts, kills, pauses and replaces the processes of one environment.

    Each environment has a loopback prefix of its own, so that several can run
    at once.
    """

    __slots__ = (
        "layout",
        "folder",
        "prefix_",
        "processes_by_name_",
        "hosts_by_id_",
        "targets_by_name_",
        "addresses_by_name_",
        "logs_",
        "revision_",
        "peer_key_",
        "services_by_target_",
    )

    def __init__(self, *, layout: Layout, folder: Path):
        self.layout = layout
        self.folder = folder
        # The process identifier tells environments of one machine apart.
        pid = os.getpid()
        self.prefix_ = f"127.{1 + (pid >> 8) % 250}.{pid % 256}"
        self.processes_by_name_: dict[str, subprocess.Popen] = {}
        self.hosts_by_id_: dict[str, dict] = {}
        self.targets_by_name_: dict[str, dict] = {}
        self.addresses_by_name_: dict[str, dict] = {}
        self.services_by_target_: dict[str, str] = {}
        self.revision_ = 0
        self.peer_key_ = secrets.token_hex(16)
        self.logs_ = folder / "logs"

    def __enter__(self) -> "LocalEnvironment":
        self.logs_.mkdir(parents=True, exist_ok=True)
        self._lay_out()
        self.publish_document(self.layout.document)
        self.publish_hosts()
        self._start_platform()
        for name, target in self.targets_by_name_.items():
            self._start_server(name, target)
        self._start_fabric()
        self._start_network()
        for host_id in self.hosts_by_id_:
            self.start_host(host_id)
        self.wait_ready(list(self.hosts_by_id_))
        return self

    def __exit__(self, *exception) -> None:
        for process in self.processes_by_name_.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    # Publishing what the platform serves

    def publish_document(self, text: str) -> None:
        """Publish a document as operators do: pack it, then copy the files."""
        with tempfile.TemporaryDirectory() as packed:
            path = Path(packed) / "document.yaml"
            path.write_text(text)
            out = Path(packed) / "out"
            self._run_tool("hornbeamdeal-ctl", "pack", str(path), "--out", str(out))
            files = [file for file in out.rglob("*") if file.is_file()]
            # The manifest goes last: it names the segments.
            for file in sorted(files, key=lambda file: file.name == "manifest"):
                self._publish(str(file.relative_to(out)), file.read_bytes())

    def publish_hosts(self) -> None:
        """Publish the host list with a new revision."""
        self.revision_ += 1
        hosts = {
            "revision": self.revision_,
            "entry_hosts": self.hosts_by_id_,
            "targets": self.targets_by_name_,
            "addresses": self.addresses_by_name_,
        }
        self._publish("hosts", json.dumps(hosts).encode())

    def _publish(self, key: str, content: bytes) -> None:
        path = self.folder / "platform" / key
        path.parent.mkdir(parents=True, exist_ok=True)
        partial = self.folder / "partial"
        partial.write_bytes(content)
        partial.rename(path)

    # Processes

    def start_host(self, host_id: str) -> None:
        """Start an entry host and give it to the fabric."""
        host = self.hosts_by_id_[host_id]
        ip = self.own_ip(host_id)
        flags = {
            "host_id": host_id,
            "zone": host["zone"],
            "fabric": f"{self.prefix_}.2:{FABRIC_PORT}",
            "fabric_listen": f"{ip}:{FABRIC_PORT}",
            "server_listen": f"{ip}:{SERVER_PORT}",
            "peer_listen": f"{ip}:{PEER_PORT}",
            "peer_advertise": f"{host['ip']}:{PEER_PORT}",
            "admin_listen": f"{ip}:{ADMIN_PORT}",
            "platform": f"{self.prefix_}.3:{ADMIN_PORT}",
            "seeds": self._seeds(host_id),
            "linger": "1s",
            **self.layout.host_flags,
        }
        variables = {"HORNBEAMDEAL_PEER_KEYS": f"1:{self.peer_key_}"}
        self._start(host_id, "hornbeamdeal-entry", flags, variables)

    def add_host(self, host_id: str, zone: str) -> None:
        """Start one more entry host and publish it."""
        index = len(self.hosts_by_id_)
        self.hosts_by_id_[host_id] = self._host_record(index, zone)
        self.publish_hosts()
        self.start_host(host_id)
        self.wait_ready([host_id])
        self.use_hosts(self.live_hosts())

    def kill_host(self, host_id: str) -> None:
        """Kill an entry host without warning; the fabric learns nothing."""
        self.processes_by_name_[host_id].kill()
        self.processes_by_name_[host_id].wait()

    def pause_host(self, host_id: str) -> None:
        """Freeze an entry host's process."""
        self.processes_by_name_[host_id].send_signal(signal.SIGSTOP)

    def resume_host(self, host_id: str) -> None:
        """Let a frozen entry host go on with its old facts."""
        self.processes_by_name_[host_id].send_signal(signal.SIGCONT)

    def stop_host(self, host_id: str) -> int:
        """Stop an entry host as planned; return its exit code."""
        self.hosts_by_id_[host_id]["state"] = "leaving"
        self.publish_hosts()
        self.use_hosts([name for name in self.live_hosts() if name != host_id])
        process = self.processes_by_name_[host_id]
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=START_TIMEOUT_SECONDS)

    def kill_server(self, name: str) -> None:
        """Kill a backend server without warning."""
        self.processes_by_name_[name].kill()
        self.processes_by_name_[name].wait()

    def live_hosts(self) -> list[str]:
        """Return the entry hosts whose processes run."""
        return [
            host_id
            for host_id in self.hosts_by_id_
            if self.processes_by_name_[host_id].poll() is None
        ]

    def use_hosts(self, host_ids: list[str]) -> None:
        """Tell the fabric which entry hosts get packets."""
        entries = [f"{self.own_ip(host_id)}:{FABRIC_PORT}" for host_id in host_ids]
        self.control_fabric(entries=",".join(entries))

    # Control ports and pages

    def control_fabric(self, **message) -> dict:
        """Send a control message to the fabric."""
        return control(Endpoint(f"{self.prefix_}.2", CONTROL_PORT), message)

    def control_platform(self, **message) -> dict:
        """Send a control message to the platform."""
        return control(Endpoint(f"{self.prefix_}.3", CONTROL_PORT), message)

    def control_server(self, name: str, **message) -> dict:
        """Send a control message to a backend server."""
        ip = self.targets_by_name_[name]["ip"]
        return control(Endpoint(ip, CONTROL_PORT), message)

    def own_ip(self, host_id: str) -> str:
        """Return the IP that an entry host's own sockets are bound to."""
        prefix, _, last = self.hosts_by_id_[host_id]["ip"].rpartition(".")
        return f"{prefix}.{int(last) - ADVERTISED_OFFSET + OWN_OFFSET}"

    def cut_zone(self, zone: str, from_platform: bool = True) -> None:
        """Cut a zone's hosts and servers off from all others."""
        inside = [h for h, r in self.hosts_by_id_.items() if r["zone"] == zone]
        outside = [h for h in self.hosts_by_id_ if h not in inside]
        pairs = [(self._shown(a), self._shown(b)) for a in inside for b in outside]
        pairs += [(target, source) for source, target in pairs]
        self.control_network(cut=pairs)
        for name, target in self.targets_by_name_.items():
            lost = outside if target["zone"] == zone else inside
            self.control_server(name, cut=[self.own_ip(h) for h in lost])
        if from_platform:
            self.control_platform(cut=[self.own_ip(h) for h in inside])

    def heal(self) -> None:
        """End all cuts."""
        self.control_network(cut=[])
        self.control_platform(cut=[])
        for name in self.targets_by_name_:
            self.control_server(name, cut=[])

    def _shown(self, host_id: str) -> str:
        return self.hosts_by_id_[host_id]["ip"]

    def control_network(self, **message) -> dict:
        """Send a control message to the network between entry hosts."""
        return control(Endpoint(f"{self.prefix_}.4", CONTROL_PORT), message)

    def address(self, name: str) -> Endpoint:
        """Return the endpoint of a service address."""
        record = self.addresses_by_name_[name]
        return Endpoint(record["ip"], record["port"])

    def read_page(self, host_id: str, page: str) -> tuple[int, bytes]:
        """Read a page of an entry host's endpoint for operators."""
        ip = self.own_ip(host_id)
        connection = http.client.HTTPConnection(ip, ADMIN_PORT, timeout=1)
        try:
            connection.request("GET", page)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def status(self, host_id: str) -> dict:
        """Return the status page of an entry host."""
        return json.loads(self.read_page(host_id, "/status")[1])

    def wait_ready(self, host_ids: list[str]) -> float:
        """Wait until these entry hosts are ready; return the seconds it took."""
        return self.wait_until(lambda: all(map(self.is_ready, host_ids)))

    def wait_version(self, number: int, host_ids: list[str]) -> float:
        """Wait until a version is in force on these hosts; return the seconds."""
        return self.wait_until(
            lambda: all(self.status(h)["version_number"] == number for h in host_ids)
        )

    def wait_until(self, condition) -> float:
        """Wait until a condition holds; return the seconds it took."""
        started_at = time.monotonic()
        while time.monotonic() - started_at < START_TIMEOUT_SECONDS:
            try:
                if condition():
                    return time.monotonic() - started_at
            except OSError:
                pass
            time.sleep(POLL_SECONDS)
        raise TimeoutError(f"not reached in {START_TIMEOUT_SECONDS} s")

    def is_ready(self, host_id: str) -> bool:
        """Tell whether an entry host says that it is ready."""
        return self.read_page(host_id, "/readyz")[0] == 200

    # Layout

    def _lay_out(self) -> None:
        zones = self.layout.zones
        for index in range(self.layout.entry_hosts):
            zone = zones[index % len(zones)]
            host_id = f"{zone}-entry-{index // len(zones) + 1}"
            self.hosts_by_id_[host_id] = self._host_record(index, zone)
        index = 0
        for service, service_layout in self.layout.services_by_name.items():
            for number in range(1, service_layout.targets + 1):
                name = f"{service}-{number}"
                self.targets_by_name_[name] = {
                    "ip": f"{self.prefix_}.{50 + index}",
                    "port": COAP_PORT,
                    "zone": zones[index % len(zones)],
                    "state": "live",
                }
                self.services_by_target_[name] = service
                index += 1
        names = [
            f"{service}-{kind}"
            for service in self.layout.services_by_name
            for kind in ("requests", "map")
        ]
        for index, name in enumerate(names):
            ip = f"{self.prefix_}.{150 + index}"
            self.addresses_by_name_[name] = {"ip": ip, "port": COAP_PORT}

    def _host_record(self, index: int, zone: str) -> dict:
        return {
            "ip": f"{self.prefix_}.{ADVERTISED_OFFSET + index}",
            "port": PEER_PORT,
            "zone": zone,
            "state": "live",
        }

    def _seeds(self, host_id: str) -> str:
        others = [h for name, h in self.hosts_by_id_.items() if name != host_id]
        return ",".join(f"{host['ip']}:{PEER_PORT}" for host in others[:SEED_COUNT])

    def _start_platform(self) -> None:
        ip = f"{self.prefix_}.3"
        flags = {
            "listen": f"{ip}:{ADMIN_PORT}",
            "control": f"{ip}:{CONTROL_PORT}",
            "folder": str(self.folder / "platform"),
        }
        self._start("platform", "hornbeamdeal-platform", flags)

    def _start_network(self) -> None:
        # Hosts that join later have their place in the network from the start.
        advertised = [f"{self.prefix_}.{ADVERTISED_OFFSET + i}" for i in range(HOSTS)]
        own = [f"{self.prefix_}.{OWN_OFFSET + i}" for i in range(HOSTS)]
        flags = {
            "advertised": ",".join(f"{ip}:{PEER_PORT}" for ip in advertised),
            "real": ",".join(f"{ip}:{PEER_PORT}" for ip in own),
            "control": f"{self.prefix_}.4:{CONTROL_PORT}",
        }
        self._start("network", "hornbeamdeal-network", flags)

    def _start_fabric(self) -> None:
        ip = f"{self.prefix_}.2"
        hosts = self.hosts_by_id_
        addresses = self.addresses_by_name_.values()
        flags = {
            "inside": f"{ip}:{FABRIC_PORT}",
            "control": f"{ip}:{CONTROL_PORT}",
            "addresses": ",".join(f"{a['ip']}:{a['port']}" for a in addresses),
            "entries": ",".join(f"{self.own_ip(h)}:{FABRIC_PORT}" for h in hosts),
        }
        self._start("fabric", "hornbeamdeal-fabric", flags)

    def _start_server(self, name: str, target: dict) -> None:
        service = self.services_by_target_[name]
        flags = {
            "name": name,
            "service": service,
            "listen": f"{target['ip']}:{COAP_PORT}",
            "control": f"{target['ip']}:{CONTROL_PORT}",
            "work": self.layout.services_by_name[service].work,
        }
        self._start(name, "hornbeamdeal-server", flags)

    def _start(self, name, tool, flags, variables=None) -> None:
        command = [str(tool_path(tool))]
        command += [f"--{flag}={value}" for flag, value in flags.items()]
        log = (self.logs_ / f"{name}.log").open("ab")
        environment = {**os.environ, **(variables or {})}
        self.processes_by_name_[name] = subprocess.Popen(
            command, stdout=log, stderr=log, env=environment
        )
        log.close()

    def _run_tool(self, tool: str, *arguments: str) -> None:
        result = subprocess.run(
            [str(tool_path(tool)), *arguments],
            capture_output=True,
            text=True,
            check=False,
        )
        if result.returncode != 0:
            raise ValueError(f"{tool} failed: {result.stdout}{result.stderr}")


def tool_path(tool: str) -> Path:
    """Return the path of a command of this environment's Python."""
    return Path(sys.executable).parent / tool


def control(endpoint: Endpoint, message: dict) -> dict:
    """Send a control message to a stand-in and return its answer."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        udp.settimeout(CONTROL_TIMEOUT_SECONDS)
        udp.sendto(json.dumps(message).encode(), (endpoint.ip, endpoint.port))
        return json.loads(udp.recvfrom(65507)[0])
