"""Event loop of one entry host: hands events to components, executes actions."""

import logging
import traceback
from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

import trio

from hornbeamdeal.kernel import (
    Clock,
    Endpoint,
    HornbeamdealError,
    IncrementCounter,
    PauseDetected,
    StopRequested,
)
from hornbeamdeal.observability import LogLimiter, Metrics
from hornbeamdeal.wire import BulkPort, DatagramHandler, PeerCodec, UdpPort

from ._active_configuration import ActiveConfiguration
from ._components import Components
from ._executor import Executor
from ._receiver import Receiver

TICK_SECONDS = 0.05
# A longer gap between two events means that the process was paused.
PAUSE_THRESHOLD_SECONDS = 1.0


class SupersededError(HornbeamdealError):
    """A newer process uses the same host identifier."""

    __slots__ = ()

    def __init__(self, host_id: str):
        super().__init__(
            f"a newer process uses host_id {host_id}; give each entry host its own"
        )


class EntryDriver:
    """Hands events to the components and executes the actions they return.

    It makes no decisions of its own.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    clock : Clock
        Source of monotonic time.
    components : Components
        Components that decide on events.
    configuration : ActiveConfiguration
        Document and host list in force.
    codec : PeerCodec
        Codec for messages between entry hosts.
    metrics : Metrics
        Counters of this process.
    logger : logging.Logger
        Logger of this process.
    """

    __slots__ = (
        "settings",
        "clock",
        "components",
        "configuration",
        "codec",
        "metrics",
        "logger",
        "fabric_port_",
        "server_port_",
        "peer_port_",
        "bulk_port_",
        "nursery_",
        "last_event_at_",
        "pending_actions_",
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
        configuration: ActiveConfiguration,
        codec: PeerCodec,
        metrics: Metrics,
        logger: logging.Logger,
    ):
        self.settings = settings
        self.clock = clock
        self.components = components
        self.configuration = configuration
        self.codec = codec
        self.metrics = metrics
        self.logger = logger
        self.pending_actions_: deque[Any] = deque()
        self.is_stopping_ = False
        self.log_limiter_ = LogLimiter()
        self.last_event_at_ = clock.monotonic()
        self.receiver_ = Receiver(driver=self)
        self.executor_ = Executor(driver=self)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Open the ports and serve until cancelled."""
        await self._open_ports()
        async with trio.open_nursery() as self.nursery_:
            for port in (self.fabric_port_, self.server_port_, self.peer_port_):
                self.nursery_.start_soon(port.run)
            self.nursery_.start_soon(self.bulk_port_.run)
            self.nursery_.start_soon(self._tick_forever)
            task_status.started()

    async def stop(self, timeout_seconds: float) -> None:
        """Finish requests in flight, then keep relaying flows for the linger time."""
        self.is_stopping_ = True
        self.handle_event(StopRequested(), self.components.all())
        self.log("stop_requested", patience_seconds=timeout_seconds)
        with trio.move_on_after(timeout_seconds):
            while not self.components.dispatcher.idle_:
                await trio.sleep(TICK_SECONDS)
        await trio.sleep(self.settings.linger.total_seconds())
        self.log("stopped", idle=self.components.dispatcher.idle_)

    def handle_event(self, event: Any, components: Iterable[Any]) -> None:
        """Hand one event to components and execute the actions they return."""
        now = self.clock.monotonic()
        self._check_pause(now)
        for component in components:
            self.pending_actions_.extend(component.handle(event, now))
        self._execute_pending(now)

    def execute(self, action: Any) -> None:
        """Execute an action that no component returned."""
        self.executor_.execute(action)

    def broadcast_event(self, event: Any) -> None:
        """Hand an event to all components and queue the actions they return."""
        now = self.clock.monotonic()
        for component in self.components.all():
            self.pending_actions_.extend(component.handle(event, now))

    def log(self, event: str, level: str = "info", **fields: Any) -> None:
        """Write one log line unless the event exceeds its rate limit."""
        if not self.log_limiter_.take_token(event, self.clock.monotonic()):
            return
        suppressed = self.log_limiter_.pop_suppressed_count(event)
        if suppressed:
            fields["suppressed"] = suppressed
        self.logger.log(getattr(logging, level.upper()), event, extra=fields)

    def _check_pause(self, now: float) -> None:
        gap = now - self.last_event_at_
        self.last_event_at_ = now
        if gap <= PAUSE_THRESHOLD_SECONDS:
            return
        self.handle_pause(gap, now)

    def handle_pause(self, seconds: float, now: float) -> None:
        """Hold all addresses and notify all components of a pause."""
        self.metrics.count(IncrementCounter("pauses"))
        self.log("pause_detected", "warning", seconds=round(seconds, 3))
        self.configuration.hold_after_pause(seconds)
        for component in self.components.all():
            self.pending_actions_.extend(component.handle(PauseDetected(seconds), now))

    def _execute_pending(self, now: float) -> None:
        while self.pending_actions_:
            action = self.pending_actions_.popleft()
            self.executor_.execute(action)
            if not self.pending_actions_ and self.configuration.is_update_due_:
                self._update_components(now)
        self.configuration.release_if_confirmed(
            not self.components.pause_check.is_running_
        )

    def _update_components(self, now: float) -> None:
        view = self.configuration.make_view(self.components.membership.members_, now)
        for component in self.components.all():
            self.pending_actions_.extend(component.update(view, now))

    async def _open_ports(self) -> None:
        settings = self.settings
        from_fabric = self.contain_errors(self.receiver_.receive_fabric)
        from_server = self.contain_errors(self.receiver_.receive_server)
        from_peer = self.contain_errors(self.receiver_.receive_peer)
        self.fabric_port_ = UdpPort(
            listen=settings.fabric_listen, handle_datagram=from_fabric
        )
        self.server_port_ = UdpPort(
            listen=settings.server_listen, handle_datagram=from_server
        )
        self.peer_port_ = UdpPort(
            listen=settings.peer_listen, handle_datagram=from_peer
        )
        self.bulk_port_ = BulkPort(
            listen=settings.peer_listen, handle_datagram=from_peer
        )
        for port in (self.fabric_port_, self.server_port_, self.peer_port_):
            await port.open()

    def contain_errors(self, receive: DatagramHandler) -> DatagramHandler:
        """Wrap a receive function so that its exceptions are logged, not raised.

        Otherwise a datagram that ends one host's process, sent by the fabric to
        every host in turn, would end them all.
        """

        def receive_contained(data: bytes, sender: Endpoint) -> None:
            # The datagram may have waited in the socket during a pause, so check
            # for the pause before the datagram is processed.
            self._check_pause(self.clock.monotonic())
            self.run_contained(partial(receive, data, sender), sender)

        return receive_contained

    def run_contained(self, step: Callable[[], None], source: Any) -> None:
        """Run one step; log and count an unexpected error instead of raising it."""
        try:
            step()
        except Exception:
            self.metrics.count(IncrementCounter("unexpected_errors"))
            detail = traceback.format_exc()
            self.log("unexpected_error", "error", sender=source, detail=detail)

    def _tick_component(self, component: Any, now: float) -> None:
        self.pending_actions_.extend(component.tick(now))

    async def _tick_forever(self) -> None:
        while True:
            await trio.sleep(TICK_SECONDS)
            self.tick()

    def tick(self) -> None:
        """Run the timers of all components and process waiting requests."""
        now = self.clock.monotonic()
        self._check_pause(now)
        for component in self.components.all():
            self.run_contained(partial(self._tick_component, component, now), "tick")
        self.run_contained(partial(self._execute_pending, now), "tick")
        self.run_contained(partial(self.receiver_.process_waiting, now), "tick")
        if self.components.membership.superseded_:
            self.log("superseded", "error", remedy="give each host its own host_id")
            raise SupersededError(self.settings.host_id)
