"""Simulated callers and live servers on links that lose packets."""

import heapq
import random

from hornbeamdeal.dsr import UnansweredPacket
from hornbeamdeal.kernel import ManualClock

from .dsr_callers import ONE_WAY_SECONDS, CallerFlow, UploadingFlow
from .dsr_host import Host, caller_in_reset, make_routes, make_server

SERVERS = 4
CALLERS = 12
PEER_DELAY_SECONDS = 0.1
PAUSE_SECONDS = 0.15
# Datagrams that would wait longer at a host's link are dropped.
LINK_BUFFER_SECONDS = 0.3
HEADER_BYTES = 28
# Hosts stand still for a while, after running for a while.
PAUSE_RANGE_SECONDS = (0.3, 4.0)
RUN_RANGE_SECONDS = (0.5, 3.0)


class LossySimulation:
    """Runs callers that open flows and send requests to live servers.

    `link_mbps` limits what each host sends. `uploaders` callers send long requests
    one after the other. With `pauses`, hosts stand still now and then, and what
    arrives meanwhile waits. A server holds at most `capacity` flows and ignores further
    opening packets. Callers pause for up to `pause_seconds` between requests, and for
    up to `ahead_seconds` between the handshake and the first one.

    `reset_delays` are the times from a lost request, or from the server's failure if that
    was later, to the reset; `given_up` counts requests at failed servers without one, and
    `untrue_resets` resets of flows at live servers.
    """

    def __init__(
        self,
        *,
        hosts,
        loss,
        random_state,
        link_mbps=None,
        uploaders=0,
        pauses=False,
        callers=CALLERS,
        capacity=None,
        pause_seconds=PAUSE_SECONDS,
        ahead_seconds=0.0,
    ):
        self.clock = ManualClock(10.0)
        self.loss = loss
        self.random = random.Random(random_state)
        self.uploaders = uploaders
        self.link_mbps = link_mbps
        self._link_free_at = {}
        self._pauses = pauses
        self.callers = callers
        self.capacity = capacity
        self.pause_seconds = pause_seconds
        self.ahead_seconds = ahead_seconds
        self.flows_by_caller = {}
        self.callers_by_handle = {}
        self.failed_at_by_handle = {}
        self.ignored_openings = 0
        self.reset_delays = []
        self.given_up = 0
        self.untrue_resets = 0
        self._waiting_by_host = {}
        self.uploaded = 0
        self.hosts = [
            Host(self.clock, random_state=i, link_mbps=link_mbps) for i in range(hosts)
        ]
        servers = [make_server(i + 1) for i in range(SERVERS)]
        for host in self.hosts:
            host.apply_update(servers, make_routes())
        self.answered = self.resets = 0
        self._queue = []
        self._order = 0

    def run(self, seconds):
        """Run for `seconds` of simulated time."""
        for index in range(self.callers):
            self.schedule(
                self.random.random(), lambda i=index: CallerFlow(self, i).open()
            )
        for index in range(self.callers, self.callers + self.uploaders):
            self.schedule(
                self.random.random(), lambda i=index: UploadingFlow(self, i).open()
            )
        self.schedule(PEER_DELAY_SECONDS, self._exchange_reports)
        for host in self.hosts if self._pauses else ():
            self.schedule(
                self.random.uniform(*RUN_RANGE_SECONDS), lambda h=host: self._pause(h)
            )
        end = self.clock.monotonic() + seconds
        while self._queue and self._queue[0][0] < end:
            at, _, action = heapq.heappop(self._queue)
            self.clock.seconds = at
            action()

    def schedule(self, seconds, action):
        """Schedule an action."""
        self._order += 1
        at = self.clock.monotonic() + seconds
        heapq.heappush(self._queue, (at, self._order, action))

    def fail_server(self, handle):
        """Let a server fail: it loses its flows and answers nothing more."""
        self.failed_at_by_handle[handle] = self.clock.monotonic()

    def accepts(self, handle, caller):
        """Return whether a server accepts a caller's flow; it is full otherwise."""
        held = self.callers_by_handle.setdefault(handle, set())
        if self.capacity is None or caller in held or len(held) < self.capacity:
            held.add(caller)
            return True
        self.ignored_openings += 1
        return False

    def record_reset(self, data):
        """Count a reset and tell the caller."""
        self.resets += 1
        flow = self.flows_by_caller.get(caller_in_reset(data))
        if flow is None or flow.handle not in self.failed_at_by_handle:
            self.untrue_resets += 1
        if flow is not None:
            flow.take_reset()

    def is_lost(self):
        """Return whether a packet is lost, at random."""
        return self.random.random() < self.loss

    def deliver(self, host, packet, handle_sent):
        """Deliver a packet to a host, or let it wait while the host stands still."""
        if host in self._waiting_by_host:
            self._waiting_by_host[host].append((packet, handle_sent))
        else:
            self._read(host, [(packet, handle_sent)])

    def _read(self, host, entries):
        now = self.clock.monotonic()
        arrived_at = host.forwarder.arrivals.start_turn(now)
        for packet, handle_sent in entries:
            for data, _ in host.receive(packet, arrived_at):
                handle_sent(data)
        host.forwarder.arrivals.end_batch(arrived_at, now, is_drained=True)

    def _pause(self, host):
        self._waiting_by_host[host] = []
        seconds = self.random.uniform(*PAUSE_RANGE_SECONDS)
        self.schedule(seconds, lambda: self._resume(host))

    def _resume(self, host):
        # The host's timers are due at once, before it reads what has arrived.
        self._tick(host)
        self._read(host, self._waiting_by_host.pop(host))
        seconds = self.random.uniform(*RUN_RANGE_SECONDS)
        self.schedule(seconds, lambda: self._pause(host))

    def _tick(self, host):
        now = self.clock.monotonic()
        before = len(host.sent)
        host.forwarder.arrivals.start_turn(now)
        host.forwarder.tick(now)
        for data, _ in host.sent[before:]:
            self.record_reset(data)

    def send_over_link(self, host, data, action):
        """Run an action once a datagram has left the host, unless it is dropped."""
        if self.link_mbps is None:
            self.schedule(ONE_WAY_SECONDS, action)
            return
        now = self.clock.monotonic()
        free_at = max(now, self._link_free_at.get(host, now))
        if free_at - now > LINK_BUFFER_SECONDS:
            return
        free_at += 8 * (len(data) + HEADER_BYTES) / (self.link_mbps * 1e6)
        self._link_free_at[host] = free_at
        self.schedule(free_at - now + ONE_WAY_SECONDS, action)

    def _exchange_reports(self):
        running = [host for host in self.hosts if host not in self._waiting_by_host]
        for sender in running:
            for server_id, packet in sender.server_health.pop_unsent():
                for host in self.hosts:
                    if host is not sender:
                        self._report(host, sender, server_id, packet)
        for host in running:
            self._tick(host)
        self.schedule(PEER_DELAY_SECONDS, self._exchange_reports)

    def _report(self, host, sender, server_id, packet):
        name = f"peer {self.hosts.index(sender)}"
        reported = UnansweredPacket(
            packet.sent_at, packet.caller, packet.retransmissions, name
        )
        seen_at = sender.server_health.local_progress_at(server_id)
        host.server_health.record_progress(server_id, seen_at)
        if host.server_health.local_progress_at(server_id) >= packet.sent_at:
            seen_at = host.server_health.local_progress_at(server_id)
            sender.server_health.record_progress(server_id, seen_at)
        host.server_health.record_unanswered(
            server_id, reported, self.clock.monotonic()
        )
