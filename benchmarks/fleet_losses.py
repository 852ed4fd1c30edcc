"""Measures how a region notices the loss of a rack or a zone.

Run `python -m benchmarks.fleet_losses`, with `--sizes 36` for fewer hosts. A
pair is a live host and a dead one; it counts once the live host has dropped
the dead one. Bytes are those that a host sends.
"""

import argparse
import json

from benchmarks.fleet_harness import Fleet, Link

SIZES = (7, 36, 111, 286)
RACK_HOSTS = 40
SETTLE_SECONDS = 30
LONGEST_SECONDS = 300
STEP_SECONDS = 0.25
# Rates are means over this time; a single table of 286 records is 28 KB.
RATE_SECONDS = 5
MOST_SHARE = 0.95
HOST_LIST = b'{"entry_hosts": {}}'
PARTITION_SECONDS = 60
HEAL_SECONDS = 20


def rack_of(fleet: Fleet) -> list:
    """Return neighbouring hosts: a seventh of the region, at most 40."""
    return fleet.live[3 : 3 + max(1, min(RACK_HOSTS, fleet.size // 7))]


def zone_of(fleet: Fleet) -> list:
    """Return the hosts of one zone."""
    return [host for host in fleet.live if host.record.zone == "zone-1"]


def settled(size: int, random_state: int) -> Fleet:
    """Return a fleet in which all know each other."""
    fleet = Fleet(size, random_state=random_state)
    fleet.platform.put("hosts", HOST_LIST)
    fleet.start_all()
    fleet.run(60, lambda: all(len(h.live_peers) == size for h in fleet.live))
    fleet.run(SETTLE_SECONDS)
    return fleet


def measure_loss(fleet: Fleet, victims: list, loss: float = 0.0) -> dict:
    """Kill hosts at once; return when they were dropped, and what it cost."""
    fleet.link = Link(loss=loss)
    for victim in victims:
        fleet.kill(victim)
    dead = {victim.record.host_id for victim in victims}
    started = fleet.now
    pairs = len(dead) * len(fleet.live)
    most = last = None
    false_deaths = 0
    busiest = {}
    rate_started = fleet.now
    before = _sent(fleet)
    while last is None and fleet.now - started < LONGEST_SECONDS:
        fleet.run(STEP_SECONDS)
        if fleet.now - rate_started >= RATE_SECONDS:
            _keep_busiest(busiest, before, fleet)
            rate_started, before = fleet.now, _sent(fleet)
        open_pairs = sum(len(dead & h.live_peers) for h in fleet.live)
        if most is None and open_pairs <= (1 - MOST_SHARE) * pairs:
            most = fleet.now - started
        if not open_pairs:
            last = fleet.now - started
        false_deaths = max(false_deaths, _missing(fleet))
    fleet.run(RATE_SECONDS - (fleet.now - rate_started))
    _keep_busiest(busiest, before, fleet)
    return {
        "most_s": most,
        "last_s": last,
        "worst_host_bytes_per_second": busiest["worst"],
        "mean_host_bytes_per_second": busiest["mean"],
        "mean_messages_per_second": busiest["messages"],
        "live_hosts_missed": false_deaths,
    }


def measure_healing(fleet: Fleet) -> dict:
    """Cut a zone off for a minute; return the cost of the healing."""
    fleet.link = Link(is_cut=lambda a, b: (a.zone == "zone-1") != (b.zone == "zone-1"))
    fleet.run(PARTITION_SECONDS)
    fleet.link = Link()
    started = fleet.now
    last = None
    busiest = {}
    total = _sent(fleet)
    while fleet.now - started < HEAL_SECONDS or last is None:
        before = _sent(fleet)
        for _ in range(round(RATE_SECONDS / STEP_SECONDS)):
            fleet.run(STEP_SECONDS)
            if last is None and not _missing(fleet):
                last = fleet.now - started
        _keep_busiest(busiest, before, fleet)
    sent = sum(_sent(fleet)[h][1] - total[h][1] for h in total)
    return {
        "healed_s": last,
        "worst_host_bytes_per_second": busiest["worst"],
        "mean_host_bytes_per_second": busiest["mean"],
        "mean_messages_per_second": busiest["messages"],
        "bytes_a_host": sent / len(total),
    }


def _missing(fleet: Fleet) -> int:
    """Return how many pairs of live hosts do not regard each other as usable."""
    live = {host.record.host_id for host in fleet.live}
    return sum(len(live - host.live_peers) for host in fleet.live)


def _sent(fleet: Fleet) -> dict:
    names = ("sent_messages", "sent_bytes")
    return {h.record.host_id: [h.counters[n] for n in names] for h in fleet.live}


def _keep_busiest(busiest: dict, before: dict, fleet: Fleet) -> None:
    """Keep the greatest rates."""
    after = _sent(fleet)
    messages = [(after[i][0] - before[i][0]) / RATE_SECONDS for i in after]
    sent = [(after[i][1] - before[i][1]) / RATE_SECONDS for i in after]
    rates = {
        "worst": max(sent),
        "mean": sum(sent) / len(sent),
        "messages": sum(messages) / len(messages),
    }
    for name, rate in rates.items():
        busiest[name] = max(busiest.get(name, 0), rate)


def measure(size: int, random_state: int, wanted: str) -> dict:
    """Return the wanted figures of one region size."""
    row = {"hosts": size, "random_state": random_state}
    for name in wanted.split(","):
        fleet = settled(size, random_state)
        if name == "heal":
            row[name] = measure_healing(fleet)
            continue
        kind, _, percent = name.partition("-")
        victims = rack_of(fleet) if kind == "rack" else zone_of(fleet)
        row[name] = measure_loss(fleet, victims, int(percent or 0) / 100)
    return row


def main() -> None:
    """Measure all sizes; `rack-10` is a rack's loss with 10% of datagrams lost."""
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
