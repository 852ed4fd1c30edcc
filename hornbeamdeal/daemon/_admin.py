"""HTTP pages for operators: metrics, health, readiness, status, explain."""

import json
from typing import Any

from hornbeamdeal.kernel import AddressKind, FlowPacket
from hornbeamdeal.settings import parse_endpoint
from hornbeamdeal.steering import flow_key
from hornbeamdeal.wire import HttpRequest, HttpResponse

from ._driver import EntryDriver

TEXT = {"Content-Type": "text/plain; charset=utf-8"}
JSON = {"Content-Type": "application/json"}


class AdminPages:
    """Serves the read-only pages for operators."""

    __slots__ = ("driver",)

    def __init__(self, *, driver: EntryDriver):
        self.driver = driver

    async def respond(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        match request.path:
            case "/metrics":
                return HttpResponse(200, self.driver.metrics.render(), TEXT)
            case "/healthz":
                return HttpResponse(200, b"ok\n", TEXT)
            case "/readyz":
                return self._readiness()
            case "/status":
                return _json(200, self.status())
            case "/explain":
                return self._explain(request.query)
        pages = b"pages: /metrics /healthz /readyz /status /explain\n"
        return HttpResponse(404, pages, TEXT)

    def status(self) -> dict[str, Any]:
        """Return what `hornbeamdeal-ctl status` shows."""
        driver = self.driver
        version = driver.configuration.version_
        members = driver.components.membership.members_
        return {
            "host_id": driver.settings.host_id,
            "zone": driver.settings.zone,
            "version_number": version.number if version else 0,
            "version_digest": version.digest.hex() if version else "",
            "in_force_since": driver.configuration.in_force_since_,
            "ready": self.is_ready(),
            "stopping": driver.is_stopping_,
            "members": {name: host.state.value for name, host in members.items()},
        }

    def is_ready(self) -> bool:
        """Return whether this host can serve callers."""
        driver = self.driver
        if driver.is_stopping_ or not driver.configuration.is_complete_:
            return False
        is_starting = driver.configuration.is_starting(driver.clock.monotonic())
        return driver.components.dissemination.ready_ and not is_starting

    def _readiness(self) -> HttpResponse:
        if self.is_ready():
            return HttpResponse(200, b"ready\n", TEXT)
        return HttpResponse(503, b"not ready\n", TEXT)

    def _explain(self, query: dict[str, str]) -> HttpResponse:
        try:
            endpoint = parse_endpoint(query["address"])
            caller = parse_endpoint(query["caller"])
        except (KeyError, ValueError) as error:
            problem = f"give address and caller as ip:port ({error})"
            return _json(400, {"error": problem})
        address = self.driver.configuration.address_of(endpoint)
        if address is None:
            problem = f"{endpoint} is not an address of the document in force"
            return _json(404, {"error": problem})
        reason = "requests are admitted by load; any active server may get one"
        if address.kind is AddressKind.FLOWS:
            key = flow_key(FlowPacket(caller, endpoint, b""))
            reason = self.driver.components.steering.explain(key, address.service)
            if address.codec == "coap":
                reason += (
                    "; its opening packet is assigned by the owner of its key, and "
                    "later packets go to the server that their handle names"
                )
        return _json(200, {"service": address.service, "explanation": reason})


def _json(status: int, content: dict[str, Any]) -> HttpResponse:
    return HttpResponse(status, json.dumps(content).encode() + b"\n", JSON)
