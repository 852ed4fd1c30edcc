"""Simulates bookings with redelivered messages and restarted hosts."""

from collections import Counter
from random import Random

from hornbeamdeal.kernel import (
    AnswerStatus,
    DispatchOutcome,
    Endpoint,
    Request,
    RequestReceived,
    ServerAnswer,
    ServerAnswerReceived,
)
from hornbeamdeal.requests import Limits
from hornbeamdeal.requests._fake_fleet import ADDRESS, HostFleet

BOOKINGS = 5_000
HOSTS = 7
REDELIVERED_SHARE = 0.3
RESTARTED_SHARE = 0.02
SERVICE_SECONDS = 0.05
RETRANSMIT_SECONDS = 2.0
LARGE_LIMITS = Limits(maximum_exchanges=10**6, maximum_tokens=10**6)
ANSWER = ServerAnswer(DispatchOutcome.ANSWERED, payload=b"booked", code="CHANGED")


def make_request(number: int, method: str, path: str, run_token=None) -> Request:
    """Return a request from a caller of its own."""
    return Request(
        caller=Endpoint("10.9.0.1", 1024 + number % 60_000),
        address=ADDRESS,
        token=number.to_bytes(8, "big"),
        message_id=number % 65_536,
        method=method,
        path=path,
        payload=b"two seats",
        idempotent=method == "GET",
        run_token=run_token,
        datagram=b"",
    )


class Booking:
    """One caller's booking: its run token, number of runs and final status."""

    def __init__(self, number: int):
        self.number = number
        self.run_token = None
        self.runs = 0
        self.final_status = None


class Redelivery:
    """Simulation of bookings with redelivered messages and restarted hosts.

    The fabric delivers each message to a random host, and a share of them to a
    second host as well. For a share of the bookings, the dispatching host
    restarts before the server answers. A caller without an answer retransmits
    once. The servers run every dispatch and answer after 50 ms.
    """

    def __init__(self, plugin: str, seed: int):
        self.random = Random(seed)
        incarnations = {f"h{n}": n + 1 for n in range(HOSTS)}
        self.fleet = HostFleet(incarnations, plugin=plugin, limits=LARGE_LIMITS)
        self.bookings = [Booking(n) for n in range(BOOKINGS)]
        self.now = 0.0
        self.served_dispatches = 0
        self.delivered_replies = 0

    def run(self) -> dict[str, float]:
        """Run all bookings; return their outcomes per 1,000."""
        for booking in self.bookings:
            self.send(booking)
            if booking.run_token is not None:
                self.send(booking)
            if self.random.random() < RESTARTED_SHARE:
                self.restart_dispatching_host()
            self.serve()
            if booking.final_status is None:
                self.now += RETRANSMIT_SECONDS
                self.send(booking)
                self.serve()
        return self.summary()

    def send(self, booking: Booking) -> None:
        """Deliver a request to a random host, or to two if it is redelivered."""
        copies = 2 if self.random.random() < REDELIVERED_SHARE else 1
        token = booking.run_token
        request = make_request(booking.number, "POST", "/bookings", token)
        for host in self.random.sample(sorted(self.fleet.dispatchers_by_id), copies):
            self.fleet.handle(host, RequestReceived(request), self.now)
        self.deliver_replies()

    def restart_dispatching_host(self) -> None:
        """Restart the host that sent the latest dispatch."""
        host = self.fleet.dispatches[-1][0]
        incarnation = max(self.fleet.incarnations_by_id.values()) + 1
        self.fleet.start(host, incarnation, self.now)

    def serve(self) -> None:
        """Run and answer all new dispatches at the servers."""
        self.now += SERVICE_SECONDS
        while self.served_dispatches < len(self.fleet.dispatches):
            host, dispatch = self.fleet.dispatches[self.served_dispatches]
            self.served_dispatches += 1
            number = int.from_bytes(dispatch.request.token, "big")
            self.bookings[number].runs += 1
            server_id = dispatch.server.server_id
            event = ServerAnswerReceived(server_id, dispatch.exchange_id, ANSWER)
            self.fleet.handle(host, event, self.now)
        self.deliver_replies()

    def deliver_replies(self) -> None:
        """Deliver the new replies to their callers."""
        for request, answer in self.fleet.replies[self.delivered_replies :]:
            booking = self.bookings[int.from_bytes(request.token, "big")]
            if answer.status is AnswerStatus.RUN_TOKEN_REQUIRED:
                booking.run_token = booking.run_token or answer.run_token
            elif booking.final_status is None:
                booking.final_status = answer.status
        self.delivered_replies = len(self.fleet.replies)

    def summary(self) -> dict[str, float]:
        """Return the outcomes of the bookings per 1,000."""
        counts = Counter()
        for booking in self.bookings:
            counts["doubled"] += booking.runs > 1
            counts["lost"] += booking.runs == 0
            counts["unanswered"] += booking.final_status is None
            counts["unknown"] += booking.final_status is AnswerStatus.OUTCOME_UNKNOWN
            not_run = booking.final_status is AnswerStatus.NOT_RUN
            counts["false_not_run"] += not_run and booking.runs > 0
        return {name: count * 1000 / BOOKINGS for name, count in counts.items()}
