"""Hosts, servers and failures of a run, stepped on virtual time."""

import heapq
import random
from itertools import count

from .uneven_deployments import (
    DEPLOYMENTS,
    END_SECONDS,
    EVENT_AT_SECONDS,
    EVENT_SECONDS,
    Case,
)
from .uneven_hosts import Host
from .uneven_servers import FakeServer, make_servers, make_update

TICK_SECONDS = 0.1
RESTART_SECONDS = 1.0  # a restarting host drops packets for so long
SLOW_FACTOR = 5
PEER_DELAY_SECONDS = 0.0005
REPORT_PEERS = 8  # as PeerSync sends reports of speeds


class Stage:
    """Hosts and servers of a case, and the queue of what happens next.

    `on_sent` is called with a host and what it sent.
    """

    def __init__(self, case: Case, on_sent):
        self.case, self.deployment = case, DEPLOYMENTS[case.deployment]
        self.now, self._events, self._numbers = 0.0, [], count()
        self.random = random.Random(case.seed)
        self._peer_random = random.Random(case.seed)  # keeps the demand the same
        self._cut_zone, self._on_sent = "", on_sent
        zones, speeds = self.deployment.zones, self.deployment.speeds
        records = make_servers(self.deployment)
        self.update = make_update(self.deployment, records)
        self.servers = [
            FakeServer(
                r, speeds[i // zones % len(speeds)], self.schedule, case.seed + i
            )
            for i, r in enumerate(records)
        ]
        self.hosts = [
            Host(index, self.deployment, case.variant, case.seed)
            for index in range(case.hosts or self.deployment.hosts)
        ]
        self.hosts_by_zone = {
            f"z{i}": [h for h in self.hosts if h.zone == f"z{i}"] for i in range(zones)
        }

    def schedule(self, delay: float, action, *arguments) -> None:
        """Call an action after a delay in seconds."""
        event = (self.now + delay, next(self._numbers), action, arguments)
        heapq.heappush(self._events, event)

    def run(self) -> None:
        """Step until nothing is left to happen."""
        for host in self.hosts:
            host.start(0.0, self.update)
            self.schedule(self.random.random() * TICK_SECONDS, self._tick, host)
        self.schedule(EVENT_AT_SECONDS, self._begin_failure)
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def is_cut(self, zone: str, other: str) -> bool:
        """Return whether packets between two zones are lost."""
        return zone != other and self._cut_zone in (zone, other)

    def _tick(self, host: Host) -> None:
        self._on_sent(host, host.tick(self.now))
        report = host.make_report(self.now)
        if report:
            self._send_report(host, report)
        if self.now < END_SECONDS:
            self.schedule(TICK_SECONDS, self._tick, host)

    def _send_report(self, host: Host, report: bytes) -> None:
        peers = [peer for peer in self.hosts_by_zone[host.zone] if peer is not host]
        for peer in self._peer_random.sample(peers, min(len(peers), REPORT_PEERS)):
            host.messages += 1
            host.message_bytes += len(report)
            self.schedule(PEER_DELAY_SECONDS, self._receive_report, peer, report)

    def _receive_report(self, peer: Host, report: bytes) -> None:
        peer.receive_report(report, self.now)

    def _begin_failure(self) -> None:
        failure, server = self.case.failure, self.servers[0]
        if failure == "slow_server":
            server.speed /= SLOW_FACTOR
        elif failure == "failing_server":
            server.fails = True
        elif failure == "zone_cut":
            self._cut_zone = "z1"
        elif failure.startswith("restart"):
            for host in self.hosts if failure == "restart_all" else self.hosts[:1]:
                host.is_up = False
                self.schedule(RESTART_SECONDS, self._restart, host)
        self.schedule(EVENT_SECONDS, self._end_failure)

    def _restart(self, host: Host) -> None:
        host.start(self.now, self.update)

    def _end_failure(self) -> None:
        server = self.servers[0]
        server.speed *= SLOW_FACTOR if self.case.failure == "slow_server" else 1
        server.fails, self._cut_zone = False, ""
