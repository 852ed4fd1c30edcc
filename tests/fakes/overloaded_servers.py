"""A stepped model of servers, hosts and callers under load, without a network."""

import heapq
import random
from collections import deque
from itertools import count

from fakes.dsr_host import RecordingJournal

from hornbeamdeal.dsr import (
    AnswerTimes,
    OutstandingRequests,
    OverloadAdmission,
    Route,
    Server,
    ZoneSpill,
    make_placement,
)
from hornbeamdeal.dsr._arrival_bound import ArrivalBound
from hornbeamdeal.dsr._flow_table import Flow

SLOTS, QUEUE = 2, 8
SERVICE_SECONDS = (0.019, 0.040)
AIM_SECONDS = 0.4
# A host records a failure this long after the request.
FAILURE_SECONDS = AIM_SECONDS + 0.3
MAXIMUM_ATTEMPTS = 3
# Unanswered opening packets put a server out of rotation after this time.
OUT_SECONDS = 0.6
TRIAL_INTERVAL_SECONDS = 2.0


class ModelServer:
    """A server with slots and a queue that sheds what doesn't fit."""

    def __init__(self, record):
        self.record = record
        self.busy = 0
        self.queue = deque()
        self.is_up = True
        # A server that hangs accepts flows, so that it stays in rotation.
        self.is_hanging = False


class ModelHost:
    """The components of one host that decide about new flows."""

    def __init__(self, zone, seed):
        self.zone = zone
        self.seed = seed
        self.journal = RecordingJournal()
        self.paused_until = 0.0
        self.spills = self.admits = True
        self.arrivals = ArrivalBound()
        self.restart()

    def restart(self):
        """Start anew without any state."""
        self.out_ids = set()
        self.outstanding = OutstandingRequests()
        self.answer_times = AnswerTimes(
            arrivals=self.arrivals, is_out=self.out_ids.__contains__
        )
        self.zone_spill = ZoneSpill(
            zone=self.zone,
            answer_times=self.answer_times,
            journal=self.journal,
            random_state=self.seed,
        )
        self.admission = OverloadAdmission(
            answer_times=self.answer_times,
            zone_spill=self.zone_spill,
            journal=self.journal,
            random_state=self.seed,
        )
        self.placement = make_placement(
            "least_outstanding",
            outstanding=self.outstanding,
            zone=self.zone,
            random_state=self.seed,
        )

    def resume(self):
        """Go on after a pause."""
        self.arrivals.resumed_at = self.paused_until

    def events(self, name):
        return [fields for n, fields in self.journal.events if n == name]

    @property
    def spilled_share(self):
        spill = self.zone_spill.spills_by_service_.get("s")
        return spill.share if spill else 0.0

    @property
    def level(self):
        shedding = self.admission.shedding_by_service_.get("s")
        return shedding.level if shedding else 0.0

    def observe(self, name, *arguments):
        for observer in (self.answer_times, self.zone_spill, self.admission):
            getattr(observer, name)(*arguments)


class Request:
    """One request of a caller, with up to three attempts."""

    def __init__(self, route, caller, zone, at):
        self.route = route
        self.caller = caller
        self.zone = zone
        self.at = at
        self.attempts = 0
        self.refusals = 0
        self.sheds = 0
        self.seconds = None
        self.server_id = None

    @property
    def is_answered_in_time(self):
        return self.seconds is not None and self.seconds <= self.route.aim_seconds


class OverloadedService:
    """Runs requests through hosts and servers in order of time."""

    def __init__(self, *, zones=("z1",), hosts=24, servers=6, seed=1):
        self.random = random.Random(seed)
        self.now = 0.0
        self.requests = []
        self.servers = [
            ModelServer(
                Server(
                    server_id=f"{zone}-{index}",
                    number=bytes(8),
                    service="s",
                    address=("10.1.0.1", index),
                    zone=zone,
                    slots=SLOTS,
                    is_draining=False,
                )
            )
            for zone in zones
            for index in range(servers)
        ]
        self.servers_by_id = {s.record.server_id: s for s in self.servers}
        self.hosts_by_zone = {
            zone: [ModelHost(zone, seed * 1000 + i) for i in range(hosts)]
            for zone in zones
        }
        self.reachable_zones = {zone: set(zones) for zone in zones}
        self.closed_zones = set()
        self._events = []
        self._order = count()

    @property
    def hosts(self):
        return [host for hosts in self.hosts_by_zone.values() for host in hosts]

    def at(self, at, call, *arguments):
        """Call a function at a time."""
        heapq.heappush(self._events, (at, next(self._order), call, arguments))

    def add_load(self, route, per_second, start, end, *, zone="z1", callers=range(100)):
        """Add requests at random times, each of a random caller."""
        at = start
        while (at := at + self.random.expovariate(per_second)) < end:
            self.add_request(route, self.random.choice(callers), zone, at)

    def add_request(self, route, caller, zone, at):
        """Add one request."""
        self.requests.append(Request(route, caller, zone, at))
        self.at(at, self._open, self.requests[-1])

    def pause(self, host, seconds):
        """Stop a host now, whose packets then wait in its socket."""
        host.paused_until = self.now + seconds
        self.at(host.paused_until, host.resume)

    def run(self, until):
        """Handle all events before a time."""
        while self._events and self._events[0][0] < until:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = until

    def select(self, start, end, route=None, callers=None):
        """Return the requests of an interval."""
        return [
            r
            for r in self.requests
            if start <= r.at < end
            and route in (None, r.route.name)
            and (callers is None or r.caller in callers)
        ]

    def _open(self, request):
        host = self.random.choice(self.hosts_by_zone[request.zone])
        request.attempts += 1
        if self.now < host.paused_until:
            self._retry(request)
            return
        if host.admits and not host.admission.admits(
            request.route, request.caller, self.now
        ):
            request.refusals += 1
            self._retry(request)
            return
        candidates = [
            s.record
            for s in self.servers
            if s.record.zone not in self.closed_zones
            and s.record.server_id not in host.out_ids
        ]
        if host.spills:
            candidates = host.zone_spill.filter(candidates, self.now)
        record = host.placement.choose(candidates, self.now)
        host.placement.record_placement(record, self.now)
        flow = Flow(self.now)
        host.outstanding.start(flow, record, self.now)
        server = self.servers_by_id[record.server_id]
        work = (request, host, host.outstanding, flow, self.now)
        is_reached = record.zone in self.reachable_zones[request.zone]
        if not (server.is_up and is_reached):
            self.at(self.now + FAILURE_SECONDS, self._fail, record, work)
            self.at(self.now + OUT_SECONDS, self._set_out, host, record)
        elif server.is_hanging:
            self.at(self.now + FAILURE_SECONDS, self._fail, record, work)
        elif server.busy < SLOTS:
            self._start(server, work)
        elif len(server.queue) < QUEUE:
            server.queue.append(work)
        else:
            request.sheds += 1
            self.at(self.now + FAILURE_SECONDS, self._fail, record, work)
            self._retry(request)

    def _retry(self, request):
        if request.attempts < MAXIMUM_ATTEMPTS:
            delay = self.random.uniform(0.05, 0.2)
            self.at(self.now + delay, self._open, request)

    def _start(self, server, work):
        server.busy += 1
        seconds = self.random.uniform(*SERVICE_SECONDS)
        self.at(self.now + seconds, self._finish, server, work)

    def _finish(self, server, work):
        request, host, *_ = work
        server.busy -= 1
        if server.queue:
            self._start(server, server.queue.popleft())
        request.seconds = self.now - request.at
        request.server_id = server.record.server_id
        if self.now < host.paused_until:
            # The host handles the acknowledgement as soon as it goes on.
            self.at(host.paused_until, self._acknowledge, server, work)
        else:
            self._acknowledge(server, work)

    def _acknowledge(self, server, work):
        request, host, outstanding, flow, placed_at = work
        if outstanding is not host.outstanding:
            # The host has restarted and has no record of the flow.
            return
        outstanding.finish(flow)
        seconds = self.now - placed_at
        host.observe("record_answer", request.route, server.record, seconds, self.now)
        host.admission.record_work(request.route, request.caller, self.now)

    def _set_out(self, host, record):
        """Leave a server out that does not answer, until its next trial."""
        host.out_ids.add(record.server_id)
        retry_at = self.now + TRIAL_INTERVAL_SECONDS
        self.at(retry_at, host.out_ids.discard, record.server_id)

    def _fail(self, record, work):
        request, host, outstanding, flow, placed_at = work
        if outstanding is not host.outstanding or placed_at < host.arrivals.resumed_at:
            return
        outstanding.finish(flow)
        host.observe("record_failure", request.route, record, self.now)


def make_route(name, priority):
    """Return a route to the modeled service."""
    return Route(
        address_key=name.encode(),
        name=name,
        weights_by_service={"s": 1.0},
        priority=priority,
        aim_seconds=AIM_SECONDS,
    )


def answered_share(requests):
    """Return the share of requests answered within the latency objective."""
    return sum(r.is_answered_in_time for r in requests) / len(requests)
