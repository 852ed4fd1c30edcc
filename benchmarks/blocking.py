"""Measures how uploads delay bookings at equal utilisation (users' measure M3)."""

import argparse
import json
from dataclasses import asdict, dataclass
from statistics import median, quantiles

from hornbeamdeal.kernel import plugin_names

from ._runs import print_table, run_all
from ._servers import LONG_FACTOR, MEAN_SHORT_SECONDS, SLOTS
from ._slots import HOSTS, SERVERS, Harness, Job

UTILISATION = 0.7
LONG_WORK_SHARE = 0.2  # of the total service time
SHORT_DEADLINE_SECONDS = 2.0
LONG_DEADLINE_SECONDS = 60.0
WARM_UP_SECONDS = 10.0
MEASURED_SECONDS = 60.0
SETTLE_SECONDS = 65.0  # so that accepted uploads can complete
CALLERS = 70
SEEDS = (1, 2, 3, 4, 5)
BUDGET_HELP = "limit retries after a shed to 10% of the answers"
RATIO_BOUND = 1.5  # required by M3
MAX_REFUSED_SHARE = 0.001  # a p99 reached by refusing bookings does not count


@dataclass(frozen=True, slots=True)
class BlockingResult:
    """Results of one run without and one with uploads."""

    plugin: str
    seed: int
    p99_without_ms: float
    p99_with_ms: float
    ratio: float
    refused_without: float
    refused_with: float
    uploads_finished_share: float
    sheds_per_start: float


def measure(plugin: str, seed: int, limits_retries: bool, hosts: int) -> BlockingResult:
    """Measure one plug-in with one seed."""
    without = _simulate(plugin, seed, 0.0, limits_retries, hosts)
    mixed = _simulate(plugin, seed, LONG_WORK_SHARE, limits_retries, hosts)
    p99_without, p99_with = _booking_p99(without), _booking_p99(mixed)
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


def _simulate(
    plugin: str, seed: int, long_share: float, limits_retries: bool, hosts: int
) -> Harness:
    harness = Harness(plugin, seed, limits_retries=limits_retries, hosts=hosts)
    work_rate = UTILISATION * SERVERS * SLOTS
    short_rate = work_rate * (1 - long_share) / MEAN_SHORT_SECONDS
    _schedule_arrivals(harness, short_rate, False, SHORT_DEADLINE_SECONDS)
    if long_share:
        long_rate = work_rate * long_share / (MEAN_SHORT_SECONDS * LONG_FACTOR)
        _schedule_arrivals(harness, long_rate, True, LONG_DEADLINE_SECONDS)
    harness.run(WARM_UP_SECONDS + MEASURED_SECONDS + SETTLE_SECONDS)
    return harness


def _schedule_arrivals(
    harness: Harness, rate: float, long: bool, deadline: float
) -> None:
    """Schedule Poisson arrivals during the warm-up and the measured time."""
    now = 0.0
    while (
        now := now + harness.random.expovariate(rate)
    ) < WARM_UP_SECONDS + MEASURED_SECONDS:
        caller = harness.random.randrange(CALLERS)
        harness.schedule_at(now, harness.offer, Job(caller, long, now, now + deadline))


def _booking_p99(harness: Harness) -> float:
    """Return the p99 latency of answered bookings after the warm-up, in seconds."""
    waits = [
        job.ended_at - job.offered_at
        for job in harness.jobs
        if not job.long
        and job.offered_at >= WARM_UP_SECONDS
        and job.ended_at is not None
    ]
    return quantiles(waits, n=100)[98]


def summarise(results: list[BlockingResult]) -> list[dict]:
    """Return medians, the range of ratios and the verdict for each plug-in."""
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
        row["bound_met"] = max(ratios) <= RATIO_BOUND and refused <= MAX_REFUSED_SHARE
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
