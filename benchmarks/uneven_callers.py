"""Fake callers: requests, flows, copies of opening packets and further attempts."""

import zlib
from functools import partial

from .uneven_deployments import (
    CALLERS,
    END_SECONDS,
    FEW_CALLERS_SHARE,
    Case,
    is_event,
)
from .uneven_hosts import Host
from .uneven_requests import CallerFlow, Request
from .uneven_servers import address_key
from .uneven_stage import Stage

NO_HANDLE = 0
ZONE_DELAY_SECONDS = 0.0005  # one way
CROSS_ZONE_DELAY_SECONDS = 0.0015
# Seconds after a packet until the next copy of it or, at the end, until the attempt is
# abandoned: copies after 0.2 and 0.6 s, abandoned after 1.4 s.
COPY_INTERVALS = (0.2, 0.4, 0.8)
ATTEMPTS = 3
RETRY_SECONDS = 0.05  # from a refusal or failure to the next attempt
PAYLOAD_BYTES = 100
IS_OPENING = 6  # index in a packet, see FakeCodec


class Callers:
    """All callers of a case; `requests` and the counters hold what happened."""

    def __init__(self, case: Case):
        self.stage = Stage(case, self._deliver)
        self.schedule, self.random = self.stage.schedule, self.stage.random
        self.deployment, self.case = self.stage.deployment, case
        self.requests: list[Request] = []
        self.ends, self.refusals, self.untrue_refusals, self.resets = 0, 0, 0, 0
        self.flows_by_key: dict[bytes, CallerFlow] = {}
        self.zone_of_caller = [self._pick_zone(i) for i in range(CALLERS)]
        self._idle_flows, self._ports = {}, {}

    def run(self) -> None:
        """Step until every request has ended."""
        for index, kind in enumerate(self.deployment.kinds):
            self.schedule(0.0, self._arrive, index, kind)
        self.stage.run()

    def _pick_zone(self, caller: int) -> str:
        zones = self.deployment.zones
        if self.case.is_uneven:
            return f"z{0 if caller % 2 else 1 + caller // 2 % (zones - 1)}"
        return f"z{caller % zones}"

    def _arrive(self, index: int, kind) -> None:
        """Make a request at the peak rate, thinned to the demand of the moment."""
        peak = kind.rate * (1 + self.deployment.swing) * self.case.factor
        delay = self.random.expovariate(peak)
        if self.stage.now + delay < END_SECONDS:
            self.schedule(delay, self._arrive, index, kind)
        factor = self.case.demand_factor(kind, self.stage.now)
        if self.random.random() * peak >= kind.rate * factor:
            return
        caller = self.random.randrange(CALLERS)
        is_surplus = (
            is_event(self.stage.now) and self.random.random() > 1 / self.case.factor
        )
        if self.case.burst == "few" and is_surplus:
            caller = int(caller * FEW_CALLERS_SHARE)
        work = self.random.uniform(*kind.work)
        work *= 7 if self.random.random() < self.deployment.long_share else 1
        request = Request(caller, kind, self.stage.now, work)
        self.requests.append(request)
        self.schedule(kind.timeout, self._end, request, "abandoned")
        self._attempt(request)

    def _end(self, request: Request, outcome: str) -> None:
        if not request.outcome:
            request.outcome, request.ended_at = outcome, self.stage.now
            self.ends += 1

    def _attempt(self, request: Request) -> None:
        if request.outcome:
            return
        request.attempts += 1
        idle = self._idle_flows.setdefault((request.caller, request.kind.name), [])
        if idle and request.attempts == 1:
            self._send(idle.pop(), request)
        else:
            self._send_opening(self._open_flow(request), 0)

    def _open_flow(self, request: Request) -> CallerFlow:
        caller = request.caller
        port = self._ports[caller] = self._ports.get(caller, 1024) + 1
        ip = b"\n\0" + caller.to_bytes(2, "big")
        index = self.deployment.kinds.index(request.kind)
        key = ip + port.to_bytes(2, "big") + address_key(index)
        hosts = self.stage.hosts_by_zone[self.zone_of_caller[caller]]
        host = hosts[zlib.crc32(key) % len(hosts)]
        flow = CallerFlow(key, host, request)
        self.flows_by_key[key] = flow
        return flow

    def _send_opening(self, flow: CallerFlow, copy: int) -> None:
        """Send a copy of the opening packet, or abandon the attempt after the last."""
        if flow.server or flow.is_over or flow.request.outcome:
            return
        if copy == len(COPY_INTERVALS):
            flow.is_over = True
            self._fail(flow.request, "abandoned", can_retry=True)
            return
        self.schedule(COPY_INTERVALS[copy], self._send_opening, flow, copy + 1)
        packet = (flow, None, NO_HANDLE, 0, copy, 0, True, False)
        self._deliver(flow.host, flow.host.receive(packet, self.stage.now))

    def _send(self, flow: CallerFlow, request: Request, copy: int = 0) -> None:
        """Send a request, again if it was lost."""
        if flow.is_over or request.outcome or flow.delivered is request:
            return
        flow.request = request
        self._send_packet(flow, request, PAYLOAD_BYTES, False)
        if flow.delivered is not request and copy < len(COPY_INTERVALS):
            self.schedule(COPY_INTERVALS[copy], self._send, flow, request, copy + 1)

    def _send_packet(self, flow, request, payload: int, is_ending: bool) -> None:
        handle = flow.server.record.handle
        header = (flow.sequence, flow.acknowledgement, payload, False, is_ending)
        packet = (flow, request, handle, *header)
        self._deliver(flow.host, flow.host.receive(packet, self.stage.now))

    def _deliver(self, host: Host, sent: list) -> None:
        """Deliver what a host sent: encapsulated packets, or resets without address."""
        for data, address in sent:
            if address is None:
                self._reset(self.flows_by_key[data])
                continue
            server, (flow, request) = self.stage.servers[address[1]], data[:2]
            zone = server.record.zone
            if self.stage.is_cut(host.zone, zone):
                continue
            delay = ZONE_DELAY_SECONDS
            if zone != host.zone:
                delay = CROSS_ZONE_DELAY_SECONDS
            if data[IS_OPENING]:
                self.untrue_refusals += flow.is_refused
                if flow.server is None:
                    flow.server = server
                    self.schedule(2 * delay, self._send, flow, flow.request)
            elif request is not None and flow.delivered is not request:
                flow.delivered = request
                reply = partial(self._reply, flow, request, delay)
                server.receive(request, reply)

    def _reset(self, flow: CallerFlow) -> None:
        """Handle a host's reset, a refusal if the flow is not open."""
        flow.is_over = True
        if flow.server is None:
            flow.is_refused = True
            self.refusals += 1
            self._fail(flow.request, "refused", can_retry=True)
        else:
            self.resets += 1
            self._fail(flow.request, "failed", flow.request.kind.name != "unsafe")

    def _reply(self, flow, request, delay: float, outcome: str) -> None:
        if not self.stage.is_cut(flow.host.zone, flow.server.record.zone):
            self.schedule(delay, self._receive_reply, flow, request, outcome)

    def _receive_reply(self, flow, request, outcome: str) -> None:
        """End the request at its caller, who acknowledges answers and errors."""
        if flow.is_over:
            return
        flow.remaining -= 1
        flow.is_over = outcome != "answered" or flow.remaining <= 0
        if outcome == "shed" and self.case.sheds == "reset":
            self._fail(request, outcome, request.kind.name != "unsafe")
            return
        flow.sequence += PAYLOAD_BYTES
        flow.acknowledgement += PAYLOAD_BYTES
        self._send_packet(flow, None, 0, flow.is_over)
        if outcome != "answered":
            self._fail(request, outcome, request.kind.name != "unsafe")
            return
        self._end(request, outcome)
        if not flow.is_over:
            self._idle_flows[request.caller, request.kind.name].append(flow)

    def _fail(self, request: Request, outcome: str, can_retry: bool) -> None:
        """Make another attempt, or end the request."""
        if can_retry and request.attempts < ATTEMPTS:
            self.schedule(RETRY_SECONDS, self._attempt, request)
        else:
            is_true = outcome != "refused" or not request.runs
            self._end(request, outcome if is_true else "failed")
