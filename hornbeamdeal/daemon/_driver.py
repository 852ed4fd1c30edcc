"""The trio driver of one entry host: events in, actions out, no decisions."""

import logging
import traceback
from collections import deque
from collections.abc import Iterable
from typing import Any

import trio

from hornbeamdeal.kernel import (
    Clock,
    Count,
    Endpoint,
    HornbeamdealError,
    PauseDetected,
    StopRequested,
)
from hornbeamdeal.observability import LogLimiter, Metrics
from hornbeamdeal.wire import BulkPort, PeerCodec, Receive, UdpPort

from ._components import Components
from ._executor import Executor
from ._receiver import Receiver
from ._world import World

TICK_SECONDS = 0.05
# A gap this long between two events means that the process did not run.
PAUSE_SECONDS = 1.0


class SupersededError(HornbeamdealError):
    """A newer process runs under the same host identifier."""

    __slots__ = ()

    def __init__(self, host_id: str):
        super().__init__(
            f"a newer process runs as {host_id}; give each entry host its own host_id"
        )


class EntryDriver:
    """Feeds the components with events and carries out their actions.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    clock : Clock
        Source of monotonic time.
    components : Components
        The decision components.
    world : World
        What is in force: document, host list, members.
    codec : PeerCodec
        Codec for messages between entry hosts.
    metrics : Metrics
        Counters of this process.
    logger : logging.Logger
        Receiver of log events.
    """

    __slots__ = (
        "settings",
        "clock",
        "components",
        "world",
        "codec",
        "metrics",
        "logger",
        "fabric_port_",
        "server_port_",
        "peer_port_",
        "bulk_port_",
        "nursery_",
        "last_event_at_",
        "pending_",
        "is_stopping_",
        "receiver_",
        "executor_",
        "log_limiter_",
    )

    def __init__(
        self,
        *,
        settings: Any,
        clock: Clock,
        components: Components,
        world: World,
        codec: PeerCodec,
        metrics: Metrics,
        logger: logging.Logger,
    ):
        self.settings = settings
        self.clock = clock
        self.components = components
        self.world = world
        self.codec = codec
        self.metrics = metrics
        self.logger = logger
        self.pending_: deque[Any] = deque()
        self.is_stopping_ = False
        self.log_limiter_ = LogLimiter()
        self.last_event_at_ = clock.monotonic()
        self.receiver_ = Receiver(driver=self)
        self.executor_ = Executor(driver=self)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        await self._open_ports()
        async with trio.open_nursery() as self.nursery_:
            for port in (self.fabric_port_, self.server_port_, self.peer_port_):
                self.nursery_.start_soon(port.run)
            self.nursery_.start_soon(self.bulk_port_.run)
            self.nursery_.start_soon(self._tick_forever)
            task_status.started()

    async def stop(self, patience_seconds: float) -> None:
        """Shut down gracefully: finish work in flight, then linger for flows."""
        self.is_stopping_ = True
        self.feed(StopRequested(), self.components.all())
        self.log("stop_requested", patience_seconds=patience_seconds)
        with trio.move_on_after(patience_seconds):
            while not self.components.dispatcher.idle_:
                await trio.sleep(TICK_SECONDS)
        await trio.sleep(self.settings.linger.total_seconds())
        self.log("stopped", idle=self.components.dispatcher.idle_)

    def feed(self, event: Any, components: Iterable[Any]) -> None:
        """Hand one event to components and carry out what they answer."""
        now = self.clock.monotonic()
        self._check_pause(now)
        for component in components:
            self.pending_.extend(component.handle(event, now))
        self._carry_out_pending(now)

    def carry_out(self, action: Any) -> None:
        """Carry out an action that no component asked for."""
        self.executor_.carry_out(action)

    def hand_over(self, event: Any) -> None:
        """Hand an event to all components while actions are carried out."""
        now = self.clock.monotonic()
        for component in self.components.all():
            self.pending_.extend(component.handle(event, now))

    def log(self, event: str, level: str = "info", **fields: Any) -> None:
        """Write one log line, unless the event floods the log."""
        if not self.log_limiter_.allows(event, self.clock.monotonic()):
            return
        suppressed = self.log_limiter_.take_suppressed(event)
        if suppressed:
            fields["suppressed"] = suppressed
        self.logger.log(getattr(logging, level.upper()), event, extra=fields)

    def _check_pause(self, now: float) -> None:
        gap = now - self.last_event_at_
        self.last_event_at_ = now
        if gap <= PAUSE_SECONDS:
            return
        self.announce_pause(gap, now)

    def announce_pause(self, seconds: float, now: float) -> None:
        """Hold all addresses and tell all components of a pause."""
        self.metrics.count(Count("pauses"))
        self.log("pause_detected", "warning", seconds=round(seconds, 3))
        self.world.note_pause(seconds)
        for component in self.components.all():
            self.pending_.extend(component.handle(PauseDetected(seconds), now))

    def _carry_out_pending(self, now: float) -> None:
        while self.pending_:
            action = self.pending_.popleft()
            self.executor_.carry_out(action)
            if not self.pending_ and self.world.is_changed_:
                self._update_components(now)
        self.world.set_confirmed(not self.components.pause_check.is_open_)

    def _update_components(self, now: float) -> None:
        view = self.world.make_view(self.components.membership.members_, now)
        for component in self.components.all():
            self.pending_.extend(component.update(view, now))

    async def _open_ports(self) -> None:
        settings = self.settings
        from_fabric = self.guard(self.receiver_.receive_fabric)
        from_server = self.guard(self.receiver_.receive_server)
        from_peer = self.guard(self.receiver_.receive_peer)
        self.fabric_port_ = UdpPort(listen=settings.fabric_listen, receive=from_fabric)
        self.server_port_ = UdpPort(listen=settings.server_listen, receive=from_server)
        self.peer_port_ = UdpPort(listen=settings.peer_listen, receive=from_peer)
        self.bulk_port_ = BulkPort(listen=settings.peer_listen, receive=from_peer)
        for port in (self.fabric_port_, self.server_port_, self.peer_port_):
            await port.open()

    def guard(self, receive: Receive) -> Receive:
        """Keep one datagram that meets a fault from ending the whole process.

        The fabric may hand the same datagram to every host in turn.
        """

        def receive_guarded(data: bytes, sender: Endpoint) -> None:
            # Before anything is decided about the datagram: it may have waited
            # in the socket while the process did not run.
            self._check_pause(self.clock.monotonic())
            try:
                receive(data, sender)
            except Exception:
                self.metrics.count(Count("unexpected_errors"))
                detail = traceback.format_exc()
                self.log("unexpected_error", "error", sender=sender, detail=detail)

        return receive_guarded

    async def _tick_forever(self) -> None:
        while True:
            await trio.sleep(TICK_SECONDS)
            self.tick()

    def tick(self) -> None:
        """Let all components do what is due, and serve requests that waited."""
        now = self.clock.monotonic()
        self._check_pause(now)
        for component in self.components.all():
            self.pending_.extend(component.tick(now))
        self._carry_out_pending(now)
        self.receiver_.serve_waiting(now)
        if self.components.membership.superseded_:
            self.log("superseded", "error", remedy="give each host its own host_id")
            raise SupersededError(self.settings.host_id)
