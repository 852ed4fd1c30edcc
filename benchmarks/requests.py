"""Cost and safety of the request dispatcher.

`python -m benchmarks.requests` prints a table, with `--json` one JSON object.
"""

import argparse
import gc
import json
import time
import tracemalloc

from hornbeamdeal.kernel import Request, RequestReceived, ServerAnswered
from hornbeamdeal.requests._fake_fleet import HostFleet

from ._redelivery import ANSWER, ROOMY, Redelivery, make_message

TIMED_REQUESTS = 20_000
MEASURED_RECORDS = 20_000


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
