"""CPU time and memory of requests through dispatcher and admission."""

from dataclasses import replace
from typing import Any

from hornbeamdeal import wire
from hornbeamdeal.kernel import (
    AddressKind,
    Dispatch,
    ReplyToCaller,
    Request,
    RequestReceived,
    ServerAnswered,
    View,
)
from hornbeamdeal.wire import ServerRequest

from ._components import make_dispatcher
from ._fit import Slope, fit_slope
from ._measure_packets import caller_of, token_of
from ._samples import make_view
from ._sizes import Sizes
from ._timing import cpu_seconds, held_bytes

BODY = bytes(64)
DEADLINE_SECONDS = 2.0
# A service time of 50 ms between a request's start and its answer.
SERVICE_SECONDS = 0.05
START = 61.0
# With so few hosts each is a home host of all services. In a larger region a
# request costs this at one of its home hosts, and a relay before it.
HOSTS = 7


class RequestBench:
    """One host's request path, from the fabric's datagram to the answer."""

    def __init__(self, view: View):
        self.view = view
        self.dispatcher = make_dispatcher(view)
        addresses = view.addresses_by_endpoint.values()
        kind = AddressKind.REQUESTS
        self.addresses = [a for a in addresses if a.kind is kind]
        self.now = START
        self.answered = 0

    def run(self, count: int) -> None:
        """Serve requests one by one, each with its run token."""
        for index in range(count):
            self.now += SERVICE_SECONDS
            self._serve(index)
        if self.answered < count:
            raise RuntimeError(f"{count - self.answered} requests were not answered")

    def start(self, count: int) -> None:
        """Start requests that no server answers."""
        for index in range(count):
            self._begin(index)

    @property
    def in_flight(self) -> int:
        """Return the number of requests that wait or run."""
        return len(self.dispatcher.runner_.table)

    def _serve(self, index: int) -> None:
        dispatch = self._begin(index)
        answer = self._server_answer(dispatch)
        event = ServerAnswered(dispatch.server.server_id, dispatch.exchange_id, answer)
        self.now += SERVICE_SECONDS
        for reply in self._replies(self.dispatcher.handle(event, self.now)):
            self._encode_reply(reply)
            self.answered += 1

    def _begin(self, index: int) -> Any:
        """Ask for a token, repeat the request with it, and dispatch it."""
        (reply,) = self._replies(self._receive(index, None))
        self._encode_reply(reply)
        actions = self._receive(index, reply.answer.run_token)
        return next((a for a in actions if isinstance(a, Dispatch)), None)

    def _receive(self, index: int, run_token: bytes | None) -> list[Any]:
        address = self.addresses[index % len(self.addresses)]
        message_id = (2 * index + bool(run_token)) % 65_536
        payload = wire.encode_caller_request(
            "POST", "/bookings", token_of(index), message_id, BODY, run_token
        )
        data = wire.encode_proxied(caller_of(index), address.endpoint, payload)
        datagram = wire.decode_proxied(data).ok_value
        request = wire.decode_request(
            datagram.payload, datagram.source, datagram.destination
        ).ok_value
        event = RequestReceived(replace(request, hops=0))
        return self.dispatcher.handle(event, self.now)

    def _server_answer(self, dispatch: Dispatch):
        token = dispatch.exchange_id.to_bytes(8, "big")
        message_id = dispatch.exchange_id % 65_536
        service = dispatch.server.service
        wire.encode_request(
            dispatch.request, service, token, message_id, DEADLINE_SECONDS
        )
        data = self._encode_answer(token, message_id)
        return wire.decode_server_message(data).ok_value.answer

    @staticmethod
    def _encode_answer(token: bytes, message_id: int) -> bytes:
        request = ServerRequest(
            token=token,
            message_id=message_id,
            service="",
            path="/bookings",
            payload=b"",
            deadline_seconds=DEADLINE_SECONDS,
        )
        return wire.encode_from_server(request, "CHANGED", BODY, load=0.3)

    @staticmethod
    def _replies(actions: list[Any]) -> list[ReplyToCaller]:
        return [a for a in actions if isinstance(a, ReplyToCaller)]

    @staticmethod
    def _encode_reply(reply: ReplyToCaller) -> None:
        request: Request = reply.request
        payload = wire.encode_answer(request, reply.answer, 1)
        wire.encode_proxied(request.caller, request.address, payload)


def measure(sizes: Sizes) -> list[Slope]:
    """Return the slopes of requests."""
    view = make_view(sizes.context_targets, min(sizes.context_hosts, HOSTS))
    cpu_points, token_points, flight_points = [], [], []
    for count in sizes.requests:
        cpu = cpu_seconds(lambda: RequestBench(view), lambda b, n=count: b.run(n))
        cpu_points.append((count, cpu))
        token_points.append((count, _growth(RequestBench(view), "run", count)))
        bench = RequestBench(view)
        size = _growth(bench, "start", count)
        flight_points.append((bench.in_flight, size))
    return [
        fit_slope("request_cpu", "requests", "s", cpu_points),
        fit_slope("run_token_memory", "run tokens", "B", token_points),
        fit_slope("in_flight_memory", "requests in flight", "B", flight_points),
    ]


def _growth(bench: RequestBench, verb: str, count: int) -> int:
    """Return the memory that a bench gains; headers in caches are packed before."""
    RequestBench(bench.view).run(min(count, len(bench.addresses)))

    def grow() -> RequestBench:
        getattr(bench, verb)(count)
        return bench

    return held_bytes(grow)
