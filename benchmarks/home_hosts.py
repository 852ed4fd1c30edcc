"""Measures the death of a home host in a surge, and the bytes of relaying."""

import argparse
from statistics import median

from hornbeamdeal.kernel import EntryHost, HostState
from hornbeamdeal.wire import PeerCodec, peer_types

from ._runs import print_table, run_all
from ._servers import MEAN_SHORT, SLOTS
from ._slots import Harness, Job

DEATH_AT = 5.0  # seconds
LAST_OFFER = 10.0  # seconds
END = 30.0  # seconds
DEADLINE = 2.0  # seconds
CALLERS = 70
ACK_TIMEOUT = 2.0  # seconds; RFC 7252, section 4.8
ACK_RANDOM_FACTOR = 1.5
MAX_RETRANSMIT = 4
SUSPECTED_AFTER = (1.0, 3.0)  # seconds until a host's view calls the dead a suspect
BOOKING_BYTES = 60


class DeathHarness(Harness):
    """Harness in which one host dies and callers retransmit what is unanswered.

    The fabric delivers nothing to the dead host, so that the figures show its
    role as a home host alone.
    """

    def __init__(self, seed: int, hosts: int, servers: int):
        self.dead: int | None = None
        self.copies_by_job: dict[Job, int] = {}
        self.suspects: set[int] = set()
        super().__init__("slot_shares", seed, hosts=hosts, servers=servers)

    def call(self, job: Job) -> None:
        """Send a caller's new request, and again while it has no answer."""
        self.copies_by_job[job] = 1
        self.offer(job)
        self._retransmit_later(job, self.random.uniform(1, ACK_RANDOM_FACTOR))

    def kill_home(self) -> list[Job]:
        """End the host with the most jobs; return the jobs that it had."""
        open_jobs = [
            j for j in self.jobs if j.ended_at is None and j.refused_at is None
        ]
        counts = {j.host: 0 for j in open_jobs}
        for job in open_jobs:
            counts[job.host] += 1
        self.dead = max(counts, key=counts.get)
        now = self.clock.monotonic()
        for index in range(self.hosts):
            at = now + self.random.uniform(*SUSPECTED_AFTER)
            self.at(at, self._suspect, index)
        return [job for job in open_jobs if job.host == self.dead]

    def _retransmit_later(self, job: Job, spread: float) -> None:
        copies = self.copies_by_job[job]
        delay = ACK_TIMEOUT * spread * 2 ** (copies - 1)
        self.at(self.clock.monotonic() + delay, self._retransmit, job, spread)

    def _retransmit(self, job: Job, spread: float) -> None:
        """Send a copy; one that meets the first copy at its host changes nothing."""
        is_open = job.ended_at is None and job.refused_at is None
        if not is_open or job.host != self.dead:
            return
        if self.copies_by_job[job] > MAX_RETRANSMIT:
            return
        self.copies_by_job[job] += 1
        job.tries, job.started, job.excluded = 0, False, set()
        job.deadline = self.clock.monotonic() + DEADLINE
        job.host = self.random.choice([i for i in range(self.hosts) if i != self.dead])
        self.receive(job)
        self._retransmit_later(job, spread)

    def _suspect(self, index: int) -> None:
        if index != self.dead:
            self.suspects.add(index)
            self._update(index, self.servers)

    def _view_hosts(self, index: int) -> dict[str, EntryHost]:
        hosts = super()._view_hosts(index)
        if index in self.suspects:
            hosts[f"h{self.dead}"] = self._make_host(self.dead, HostState.SUSPECT)
        return hosts

    def _offer(self, job: Job) -> None:
        if job.host != self.dead:
            super()._offer(job)

    def _apply(self, decisions, index: int) -> None:
        if index != self.dead:
            super()._apply(decisions, index)

    def _answer(self, index: int, ticket_id: int, server, answer) -> None:
        if index != self.dead:
            super()._answer(index, ticket_id, server, answer)


def measure(hosts: int, servers: int, level: float, seed: int) -> dict:
    """Run a surge in which the home host with the most jobs dies."""
    harness = DeathHarness(seed, hosts, servers)
    had: list[Job] = []
    harness.at(DEATH_AT, lambda: had.extend(harness.kill_home()))
    rate = level * servers * SLOTS / MEAN_SHORT
    now = 0.0
    while (now := now + harness.random.expovariate(rate)) < LAST_OFFER:
        caller = harness.random.randrange(CALLERS)
        job = Job(caller, False, now, now + DEADLINE)
        harness.at(now, harness.call, job)
    harness.run(END)
    return _figures(harness, had)


def _figures(harness: DeathHarness, had: list[Job]) -> dict:
    copies = harness.copies_by_job
    resent = [job for job in harness.jobs if copies[job] > 1]
    ends = [(job, job.ended_at or job.refused_at) for job in resent]
    waits = [end - job.offered_at for job, end in ends if end is not None]
    return {
        "hosts": harness.hosts,
        "had": len(had),
        "had_started": sum(job.started for job in had),
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
