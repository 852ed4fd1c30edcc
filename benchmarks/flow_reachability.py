"""Measures new flows without an answer, and the cost of hearing servers."""

import time
from dataclasses import dataclass

from benchmarks.flow_callers import ADDRESS
from benchmarks.flow_cluster import Cluster
from hornbeamdeal.kernel import Endpoint, FlowPacket, PacketReceived

SERVERS = 7
# Three servers in the hosts' zone and two in each other zone.
ZONES = "zzzyyxx"
SETTLED_SECONDS = 60.0
# More than a relay takes and less than the wait before the first repeat.
FIRST_SECONDS = 1.0
# A flow that needs longer than two repeats of its first packet counts as stuck.
STUCK_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class Case:
    """Servers that die while flows open at 7 hosts."""

    name: str
    dead: tuple[str, ...]
    flows_per_second: float


def measure_case(case, flows, seed):
    """Open flows evenly while servers are dead; return those without an answer.

    The flows of the first minute open while all servers live.
    """
    cluster = Cluster("tracked", "coap", [1.0] * SERVERS, seed, zones=ZONES)
    cluster.callers.open_flows(flows, SETTLED_SECONDS)
    cluster.run(SETTLED_SECONDS)
    cluster.dead_servers.update(case.dead)
    started_at = cluster.now
    seconds = flows / case.flows_per_second
    cluster.callers.open_flows(flows, seconds)
    cluster.run(seconds + SETTLED_SECONDS)
    opened, first = cluster.callers.unanswered(started_at, FIRST_SECONDS)
    _, stuck = cluster.callers.unanswered(started_at, STUCK_SECONDS)
    return {
        "case": case.name,
        "flows_per_second": case.flows_per_second,
        "opened": opened,
        "first_unanswered_per_1000": 1000 * first / opened,
        "stuck_per_1000": 1000 * stuck / opened,
    }


def measure_dead_servers(flows, seeds):
    """Return the worst of several seeds for each case."""
    cases = [
        Case("one killed", ("r3",), flows / 60),
        Case("one killed", ("r3",), flows / 6),
        Case("three killed", ("r1", "r3", "r5"), flows / 60),
        Case("zone cut off", ("r3", "r4", "r5", "r6"), flows / 60),
    ]
    rows = []
    for case in cases:
        runs = [measure_case(case, flows, seed) for seed in range(seeds)]
        rows.append(max(runs, key=lambda run: run["first_unanswered_per_1000"]))
        rows[-1]["stuck_per_1000"] = max(run["stuck_per_1000"] for run in runs)
    return rows


def measure_evidence_time(flows=10_000):
    """Return microseconds for an opening packet at its owner, and for an answer."""
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
        steering.hear_server("r1")
    heard_at = time.perf_counter()
    return {
        "opening_microseconds": (opened_at - start) / flows * 1e6,
        "datagram_microseconds": (heard_at - opened_at) / flows * 1e6,
    }
