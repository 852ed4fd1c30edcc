"""Overshoot of slow start: `python -m benchmarks.cold_servers [--seeds=5]`.

Steps the real `SlowStart` of each host of one zone. Every host has an opening packet
in every step, so that all that is permitted is sent. Views of the members are given by
hand with the times of `docs/design/fleet.md`. Prints for each case the greatest number
of opening packets that reached one cold server in any second, and the number in all.
"""

import heapq
import random

import fire

from hornbeamdeal.dsr import (
    Catalog,
    OutstandingRequests,
    RouteTable,
    Server,
    Service,
    SlowStart,
    Update,
    ZoneState,
    make_placement,
)
from hornbeamdeal.dsr._flow_table import Flow

SERVICE, ZONE = "s", "z1"
STEP, COLD_SECONDS, FAULT_AT = 0.05, 40.0, 5.0
# Delay from a host's forwarder to the server.
MAXIMUM_DELAY = 0.2
# A lost host is missed 3 to 5 s later; an isolated one keeps its view for 17.5 s, and a
# view loses 20% of the members a second.
MISSED_AFTER, ISOLATED_AFTER, LOSS_SECONDS = (3.0, 5.0), 17.5, 5.0
# Time in which a host that starts learns the members; the real one takes under 1 s.
LEARN_SECONDS = 3.0
CASES = ["calm", "churn", "restart", "isolated", "halves", "copies", "zone_return"]


class EqualShares(SlowStart):
    """Baseline: each host takes an equal share of the bound by its own view."""

    __slots__ = ("due_by_id",)

    def __init__(self, **parameters):
        super().__init__(**parameters)
        self.due_by_id = {}

    def _has_budget(self, server, now):
        if not self._is_home_zone(server, now):
            return False
        rate = self._home_host_count(server) / 1.25
        interval = self._sharers(server) / rate if rate else float("inf")
        due = self.due_by_id.get(server.server_id)
        if due is None or due > now + interval:
            self.due_by_id[server.server_id] = now + self._random.random() * interval
        elif now >= due:
            self.due_by_id[server.server_id] = now + interval
            return True
        return False

    def _sharers(self, server):
        return len(self._hosts)


class Mixed(EqualShares):
    """Baseline: twice as many home hosts, each at half of the rate."""

    __slots__ = ()

    def _sharers(self, server):
        homes = 2 * self._home_host_count(server)
        return homes if self._rank(server) < homes else float("inf")


VARIANTS = {"home_hosts": SlowStart, "equal_shares": EqualShares, "mixed": Mixed}


def make_catalog(servers, cold_seconds, cold_start=5.0, zone_returns=False):
    """Return a catalog whose servers are cold from time 0 on."""
    service = Service(name=SERVICE, cold_start_seconds=cold_start)
    routes = RouteTable(
        version=1,
        routes_by_key={},
        idle_timeout=15,
        services_by_name={SERVICE: service},
    )
    entries = [
        Server(
            server_id=f"i-{i:04x}",
            number=i.to_bytes(8, "big"),
            service=SERVICE,
            address=("10.0.0.1", i),
            zone=ZONE,
            slots=2,
            is_draining=False,
            revision=1,
            cold_seconds=cold_seconds(i),
        )
        for i in range(servers)
    ]
    catalog = Catalog()
    zones = [ZoneState(ZONE, True, 1)] if zone_returns else []
    catalog.apply(
        Update(
            base_revision=None, revision=2, servers=entries, routes=routes, zones=zones
        ),
        -1.0,
    )
    if zone_returns:
        returned = [ZoneState(ZONE, False, 3)]
        catalog.apply(Update(base_revision=2, revision=3, zones=returned), 0.0)
    return catalog, entries


class Views:
    """When each host of a case runs, and when it sees each other host."""

    def __init__(self, case, hosts, generator):
        self.names = [f"h{i}" for i in range(hosts)]
        self.case, self.random = case, generator
        self.started_at = dict.fromkeys(self.names, -100.0)
        self.ended_at = {}
        # Time from which and until when a host (first) sees another.
        self.seen_from, self.seen_until = {}, {}
        uniform = generator.uniform
        if case == "churn":
            for k in range(30):
                self._replace(k, FAULT_AT + uniform(0, 25))
        if case == "restart":
            for name in self.names:
                self._start(name, FAULT_AT + uniform(0, 0.5))
        if case in ("isolated", "halves"):
            self._cut(generator.sample(self.names, len(self.names)))

    def _replace(self, k, at):
        ended = self.random.choice([n for n in self.names if n not in self.ended_at])
        self.ended_at[ended] = at
        for name in self.names:
            self.seen_until[name, ended] = at + self.random.uniform(*MISSED_AFTER)
        self.names.append(f"n{k}")
        self._start(f"n{k}", at)
        for name in self.names:
            self.seen_from[name, f"n{k}"] = at + self.random.uniform(0, 1.5)

    def _start(self, name, at):
        self.started_at[name] = at
        for other in self.names:
            learned = at + self.random.uniform(0.2, LEARN_SECONDS)
            self.seen_from[name, other] = learned

    def _cut(self, shuffled):
        third, half = len(shuffled) // 3, len(shuffled) // 2
        alone = shuffled[:third] if self.case == "isolated" else []
        for name in shuffled:
            for other in shuffled:
                if name in alone:
                    missed = (ISOLATED_AFTER, ISOLATED_AFTER + LOSS_SECONDS)
                elif other in alone or (
                    self.case == "halves"
                    and (name in shuffled[:half]) != (other in shuffled[:half])
                ):
                    missed = (MISSED_AFTER[0], MISSED_AFTER[1] + LOSS_SECONDS)
                else:
                    continue
                self.seen_until[name, other] = FAULT_AT + self.random.uniform(*missed)

    def seen_by(self, name, now):
        """Return the hosts that a host sees."""
        return {
            other
            for other in self.names
            if other == name
            or self.seen_from.get((name, other), self.started_at[other]) <= now
            and now < self.seen_until.get((name, other), 1e9)
        }

    def is_running(self, name, now):
        """Return whether a host runs."""
        return self.started_at[name] <= now < self.ended_at.get(name, 1e9)


def count_overshoot(variant, case, hosts, bound, seed):
    """Return the greatest number of openings in a second, and that of a server."""
    generator = random.Random(f"{case} {hosts} {seed}")
    is_return = case == "zone_return"
    cold_start = COLD_SECONDS if is_return else 5.0
    catalog, servers = make_catalog(
        25 if is_return else 3,
        lambda i: 0.0 if is_return else COLD_SECONDS,
        cold_start,
        is_return,
    )
    views = Views(case, hosts, generator)
    slow_starts, seen, arrivals = {}, {}, {s.server_id: [] for s in servers}
    phases = {n: 0.0 if case == "copies" else generator.random() for n in views.names}
    for step in range(round((COLD_SECONDS - 1) / STEP)):
        at = step * STEP
        for name in views.names:
            now = at + STEP * phases[name]
            if not views.is_running(name, now):
                continue
            started_at = views.started_at[name]
            key = name, started_at
            if key not in slow_starts:
                slow_starts[key] = VARIANTS[variant](
                    catalog=catalog,
                    host_id=name,
                    zone=ZONE,
                    overage=1.5,
                    slack=bound,
                    random_state=generator.getrandbits(32),
                )
                if started_at < 0:
                    slow_starts[key].set_zone_hosts(views.seen_by(name, -9.0), -9.0)
            slow_start = slow_starts[key]
            members = views.seen_by(name, now) if step % 4 == 0 else seen.get(name)
            if members is not None and members != seen.get(name) and len(members) > 1:
                seen[name] = members
                slow_start.set_zone_hosts(members, now)
            for server in slow_start.permitted(SERVICE, servers, now):
                slow_start.record_opening(server, now)
                arrived_at = now + generator.uniform(0, MAXIMUM_DELAY)
                arrivals[server.server_id].append(arrived_at)
    return (
        max(map(most_in_a_second, arrivals.values())),
        max(map(len, arrivals.values())),
    )


def most_in_a_second(times):
    """Return the greatest number of times within any sliding second."""
    times, first, most = sorted(times), 0, 0
    for last, at in enumerate(times):
        while at - times[first] >= 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def measure_ramp(hosts, has_ramp, seed, servers=20, load=0.7):
    """Return what a server gets and sheds in the first second after its cold time.

    The third figure is what it sheds in 7 s, until after the warm-up of 5 s. The zone's servers have 2 slots and a queue of 8; requests take 19 to 40 ms.
    """
    generator = random.Random(seed)
    catalog, entries = make_catalog(
        servers, lambda i: 0.0 if i else 10.0, cold_start=5.0 if has_ramp else 0.0
    )
    names = {f"h{i}" for i in range(hosts)}
    teams = []
    for name in sorted(names):
        slow_start = SlowStart(
            catalog=catalog,
            host_id=name,
            zone=ZONE,
            overage=1.5,
            slack=5,
            random_state=generator.getrandbits(32),
        )
        slow_start.set_zone_hosts(names, -9.0)
        outstanding = OutstandingRequests()
        placement = make_placement(
            "least_outstanding", outstanding=outstanding, zone=ZONE, random_state=seed
        )
        teams.append((slow_start, outstanding, placement))
    busy = {s.server_id: [] for s in entries}
    ends, got, shed, shed_later = [], 0, 0, 0
    now, rate = 0.0, load * servers * 2 / 0.0295
    # The cold time runs from when the catalog was filled, at -1.
    while now < 16.0:
        now += generator.expovariate(rate)
        while ends and ends[0][0] <= now:
            _, _, outstanding, flow = heapq.heappop(ends)
            outstanding.finish(flow)
        slow_start, outstanding, placement = generator.choice(teams)
        permitted = slow_start.permitted(SERVICE, entries, now)
        warm = slow_start.without_warming(permitted, now) or permitted
        server = placement.choose(warm, now)
        placement.record_placement(server, now)
        slow_start.record_opening(server, now)
        is_cold = server is entries[0]
        is_observed = is_cold and 9.0 <= now < 10.0
        got += is_observed
        # Ends of the server's admitted requests, of which two are processed at once.
        queue = busy[server.server_id] = [e for e in busy[server.server_id] if e > now]
        if len(queue) >= 10:
            shed += is_observed
            shed_later += is_cold
            continue
        start = max(now, sorted(queue)[-2]) if len(queue) >= 2 else now
        queue.append(start + generator.uniform(0.019, 0.040))
        flow = Flow(now)
        outstanding.start(flow, server, now)
        heapq.heappush(ends, (queue[-1], id(flow), outstanding, flow))
    return got, shed, shed_later


def main(seeds=5, variants=tuple(VARIANTS), hosts=(3, 20, 110), bounds=(5, 20)):
    """Print the overshoot of each variant and case, and the effect of the ramp."""
    print("variant case hosts bound: greatest in a second, mean per server (per seed)")
    for variant in variants:
        for case in CASES:
            for host_count in hosts:
                for bound in bounds:
                    counts = [
                        count_overshoot(variant, case, host_count, bound, seed)
                        for seed in range(1, seeds + 1)
                    ]
                    most = max(m for m, _ in counts)
                    mark = " EXCEEDED" if most > bound else ""
                    total = sum(t for _, t in counts) / len(counts)
                    print(
                        f"{variant} {case} {host_count} {bound}: {most}, {total:.0f}"
                        f" {[m for m, _ in counts]}{mark}",
                        flush=True,
                    )
    for host_count in hosts:
        for has_ramp in (False, True):
            got = [
                measure_ramp(host_count, has_ramp, seed) for seed in range(1, seeds + 1)
            ]
            name = "ramp" if has_ramp else "no ramp"
            print(
                f"{name} {host_count} hosts: (flows, shed, shed in 7 s) by seed {got}",
                flush=True,
            )


if __name__ == "__main__":
    fire.Fire(main)
