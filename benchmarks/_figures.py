"""Figures computed from the jobs of a run."""

from collections.abc import Sequence
from statistics import mean, quantiles

from ._slots import Job


def ended_between(jobs: Sequence[Job], first: float, last: float) -> list[Job]:
    """Return the jobs answered in a time and before their deadline."""
    answered = [job for job in jobs if job.ended_at is not None]
    in_time = [job for job in answered if job.ended_at <= job.deadline]
    return [job for job in in_time if first <= job.ended_at < last]


def refusal_p99(jobs: Sequence[Job]) -> float:
    """Return the p99 in seconds from offer to refusal."""
    refused = [job for job in jobs if job.refused_at is not None]
    waits = [job.refused_at - job.offered_at for job in refused]
    return quantiles(waits, n=100)[98] if len(waits) > 1 else 0.0


def missed_share(jobs: Sequence[Job]) -> float:
    """Return the share of started work that ended after its deadline."""
    started = [job for job in jobs if job.started]
    missed = [j for j in started if j.ended_at is None or j.ended_at > j.deadline]
    return len(missed) / max(1, len(started))


def jain_index(jobs: Sequence[Job], callers: int) -> float:
    """Return Jain's fairness index of the answers of all callers."""
    counts = [0] * callers
    for job in jobs:
        counts[job.caller] += 1
    squares = sum(count * count for count in counts)
    return sum(counts) ** 2 / (callers * squares) if squares else 0.0


def accepted_share(jobs: Sequence[Job]) -> float:
    """Return the share of callers served that came back at the time told."""
    accepted = [job for job in jobs if job.refused_at is None]
    return len(accepted) / len(jobs) if jobs else 1.0


def is_normal(jobs: Sequence[Job], latency_bound: float) -> bool:
    """Tell whether the offers of one window had normal service."""
    refused = sum(job.refused_at is not None for job in jobs)
    latencies = [job.ended_at - job.offered_at for job in jobs if job.ended_at]
    if refused > 0.01 * len(jobs) or not latencies:
        return False
    return mean(latencies) <= latency_bound
