"""Stand-in of a backend server: requests in slots, and watched flows."""

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
    decode_flow_for_server,
    decode_for_server,
    decode_proxied,
    encode_from_server,
    encode_notification,
    encode_proxied,
)

from ._control import MAXIMUM_DATAGRAM_BYTES, open_udp, serve_control
from ._work import WorkModel

FLOW_IDLE_SECONDS = 60.0
RETRY_AFTER_SECONDS = 1


@dataclass(slots=True)
class WatchedFlow:
    """A caller's flow that gets a numbered message at each interval."""

    caller: Endpoint
    address: Endpoint
    token: bytes
    entry: tuple[str, int]
    seen_at: float
    number: int = 0


class Server:
    """Answers requests and notifies the callers of its flows."""

    __slots__ = (
        "name",
        "service",
        "work",
        "notify_seconds",
        "connections",
        "cut",
        "udp_",
        "nursery_",
        "flows_by_key_",
        "scopes_by_exchange_",
        "runs_by_id_",
        "counts_",
        "first_start_",
        "last_start_",
    )

    def __init__(self, *, name, service, work, notify_seconds, connections):
        self.name = name
        self.service = service
        self.work = work
        self.notify_seconds = notify_seconds
        self.connections = connections
        self.cut: set[str] = set()
        self.flows_by_key_: dict[tuple, WatchedFlow] = {}
        self.scopes_by_exchange_: dict[tuple, trio.CancelScope] = {}
        self.runs_by_id_: Counter[str] = Counter()
        self.counts_: Counter[str] = Counter()
        self.first_start_: float | None = None
        self.last_start_: float | None = None

    async def run(self, listen: Endpoint, control: Endpoint) -> None:
        """Serve until cancelled."""
        self.udp_ = await open_udp(listen)
        async with trio.open_nursery() as self.nursery_:
            self.nursery_.start_soon(serve_control, control, self.configure)
            self.nursery_.start_soon(self._notify_flows)
            while True:
                data, sender = await self.udp_.recvfrom(MAXIMUM_DATAGRAM_BYTES)
                if sender[0] not in self.cut:
                    await self._receive(data, sender)

    def configure(self, message: dict) -> dict:
        """Take a control message and return the counts.

        The message may set draining, lie, service and cut (IPs of hosts whose
        datagrams are lost in both directions).
        """
        self.cut = set(message.get("cut", self.cut))
        self.work.draining = bool(message.get("draining", self.work.draining))
        self.work.lie = message.get("lie", self.work.lie)
        self.service = message.get("service", self.service)
        doubled = {run: n for run, n in self.runs_by_id_.items() if n > 1}
        return {
            "server": self.name,
            "counts": dict(self.counts_),
            "runs": len(self.runs_by_id_),
            "run_ids": list(self.runs_by_id_) if message.get("run_ids") else [],
            "doubled": doubled,
            "flows": len(self.flows_by_key_),
            "busy": self.work.busy_,
            "first_start": self.first_start_,
            "last_start": self.last_start_,
        }

    async def _receive(self, data: bytes, sender) -> None:
        proxied = decode_proxied(data)
        if proxied.is_ok():
            await self._receive_flow(proxied.ok_value, sender)
            return
        decoded = decode_for_server(data)
        if decoded.is_err():
            self.counts_["malformed"] += 1
        elif isinstance(decoded.ok_value, ServerRequest):
            self.nursery_.start_soon(self._serve_request, decoded.ok_value, sender)
        else:
            self._cancel(sender, decoded.ok_value.message_id)

    def _cancel(self, sender, message_id: int) -> None:
        scope = self.scopes_by_exchange_.get((sender, message_id))
        if scope is not None:
            self.counts_["cancelled"] += 1
            scope.cancel()

    async def _serve_request(self, request: ServerRequest, sender) -> None:
        now = trio.current_time()
        if request.service != self.service:
            self.counts_["wrong_service"] += 1
            await self._answer(request, sender, "NOT_FOUND", b"wrong service")
            return
        if not self.work.take_slot(now):
            self.counts_["shed"] += 1
            reason = b"draining" if self.work.draining else b"all slots busy"
            await self._answer(request, sender, "SERVICE_UNAVAILABLE", reason)
            return
        try:
            await self._run(request, sender, now)
        finally:
            self.work.free_slot(trio.current_time())

    async def _run(self, request: ServerRequest, sender, now: float) -> None:
        run_id = request.payload.split(b" ", 1)[0].decode(errors="replace")
        self.runs_by_id_[run_id] += 1
        self.counts_["started"] += 1
        # The system's monotonic clock, so that servers of one machine compare.
        self.last_start_ = time.monotonic()
        self.first_start_ = self.first_start_ or self.last_start_
        exchange = (sender, request.message_id)
        with trio.CancelScope(deadline=now + request.deadline_seconds) as scope:
            self.scopes_by_exchange_[exchange] = scope
            await trio.sleep(self.work.service_seconds(request.path, now))
            self.counts_["finished"] += 1
            payload = f"{run_id} {self.name}".encode()
            await self._answer(request, sender, "CONTENT", payload)
        del self.scopes_by_exchange_[exchange]

    async def _answer(self, request, sender, code: str, payload: bytes) -> None:
        load = self.work.reported_load(trio.current_time())
        max_age = RETRY_AFTER_SECONDS if code == "SERVICE_UNAVAILABLE" else None
        data = encode_from_server(request, code, payload, load, max_age)
        await self._send(data, sender)

    async def _send(self, data: bytes, entry: tuple[str, int]) -> None:
        if entry[0] not in self.cut:
            await self.udp_.sendto(data, entry)

    async def _receive_flow(self, datagram, sender) -> None:
        message = decode_flow_for_server(datagram.payload)
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
            flow.entry = sender
            flow.seen_at = trio.current_time()
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
            await trio.sleep(self.notify_seconds)
            now = trio.current_time()
            for key, flow in list(self.flows_by_key_.items()):
                if now - flow.seen_at > FLOW_IDLE_SECONDS:
                    del self.flows_by_key_[key]
                else:
                    await self._notify(flow)

    async def _notify(self, flow: WatchedFlow) -> None:
        flow.number += 1
        text = json.dumps({"server": self.name, "number": flow.number})
        payload = encode_notification(flow.token, flow.number, text.encode())
        data = encode_proxied(flow.caller, flow.address, payload, self.service)
        await self._send(data, flow.entry)


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
    the time in which a new server is slow. LIE is a load that is always reported.
    """
    pairs = [part.split("=") for part in work.split(",")]
    model = WorkModel(
        slots=int(slots),
        seconds_by_path={p: parse_duration(t).total_seconds() for p, t in pairs},
        cold_seconds=parse_duration(cold).total_seconds(),
        lie=None if lie is None else float(lie),
        random_state=random_state,
    )
    server = Server(
        name=name,
        service=service,
        work=model,
        notify_seconds=parse_duration(notify).total_seconds(),
        connections=int(connections),
    )

    async def serve() -> None:
        model.started_at_ = trio.current_time()
        await server.run(parse_endpoint(listen), parse_endpoint(control))

    trio.run(serve)


def main():
    """Start the command line."""
    fire.Fire(run)
