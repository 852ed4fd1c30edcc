"""Measures new flows without an answer after the death of a server."""

from benchmarks.flow_cluster import Cluster

SERVERS = 7
KILLED = "r1"
SETTLED_SECONDS = 60.0
# More than a relay takes and less than the wait before the first repeat.
FIRST_SECONDS = 1.0
# A flow that needs longer than one repeat of its first packet counts as stuck.
STUCK_SECONDS = 10.0


def measure_killed_server(flows, seconds, seed, killed=1, hosts=7):
    """Open flows evenly while servers are dead; return those without an answer.

    The flows of the first minute open while all servers live.
    """
    cluster = Cluster("tracked", "coap", [1.0] * SERVERS, seed, hosts=hosts)
    cluster.callers.open_flows(flows, SETTLED_SECONDS)
    cluster.run(SETTLED_SECONDS)
    for number in range(killed):
        cluster.kill_server(f"r{1 + number}")
    started_at = cluster.now
    cluster.callers.open_flows(flows, seconds)
    cluster.run(seconds + SETTLED_SECONDS)
    opened, first = cluster.callers.unanswered(started_at, FIRST_SECONDS)
    _, stuck = cluster.callers.unanswered(started_at, STUCK_SECONDS)
    return {
        "killed": killed,
        "seed": seed,
        "opened": opened,
        "opened_per_second": flows / seconds,
        "first_packet_lost_per_1000": 1000 * first / opened,
        "stuck_per_1000": 1000 * stuck / opened,
    }


def measure_killed_servers(flows, seeds):
    """Return the figures for several rates of new flows and seeds."""
    cases = [(flows, 60.0, 1), (flows, 6.0, 1), (flows, 60.0, 3)]
    return [
        measure_killed_server(number, seconds, seed, killed)
        for number, seconds, killed in cases
        for seed in range(seeds)
    ]
