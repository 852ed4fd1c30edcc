"""Simulated callers and live servers on links that lose packets."""

import heapq
import random

from hornbeamdeal.dsr import UnansweredPacket
from hornbeamdeal.kernel import ManualClock

from .dsr_host import (
    FLAG_ACK,
    FLAG_SYN,
    SERVER_SEQUENCE,
    Host,
    caller_in_reset,
    handle_in,
    is_reset,
    make_packet,
    make_routes,
    make_server,
)

SERVERS = 4
CALLERS = 12
ONE_WAY_SECONDS = 0.003
PEER_DELAY_SECONDS = 0.1
OPENING_RETRANSMISSION_SECONDS = (0.2, 0.6)
DATA_RETRANSMISSION_SECONDS = (0.2, 0.6, 1.4)
DEADLINE_SECONDS = 1.5
PAUSE_SECONDS = 0.15
# Share of requests whose service time is up to half a second.
LONG_REQUEST_SHARE = 0.05
REQUEST_BYTES = 100
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
    opening packets. Callers pause for up to `pause_seconds` between requests.

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


class CallerFlow:
    """One flow of a caller: opens, sends requests, then opens the next flow."""

    def __init__(self, simulation, index, port=1000):
        self.simulation = simulation
        self.index = index
        self.caller = f"100.64.0.{index + 1}:{port}"
        self.port = port
        self.host = simulation.hosts[(index + port) % len(simulation.hosts)]
        self.handle = None
        self.sequence = 1
        self.ack = SERVER_SEQUENCE
        self.is_done = False
        self.awaited_since = None

    def open(self):
        """Send the opening packet and schedule its retransmissions."""
        self.simulation.flows_by_caller[self.caller] = self
        for copy, delay in enumerate((0.0, *OPENING_RETRANSMISSION_SECONDS)):
            self.simulation.schedule(delay, lambda c=copy: self._open(c))
        self.simulation.schedule(DEADLINE_SECONDS, self._give_up_opening)

    def _open(self, copy):
        if self.handle is None:
            packet = make_packet(self.caller, FLAG_SYN, sequence=0, ack=copy)
            self._deliver(packet, self._answer_opening)

    def _deliver(self, packet, answer):
        """Deliver a packet to the host and on to the server, or lose it."""
        simulation = self.simulation

        def handle_sent(data):
            if is_reset(data):
                simulation.record_reset(data)
            elif handle_in(data) in simulation.failed_at_by_handle:
                return
            elif not simulation.is_lost() and not simulation.is_lost():
                simulation.send_over_link(self.host, data, lambda: answer(data))

        if not simulation.is_lost():
            simulation.deliver(self.host, packet, handle_sent)

    def _answer_opening(self, data):
        if self.handle is not None or self.is_done:
            return
        if not self.simulation.accepts(handle_in(data), self.caller):
            return
        self.handle = handle_in(data)
        packet = make_packet(
            self.caller, FLAG_ACK, sequence=1, ack=self.ack, echo=self.handle
        )
        self._deliver(packet, lambda data: None)
        self.request()

    def request(self):
        """Send a request and retransmit it until the server acknowledges it."""
        if self.is_done:
            return
        self.awaited_since = self.simulation.clock.monotonic()
        service_seconds = self.simulation.random.expovariate(1 / 0.03)
        if self.simulation.random.random() < LONG_REQUEST_SHARE:
            service_seconds = self.simulation.random.uniform(0.2, 0.5)
        state = {
            "acknowledged": False,
            "answered": False,
            "service_seconds": service_seconds,
        }
        for delay in (0.0, *DATA_RETRANSMISSION_SECONDS):
            self.simulation.schedule(delay, lambda s=state: self._send(s))
        self.simulation.schedule(DEADLINE_SECONDS, lambda s=state: self._check(s))

    def _send(self, state):
        if state["acknowledged"] or state["answered"] or self.is_done:
            return
        packet = make_packet(
            self.caller,
            FLAG_ACK,
            sequence=self.sequence,
            ack=self.ack,
            echo=self.handle,
            data=b"r" * REQUEST_BYTES,
        )
        self._deliver(packet, lambda data: self._receive_at_server(state))

    def _receive_at_server(self, state):
        # The server acknowledges every second packet: the first one of a request only
        # with its answer, a retransmission at once.
        if "reached" in state:
            state["acknowledged"] = True
            return
        state["reached"] = True
        self.simulation.schedule(state["service_seconds"], lambda: self._answer(state))

    def _answer(self, state):
        if self.simulation.is_lost():
            self.simulation.schedule(0.2, lambda: self._answer(state))
            return
        is_failed = self.handle in self.simulation.failed_at_by_handle
        if state["answered"] or is_failed or self.is_done:
            return
        state["answered"] = True
        self.awaited_since = None
        self.simulation.answered += 1
        self.sequence += REQUEST_BYTES
        self.ack += 2000
        packet = make_packet(
            self.caller,
            FLAG_ACK,
            sequence=self.sequence,
            ack=self.ack,
            echo=self.handle,
        )
        self._deliver(packet, lambda data: None)
        self.simulation.schedule(
            self.simulation.random.uniform(0, self.simulation.pause_seconds),
            self._continue,
        )

    def _continue(self):
        if self.simulation.random.random() < 0.3:
            self._open_next()
        else:
            self.request()

    def _check(self, state):
        if not state["answered"] and not self.is_done:
            if self.handle in self.simulation.failed_at_by_handle:
                self.simulation.given_up += 1
            self._open_next()

    def _give_up_opening(self):
        if self.handle is None:
            self._open_next()

    def take_reset(self):
        """Open the next flow; record how long the caller waited for the reset."""
        failed_at = self.simulation.failed_at_by_handle.get(self.handle)
        if failed_at is not None and self.awaited_since is not None:
            lost_at = max(failed_at, self.awaited_since)
            delay = self.simulation.clock.monotonic() - lost_at
            self.simulation.reset_delays.append(delay)
        self._open_next()

    def _open_next(self):
        if not self.is_done:
            self.is_done = True
            self.simulation.callers_by_handle.get(self.handle, set()).discard(
                self.caller
            )
            type(self)(self.simulation, self.index, self.port + 1).open()


class UploadingFlow(CallerFlow):
    """One flow of a caller that sends a long request, 16 packets ahead at most.

    The server acknowledges all data that it has without a gap. The caller repeats
    the first packet that is missing.
    """

    PACKETS = 34
    PACKET_BYTES = 1200
    WINDOW = 16
    LONGEST_TIMER_SECONDS = 1.6
    UPLOAD_SECONDS = 6.0

    def request(self):
        """Send the first window of the request."""
        self.acknowledged = self.next_packet = 0
        self.received = set()
        self.timer_seconds = DATA_RETRANSMISSION_SECONDS[0]
        self.timer_version = 0
        self._send_window()
        self.simulation.schedule(self.UPLOAD_SECONDS, self._open_next)

    def _send_window(self):
        end = min(self.acknowledged + self.WINDOW, self.PACKETS)
        while self.next_packet < end and not self.is_done:
            self._send_packet(self.next_packet)
            self.next_packet += 1
        self._start_timer()

    def _start_timer(self):
        self.timer_version += 1
        version = self.timer_version
        self.simulation.schedule(self.timer_seconds, lambda: self._time_out(version))

    def _time_out(self, version):
        is_finished = self.is_done or self.acknowledged == self.PACKETS
        if version != self.timer_version or is_finished:
            return
        self._send_packet(self.acknowledged)
        self.timer_seconds = min(2 * self.timer_seconds, self.LONGEST_TIMER_SECONDS)
        self._start_timer()

    def _send_packet(self, number):
        packet = make_packet(
            self.caller,
            FLAG_ACK,
            sequence=1 + number * self.PACKET_BYTES,
            ack=self.ack,
            echo=self.handle,
            data=b"u" * self.PACKET_BYTES,
        )
        self._deliver(packet, lambda data: self._receive_packet(number))

    def _receive_packet(self, number):
        self.received.add(number)
        acknowledged = self.acknowledged
        while acknowledged in self.received:
            acknowledged += 1
        if not self.simulation.is_lost():
            self.simulation.schedule(
                ONE_WAY_SECONDS, lambda: self._take_acknowledgement(acknowledged)
            )

    def _take_acknowledgement(self, acknowledged):
        if acknowledged <= self.acknowledged or self.is_done:
            return
        self.acknowledged = acknowledged
        self.timer_seconds = DATA_RETRANSMISSION_SECONDS[0]
        if acknowledged == self.PACKETS:
            self.simulation.uploaded += 1
            self._open_next()
        else:
            self._send_window()
