"""Statistics over the jobs of a run."""

from collections.abc import Sequence
from statistics import mean, quantiles

from ._slots import Job


def answered_in_time(jobs: Sequence[Job], start: float, end: float) -> list[Job]:
    """Return the jobs answered from start to before end, and by their deadline."""
    answered = [job for job in jobs if job.ended_at is not None]
    in_time = [job for job in answered if job.ended_at <= job.deadline]
    return [job for job in in_time if start <= job.ended_at < end]


def refusal_p99_seconds(jobs: Sequence[Job]) -> float:
    """Return the p99 of the time from offer to refusal, in seconds."""
    refused = [job for job in jobs if job.refused_at is not None]
    waits = [job.refused_at - job.offered_at for job in refused]
    return quantiles(waits, n=100)[98] if len(waits) > 1 else 0.0


def missed_deadline_share(jobs: Sequence[Job]) -> float:
    """Return the share of started jobs not answered by their deadline."""
    started = [job for job in jobs if job.started]
    late = [j for j in started if j.ended_at is None or j.ended_at > j.deadline]
    return len(late) / max(1, len(started))


def jain_index(jobs: Sequence[Job], caller_count: int) -> float:
    """Return Jain's fairness index over the number of jobs of each caller."""
    counts = [0] * caller_count
    for job in jobs:
        counts[job.caller] += 1
    squares = sum(count * count for count in counts)
    return sum(counts) ** 2 / (caller_count * squares) if squares else 0.0


def accepted_share(jobs: Sequence[Job]) -> float:
    """Return the share of jobs that were not refused; 1.0 without jobs."""
    accepted = [job for job in jobs if job.refused_at is None]
    return len(accepted) / len(jobs) if jobs else 1.0


def is_normal_service(jobs: Sequence[Job], mean_latency_bound: float) -> bool:
    """Return whether at most 1% of jobs were refused and mean latency is in bound."""
    refused = sum(job.refused_at is not None for job in jobs)
    latencies = [job.ended_at - job.offered_at for job in jobs if job.ended_at]
    if refused > 0.01 * len(jobs) or not latencies:
        return False
    return mean(latencies) <= mean_latency_bound
