"""Measures broken flows, balance, memory, control traffic and time per packet.

Run with `python -m benchmarks.flows [--json] [--flows N] [--seeds N]`.
"""

import argparse
import json
import sys
import time
import tracemalloc
from collections import Counter
from statistics import median

from benchmarks.flow_callers import ADDRESS
from benchmarks.flow_cluster import SERVICE, Cluster, make_servers
from benchmarks.flow_reachability import measure_answer_tracking, measure_dead_servers
from hornbeamdeal.kernel import Endpoint, FlowPacket, PacketReceived
from hornbeamdeal.steering import FlowTable, ServerSet

HOSTS = 7
FLOWS_PER_SERVER = 200
EVEN_WEIGHTS, UNEVEN_WEIGHTS = [1.0] * 7, [1.0, 1.0, 1.0, 2.0, 2.0, 0.5, 0.5]
SETTLE_SECONDS = 60.0
BALANCE_BOUND = 1.10
VARIANTS = [("tracked", "coap"), ("tracked", "opaque")]
VARIANTS += [
    (name, "opaque")
    for name in ("rendezvous", "modulo", "random", "round_robin", "least_loaded")
]


def stop_host(cluster):
    """Stop a host gracefully."""
    cluster.stop("h1")


def drain_server(cluster):
    """Drain a server."""
    cluster.publish(r1=None)


def both_at_once(cluster):
    """Stop a host and drain a server at the same time."""
    cluster.publish(r1=None)
    cluster.stop("h1")


def both_twice(cluster):
    """Stop a host and drain a server, and again 4 s later."""
    both_at_once(cluster)
    cluster.run(4)
    cluster.publish(r2=None)
    cluster.stop("h2")


def drain_after_stop(cluster):
    """Stop a host and drain a server 1 s after that host is gone."""
    cluster.stop("h1", linger=3.0)
    cluster.run(4)
    cluster.publish(r1=None)


def change_weights(cluster):
    """Change weights three times, one of them to 0."""
    for changes in ({"r0": 3.0}, {"r1": 0.0, "r2": 0.5}, {"r0": 1.0, "r1": 1.0}):
        cluster.publish(**changes)
        cluster.run(8)


def add_server(cluster):
    """Add a server."""
    cluster.publish(r7=1.0)


def replace_all(cluster):
    """Drain a server, then replace all hosts one by one, every 8 s."""
    cluster.publish(r1=None)
    cluster.run(10)
    for number in range(HOSTS):
        cluster.start(HOSTS + number)
        cluster.stop(f"h{number}")
        cluster.run(8)


def kill_host(cluster):
    """Drain a server, then kill a host."""
    cluster.publish(r1=None)
    cluster.run(20)
    cluster.kill("h1")


def pause_host(cluster):
    """Pause a host for 30 s and drain a server meanwhile."""
    cluster.pause("h1", 30.0)
    cluster.run(8)
    cluster.publish(r1=None)
    cluster.run(22)


SCENARIOS = [stop_host, drain_server, both_at_once, both_twice]
SCENARIOS += [drain_after_stop, change_weights, add_server]
SCENARIOS += [replace_all, kill_host, pause_host]


def run_scenario(variant, scenario, seed, flows):
    """Run one scenario with established flows while new ones open."""
    cluster = Cluster(*variant, EVEN_WEIGHTS, seed, hosts=HOSTS)
    cluster.callers.open_flows(flows, 20.0)
    cluster.run(SETTLE_SECONDS)
    cluster.callers.open_flows(flows // 5, 60.0)
    callers = cluster.callers
    start, packets, relays = cluster.now, callers.packets, cluster.relays
    scenario(cluster)
    cluster.run(SETTLE_SECONDS)
    seconds = cluster.now - start
    bytes_by_second = {
        s: b for s, b in cluster.control_bytes.items() if s >= int(start)
    }
    return {
        "broken_per_1000": 1000 * callers.count_broken() / len(callers.flows),
        "duplicate_openings": callers.duplicate_openings,
        "late_new_flows": callers.late_new_flows,
        "lost_packets": callers.lost_packets,
        "relayed_share": (cluster.relays - relays) / (callers.packets - packets),
        "mean_bytes_per_host_second": sum(bytes_by_second.values()) / seconds / HOSTS,
        "peak_bytes_per_host_second": max(bytes_by_second.values(), default=0) / HOSTS,
    }


def measure_scenarios(flows, seeds):
    """Return the worst result over several seeds for each variant and scenario."""
    rows = []
    for variant in VARIANTS:
        for scenario in SCENARIOS:
            runs = [run_scenario(variant, scenario, s, flows) for s in range(seeds)]
            row = {name: max(run[name] for run in runs) for name in runs[0]}
            values = [run["broken_per_1000"] for run in runs]
            row["median_broken_per_1000"] = median(values)
            name = {"variant": "/".join(variant), "scenario": scenario.__name__}
            rows.append({**name, **row, "meets_target": max(values) == 0})
    return rows


def measure_balance(weights, seeds):
    """Return median and range of the maximum-to-mean ratio of load per weight."""
    rows = []
    for variant in VARIANTS:
        ratios = []
        for seed in range(seeds):
            cluster = Cluster(*variant, weights, seed, hosts=HOSTS)
            cluster.callers.open_flows(FLOWS_PER_SERVER * len(weights), 9.0)
            cluster.run(10.0)
            loads = Counter(flow.server_id for flow in cluster.callers.flows)
            servers = cluster.documents[-1][1].values()
            mean = len(cluster.callers.flows) / sum(weights)
            ratios.append(max(loads[s.server_id] / s.weight for s in servers) / mean)
        rows.append(
            {
                "variant": "/".join(variant),
                "weights": "even" if weights is EVEN_WEIGHTS else "uneven",
                "median": median(ratios),
                "least": min(ratios),
                "greatest": max(ratios),
                "meets_target": max(ratios) <= BALANCE_BOUND,
            }
        )
    return rows


def measure_memory(flows, slots=1 << 18):
    """Return bytes per flow of the flow table and of a dict with the same data."""
    tracemalloc.start()
    table = FlowTable(slots)
    for number in range(flows):
        table.put(hash((number, 1)) & (1 << 64) - 1 or 1, number % 7 + 1, 0.0)
    table_bytes, _ = tracemalloc.get_traced_memory()
    stored_flows = table.used
    tracemalloc.stop()
    tracemalloc.start()
    flows_by_key = {hash((n, 1)): (n % 7, float(n)) for n in range(flows)}
    dict_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "table_bytes": table_bytes,
        "flows_kept": stored_flows,
        "table_bytes_per_flow": table_bytes / stored_flows,
        "dict_bytes_per_flow": dict_bytes / len(flows_by_key),
    }


def measure_packet_time(variant, flows=10_000):
    """Return microseconds per packet for first and later packets of flows."""
    cluster = Cluster(*variant, EVEN_WEIGHTS, 0, hosts=HOSTS)
    steering = cluster.hosts["h0"].steering
    opens_flow = None if variant[1] == "opaque" else False
    server = cluster.documents[-1][1]["r0"]
    events = []
    for number in range(flows):
        token = number.to_bytes(4, "big")
        handle = None if opens_flow is None else steering.make_handle(server, token)
        caller = Endpoint("10.9.0.1", number)
        packet = FlowPacket(caller, ADDRESS, b"", opens_flow, token, handle)
        events.append(PacketReceived(packet))
    times = []
    for _ in range(4):
        start = time.perf_counter()
        for event in events:
            steering.handle(event, cluster.now)
        times.append((time.perf_counter() - start) / flows * 1e6)
    return {"variant": "/".join(variant), "first": times[0], "later": min(times[1:])}


def measure_choice_time(targets, choices=2000):
    """Return microseconds per rendezvous choice without a cache."""
    server_set = ServerSet(make_servers([1.0] * targets).values())
    start = time.perf_counter()
    for number in range(choices):
        server_set.choose(number << 40)
    microseconds = (time.perf_counter() - start) / choices * 1e6
    return {"targets": targets, "microseconds": microseconds}


def print_table(title, rows):
    """Print rows with the same keys as a table."""
    print(f"\n{title}")
    print("  ".join(f"{name:>14.26}" for name in rows[0]))
    for row in rows:
        cells = [f"{v:.3f}" if isinstance(v, float) else str(v) for v in row.values()]
        widths = [max(14, min(26, len(name))) for name in row]
        print("  ".join(f"{c:>{w}}" for c, w in zip(cells, widths, strict=True)))


def main():
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", action="store_true")
    parser.add_argument(
        "--flows", type=int, default=FLOWS_PER_SERVER * len(EVEN_WEIGHTS)
    )
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args()
    results = {
        "service": SERVICE,
        "flows": arguments.flows,
        "seeds": arguments.seeds,
        "scenarios": measure_scenarios(arguments.flows, arguments.seeds),
        "dead_servers": measure_dead_servers(arguments.flows, arguments.seeds),
        "evidence": [measure_answer_tracking() for _ in range(3)],
        "balance": measure_balance(EVEN_WEIGHTS, 10)
        + measure_balance(UNEVEN_WEIGHTS, 10),
        "memory": [measure_memory(flows) for flows in (130_000, 200_000)],
        "microseconds": [measure_packet_time(variant) for variant in VARIANTS],
        "choice": [measure_choice_time(targets) for targets in (3, 8, 833)],
    }
    if arguments.json:
        json.dump(results, sys.stdout, indent=1)
        return
    for name, rows in results.items():
        if isinstance(rows, list):
            print_table(name, rows)


if __name__ == "__main__":
    main()
