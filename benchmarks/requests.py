"""Measures cost and duplicate protection of the request dispatcher.

`python -m benchmarks.requests` prints a table, with `--json` one JSON object.
"""

import argparse
import gc
import json
import time
import tracemalloc

from hornbeamdeal.kernel import Request, RequestReceived, ServerAnswerReceived
from hornbeamdeal.requests._fake_fleet import HostFleet

from ._redelivery import ANSWER, LARGE_LIMITS, Redelivery, make_request

TIMED_REQUESTS = 20_000
MEASURED_RECORDS = 20_000


class Host:
    """One dispatcher whose actions are not recorded, to measure time and memory."""

    def __init__(self):
        fleet = HostFleet({"a": 1}, plugin="run_token", limits=LARGE_LIMITS)
        self.dispatcher = fleet.dispatchers_by_id["a"]

    def handle_request(self, request: Request, now: float) -> list:
        """Handle a request in the dispatcher."""
        return self.dispatcher.handle(RequestReceived(request), now)

    def answer_dispatch(self, dispatch, now: float) -> list:
        """Handle the server's answer to a dispatch."""
        event = ServerAnswerReceived(
            dispatch.server.server_id, dispatch.exchange_id, ANSWER
        )
        return self.dispatcher.handle(event, now)

    def issue_token(self, number: int, now: float) -> bytes:
        """Let the dispatcher issue a run token; return it."""
        reply = self.handle_request(make_request(number, "POST", "/bookings"), now)[0]
        return reply.answer.run_token


def measure_times() -> dict[str, float]:
    """Return microseconds per request and per tick."""
    host = Host()
    get_requests = [make_request(n, "GET", "/map") for n in range(TIMED_REQUESTS)]
    started = time.perf_counter()
    for number, request in enumerate(get_requests):
        host.answer_dispatch(
            host.handle_request(request, number / 5000)[1], number / 5000
        )
    idempotent = time.perf_counter() - started
    started = time.perf_counter()
    for number in range(TIMED_REQUESTS):
        now = 10 + number / 5000
        token = host.issue_token(number, now)
        request = make_request(number, "POST", "/bookings", token)
        host.answer_dispatch(host.handle_request(request, now)[1], now)
    issue_and_run = time.perf_counter() - started
    scale = 1e6 / TIMED_REQUESTS
    return {
        "idempotent_us": idempotent * scale,
        "issue_and_run_us": issue_and_run * scale,
        "tick_with_full_tables_us": measure_tick(),
    }


def measure_tick() -> float:
    """Return microseconds per tick with MEASURED_RECORDS requests in flight."""
    host = Host()
    for number in range(MEASURED_RECORDS):
        host.handle_request(make_request(number, "GET", "/photos"), 0.0)
    started = time.perf_counter()
    for step in range(100):
        host.dispatcher.tick(step / 1000)
    return (time.perf_counter() - started) * 1e6 / 100


def measure_memory() -> dict[str, float]:
    """Return bytes per request in flight and per kept token."""
    host = Host()
    tokens = [host.issue_token(n, 0.0) for n in range(MEASURED_RECORDS)]
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    dispatches = []
    for number, token in enumerate(tokens):
        request = make_request(number, "POST", "/bookings", token)
        dispatches.append(host.handle_request(request, 0.0)[1])
    in_flight_bytes = tracemalloc.get_traced_memory()[0] - before
    for dispatch in dispatches:
        host.answer_dispatch(dispatch, 0.1)
    dispatches.clear()
    host.dispatcher.admission.started.clear()
    del dispatch, request
    host.dispatcher.tick(10.0)
    gc.collect()
    kept_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {
        "bytes_per_request_in_flight": in_flight_bytes / MEASURED_RECORDS,
        "bytes_per_kept_token": kept_bytes / MEASURED_RECORDS,
    }


def measure() -> dict[str, dict[str, float]]:
    """Run all measurements."""
    return {
        "time": measure_times(),
        "memory": measure_memory(),
        "per_1000_run_token": Redelivery("run_token", 1).run(),
        "per_1000_own_memory": Redelivery("own_memory", 1).run(),
    }


def main() -> None:
    """Run the benchmark from the command line."""
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
