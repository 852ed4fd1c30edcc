"""Measures how a region detects the loss of a rack or a zone.

Run `python -m benchmarks.fleet_losses`, with `--sizes 36` for fewer hosts. A
pair is a live host and a dead one; it is detected once the live host has dropped
the dead one. Bytes are those sent by a host.
"""

import argparse
import json

from benchmarks.fleet_harness import Fleet, Link

SIZES = (7, 36, 111, 286)
RACK_HOSTS = 40
SETTLE_SECONDS = 30
TIMEOUT_SECONDS = 300
STEP_SECONDS = 0.25
# Averaging period of rates. A single table of 286 records is 28 KB, which would
# dominate the rate of a shorter period.
RATE_SECONDS = 5
MOST_SHARE = 0.95
HOST_LIST = b'{"revision": 1, "entry_hosts": {}}'
PARTITION_SECONDS = 60
HEAL_SECONDS = 20


def select_rack(fleet: Fleet) -> list:
    """Return consecutive hosts: a seventh of the region, at most 40."""
    return fleet.live_hosts[3 : 3 + max(1, min(RACK_HOSTS, fleet.size // 7))]


def select_zone(fleet: Fleet) -> list:
    """Return the live hosts of one zone."""
    return [host for host in fleet.live_hosts if host.record.zone == "zone-1"]


def settled_fleet(size: int, random_state: int) -> Fleet:
    """Return a fleet in which all hosts know each other."""
    fleet = Fleet(size, random_state=random_state)
    fleet.platform.put("hosts", HOST_LIST)
    fleet.start_all()
    fleet.run(60, lambda: all(len(h.live_peers) == size for h in fleet.live_hosts))
    fleet.run(SETTLE_SECONDS)
    return fleet


def measure_loss(fleet: Fleet, victims: list, loss: float = 0.0) -> dict:
    """Kill hosts at the same time; return detection times and message rates."""
    fleet.link = Link(loss=loss)
    for victim in victims:
        fleet.kill(victim)
    dead = {victim.record.host_id for victim in victims}
    started = fleet.now
    pairs = len(dead) * len(fleet.live_hosts)
    most_seconds = last_seconds = None
    missing_pairs = 0
    peak_rates = {}
    rate_started = fleet.now
    before = _sent_counters(fleet)
    while last_seconds is None and fleet.now - started < TIMEOUT_SECONDS:
        fleet.run(STEP_SECONDS)
        if fleet.now - rate_started >= RATE_SECONDS:
            _update_peak_rates(peak_rates, before, fleet)
            rate_started, before = fleet.now, _sent_counters(fleet)
        undetected_pairs = sum(len(dead & h.live_peers) for h in fleet.live_hosts)
        if most_seconds is None and undetected_pairs <= (1 - MOST_SHARE) * pairs:
            most_seconds = fleet.now - started
        if not undetected_pairs:
            last_seconds = fleet.now - started
        missing_pairs = max(missing_pairs, _count_missing_pairs(fleet))
    fleet.run(RATE_SECONDS - (fleet.now - rate_started))
    _update_peak_rates(peak_rates, before, fleet)
    return {
        "most_s": most_seconds,
        "last_s": last_seconds,
        "worst_host_bytes_per_second": peak_rates["worst"],
        "mean_host_bytes_per_second": peak_rates["mean"],
        "mean_messages_per_second": peak_rates["messages"],
        "live_hosts_missed": missing_pairs,
    }


def measure_healing(fleet: Fleet) -> dict:
    """Partition a zone for a minute; return the time and cost of recovery."""
    fleet.link = Link(
        is_partitioned=lambda a, b: (a.zone == "zone-1") != (b.zone == "zone-1")
    )
    fleet.run(PARTITION_SECONDS)
    fleet.link = Link()
    started = fleet.now
    last_seconds = None
    peak_rates = {}
    total = _sent_counters(fleet)
    while fleet.now - started < HEAL_SECONDS or last_seconds is None:
        before = _sent_counters(fleet)
        for _ in range(round(RATE_SECONDS / STEP_SECONDS)):
            fleet.run(STEP_SECONDS)
            if last_seconds is None and not _count_missing_pairs(fleet):
                last_seconds = fleet.now - started
        _update_peak_rates(peak_rates, before, fleet)
    sent_bytes = sum(_sent_counters(fleet)[h][1] - total[h][1] for h in total)
    return {
        "healed_s": last_seconds,
        "worst_host_bytes_per_second": peak_rates["worst"],
        "mean_host_bytes_per_second": peak_rates["mean"],
        "mean_messages_per_second": peak_rates["messages"],
        "bytes_a_host": sent_bytes / len(total),
    }


def _count_missing_pairs(fleet: Fleet) -> int:
    """Return how many ordered pairs of live hosts are missing.

    A pair is missing if its first host does not regard the second as usable.
    """
    live = {host.record.host_id for host in fleet.live_hosts}
    return sum(len(live - host.live_peers) for host in fleet.live_hosts)


def _sent_counters(fleet: Fleet) -> dict:
    names = ("sent_messages", "sent_bytes")
    return {h.record.host_id: [h.counters[n] for n in names] for h in fleet.live_hosts}


def _update_peak_rates(peak_rates: dict, before: dict, fleet: Fleet) -> None:
    """Update the peak rates from the counters since `before`."""
    after = _sent_counters(fleet)
    messages = [(after[i][0] - before[i][0]) / RATE_SECONDS for i in after]
    sent_bytes = [(after[i][1] - before[i][1]) / RATE_SECONDS for i in after]
    rates = {
        "worst": max(sent_bytes),
        "mean": sum(sent_bytes) / len(sent_bytes),
        "messages": sum(messages) / len(messages),
    }
    for name, rate in rates.items():
        peak_rates[name] = max(peak_rates.get(name, 0), rate)


def measure(size: int, random_state: int, scenarios: str) -> dict:
    """Return the results of the given scenarios for one region size."""
    row = {"hosts": size, "random_state": random_state}
    for name in scenarios.split(","):
        fleet = settled_fleet(size, random_state)
        if name == "heal":
            row[name] = measure_healing(fleet)
            continue
        kind, _, percent = name.partition("-")
        victims = select_rack(fleet) if kind == "rack" else select_zone(fleet)
        row[name] = measure_loss(fleet, victims, int(percent or 0) / 100)
    return row


def main() -> None:
    """Measure all sizes; `rack-10` is the loss of a rack with 10% datagram loss."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)))
    parser.add_argument("--random-state", type=int, default=1)
    parser.add_argument("--losses", default="rack,zone,rack-10,heal")
    options = parser.parse_args()
    for size in options.sizes.split(","):
        row = measure(int(size), options.random_state, options.losses)
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
