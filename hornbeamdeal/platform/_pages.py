"""HTTP pages of a node: the routers' readiness check and the operators' pages."""

import json
from typing import Any

from hornbeamdeal.dsr import Node, explain_opening
from hornbeamdeal.wire import HttpRequest, HttpResponse

from ._packets import encode_address

READINESS_PATH = "/-/readiness"
TEXT = {"Content-Type": "text/plain; charset=utf-8"}
JSON = {"Content-Type": "application/json"}


class NodePages:
    """Serves the read-only HTTP pages of a node, the process of one host."""

    __slots__ = ("host_id", "node", "zone")

    def __init__(self, *, node: Node, host_id: str, zone: str):
        self.node = node
        self.host_id = host_id
        self.zone = zone

    async def answer_readiness(self, request: HttpRequest) -> HttpResponse:
        """Answer the routers' readiness check: 200 if ready, else 503."""
        if request.path != READINESS_PATH:
            return HttpResponse(404, b"")
        return HttpResponse(200 if self.node.is_ready_ else 503, b"")

    async def answer_operators(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of an operator."""
        match request.path:
            case "/metrics":
                return HttpResponse(200, self.node.journal.render(self._gauges()), TEXT)
            case "/status":
                return _json(200, self.status())
            case "/explain":
                return self._explain(request.query.get("address", ""))
        return HttpResponse(404, b"pages: /metrics /status /explain\n", TEXT)

    def _explain(self, address: str) -> HttpResponse:
        ip, _, port = address.rpartition(":")
        try:
            address_key = encode_address(ip, int(port))
        except ValueError:
            return _json(400, {"error": "give address as ip:port"})
        now = self.node.clock.monotonic()
        return _json(200, explain_opening(self.node.forwarder, address_key, now))

    def status(self) -> dict[str, Any]:
        """Return the state of this host's catalog, store reads and flows."""
        node, catalog = self.node, self.node.catalog
        now = node.clock.monotonic()
        out = [i for i in catalog.servers_by_id if node.server_health.is_out(i)]
        return {
            "host_id": self.host_id,
            "zone": self.zone,
            "ready": node.is_ready_,
            "version": catalog.routes.version if catalog.routes else 0,
            "epoch": catalog.epoch,
            "revision": catalog.revision,
            "age_ms": round(1000 * min(catalog.age(now), 86_400)),
            "reads_the_store": node.read_scheduler.is_reading,
            "reader_position": node.read_scheduler.position,
            "servers": len(catalog.servers_by_id),
            "servers_out": out,
            "servers_cold": self._cold_servers(now),
            "zones_evacuated": self._evacuated_zones(now),
            "overload": node.forwarder.admission.describe(now),
            "zone_spill": self._zone_spill(),
            "flows": len(node.forwarder.flows.flows_by_key),
        }

    def _zone_spill(self) -> list[dict[str, Any]]:
        zone_spill = self.node.forwarder.zone_spill
        return zone_spill.describe() if zone_spill is not None else []

    def _cold_servers(self, now: float) -> list[str]:
        slow_start = self.node.forwarder.eligibility.slow_start
        servers = self.node.catalog.servers_by_id.values()
        return [s.server_id for s in servers if slow_start.is_cold(s, now)]

    def _evacuated_zones(self, now: float) -> list[dict[str, Any]]:
        evacuations = self.node.catalog.evacuations
        return [
            {
                "zone": state.zone,
                "revision": state.revision,
                "since_ms": round(
                    1000 * (now - evacuations.records_by_zone[state.zone].learned_at)
                ),
                "unconfirmed_ms": round(1000 * state.remaining_seconds),
            }
            for state in evacuations.evacuated_states(now)
        ]

    def _gauges(self) -> dict[str, float]:
        status = self.status()
        names = ("version", "epoch", "revision", "age_ms", "servers", "flows")
        gauges = {name: float(status[name]) for name in names}
        gauges["ready"] = float(status["ready"])
        for name in ("servers_out", "servers_cold", "zones_evacuated"):
            gauges[name] = float(len(status[name]))
        placement, now = self.node.forwarder.placement, self.node.clock.monotonic()
        gauges |= placement.gauges(now)
        gauges["services_shedding"] = float(
            sum(
                any(service["refused_percent_by_priority"].values())
                for service in status["overload"]
            )
        )
        gauges["services_spilling"] = float(
            sum(spill["percent"] > 0 for spill in status["zone_spill"])
        )
        gauges["reads_the_store"] = float(status["reads_the_store"])
        return gauges


def _json(status: int, content: dict[str, Any]) -> HttpResponse:
    return HttpResponse(status, json.dumps(content).encode() + b"\n", JSON)
