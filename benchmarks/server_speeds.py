"""Measures what server speeds cost a host: bytes and processor time.

Run `python -m benchmarks.server_speeds`. One host is measured, with as many answers in a
second as are given; its peers send full reports on random servers. A third of the servers
is slow and a third is fast. Bytes include IP and UDP headers.
"""

import argparse
import json
import random
import time
import tracemalloc

from hornbeamdeal.dsr import (
    Catalog,
    OutstandingRequests,
    Route,
    Server,
    ServerSpeeds,
    SpeedExchange,
    Update,
    make_placement,
)
from hornbeamdeal.wire import PeerCodec, peer_types

REPORT_PEERS = 8
REPORTED_SERVERS = 16
HEADER_BYTES = 28
SLOWNESS = (1.67, 1.0, 0.6)
SECONDS = 30
WAY_SECONDS = 0.0075
ROUTE = Route(address_key=b"route", name="route", weights_by_service={"service": 1.0})
CODEC = PeerCodec(
    host_id="aqp-cercado-0001",
    incarnation=1_764_806_400_000,
    keys_by_id={1: b"key of sixteen bytes"},
    sending_key_id=1,
)


def make_server(index: int) -> Server:
    """Return a server of this host's zone."""
    return Server(
        server_id=f"i-{index:010x}",
        number=index.to_bytes(8, "big"),
        service="service",
        address=("10.0.0.1", 8000),
        zone="z1",
        slots=2,
        is_draining=False,
    )


class SilentJournal:
    """Discards events and counts."""

    def event(self, name, **fields):
        """Discard an event."""

    def count(self, name, reason="", amount=1):
        """Discard a count."""


class Stopwatch:
    """Sums processor time by name."""

    def __init__(self):
        self.seconds: dict[str, float] = {}

    def run(self, name, function, *arguments):
        """Call a function and add its processor time."""
        started = time.process_time()
        result = function(*arguments)
        spent = time.process_time() - started
        self.seconds[name] = self.seconds.get(name, 0.0) + spent
        return result


def make_peer_report(
    servers: list[Server], generator: random.Random
) -> peer_types.ServerSpeeds:
    """Return a report on one sample each of random slow and fast servers."""
    outside = [i for i in range(len(servers)) if SLOWNESS[i % len(SLOWNESS)] != 1.0]
    chosen = generator.sample(outside, min(REPORTED_SERVERS, len(outside)))
    return peer_types.ServerSpeeds(
        [
            peer_types.ServerSpeed(servers[i].server_id, 1, SLOWNESS[i % len(SLOWNESS)])
            for i in chosen
        ]
    )


def measure(hosts: int, servers: int, answers_per_second: int, alike: bool) -> dict:
    """Return the costs of one host per second."""
    generator, watch = random.Random(1), Stopwatch()
    listed = [make_server(i) for i in range(servers)]
    catalog, journal = Catalog(), SilentJournal()
    catalog.apply(Update(base_revision=None, revision=1, servers=listed), 0.0)
    speeds = ServerSpeeds(journal=journal)
    exchange = SpeedExchange(server_speeds=speeds, catalog=catalog, journal=journal)
    placement = make_placement(
        "expected_wait",
        outstanding=OutstandingRequests(),
        server_speeds=speeds,
        zone="z1",
        random_state=1,
    )
    receivers = min(REPORT_PEERS, hosts - 1)
    sent_bytes = received_bytes = 0
    for second in range(SECONDS):
        for index in range(answers_per_second):
            now = second + index / answers_per_second
            server = watch.run("placement", placement.choose, listed, now)
            placement.record_placement(server, now)
            number = listed.index(server)
            slowness = 1.0 if alike else SLOWNESS[number % len(SLOWNESS)]
            seconds = slowness * generator.uniform(0.019, 0.040)
            record = speeds.record_answer
            watch.run("answers", speeds.record_handshake, ROUTE, WAY_SECONDS, now)
            answer_seconds = seconds + WAY_SECONDS
            watch.run("answers", record, ROUTE, server, answer_seconds, now)
        watch.run("estimates", speeds.slowness_by_id, second + 1.0)
        watch.run("estimates", speeds.slowness_by_id, second + 1.5)
        message = watch.run("reports", exchange.make_report, second + 1.0)
        if message is not None:
            data = watch.run("reports", CODEC.encode, message)
            sent_bytes += receivers * (len(data) + HEADER_BYTES)
        for _ in range(0 if alike else receivers):
            data = CODEC.encode(make_peer_report(listed, generator))
            received_bytes += len(data) + HEADER_BYTES
            received = watch.run("reports", CODEC.decode, data).ok_value.message
            watch.run("reports", exchange.apply, received, second + 1.0)
    core = {
        f"{n}_core_%": round(100 * s / SECONDS, 3) for n, s in watch.seconds.items()
    }
    return {
        "hosts": hosts,
        "servers": servers,
        "answers_per_s": answers_per_second,
        "alike": alike,
        "judged": len(speeds.slowness_by_id(SECONDS + 1.0)),
        "sent_bytes_per_s": round(sent_bytes / SECONDS),
        "received_bytes_per_s": round(received_bytes / SECONDS),
        **core,
    }


def measure_memory(servers: int) -> int:
    """Return the bytes that estimates of so many servers take."""
    speeds = ServerSpeeds(journal=SilentJournal())
    listed = [make_server(i) for i in range(servers)]
    tracemalloc.start()
    for server in listed:
        speeds.record_peer_samples(server, 4, 2.0, 0.0)
    speeds.slowness_by_id(0.5)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used


def main() -> None:
    """Print the costs for the zones' sizes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--answers", type=int, nargs="*", default=[12, 90, 270])
    arguments = parser.parse_args()
    for hosts in (20, 111):
        for servers in (15, 833):
            for answers in arguments.answers:
                print(json.dumps(measure(hosts, servers, answers, alike=False)))
    print(json.dumps(measure(111, 833, 90, alike=True)))
    print(json.dumps({"memory_bytes_15000_servers": measure_memory(15_000)}))


if __name__ == "__main__":
    main()
