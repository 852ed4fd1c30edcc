"""Callers of the lossy simulation: flows with short requests and with uploads."""

from .dsr_host import (
    FLAG_ACK,
    FLAG_SYN,
    SERVER_SEQUENCE,
    handle_in,
    is_reset,
    make_packet,
)

ONE_WAY_SECONDS = 0.003
OPENING_RETRANSMISSION_SECONDS = (0.2, 0.6)
DATA_RETRANSMISSION_SECONDS = (0.2, 0.6, 1.4)
DEADLINE_SECONDS = 1.5
# Share of requests whose service time is up to half a second.
LONG_REQUEST_SHARE = 0.05
REQUEST_BYTES = 100


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
        ahead_seconds = self.simulation.ahead_seconds
        if ahead_seconds:
            pause = self.simulation.random.uniform(0, ahead_seconds)
            self.simulation.schedule(pause, self.request)
        else:
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
