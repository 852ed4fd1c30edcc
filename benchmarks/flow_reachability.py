"""Measures unanswered new flows, and the cost of tracking server answers."""

import time
from dataclasses import dataclass

from benchmarks.flow_callers import ADDRESS
from benchmarks.flow_cluster import Cluster
from hornbeamdeal.kernel import Endpoint, FlowPacket, PacketReceived

SERVERS = 7
# Three servers in the hosts' zone and two in each other zone.
ZONES = "zzzyyxx"
SETTLE_SECONDS = 60.0
# Longer than a relay takes, shorter than the wait before a retransmission.
FIRST_ANSWER_SECONDS = 1.0
# Flows that need more than two retransmissions of the first packet are stuck.
STUCK_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class FailureCase:
    """Servers that die while flows open at 7 hosts."""

    name: str
    dead: tuple[str, ...]
    flows_per_second: float


def measure_case(case, flows, seed):
    """Open flows at a steady rate while servers are dead; count unanswered ones.

    The flows of the first minute open while all servers are alive.
    """
    cluster = Cluster("tracked", "coap", [1.0] * SERVERS, seed, zones=ZONES)
    cluster.callers.open_flows(flows, SETTLE_SECONDS)
    cluster.run(SETTLE_SECONDS)
    cluster.dead_servers.update(case.dead)
    started_at = cluster.now
    seconds = flows / case.flows_per_second
    cluster.callers.open_flows(flows, seconds)
    cluster.run(seconds + SETTLE_SECONDS)
    opened, first = cluster.callers.count_unanswered(started_at, FIRST_ANSWER_SECONDS)
    _, stuck = cluster.callers.count_unanswered(started_at, STUCK_SECONDS)
    return {
        "case": case.name,
        "flows_per_second": case.flows_per_second,
        "opened": opened,
        "first_unanswered_per_1000": 1000 * first / opened,
        "stuck_per_1000": 1000 * stuck / opened,
    }


def measure_dead_servers(flows, seeds):
    """Return the worst result over several seeds for each case."""
    cases = [
        FailureCase("one killed", ("r3",), flows / 60),
        FailureCase("one killed", ("r3",), flows / 6),
        FailureCase("three killed", ("r1", "r3", "r5"), flows / 60),
        FailureCase("zone cut off", ("r3", "r4", "r5", "r6"), flows / 60),
    ]
    rows = []
    for case in cases:
        runs = [measure_case(case, flows, seed) for seed in range(seeds)]
        rows.append(max(runs, key=lambda run: run["first_unanswered_per_1000"]))
        rows[-1]["stuck_per_1000"] = max(run["stuck_per_1000"] for run in runs)
    return rows


def measure_answer_tracking(flows=10_000):
    """Return microseconds per opening packet at its owner host, and per answer."""
    cluster = Cluster("tracked", "coap", [1.0] * SERVERS, 0)
    steering = cluster.hosts["h0"].steering
    events = []
    for number in range(flows):
        caller, token = Endpoint("10.9.0.1", number), number.to_bytes(4, "big")
        packet = FlowPacket(caller, ADDRESS, b"", True, token, None, hops=1)
        events.append(PacketReceived(packet))
    start = time.perf_counter()
    for event in events:
        steering.handle(event, cluster.now)
    opened_at = time.perf_counter()
    for _ in events:
        steering.record_server_datagram("r1")
    answered_at = time.perf_counter()
    return {
        "opening_microseconds": (opened_at - start) / flows * 1e6,
        "datagram_microseconds": (answered_at - opened_at) / flows * 1e6,
    }
