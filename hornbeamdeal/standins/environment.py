"""Local environment on loopback: platform, fabric, servers and entry hosts.

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
MAXIMUM_HOSTS = 16
# Last octet of the first host's IPs: the one it binds to and the advertised one.
BIND_IP_OFFSET = 10
ADVERTISED_IP_OFFSET = 30


@dataclass(frozen=True, slots=True)
class ServiceLayout:
    """Number of targets of a service, and the --work flag of its servers."""

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
    """Starts, stops, kills and pauses the processes of one environment.

    Each environment has its own loopback prefix, so that several can run at the
    same time.
    """

    __slots__ = (
        "layout",
        "folder",
        "ip_prefix_",
        "processes_by_name_",
        "hosts_by_id_",
        "targets_by_name_",
        "addresses_by_name_",
        "logs_folder_",
        "hosts_revision_",
        "peer_key_",
        "services_by_target_",
    )

    def __init__(self, *, layout: Layout, folder: Path):
        self.layout = layout
        self.folder = folder
        # The process ID gives each environment on one machine its own IP prefix.
        pid = os.getpid()
        self.ip_prefix_ = f"127.{1 + (pid >> 8) % 250}.{pid % 256}"
        self.processes_by_name_: dict[str, subprocess.Popen] = {}
        self.hosts_by_id_: dict[str, dict] = {}
        self.targets_by_name_: dict[str, dict] = {}
        self.addresses_by_name_: dict[str, dict] = {}
        self.services_by_target_: dict[str, str] = {}
        self.hosts_revision_ = 0
        self.peer_key_ = secrets.token_hex(16)
        self.logs_folder_ = folder / "logs"

    def __enter__(self) -> "LocalEnvironment":
        self.logs_folder_.mkdir(parents=True, exist_ok=True)
        self._build_inventory()
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

    # Platform values

    def publish_document(self, text: str) -> None:
        """Pack a document and copy its files, as operators do."""
        with tempfile.TemporaryDirectory() as packed:
            path = Path(packed) / "document.yaml"
            path.write_text(text)
            out = Path(packed) / "out"
            self._run_tool("hornbeamdeal-ctl", "pack", str(path), "--out", str(out))
            files = [file for file in out.rglob("*") if file.is_file()]
            # The manifest refers to the segments, so it is published last.
            for file in sorted(files, key=lambda file: file.name == "manifest"):
                self.publish_value(str(file.relative_to(out)), file.read_bytes())

    def publish_hosts(self, key_revision: int | None = None) -> None:
        """Publish the host list with a new revision, `key_revision` at the platform."""
        self.hosts_revision_ += 1
        hosts = {
            "revision": self.hosts_revision_,
            "entry_hosts": self.hosts_by_id_,
            "targets": self.targets_by_name_,
            "addresses": self.addresses_by_name_,
        }
        self.publish_value("hosts", json.dumps(hosts).encode(), key_revision)

    def key_revision(self, key: str) -> int:
        """Return the platform's revision of a key."""
        return (self.folder / "platform" / key).stat().st_mtime_ns

    def publish_value(
        self, key: str, content: bytes, key_revision: int | None = None
    ) -> None:
        """Write the value of a platform key in one step."""
        path = self.folder / "platform" / key
        path.parent.mkdir(parents=True, exist_ok=True)
        partial = self.folder / "partial"
        partial.write_bytes(content)
        if key_revision is not None:
            os.utime(partial, ns=(key_revision, key_revision))
        partial.rename(path)

    # Processes

    def start_host(self, host_id: str) -> None:
        """Start the process of an entry host."""
        host = self.hosts_by_id_[host_id]
        ip = self.bind_ip(host_id)
        flags = {
            "host_id": host_id,
            "zone": host["zone"],
            "fabric": f"{self.ip_prefix_}.2:{FABRIC_PORT}",
            "fabric_listen": f"{ip}:{FABRIC_PORT}",
            "server_listen": f"{ip}:{SERVER_PORT}",
            "peer_listen": f"{ip}:{PEER_PORT}",
            "peer_advertise": f"{host['ip']}:{PEER_PORT}",
            "admin_listen": f"{ip}:{ADMIN_PORT}",
            "platform": f"{self.ip_prefix_}.3:{ADMIN_PORT}",
            "seeds": self._seeds(host_id),
            "linger": "1s",
            **self.layout.host_flags,
        }
        variables = {"HORNBEAMDEAL_PEER_KEYS": f"1:{self.peer_key_}"}
        self._start_process(host_id, "hornbeamdeal-entry", flags, variables)

    def add_host(self, host_id: str, zone: str) -> None:
        """Publish and start a new entry host, and add it to the fabric once ready."""
        index = len(self.hosts_by_id_)
        self.hosts_by_id_[host_id] = self._host_record(index, zone)
        self.publish_hosts()
        self.start_host(host_id)
        self.wait_ready([host_id])
        self.set_fabric_hosts(self.live_hosts())

    def kill_host(self, host_id: str) -> None:
        """Kill an entry host with SIGKILL; the fabric is not notified."""
        self.processes_by_name_[host_id].kill()
        self.processes_by_name_[host_id].wait()

    def pause_host(self, host_id: str) -> None:
        """Suspend the process of an entry host."""
        self.processes_by_name_[host_id].send_signal(signal.SIGSTOP)

    def resume_host(self, host_id: str) -> None:
        """Resume a suspended entry host, whose state may be out of date."""
        self.processes_by_name_[host_id].send_signal(signal.SIGCONT)

    def stop_host(self, host_id: str) -> int:
        """Stop an entry host gracefully; return its exit code."""
        self.hosts_by_id_[host_id]["state"] = "leaving"
        self.publish_hosts()
        self.set_fabric_hosts([name for name in self.live_hosts() if name != host_id])
        process = self.processes_by_name_[host_id]
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=START_TIMEOUT_SECONDS)

    def kill_server(self, name: str) -> None:
        """Kill a backend server with SIGKILL."""
        self.processes_by_name_[name].kill()
        self.processes_by_name_[name].wait()

    def live_hosts(self) -> list[str]:
        """Return the entry hosts whose processes are running."""
        return [
            host_id
            for host_id in self.hosts_by_id_
            if self.processes_by_name_[host_id].poll() is None
        ]

    def set_fabric_hosts(self, host_ids: list[str]) -> None:
        """Set the entry hosts to which the fabric sends packets."""
        entries = [f"{self.bind_ip(host_id)}:{FABRIC_PORT}" for host_id in host_ids]
        self.control_fabric(entries=",".join(entries))

    # Control ports and admin pages

    def control_fabric(self, **message) -> dict:
        """Send a control message to the fabric."""
        return send_control(Endpoint(f"{self.ip_prefix_}.2", CONTROL_PORT), message)

    def control_platform(self, **message) -> dict:
        """Send a control message to the platform."""
        return send_control(Endpoint(f"{self.ip_prefix_}.3", CONTROL_PORT), message)

    def control_server(self, name: str, **message) -> dict:
        """Send a control message to a backend server."""
        ip = self.targets_by_name_[name]["ip"]
        return send_control(Endpoint(ip, CONTROL_PORT), message)

    def bind_ip(self, host_id: str) -> str:
        """Return the IP to which an entry host binds its sockets."""
        prefix, _, last = self.hosts_by_id_[host_id]["ip"].rpartition(".")
        return f"{prefix}.{int(last) - ADVERTISED_IP_OFFSET + BIND_IP_OFFSET}"

    def partition_zone(self, zone: str, from_platform: bool = True) -> None:
        """Partition a zone's hosts and servers from those of other zones."""
        inside = [h for h, r in self.hosts_by_id_.items() if r["zone"] == zone]
        outside = [h for h in self.hosts_by_id_ if h not in inside]
        pairs = [
            (self._advertised_ip(a), self._advertised_ip(b))
            for a in inside
            for b in outside
        ]
        pairs += [(target, source) for source, target in pairs]
        self.control_network(cut=pairs)
        for name, target in self.targets_by_name_.items():
            unreachable = outside if target["zone"] == zone else inside
            self.control_server(name, cut=[self.bind_ip(h) for h in unreachable])
        if from_platform:
            self.control_platform(cut=[self.bind_ip(h) for h in inside])

    def end_partition(self) -> None:
        """End all partitions."""
        self.control_network(cut=[])
        self.control_platform(cut=[])
        for name in self.targets_by_name_:
            self.control_server(name, cut=[])

    def _advertised_ip(self, host_id: str) -> str:
        return self.hosts_by_id_[host_id]["ip"]

    def control_network(self, **message) -> dict:
        """Send a control message to the network between entry hosts."""
        return send_control(Endpoint(f"{self.ip_prefix_}.4", CONTROL_PORT), message)

    def address(self, name: str) -> Endpoint:
        """Return the endpoint of a service address."""
        record = self.addresses_by_name_[name]
        return Endpoint(record["ip"], record["port"])

    def read_page(self, host_id: str, page: str) -> tuple[int, bytes]:
        """Read a page of an entry host's admin endpoint; return status code and body."""
        ip = self.bind_ip(host_id)
        connection = http.client.HTTPConnection(ip, ADMIN_PORT, timeout=1)
        try:
            connection.request("GET", page)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def status(self, host_id: str) -> dict:
        """Return the decoded status page of an entry host."""
        return json.loads(self.read_page(host_id, "/status")[1])

    def wait_ready(self, host_ids: list[str]) -> float:
        """Wait until the entry hosts are ready; return the elapsed seconds."""
        return self.wait_until(lambda: all(map(self.is_ready, host_ids)))

    def wait_version(self, number: int, host_ids: list[str]) -> float:
        """Wait until a version is in force on the hosts; return the elapsed seconds."""
        return self.wait_until(
            lambda: all(self.status(h)["version_number"] == number for h in host_ids)
        )

    def wait_until(self, condition) -> float:
        """Wait until a condition holds; return the elapsed seconds.

        Raises TimeoutError after START_TIMEOUT_SECONDS.
        """
        started_at = time.monotonic()
        while time.monotonic() - started_at < START_TIMEOUT_SECONDS:
            try:
                if condition():
                    return time.monotonic() - started_at
            except OSError:
                pass
            time.sleep(POLL_SECONDS)
        raise TimeoutError(f"condition did not hold within {START_TIMEOUT_SECONDS} s")

    def is_ready(self, host_id: str) -> bool:
        """Return whether an entry host reports that it is ready."""
        return self.read_page(host_id, "/readyz")[0] == 200

    # Inventory and process flags

    def _build_inventory(self) -> None:
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
                    "ip": f"{self.ip_prefix_}.{50 + index}",
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
            ip = f"{self.ip_prefix_}.{150 + index}"
            self.addresses_by_name_[name] = {"ip": ip, "port": COAP_PORT}

    def _host_record(self, index: int, zone: str) -> dict:
        return {
            "ip": f"{self.ip_prefix_}.{ADVERTISED_IP_OFFSET + index}",
            "port": PEER_PORT,
            "zone": zone,
            "state": "live",
        }

    def _seeds(self, host_id: str) -> str:
        others = [h for name, h in self.hosts_by_id_.items() if name != host_id]
        return ",".join(f"{host['ip']}:{PEER_PORT}" for host in others[:SEED_COUNT])

    def _start_platform(self) -> None:
        ip = f"{self.ip_prefix_}.3"
        flags = {
            "listen": f"{ip}:{ADMIN_PORT}",
            "control": f"{ip}:{CONTROL_PORT}",
            "folder": str(self.folder / "platform"),
        }
        self._start_process("platform", "hornbeamdeal-platform", flags)

    def _start_network(self) -> None:
        # Includes endpoints for hosts that are added later.
        advertised = [
            f"{self.ip_prefix_}.{ADVERTISED_IP_OFFSET + i}"
            for i in range(MAXIMUM_HOSTS)
        ]
        bound = [
            f"{self.ip_prefix_}.{BIND_IP_OFFSET + i}" for i in range(MAXIMUM_HOSTS)
        ]
        flags = {
            "advertised": ",".join(f"{ip}:{PEER_PORT}" for ip in advertised),
            "real": ",".join(f"{ip}:{PEER_PORT}" for ip in bound),
            "control": f"{self.ip_prefix_}.4:{CONTROL_PORT}",
        }
        self._start_process("network", "hornbeamdeal-network", flags)

    def _start_fabric(self) -> None:
        ip = f"{self.ip_prefix_}.2"
        hosts = self.hosts_by_id_
        addresses = self.addresses_by_name_.values()
        flags = {
            "inside": f"{ip}:{FABRIC_PORT}",
            "control": f"{ip}:{CONTROL_PORT}",
            "addresses": ",".join(f"{a['ip']}:{a['port']}" for a in addresses),
            "entries": ",".join(f"{self.bind_ip(h)}:{FABRIC_PORT}" for h in hosts),
        }
        self._start_process("fabric", "hornbeamdeal-fabric", flags)

    def _start_server(self, name: str, target: dict) -> None:
        service = self.services_by_target_[name]
        flags = {
            "name": name,
            "service": service,
            "listen": f"{target['ip']}:{COAP_PORT}",
            "control": f"{target['ip']}:{CONTROL_PORT}",
            "work": self.layout.services_by_name[service].work,
        }
        self._start_process(name, "hornbeamdeal-server", flags)

    def _start_process(self, name, tool, flags, variables=None) -> None:
        command = [str(tool_path(tool))]
        command += [f"--{flag}={value}" for flag, value in flags.items()]
        log = (self.logs_folder_ / f"{name}.log").open("ab")
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
    """Return the path of a command installed beside this Python interpreter."""
    return Path(sys.executable).parent / tool


def send_control(endpoint: Endpoint, message: dict) -> dict:
    """Send a control message to a stand-in and return its reply."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        udp.settimeout(CONTROL_TIMEOUT_SECONDS)
        udp.sendto(json.dumps(message).encode(), (endpoint.ip, endpoint.port))
        return json.loads(udp.recvfrom(65507)[0])
