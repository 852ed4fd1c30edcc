"""Stand-in for a backend server: requests in slots, and flows with notifications."""

import json
import time
from collections import Counter
from dataclasses import dataclass

import fire
import trio

from hornbeamdeal.kernel import Endpoint
from hornbeamdeal.settings import parse_duration, parse_endpoint
from hornbeamdeal.wire import (
    ServerFlowMessage,
    ServerRequest,
    decode_proxied,
    decode_server_flow_message,
    decode_server_request,
    encode_notification,
    encode_proxied,
    encode_server_answer,
)

from ._control import MAXIMUM_DATAGRAM_BYTES, open_udp, serve_control
from ._work import WorkModel

FLOW_IDLE_SECONDS = 60.0
RETRY_AFTER_SECONDS = 1


@dataclass(slots=True)
class WatchedFlow:
    """A caller's flow that receives a numbered notification at each interval."""

    caller: Endpoint
    address: Endpoint
    token: bytes
    host_address: tuple[str, int]
    last_seen_at: float
    sequence_number: int = 0


class Server:
    """Responds to requests and sends notifications to the callers of its flows."""

    __slots__ = (
        "name",
        "service",
        "work",
        "notify_interval_seconds",
        "connections",
        "blocked_ips",
        "udp_",
        "nursery_",
        "flows_by_key_",
        "scopes_by_exchange_",
        "run_counts_by_id_",
        "counts_",
        "first_started_at_",
        "last_started_at_",
    )

    def __init__(self, *, name, service, work, notify_interval_seconds, connections):
        self.name = name
        self.service = service
        self.work = work
        self.notify_interval_seconds = notify_interval_seconds
        self.connections = connections
        self.blocked_ips: set[str] = set()
        self.flows_by_key_: dict[tuple, WatchedFlow] = {}
        self.scopes_by_exchange_: dict[tuple, trio.CancelScope] = {}
        self.run_counts_by_id_: Counter[str] = Counter()
        self.counts_: Counter[str] = Counter()
        self.first_started_at_: float | None = None
        self.last_started_at_: float | None = None

    async def run(self, listen: Endpoint, control: Endpoint) -> None:
        """Serve until cancelled."""
        self.udp_ = await open_udp(listen)
        async with trio.open_nursery() as self.nursery_:
            self.nursery_.start_soon(serve_control, control, self.configure)
            self.nursery_.start_soon(self._notify_flows)
            while True:
                data, sender = await self.udp_.recvfrom(MAXIMUM_DATAGRAM_BYTES)
                if sender[0] not in self.blocked_ips:
                    await self._receive(data, sender)

    def configure(self, message: dict) -> dict:
        """Apply a control message and return the counts.

        The message may set draining, lie (a load that is always reported),
        service and cut (IPs of hosts whose datagrams are dropped in both
        directions).
        """
        self.blocked_ips = set(message.get("cut", self.blocked_ips))
        self.work.draining = bool(message.get("draining", self.work.draining))
        self.work.fixed_load = message.get("lie", self.work.fixed_load)
        self.service = message.get("service", self.service)
        repeated = {run: n for run, n in self.run_counts_by_id_.items() if n > 1}
        return {
            "server": self.name,
            "counts": dict(self.counts_),
            "runs": len(self.run_counts_by_id_),
            "run_ids": list(self.run_counts_by_id_) if message.get("run_ids") else [],
            "doubled": repeated,
            "flows": len(self.flows_by_key_),
            "busy": self.work.busy_slots_,
            "first_start": self.first_started_at_,
            "last_start": self.last_started_at_,
        }

    async def _receive(self, data: bytes, sender) -> None:
        proxied = decode_proxied(data)
        if proxied.is_ok():
            await self._receive_flow(proxied.ok_value, sender)
            return
        decoded = decode_server_request(data)
        if decoded.is_err():
            self.counts_["malformed"] += 1
        elif isinstance(decoded.ok_value, ServerRequest):
            self.nursery_.start_soon(self._serve_request, decoded.ok_value, sender)
        else:
            self._cancel_request(sender, decoded.ok_value.message_id)

    def _cancel_request(self, sender, message_id: int) -> None:
        scope = self.scopes_by_exchange_.get((sender, message_id))
        if scope is not None:
            self.counts_["cancelled"] += 1
            scope.cancel()

    async def _serve_request(self, request: ServerRequest, sender) -> None:
        now = trio.current_time()
        if request.service != self.service:
            self.counts_["wrong_service"] += 1
            await self._respond(request, sender, "NOT_FOUND", b"wrong service")
            return
        if not self.work.acquire_slot(now):
            self.counts_["shed"] += 1
            reason = b"draining" if self.work.draining else b"all slots busy"
            await self._respond(request, sender, "SERVICE_UNAVAILABLE", reason)
            return
        try:
            await self._run(request, sender, now)
        finally:
            self.work.release_slot(trio.current_time())

    async def _run(self, request: ServerRequest, sender, now: float) -> None:
        run_id = request.payload.split(b" ", 1)[0].decode(errors="replace")
        self.run_counts_by_id_[run_id] += 1
        self.counts_["started"] += 1
        # The system's monotonic clock is comparable between servers on one machine.
        self.last_started_at_ = time.monotonic()
        self.first_started_at_ = self.first_started_at_ or self.last_started_at_
        exchange = (sender, request.message_id)
        with trio.CancelScope(deadline=now + request.deadline_seconds) as scope:
            self.scopes_by_exchange_[exchange] = scope
            await trio.sleep(self.work.draw_service_seconds(request.path, now))
            self.counts_["finished"] += 1
            payload = f"{run_id} {self.name}".encode()
            await self._respond(request, sender, "CONTENT", payload)
        del self.scopes_by_exchange_[exchange]

    async def _respond(self, request, sender, code: str, payload: bytes) -> None:
        load = self.work.reported_load(trio.current_time())
        max_age = RETRY_AFTER_SECONDS if code == "SERVICE_UNAVAILABLE" else None
        data = encode_server_answer(request, code, payload, load, max_age)
        await self._send(data, sender)

    async def _send(self, data: bytes, host_address: tuple[str, int]) -> None:
        if host_address[0] not in self.blocked_ips:
            await self.udp_.sendto(data, host_address)

    async def _receive_flow(self, datagram, sender) -> None:
        message = decode_server_flow_message(datagram.payload)
        if datagram.service != self.service:
            self.counts_["wrong_service"] += 1
            return
        if message is None:
            self.counts_["malformed"] += 1
            return
        key = (datagram.source, datagram.destination, message.token)
        flow = self.flows_by_key_.get(key)
        if message.closes:
            self.flows_by_key_.pop(key, None)
            return
        if flow is None:
            flow = self._open_flow(key, datagram, message, sender)
        if flow is not None:
            flow.host_address = sender
            flow.last_seen_at = trio.current_time()
            await self._notify(flow)

    def _open_flow(self, key, datagram, message: ServerFlowMessage, sender):
        if not message.opens:
            self.counts_["unknown_flow"] += 1
        if len(self.flows_by_key_) >= self.connections:
            self.counts_["connections_full"] += 1
            return None
        self.counts_["flows_opened"] += 1
        flow = WatchedFlow(
            datagram.source,
            datagram.destination,
            message.token,
            sender,
            trio.current_time(),
        )
        self.flows_by_key_[key] = flow
        return flow

    async def _notify_flows(self) -> None:
        while True:
            await trio.sleep(self.notify_interval_seconds)
            now = trio.current_time()
            for key, flow in list(self.flows_by_key_.items()):
                if now - flow.last_seen_at > FLOW_IDLE_SECONDS:
                    del self.flows_by_key_[key]
                else:
                    await self._notify(flow)

    async def _notify(self, flow: WatchedFlow) -> None:
        flow.sequence_number += 1
        text = json.dumps({"server": self.name, "number": flow.sequence_number})
        payload = encode_notification(flow.token, flow.sequence_number, text.encode())
        data = encode_proxied(flow.caller, flow.address, payload, self.service)
        await self._send(data, flow.host_address)


def run(
    name,
    service,
    listen,
    control,
    work="/bookings=20ms",
    slots=3,
    connections=2000,
    cold="0s",
    lie=None,
    notify="1s",
    random_state=0,
):
    """Run a backend server.

    WORK gives mean service times by path, as /bookings=20ms,/photos=1s. COLD is
    the time after its start in which a server is slow. LIE is a load that is
    reported instead of the measured one.
    """
    pairs = [part.split("=") for part in work.split(",")]
    model = WorkModel(
        slots=int(slots),
        seconds_by_path={p: parse_duration(t).total_seconds() for p, t in pairs},
        cold_seconds=parse_duration(cold).total_seconds(),
        fixed_load=None if lie is None else float(lie),
        random_state=random_state,
    )
    server = Server(
        name=name,
        service=service,
        work=model,
        notify_interval_seconds=parse_duration(notify).total_seconds(),
        connections=int(connections),
    )

    async def serve() -> None:
        model.started_at_ = trio.current_time()
        await server.run(parse_endpoint(listen), parse_endpoint(control))

    trio.run(serve)


def main():
    """Start the command line."""
    fire.Fire(run)
