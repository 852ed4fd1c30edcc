"""Cost and safety of the request dispatcher.

`python -m benchmarks.requests` prints a table, with `--json` one JSON object.
"""

import argparse
import gc
import json
import time
import tracemalloc
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
from hornbeamdeal.requests._replay import ADDRESS, HostFleet

TIMED_REQUESTS = 20_000
MEASURED_RECORDS = 20_000
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


class Host:
    """One dispatcher without recording, for timing and memory."""

    def __init__(self):
        fleet = HostFleet({"a": 1}, plugin="run_token", limits=ROOMY)
        self.dispatcher = fleet.dispatchers_by_id["a"]

    def take(self, request: Request, now: float) -> list:
        """Hand a request to the dispatcher."""
        return self.dispatcher.handle(RequestReceived(request), now)

    def answer(self, dispatch, now: float) -> list:
        """Answer a dispatch."""
        event = ServerAnswered(dispatch.server.server_id, dispatch.exchange_id, ANSWER)
        return self.dispatcher.handle(event, now)

    def token(self, number: int, now: float) -> bytes:
        """Return a run token for a caller."""
        reply = self.take(make_message(number, "POST", "/bookings"), now)[0]
        return reply.answer.run_token


def measure_times() -> dict[str, float]:
    """Return microseconds per request: idempotent, and with a run token."""
    host = Host()
    gets = [make_message(n, "GET", "/map") for n in range(TIMED_REQUESTS)]
    started = time.perf_counter()
    for number, request in enumerate(gets):
        host.answer(host.take(request, number / 5000)[1], number / 5000)
    idempotent = time.perf_counter() - started
    started = time.perf_counter()
    for number in range(TIMED_REQUESTS):
        now = 10 + number / 5000
        token = host.token(number, now)
        request = make_message(number, "POST", "/bookings", token)
        host.answer(host.take(request, now)[1], now)
    tokened = time.perf_counter() - started
    scale = 1e6 / TIMED_REQUESTS
    return {
        "idempotent_us": idempotent * scale,
        "issue_and_run_us": tokened * scale,
        "tick_with_full_tables_us": measure_tick(),
    }


def measure_tick() -> float:
    """Return microseconds per tick with many requests in flight."""
    host = Host()
    for number in range(MEASURED_RECORDS):
        host.take(make_message(number, "GET", "/photos"), 0.0)
    started = time.perf_counter()
    for step in range(100):
        host.dispatcher.tick(step / 1000)
    return (time.perf_counter() - started) * 1e6 / 100


def measure_memory() -> dict[str, float]:
    """Return bytes per request in flight and per kept token."""
    host = Host()
    tokens = [host.token(n, 0.0) for n in range(MEASURED_RECORDS)]
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    dispatches = []
    for number, token in enumerate(tokens):
        request = make_message(number, "POST", "/bookings", token)
        dispatches.append(host.take(request, 0.0)[1])
    flight = tracemalloc.get_traced_memory()[0] - before
    for dispatch in dispatches:
        host.answer(dispatch, 0.1)
    dispatches.clear()
    host.dispatcher.admission.started.clear()
    del dispatch, request
    host.dispatcher.tick(10.0)
    gc.collect()
    kept = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {
        "bytes_per_request_in_flight": flight / MEASURED_RECORDS,
        "bytes_per_kept_token": kept / MEASURED_RECORDS,
    }


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
        message = make_message(booking.number, "POST", "/bookings", booking.run_token)
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
            unknown = booking.heard is AnswerStatus.OUTCOME_UNKNOWN
            counts["unknown"] += unknown
            not_run = booking.heard is AnswerStatus.NOT_RUN
            counts["false_not_run"] += not_run and booking.runs > 0
        names = ("doubled", "lost", "unknown", "unanswered", "false_not_run")
        return {name: counts[name] * 1000 / JOBS for name in names}


def measure() -> dict[str, dict[str, float]]:
    """Run all measurements."""
    return {
        "time": measure_times(),
        "memory": measure_memory(),
        "per_1000_run_token": Redelivery("run_token", 1).run(),
        "per_1000_own_memory": Redelivery("own_memory", 1).run(),
    }


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    as_json = parser.parse_args().json
    results = measure()
    if as_json:
        print(json.dumps(results))
        return
    for group, values in results.items():
        for name, value in values.items():
            print(f"{group:22} {name:30} {value:12.2f}")


if __name__ == "__main__":
    main()
