"""Tells observers how long callers wait for answers, and which requests get none."""

from ._admission import AdmitAll
from ._arrival_bound import ArrivalBound
from ._base import (
    Admission,
    AnswerObserver,
    CallerPacket,
    HandshakeObserver,
    Journal,
    hash_caller,
)
from ._flow_table import Flow
from ._outstanding_requests import MAXIMUM_WAIT_SECONDS, OutstandingRequests
from ._records import Route

# A request counts as failed if its answer is this much later than its objective.
FAILURE_MARGIN_SECONDS = 0.3


class RequestWaits:
    """Measures the waits of a host's flows from their callers' packets.

    Waits that began before this host was last behind with its packets are left out: the
    answer may have come meanwhile.

    Parameters
    ----------
    outstanding : OutstandingRequests
        Flows that await an answer.
    arrivals : ArrivalBound
        Says since when this host has kept up with its packets.
    journal : Journal
        Receives counters and histograms.
    admission : Admission or None
        Told of the answers that callers get, which are their work.
    answer_observers : tuple of AnswerObserver
        Told of answers and of requests without one.
    handshake_observers : tuple of HandshakeObserver
        Told of handshakes.
    """

    __slots__ = (
        "admission",
        "answer_observers",
        "arrivals",
        "handshake_observers",
        "journal",
        "outstanding",
    )

    def __init__(
        self,
        *,
        outstanding: OutstandingRequests,
        arrivals: ArrivalBound,
        journal: Journal,
        admission: Admission | None = None,
        answer_observers: tuple[AnswerObserver, ...] = (),
        handshake_observers: tuple[HandshakeObserver, ...] = (),
    ):
        self.outstanding = outstanding
        self.arrivals = arrivals
        self.journal = journal
        self.admission = admission or AdmitAll()
        self.answer_observers = answer_observers
        self.handshake_observers = handshake_observers

    def record_handshake(self, flow: Flow, now: float) -> None:
        """Record that a flow's handshake is complete."""
        seconds = max(0.0, now - flow.sent_at)
        self.journal.observe("handshake_seconds", seconds)
        if flow.route is None or flow.sent_at < self.arrivals.resumed_at:
            return
        for observer in self.handshake_observers:
            observer.record_handshake(flow.route, seconds, now)

    def finish_answered(self, flow: Flow, packet: CallerPacket, now: float) -> None:
        """Record that a caller has acknowledged an answer."""
        # With data, the packet may be the next request, which comes after a pause.
        if not packet.payload_bytes and self._is_known(flow):
            seconds = now - flow.awaited_since
            for observer in self.answer_observers:
                observer.record_answer(flow.route, flow.awaited_server, seconds, now)
            self.admission.record_work(flow.route, hash_caller(packet), now)
        self.outstanding.finish(flow)

    def finish_unanswered(self, flow: Flow, now: float) -> None:
        """Stop counting a flow; record a failure if it has sent a request."""
        # A flow without data has no request yet, and an opening without an answer is
        # a matter of the server's health.
        has_request = flow.next_sequence is not None
        if self.answer_observers and has_request and self._is_known(flow):
            self.journal.count("requests_unanswered")
            self._record_failure(flow, now)
        self.outstanding.finish(flow)

    def record_overdue(self, now: float) -> None:
        """Record the requests whose answers are overdue, each once."""
        if not self.answer_observers:
            return
        for flow in self.outstanding.waiting_flows_:
            seconds = now - flow.awaited_since
            if (
                seconds > FAILURE_MARGIN_SECONDS
                and flow.awaits_request
                and self._is_known(flow)
                and seconds > _failure_seconds(flow.route)
            ):
                self._record_failure(flow, now)

    def _record_failure(self, flow: Flow, now: float) -> None:
        if flow.failed_since == flow.awaited_since:
            return
        flow.failed_since = flow.awaited_since
        for observer in self.answer_observers:
            observer.record_failure(flow.route, flow.awaited_server, now)

    def _is_known(self, flow: Flow) -> bool:
        """Return whether the flow awaits an answer for as long as this host thinks."""
        is_awaiting = flow.awaited_server is not None and flow.route is not None
        return is_awaiting and flow.awaited_since >= self.arrivals.resumed_at


def _failure_seconds(route: Route) -> float:
    """Return how long a request may wait before it counts as failed."""
    if not route.aim_seconds:
        return MAXIMUM_WAIT_SECONDS
    return min(route.aim_seconds + FAILURE_MARGIN_SECONDS, MAXIMUM_WAIT_SECONDS)
