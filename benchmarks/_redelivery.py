"""Bookings under redelivery to any host and restarts of hosts."""

from collections import Counter
from random import Random

from hornbeamdeal.kernel import (
    AnswerStatus,
    Endpoint,
    Outcome,
    Request,
    RequestReceived,
    ServerAnswer,
    ServerAnswered,
)
from hornbeamdeal.requests import Limits
from hornbeamdeal.requests._fake_fleet import ADDRESS, HostFleet

JOBS = 5_000
HOSTS = 7
REDELIVERED_SHARE = 0.3
RESTARTED_SHARE = 0.02
SERVICE_SECONDS = 0.05
RETRANSMIT_SECONDS = 2.0
ROOMY = Limits(maximum_exchanges=10**6, maximum_tokens=10**6)
ANSWER = ServerAnswer(Outcome.ANSWERED, payload=b"booked", code="CHANGED")


def make_message(number: int, method: str, path: str, run_token=None) -> Request:
    """Return a request of its own caller."""
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
    """One caller's booking: its messages, runs and final answer."""

    def __init__(self, number: int):
        self.number = number
        self.run_token = None
        self.runs = 0
        self.heard = None


class Redelivery:
    """Bookings under redelivery to any host and restarts of hosts.

    The fabric delivers each message to any host, and a share of them to a
    second one as well. A share of the bookings sees the host that works on it
    restart before the server answers. A caller without an answer retransmits
    once. The servers run every dispatch and answer after 50 ms.
    """

    def __init__(self, plugin: str, seed: int):
        self.random = Random(seed)
        incarnations = {f"h{n}": n + 1 for n in range(HOSTS)}
        self.fleet = HostFleet(incarnations, plugin=plugin, limits=ROOMY)
        self.bookings = [Booking(n) for n in range(JOBS)]
        self.now = 0.0
        self.taken = 0
        self.heard = 0

    def run(self) -> dict[str, float]:
        """Run all bookings, return doubled and lost ones per 1,000."""
        for booking in self.bookings:
            self.send(booking)
            if booking.run_token is not None:
                self.send(booking)
            if self.random.random() < RESTARTED_SHARE:
                self.restart_worker()
            self.serve()
            if booking.heard is None:
                self.now += RETRANSMIT_SECONDS
                self.send(booking)
                self.serve()
        return self.summary()

    def send(self, booking: Booking) -> None:
        """Deliver a message to one host, sometimes to two."""
        copies = 2 if self.random.random() < REDELIVERED_SHARE else 1
        token = booking.run_token
        message = make_message(booking.number, "POST", "/bookings", token)
        for host in self.random.sample(sorted(self.fleet.dispatchers_by_id), copies):
            self.fleet.handle(host, RequestReceived(message), self.now)
        self.hear()

    def restart_worker(self) -> None:
        """Restart the host that sent the latest dispatch."""
        host = self.fleet.dispatches[-1][0]
        incarnation = max(self.fleet.incarnations_by_id.values()) + 1
        self.fleet.start(host, incarnation, self.now)

    def serve(self) -> None:
        """Let the servers run and answer all new dispatches."""
        self.now += SERVICE_SECONDS
        while self.taken < len(self.fleet.dispatches):
            host, dispatch = self.fleet.dispatches[self.taken]
            self.taken += 1
            number = int.from_bytes(dispatch.request.token, "big")
            self.bookings[number].runs += 1
            server_id = dispatch.server.server_id
            event = ServerAnswered(server_id, dispatch.exchange_id, ANSWER)
            self.fleet.handle(host, event, self.now)
        self.hear()

    def hear(self) -> None:
        """Hand the new replies to their callers."""
        for request, answer in self.fleet.replies[self.heard :]:
            booking = self.bookings[int.from_bytes(request.token, "big")]
            if answer.status is AnswerStatus.RUN_TOKEN_REQUIRED:
                booking.run_token = booking.run_token or answer.run_token
            elif booking.heard is None:
                booking.heard = answer.status
        self.heard = len(self.fleet.replies)

    def summary(self) -> dict[str, float]:
        """Count the bookings by how they ended, per 1,000."""
        counts = Counter()
        for booking in self.bookings:
            counts["doubled"] += booking.runs > 1
            counts["lost"] += booking.runs == 0
            counts["unanswered"] += booking.heard is None
            counts["unknown"] += booking.heard is AnswerStatus.OUTCOME_UNKNOWN
            not_run = booking.heard is AnswerStatus.NOT_RUN
            counts["false_not_run"] += not_run and booking.runs > 0
        return {name: count * 1000 / JOBS for name, count in counts.items()}
