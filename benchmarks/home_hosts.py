"""Measures the failure of a home host in a surge, and the bytes of relaying."""

import argparse
from statistics import median

from hornbeamdeal.kernel import EntryHost, HostState
from hornbeamdeal.wire import PeerCodec, peer_types

from ._runs import print_table, run_all
from ._servers import MEAN_SHORT_SECONDS, SLOTS
from ._slots import Harness, Job

DEATH_AT_SECONDS = 5.0
LAST_OFFER_SECONDS = 10.0
END_SECONDS = 30.0
DEADLINE_SECONDS = 2.0
CALLERS = 70
ACK_TIMEOUT_SECONDS = 2.0  # RFC 7252, section 4.8
ACK_RANDOM_FACTOR = 1.5
MAX_RETRANSMIT = 4
SUSPECTED_AFTER_SECONDS = (1.0, 3.0)  # delay until a host suspects the dead one
BOOKING_BYTES = 60


class DeathHarness(Harness):
    """Harness in which one host dies and callers retransmit unanswered requests.

    The fabric delivers nothing to the dead host, so that the results show only
    the loss of its role as home host.
    """

    def __init__(self, seed: int, hosts: int, servers: int):
        self.dead: int | None = None
        self.copies_by_job: dict[Job, int] = {}
        self.suspects: set[int] = set()
        super().__init__("slot_shares", seed, hosts=hosts, servers=servers)

    def send_new_request(self, job: Job) -> None:
        """Send a caller's new request; retransmit it while it is unanswered."""
        self.copies_by_job[job] = 1
        self.offer(job)
        self._retransmit_later(job, self.random.uniform(1, ACK_RANDOM_FACTOR))

    def kill_home_host(self) -> list[Job]:
        """Kill the host with the most pending jobs; return those jobs."""
        pending_jobs = [
            j for j in self.jobs if j.ended_at is None and j.refused_at is None
        ]
        counts = {j.host: 0 for j in pending_jobs}
        for job in pending_jobs:
            counts[job.host] += 1
        self.dead = max(counts, key=counts.get)
        now = self.clock.monotonic()
        for index in range(self.hosts):
            suspected_at = now + self.random.uniform(*SUSPECTED_AFTER_SECONDS)
            self.schedule_at(suspected_at, self._suspect, index)
        return [job for job in pending_jobs if job.host == self.dead]

    def _retransmit_later(self, job: Job, jitter: float) -> None:
        copies = self.copies_by_job[job]
        delay = ACK_TIMEOUT_SECONDS * jitter * 2 ** (copies - 1)
        self.schedule_at(self.clock.monotonic() + delay, self._retransmit, job, jitter)

    def _retransmit(self, job: Job, jitter: float) -> None:
        """Send a copy if the dead host has the request; elsewhere it has no effect."""
        is_pending = job.ended_at is None and job.refused_at is None
        if not is_pending or job.host != self.dead:
            return
        if self.copies_by_job[job] > MAX_RETRANSMIT:
            return
        self.copies_by_job[job] += 1
        job.attempts, job.started, job.excluded = 0, False, set()
        job.deadline = self.clock.monotonic() + DEADLINE_SECONDS
        job.host = self.random.choice([i for i in range(self.hosts) if i != self.dead])
        self.route(job)
        self._retransmit_later(job, jitter)

    def _suspect(self, index: int) -> None:
        if index != self.dead:
            self.suspects.add(index)
            self._update(index, self.servers)

    def _listed_hosts(self, index: int) -> dict[str, EntryHost]:
        hosts = super()._listed_hosts(index)
        if index in self.suspects:
            hosts[f"h{self.dead}"] = self._make_host(self.dead, HostState.SUSPECT)
        return hosts

    def _offer_to_admission(self, job: Job) -> None:
        if job.host != self.dead:
            super()._offer_to_admission(job)

    def _apply(self, decisions, index: int) -> None:
        if index != self.dead:
            super()._apply(decisions, index)

    def _handle_answer(self, index: int, ticket_id: int, server, answer) -> None:
        if index != self.dead:
            super()._handle_answer(index, ticket_id, server, answer)


def measure(hosts: int, servers: int, level: float, seed: int) -> dict:
    """Simulate a surge in which the home host with the most pending jobs dies."""
    harness = DeathHarness(seed, hosts, servers)
    lost_jobs: list[Job] = []
    harness.schedule_at(
        DEATH_AT_SECONDS, lambda: lost_jobs.extend(harness.kill_home_host())
    )
    rate = level * servers * SLOTS / MEAN_SHORT_SECONDS
    now = 0.0
    while (now := now + harness.random.expovariate(rate)) < LAST_OFFER_SECONDS:
        caller = harness.random.randrange(CALLERS)
        job = Job(caller, False, now, now + DEADLINE_SECONDS)
        harness.schedule_at(now, harness.send_new_request, job)
    harness.run(END_SECONDS)
    return _summarise(harness, lost_jobs)


def _summarise(harness: DeathHarness, lost_jobs: list[Job]) -> dict:
    copies = harness.copies_by_job
    resent = [job for job in harness.jobs if copies[job] > 1]
    ends = [(job, job.ended_at or job.refused_at) for job in resent]
    waits = [end - job.offered_at for job, end in ends if end is not None]
    return {
        "hosts": harness.hosts,
        "had": len(lost_jobs),
        "had_started": sum(job.started for job in lost_jobs),
        "resent": len(resent),
        "resent_twice": sum(copies[job] > 2 for job in resent),
        "answered": sum(job.ended_at is not None for job in resent),
        "refused": sum(job.refused_at is not None for job in resent),
        "no_answer": sum(end is None for _, end in ends),
        "median_wait_s": median(waits) if waits else 0.0,
        "longest_wait_s": max(waits, default=0.0),
    }


def relay_bytes() -> int:
    """Return the bytes of one relayed booking, without UDP and IP headers."""
    codec = PeerCodec(
        host_id="aqp-cercado-1",
        incarnation=2**62,
        keys_by_id={1: b"k" * 32},
        sending_key_id=1,
    )
    message = peer_types.RelayedRequest(
        "10.9.100.200", 40000, "10.1.100.200", 5683, b"x" * BOOKING_BYTES, 1
    )
    return len(codec.encode(message))


def main() -> None:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", nargs="*", type=int, default=[40, 286])
    parser.add_argument("--servers", type=int, default=16)
    parser.add_argument("--level", type=float, default=2.0)
    parser.add_argument("--seeds", nargs="*", type=int, default=[1, 2, 3])
    parser.add_argument("--workers", type=int, default=2)
    options = parser.parse_args()
    tasks = [
        (hosts, options.servers, options.level, seed)
        for hosts in options.hosts
        for seed in options.seeds
    ]
    print_table(run_all(measure, tasks, options.workers))
    print(f"bytes of one relayed booking of {BOOKING_BYTES}: {relay_bytes()}")


if __name__ == "__main__":
    main()
