"""Measures how uploads delay bookings at equal total utilisation (M3)."""

import argparse
import json
from dataclasses import asdict, dataclass
from statistics import median, quantiles

from hornbeamdeal.kernel import plugin_names

from ._runs import print_table, run_all
from ._servers import LONG_FACTOR, MEAN_SHORT, SLOTS
from ._slots import HOSTS, SERVERS, Harness, Job

UTILISATION = 0.7
LONG_WORK_SHARE = 0.2  # of the total work in seconds of service
SHORT_DEADLINE = 2.0  # seconds
LONG_DEADLINE = 60.0  # seconds
WARM_UP = 10.0  # seconds
MEASURED = 60.0  # seconds
SETTLE = 65.0  # seconds in which accepted uploads may still end
CALLERS = 70
SEEDS = (1, 2, 3, 4, 5)
BUDGET_HELP = "bound tries after a shed to 10% of the answers"
BOUND = 1.5  # of M3
MAX_REFUSED = 0.001  # a p99 that is met by refusing bookings does not count


@dataclass(frozen=True, slots=True)
class BlockingResult:
    """Figures of one run with and one without uploads."""

    plugin: str
    seed: int
    p99_without_ms: float
    p99_with_ms: float
    ratio: float
    refused_without: float
    refused_with: float
    uploads_finished_share: float
    sheds_per_start: float


def measure(plugin: str, seed: int, keeps_budget: bool, hosts: int) -> BlockingResult:
    """Measure one plug-in with one seed."""
    without = _run(plugin, seed, 0.0, keeps_budget, hosts)
    mixed = _run(plugin, seed, LONG_WORK_SHARE, keeps_budget, hosts)
    p99_without, p99_with = _p99(without), _p99(mixed)
    short = [job for job in mixed.jobs if not job.long]
    refused = sum(job.refused_at is not None for job in short)
    refused_without = sum(job.refused_at is not None for job in without.jobs)
    long = [job for job in mixed.jobs if job.long]
    in_time = [job for job in long if job.ended_at and job.ended_at <= job.deadline]
    return BlockingResult(
        plugin=plugin,
        seed=seed,
        p99_without_ms=p99_without * 1000,
        p99_with_ms=p99_with * 1000,
        ratio=p99_with / p99_without,
        refused_without=refused_without / len(without.jobs),
        refused_with=refused / len(short),
        uploads_finished_share=len(in_time) / len(long),
        sheds_per_start=mixed.sheds / mixed.starts,
    )


def _run(
    plugin: str, seed: int, long_share: float, keeps_budget: bool, hosts: int
) -> Harness:
    harness = Harness(plugin, seed, keeps_budget=keeps_budget, hosts=hosts)
    work_rate = UTILISATION * SERVERS * SLOTS
    short_rate = work_rate * (1 - long_share) / MEAN_SHORT
    _arrive(harness, short_rate, False, SHORT_DEADLINE)
    if long_share:
        long_rate = work_rate * long_share / (MEAN_SHORT * LONG_FACTOR)
        _arrive(harness, long_rate, True, LONG_DEADLINE)
    harness.run(WARM_UP + MEASURED + SETTLE)
    return harness


def _arrive(harness: Harness, rate: float, long: bool, deadline: float) -> None:
    """Schedule Poisson arrivals for the warm-up and the measured time."""
    now = 0.0
    while (now := now + harness.random.expovariate(rate)) < WARM_UP + MEASURED:
        caller = harness.random.randrange(CALLERS)
        harness.at(now, harness.offer, Job(caller, long, now, now + deadline))


def _p99(harness: Harness) -> float:
    """Return the p99 of the answered bookings in seconds."""
    waits = [
        job.ended_at - job.offered_at
        for job in harness.jobs
        if not job.long and job.offered_at >= WARM_UP and job.ended_at is not None
    ]
    return quantiles(waits, n=100)[98]


def summarise(results: list[BlockingResult]) -> list[dict]:
    """Return medians with spread for each plug-in."""
    rows = []
    for plugin in dict.fromkeys(result.plugin for result in results):
        own = [result for result in results if result.plugin == plugin]
        ratios = [result.ratio for result in own]
        row = {"plugin": plugin, "ratio": median(ratios)}
        row |= {"ratio_min": min(ratios), "ratio_max": max(ratios)}
        for name in list(asdict(own[0]))[2:]:
            row[name] = median(getattr(result, name) for result in own)
        refused = max(max(r.refused_without, r.refused_with) for r in own)
        row["refused_max"] = refused
        row["bound_met"] = max(ratios) <= BOUND and refused <= MAX_REFUSED
        rows.append(row)
    return rows


def main() -> None:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--plugins", nargs="*", default=plugin_names("admission"))
    parser.add_argument("--hosts", type=int, default=HOSTS)
    parser.add_argument("--seeds", nargs="*", type=int, default=SEEDS)
    parser.add_argument("--retry-budget", action="store_true", help=BUDGET_HELP)
    parser.add_argument("--workers", type=int, default=2)
    options = parser.parse_args()
    tasks = [
        (plugin, seed, options.retry_budget, options.hosts)
        for plugin in options.plugins
        for seed in options.seeds
    ]
    rows = summarise(run_all(measure, tasks, options.workers))
    if options.json:
        print(json.dumps({"hosts": options.hosts, "rows": rows}, indent=2))
    else:
        print_table(rows)


if __name__ == "__main__":
    main()
