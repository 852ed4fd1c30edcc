"""Hosts of one zone that place requests on servers of differing speeds."""

import heapq
import random
from collections import Counter, deque

from hornbeamdeal.dsr import (
    Catalog,
    Flow,
    OutstandingRequests,
    ServerSpeeds,
    SpeedExchange,
    Update,
    make_placement,
)

from .dsr_host import RecordingJournal, make_routes, make_server

QUEUE_LIMIT = 8
TICK_SECONDS = 0.1
LONG_SHARE, LONG_FACTOR = 0.03, 7
SERVICE_SECONDS = (0.019, 0.040)
# From the host to the server, on to the caller and back to the host.
NETWORK_SECONDS = 0.0075


class SimulatedHost:
    """A host's placement, estimates and exchange, without packets."""

    def __init__(self, servers, policy, random_state):
        self.journal = RecordingJournal()
        self.catalog = Catalog()
        update = Update(base_revision=None, revision=1, servers=servers)
        self.catalog.apply(update, 0.0)
        self.outstanding = OutstandingRequests()
        self.speeds = ServerSpeeds(journal=self.journal)
        self.exchange = SpeedExchange(
            server_speeds=self.speeds, catalog=self.catalog, journal=self.journal
        )
        parameters = {"zone": "z1", "random_state": random_state}
        if policy == "expected_wait":
            parameters["server_speeds"] = self.speeds
        self.placement = make_placement(
            policy, outstanding=self.outstanding, **parameters
        )


class SpeedSimulation:
    """Event simulation of requests with one flow each.

    `factors` holds the factor by which each server's service times are longer.
    """

    def __init__(
        self, *, hosts, factors, rate, policy="expected_wait", random_state=1, peers=8
    ):
        self.random = random.Random(random_state)
        self.servers = [make_server(i + 1) for i in range(len(factors))]
        self.factors = dict(zip(self.servers, factors, strict=True))
        self.hosts = [
            SimulatedHost(self.servers, policy, random_state + i) for i in range(hosts)
        ]
        self.rate, self.peers, self.now = rate, peers, 0.0
        self.slots = 2
        for server in self.servers:
            server.slots = self.slots
        self.running = Counter()
        self.queues = {server: deque() for server in self.servers}
        self.failing = None
        self.failure_seconds = NETWORK_SECONDS
        [self.route] = make_routes().routes_by_key.values()
        self.placed = []
        self.seconds = []
        self.shed = 0
        self._events, self._number = [], 0
        self._schedule(0.0, self._arrive)
        self._schedule(TICK_SECONDS, self._tick)

    def run(self, until):
        """Run to a time; return the servers of flows placed meanwhile, with times."""
        first = len(self.placed)
        while self._events[0][0] < until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = until
        return self.placed[first:]

    def _schedule(self, delay, action, *arguments):
        self._number += 1
        event = (self.now + delay, self._number, action, arguments)
        heapq.heappush(self._events, event)

    def _arrive(self):
        self._schedule(self.random.expovariate(self.rate), self._arrive)
        host = self.random.choice(self.hosts)
        server = host.placement.choose(self.servers, self.now)
        host.placement.record_placement(server, self.now)
        flow = Flow(self.now)
        host.outstanding.start(flow, server, self.now)
        self.placed.append((self.now, server))
        if server is self.failing:
            self._schedule(self.failure_seconds, self._fail, host, flow)
        elif self.running[server] < self.slots:
            self._serve(host, flow, server)
        elif len(self.queues[server]) < QUEUE_LIMIT:
            self.queues[server].append((host, flow))
        else:
            self.shed += 1
            self._schedule(NETWORK_SECONDS, self._fail, host, flow)

    def _serve(self, host, flow, server):
        self.running[server] += 1
        seconds = self.random.uniform(*SERVICE_SECONDS) * self.factors[server]
        if self.random.random() < LONG_SHARE:
            seconds *= LONG_FACTOR
        self._schedule(seconds, self._end, host, flow, server)

    def _end(self, host, flow, server):
        self.running[server] -= 1
        if self.queues[server]:
            self._serve(*self.queues[server].popleft(), server)
        self._schedule(NETWORK_SECONDS, self._answer, host, flow, server)

    def _answer(self, host, flow, server):
        seconds = self.now - flow.awaited_since
        host.speeds.record_handshake(self.route, NETWORK_SECONDS, self.now)
        self.seconds.append(seconds)
        host.speeds.record_answer(self.route, server, seconds, self.now)
        host.outstanding.finish(flow)

    def _fail(self, host, flow):
        host.speeds.record_failure(self.route, flow.awaited_server, self.now)
        host.outstanding.finish(flow)

    def _tick(self):
        self._schedule(TICK_SECONDS, self._tick)
        for host in self.hosts:
            message = host.exchange.make_report(self.now)
            others = [other for other in self.hosts if other is not host]
            if message is not None:
                for peer in self.random.sample(others, min(self.peers, len(others))):
                    peer.exchange.apply(message, self.now)
