"""Measures placement and admission under uneven load and failures.

Real forwarders with their components run on virtual time against fake callers and
servers. Run `python -m benchmarks.uneven_load`, with `--json` for machine-readable
output and `--short` for a few small cases. Loads are `FACTOR:BURST[:DEMAND]`, such as
`3:safe` or `2:all:uneven`: the multiple of normal demand during the event, the kind of
request that it hits ("all", or "few" for a tenth of the callers), and "uneven" if one
zone has half of all callers. Figures are of requests asked during the event. CPU is
that of a host's components, without the fakes.
"""

import argparse
import json
from collections import Counter
from dataclasses import fields
from itertools import product
from statistics import median

from ._runs import print_table, run_all
from .uneven_callers import Callers
from .uneven_components import VARIANTS
from .uneven_deployments import (
    CALLERS,
    DEPLOYMENTS,
    END_SECONDS,
    EVENT_AT_SECONDS,
    EVENT_SECONDS,
    FEW_CALLERS_SHARE,
    Case,
    is_event,
)

FAILURES = (
    "none", "slow_server", "failing_server", "zone_cut", "restart_all", "restart_one",
)  # fmt: skip
LOADS = ("1:all", "2:all", "3:safe", "5:all", "3:all:uneven")
SEEDS = (1, 2, 3)
SHEDS_HELP = "how servers shed: reset (hosts see nothing) or answer (an error)"
SHORT = {
    "deployments": ("small",),
    "failures": ("none", "slow_server"),
    "hosts": (0,),
    "loads": ("3:safe",),
    "seeds": (1,),
    "sheds": ("reset",),
}
WINDOW_SECONDS = 0.5  # to detect the return to normal service
WARM_UP_SECONDS = 1.0
# Service is normal in a window whose share answered in time is at most this much below
# that before the event; noise of a window of 300 requests stays below it.
NORMAL_LOSS = 0.02
RANGES = ("in_time", "p99_ms", "normal_after_s")


def is_in_time(request) -> bool:
    """Return whether a request was answered within the latency objective."""
    seconds = request.ended_at - request.asked_at
    return request.outcome == "answered" and seconds <= request.kind.aim


def in_time_share(requests) -> float:
    """Return the share of requests answered in time; 1.0 without requests."""
    return sum(map(is_in_time, requests)) / len(requests) if requests else 1.0


def shares_by(requests, key) -> dict[str, float]:
    """Return the shares answered in time by a key of the requests."""
    groups = {}
    for request in requests:
        groups.setdefault(key(request), []).append(request)
    return {name: in_time_share(groups[name]) for name in sorted(groups)}


def jain_index(values) -> float:
    """Return Jain's fairness index of values, 1.0 if all are equal."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 0.0


def time_to_normal(requests, failure: str) -> float:
    """Return the seconds from the end of the event until service stays normal."""
    end = EVENT_AT_SECONDS + EVENT_SECONDS * (not failure.startswith("restart"))
    before = [r for r in requests if WARM_UP_SECONDS <= r.asked_at < EVENT_AT_SECONDS]
    bound = in_time_share(before) - NORMAL_LOSS
    normal_from = end
    for index in range(int((END_SECONDS - end) / WINDOW_SECONDS)):
        low = end + index * WINDOW_SECONDS
        window = [r for r in requests if low <= r.asked_at < low + WINDOW_SECONDS]
        if in_time_share(window) < bound:
            normal_from = low + WINDOW_SECONDS
    return normal_from - end


def measure(case: Case) -> dict:
    """Run a case and return its figures; shares are of the requests asked."""
    callers = Callers(case)
    callers.run()
    requests = [r for r in callers.requests if is_event(r.asked_at)]
    outcomes = Counter(request.outcome for request in requests)
    by_caller = shares_by(requests, lambda r: r.caller)
    waits = sorted(
        r.ended_at - r.asked_at for r in requests if r.outcome == "answered"
    ) or [0.0]
    hosts = callers.stage.hosts
    host_seconds = len(hosts) * END_SECONDS
    cpu_seconds = sum(host.cpu_seconds for host in hosts)
    return {
        "in_time": in_time_share(requests),
        **{
            f"in_time_{name}": share
            for name, share in shares_by(requests, lambda r: r.kind.name).items()
        },
        **{
            f"in_time_{name}": share
            for name, share in shares_by(
                requests, lambda r: callers.zone_of_caller[r.caller]
            ).items()
        },
        "p50_ms": 1000 * waits[len(waits) // 2],
        "p99_ms": 1000 * waits[int(0.99 * len(waits))],
        **{
            name: outcomes[name] / len(requests)
            for name in ("refused", "shed", "abandoned", "failed")
        },
        "in_time_many": in_time_share(
            [r for r in requests if r.caller >= FEW_CALLERS_SHARE * CALLERS]
        ),
        "jain": jain_index([by_caller.get(caller, 1.0) for caller in range(CALLERS)]),
        "normal_after_s": time_to_normal(callers.requests, case.failure),
        "resets": callers.resets,
        "untrue_refusals": callers.untrue_refusals,
        "unended": len(callers.requests) - callers.ends,
        "messages_per_s": sum(host.messages for host in hosts) / host_seconds,
        "bytes_per_s": sum(host.message_bytes for host in hosts) / host_seconds,
        "core_percent": 100 * cpu_seconds / host_seconds,
        "us_per_packet": 1e6 * cpu_seconds / sum(host.packets for host in hosts),
    }


def summarise(cases: list[Case], results: list[dict]) -> list[dict]:
    """Return the medians over seeds, and ranges of the main figures."""
    groups = {}
    names = [f.name for f in fields(Case) if f.name != "seed"]
    for case, result in zip(cases, results, strict=True):
        groups.setdefault(tuple(getattr(case, n) for n in names), []).append(result)
    rows = []
    for key, group in groups.items():
        row = dict(zip(names, key, strict=True))
        for figure in group[0]:
            values = [result[figure] for result in group]
            row[figure] = median(values)
            if figure in RANGES:
                row[f"{figure}_range"] = f"{min(values):.4g}-{max(values):.4g}"
        rows.append(row)
    return rows


def make_cases(options) -> list[Case]:
    """Return the cases of all combinations of the options."""
    combinations = product(
        options.deployments, options.loads, options.failures, options.hosts,
        options.sheds, options.variants, options.seeds,
    )  # fmt: skip
    cases = []
    for deployment, load, failure, hosts, sheds, variant, seed in combinations:
        factor, burst, demand = (*load.split(":"), "usual")[:3]
        load = float(factor), burst, demand
        cases.append(Case(deployment, variant, *load, failure, hosts, sheds, seed))
    return cases


def main() -> None:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--short", action="store_true", help="one load, two failures")
    parser.add_argument("--deployments", nargs="*", default=list(DEPLOYMENTS)[:3])
    parser.add_argument("--variants", nargs="*", default=list(VARIANTS))
    parser.add_argument("--loads", nargs="*", default=LOADS)
    parser.add_argument("--failures", nargs="*", default=FAILURES[:1])
    parser.add_argument("--hosts", nargs="*", type=int, default=[0])
    parser.add_argument("--sheds", nargs="*", default=["reset"], help=SHEDS_HELP)
    parser.add_argument("--seeds", nargs="*", type=int, default=SEEDS)
    parser.add_argument("--workers", type=int, default=2)
    options = parser.parse_args()
    if options.short:
        vars(options).update(SHORT)
    cases = make_cases(options)
    results = run_all(measure, [(case,) for case in cases], options.workers)
    rows = summarise(cases, results)
    if options.json:
        print(json.dumps(rows, indent=1))
        return
    for deployment in options.deployments:  # whose kinds and zones differ
        print_table([row for row in rows if row["deployment"] == deployment])


if __name__ == "__main__":
    main()
