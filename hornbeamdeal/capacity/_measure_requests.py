"""Measures CPU time and memory of requests in dispatcher and admission."""

from dataclasses import replace
from typing import Any

from hornbeamdeal import wire
from hornbeamdeal.kernel import (
    AddressKind,
    ClusterView,
    DispatchRequest,
    ReplyToCaller,
    Request,
    RequestReceived,
    ServerAnswerReceived,
)
from hornbeamdeal.wire import ServerRequest

from ._components import make_dispatcher
from ._fit import Slope, fit_slope
from ._measure_packets import caller_endpoint, coap_token
from ._resource_usage import cpu_seconds, retained_bytes
from ._samples import make_view
from ._sizes import Sizes

PAYLOAD = bytes(64)
DEADLINE_SECONDS = 2.0
# Time from the start of a request to its answer, and from that to the next request.
SERVICE_SECONDS = 0.05
START_SECONDS = 61.0
# With 7 hosts or fewer, each is a home host of all services. In a larger region, a
# request has this cost at one of its home hosts, after a relay to it.
HOSTS = 7


class RequestHarness:
    """Request path of one host, from the fabric's datagram to the answer."""

    def __init__(self, view: ClusterView):
        self.view = view
        self.dispatcher = make_dispatcher(view)
        addresses = view.addresses_by_endpoint.values()
        kind = AddressKind.REQUESTS
        self.addresses = [a for a in addresses if a.kind is kind]
        self.now = START_SECONDS
        self.answered = 0

    def serve_requests(self, count: int) -> None:
        """Serve requests one after the other, each with its own run token."""
        for index in range(count):
            self.now += SERVICE_SECONDS
            self._serve_request(index)
        if self.answered < count:
            raise RuntimeError(f"{count - self.answered} requests got no answer")

    def start_requests(self, count: int) -> None:
        """Start requests that no server answers."""
        for index in range(count):
            self._start_request(index)

    @property
    def in_flight(self) -> int:
        """Return the number of waiting and running requests."""
        return len(self.dispatcher.runner_.table)

    def _serve_request(self, index: int) -> None:
        dispatch = self._start_request(index)
        answer = self._server_answer(dispatch)
        event = ServerAnswerReceived(
            dispatch.server.server_id, dispatch.exchange_id, answer
        )
        self.now += SERVICE_SECONDS
        for reply in self._replies(self.dispatcher.handle(event, self.now)):
            self._encode_reply(reply)
            self.answered += 1

    def _start_request(self, index: int) -> Any:
        """Request a run token and repeat the request with it; return its dispatch."""
        (reply,) = self._replies(self._receive(index, None))
        self._encode_reply(reply)
        actions = self._receive(index, reply.answer.run_token)
        return next((a for a in actions if isinstance(a, DispatchRequest)), None)

    def _receive(self, index: int, run_token: bytes | None) -> list[Any]:
        address = self.addresses[index % len(self.addresses)]
        message_id = (2 * index + bool(run_token)) % 65_536
        payload = wire.encode_caller_request(
            "POST", "/bookings", coap_token(index), message_id, PAYLOAD, run_token
        )
        data = wire.encode_proxied(caller_endpoint(index), address.endpoint, payload)
        datagram = wire.decode_proxied(data).ok_value
        request = wire.decode_request(
            datagram.payload, datagram.source, datagram.destination
        ).ok_value
        event = RequestReceived(replace(request, hops=0))
        return self.dispatcher.handle(event, self.now)

    def _server_answer(self, dispatch: DispatchRequest):
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
        return wire.encode_server_answer(request, "CHANGED", PAYLOAD, load=0.3)

    @staticmethod
    def _replies(actions: list[Any]) -> list[ReplyToCaller]:
        return [a for a in actions if isinstance(a, ReplyToCaller)]

    @staticmethod
    def _encode_reply(reply: ReplyToCaller) -> None:
        request: Request = reply.request
        payload = wire.encode_answer(request, reply.answer, 1)
        wire.encode_proxied(request.caller, request.address, payload)


def measure(sizes: Sizes) -> list[Slope]:
    """Measure CPU time and memory against the number of requests."""
    view = make_view(sizes.fixed_targets, min(sizes.fixed_hosts, HOSTS))
    cpu_points, token_points, in_flight_points = [], [], []
    for count in sizes.requests:
        cpu = cpu_seconds(
            lambda: RequestHarness(view), lambda h, n=count: h.serve_requests(n)
        )
        cpu_points.append((count, cpu))
        token_points.append(
            (count, _memory_growth(RequestHarness(view), "serve_requests", count))
        )
        harness = RequestHarness(view)
        size = _memory_growth(harness, "start_requests", count)
        in_flight_points.append((harness.in_flight, size))
    return [
        fit_slope("request_cpu", "requests", "s", cpu_points),
        fit_slope("run_token_memory", "run tokens", "B", token_points),
        fit_slope("in_flight_memory", "requests in flight", "B", in_flight_points),
    ]


def _memory_growth(harness: RequestHarness, method_name: str, count: int) -> int:
    """Return the memory that a call of a method adds to a harness.

    Another harness runs first, which fills the caches of packed headers.
    """
    RequestHarness(harness.view).serve_requests(min(count, len(harness.addresses)))

    def grow() -> RequestHarness:
        getattr(harness, method_name)(count)
        return harness

    return retained_bytes(grow)
