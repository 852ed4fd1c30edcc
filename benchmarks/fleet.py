"""Measures the fleet components for regions of different numbers of hosts.

Run `python -m benchmarks.fleet`, with `--json` for machine-readable output and
`--sizes 7,36` for fewer hosts. Bytes and messages are those sent by a host,
without IP and UDP headers; it receives as many. CPU is the time of the whole
process per host, including the harness.
"""

import argparse
import json
import time
from collections import Counter

from benchmarks.fleet_baselines import (
    heartbeat_mesh_bytes_per_second,
    watch_everywhere_calls_per_second,
    whole_document_bytes,
)
from benchmarks.fleet_harness import Fleet, Link
from benchmarks.fleet_platform import change_segment, make_segments

SIZES = (7, 36, 111, 286)
SEGMENTS = 200
SEGMENT_BYTES = 5_250
IDLE_SECONDS = 30
LOSS_SECONDS = 60
KILL_COUNT = 9
HOST_LIST = b'{"revision": 1, "entry_hosts": {}}'
# Bounds of docs/design.md.
CONVERGENCE_BOUND_SECONDS = 3.0
DETECTION_BOUND_SECONDS = 5.0
BYTES_PER_SECOND_BOUND = 26_000
CORE_BOUND_PERCENT = 1.1
# 3,900 configuration changes a day.
CHANGE_INTERVAL_SECONDS = 86_400 / 3_900


def settled_fleet(size: int, random_state: int) -> Fleet:
    """Return a fleet in which every host has the document and knows all others."""
    fleet = Fleet(size, random_state=random_state)
    fleet.segments = make_segments(SEGMENTS, SEGMENT_BYTES)
    fleet.platform.put("hosts", HOST_LIST)
    fleet.platform.publish(1, fleet.segments)
    fleet.start_all()
    fleet.run(60, lambda: is_settled(fleet))
    fleet.run(IDLE_SECONDS)
    return fleet


def is_settled(fleet: Fleet) -> bool:
    """Return whether all hosts are ready and know all others."""
    size = len(fleet.live_hosts)
    ready = all(host.dissemination.ready_ for host in fleet.live_hosts)
    return ready and all(len(host.live_peers) == size for host in fleet.live_hosts)


def sum_counters(fleet: Fleet) -> Counter:
    """Return the sum of the counters of all live hosts."""
    return sum((host.counters for host in fleet.live_hosts), Counter())


def reset_counters(fleet: Fleet) -> None:
    """Reset the counters of all live hosts and of the platform."""
    fleet.platform.calls.clear()
    for host in fleet.live_hosts:
        host.counters.clear()


def measure_idle(fleet: Fleet) -> dict:
    """Return the rates of an idle fleet."""
    reset_counters(fleet)
    started = time.process_time()
    fleet.run(IDLE_SECONDS)
    seconds = time.process_time() - started
    host_seconds = len(fleet.live_hosts) * IDLE_SECONDS
    counters = sum_counters(fleet)
    return {
        "bytes_per_second": counters["sent_bytes"] / host_seconds,
        "messages_per_second": counters["sent_messages"] / host_seconds,
        "core_percent": 100 * seconds / host_seconds,
        "platform_calls_per_second": sum(fleet.platform.calls.values()) / IDLE_SECONDS,
    }


def measure_change(fleet: Fleet) -> dict:
    """Return time and bytes until one changed segment is in force everywhere."""
    reset_counters(fleet)
    started = fleet.now
    version = fleet.platform.publish(2, change_segment(fleet.segments, 9, b"changed"))
    reached = fleet.run(
        30, lambda: all(host.version == version for host in fleet.live_hosts)
    )
    delays = sorted(
        host.in_force_at[version] - started for host in fleet.live_hosts if reached
    )
    fleet.run(0.1)
    bytes_until_in_force = sum_counters(fleet)["sent_bytes"] / len(fleet.live_hosts)
    fleet.run(CHANGE_INTERVAL_SECONDS - (fleet.now - started))
    return {
        "change_median_s": delays[len(delays) // 2] if reached else None,
        "change_last_s": delays[-1] if reached else None,
        "change_bytes": bytes_until_in_force,
        "change_interval_bytes_per_second": sum_counters(fleet)["sent_bytes"]
        / len(fleet.live_hosts)
        / CHANGE_INTERVAL_SECONDS,
        "version_known_share": known_share(fleet, version),
        "change_platform_calls": sum(fleet.platform.calls.values()),
    }


def known_share(fleet: Fleet, version) -> float:
    """Return the share of member records that carry the version in force."""
    records = [m for h in fleet.live_hosts for m in h.membership.members_.values()]
    return sum(record.version == version for record in records) / len(records)


def measure_loss(fleet: Fleet, loss: float) -> dict:
    """Return suspicions and false deaths of a fleet that loses datagrams."""
    reset_counters(fleet)
    fleet.link = Link(loss=loss)
    fleet.run(LOSS_SECONDS)
    fleet.link = Link()
    counters = sum_counters(fleet)
    per_minute = 60 / LOSS_SECONDS
    name = f"{loss:.0%}"
    return {
        f"suspicions_per_minute_{name}": counters["membership_suspicions"] * per_minute,
        f"false_deaths_per_minute_{name}": counters["membership_deaths"] * per_minute,
    }


def measure_kills(fleet: Fleet) -> dict:
    """Return the times until all other hosts have dropped a killed host."""
    fleet.run(10)
    seconds = sorted(
        _detection_seconds(fleet) for _ in range(min(KILL_COUNT, fleet.size - 4))
    )
    return {
        "detected_median_s": seconds[len(seconds) // 2],
        "detected_worst_s": seconds[-1],
    }


def _detection_seconds(fleet: Fleet) -> float:
    victim = fleet.live_hosts[len(fleet.live_hosts) // 2]
    host_id = victim.record.host_id
    fleet.kill(victim)
    started = fleet.now
    fleet.run(60, lambda: all(host_id not in h.live_peers for h in fleet.live_hosts))
    return fleet.now - started


def measure_replacement(fleet: Fleet) -> dict:
    """Replace half of the hosts; return the time until all are ready and current."""
    segments = change_segment(fleet.segments, 7, b"replaced")
    started = fleet.now
    version = fleet.platform.publish(3, segments)
    for index in range(0, fleet.size, 2):
        fleet.start(index)
    reached = fleet.run(
        30,
        lambda: all(
            h.version == version and h.dissemination.ready_ for h in fleet.live_hosts
        ),
    )
    return {"half_replaced_s": fleet.now - started if reached else None}


def measure(size: int, random_state: int) -> dict:
    """Return all measurements for one region size."""
    fleet = settled_fleet(size, random_state)
    row = {"hosts": size, **measure_idle(fleet), **measure_change(fleet)}
    row |= measure_loss(fleet, 0.01) | measure_loss(fleet, 0.10)
    row |= measure_kills(fleet) | measure_replacement(fleet)
    row["reverted"] = len(fleet.version_regressions)
    row["baselines"] = {
        "heartbeat_mesh_bytes_per_second": heartbeat_mesh_bytes_per_second(size),
        "watch_everywhere_calls_per_second": watch_everywhere_calls_per_second(size),
        "whole_document_bytes": whole_document_bytes(fleet.segments),
    }
    return row


def missed_bounds(row: dict) -> list[str]:
    """Return the names of the bounds that a row misses."""
    bounds = {
        "change_last_s": CONVERGENCE_BOUND_SECONDS,
        "half_replaced_s": CONVERGENCE_BOUND_SECONDS,
        "detected_worst_s": DETECTION_BOUND_SECONDS,
        "change_interval_bytes_per_second": BYTES_PER_SECOND_BOUND,
        "core_percent": CORE_BOUND_PERCENT,
        "false_deaths_per_minute_1%": 0,
        "false_deaths_per_minute_10%": 0,
        "reverted": 0,
    }
    return [n for n, bound in bounds.items() if row[n] is None or row[n] > bound]


def print_table(rows: list[dict]) -> None:
    """Print one line per measurement and one column per region size."""
    figures = [name for name in rows[0] if name not in ("baselines", "misses")]
    for name in figures:
        print(f"{name:34}" + "".join(_format_cell(row[name]) for row in rows))
    for name in rows[0]["baselines"]:
        values = "".join(_format_cell(row["baselines"][name]) for row in rows)
        print(f"{'baseline ' + name:48}"[:48] + values)
    for row in rows:
        missed = ", ".join(row["misses"]) or "none"
        print(f"missed bounds with {row['hosts']} hosts: {missed}")


def _format_cell(value) -> str:
    return f"{'never' if value is None else f'{value:.3f}'.rstrip('0').rstrip('.'):>14}"


def main() -> None:
    """Measure all sizes."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)))
    parser.add_argument("--random-state", type=int, default=1)
    options = parser.parse_args()
    rows = [measure(int(s), options.random_state) for s in options.sizes.split(",")]
    for row in rows:
        row["misses"] = missed_bounds(row)
    print(json.dumps(rows, indent=1)) if options.json else print_table(rows)


if __name__ == "__main__":
    main()
