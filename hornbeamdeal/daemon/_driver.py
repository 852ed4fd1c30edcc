"""The trio driver of one entry host: events in, actions out, no decisions."""

import logging
import traceback
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

import trio
from result import Err

from hornbeamdeal import wire
from hornbeamdeal.kernel import (
    AcknowledgeRequest,
    Address,
    AddressKind,
    AnnouncePause,
    Answer,
    AnswerStatus,
    BackendServer,
    CancelDispatch,
    CancelReceived,
    Clock,
    Count,
    Dispatch,
    DropPacket,
    Endpoint,
    ForwardPacket,
    HornbeamdealError,
    HostListInUse,
    LogEvent,
    MembersChanged,
    PacketReceived,
    PauseDetected,
    PeerReceived,
    PlatformRead,
    PutInForce,
    ReadPlatform,
    RelayPacket,
    RelayRequest,
    ReplyToCaller,
    Request,
    RequestReceived,
    SendPeer,
    ServerAnswered,
    StopRequested,
    UseHostList,
    VersionInForce,
)
from hornbeamdeal.observability import LogLimiter, Metrics
from hornbeamdeal.wire import peer_types

from ._ports import BulkPort, Receive, UdpPort
from ._world import World

TICK_SECONDS = 0.05
# A gap this long between two events means that the process did not run.
PAUSE_SECONDS = 1.0
HELD_RETRY_SECONDS = 5.0
TOKEN_BYTES = 8
MESSAGE_IDS = 1 << 16


class SupersededError(HornbeamdealError):
    """A newer process runs under the same host identifier."""

    __slots__ = ()

    def __init__(self, host_id: str):
        super().__init__(
            f"a newer process runs as {host_id}; give each entry host its own host_id"
        )


@dataclass(frozen=True, slots=True)
class Relay:
    """How a caller's datagram came here: relayed by a peer, or not at all."""

    hops: int = 0
    host_id: str = ""
    endpoint: Endpoint | None = None


NO_RELAY = Relay()


class Components:
    """The decision components of one entry host."""

    __slots__ = (
        "membership",
        "dissemination",
        "pause_check",
        "steering",
        "dispatcher",
    )

    def __init__(self, *, membership, dissemination, pause_check, steering, dispatcher):
        self.membership = membership
        self.dissemination = dissemination
        self.pause_check = pause_check
        self.steering = steering
        self.dispatcher = dispatcher

    def all(self) -> tuple[Any, ...]:
        """Return all components in the order of their updates."""
        return (
            self.membership,
            self.dissemination,
            self.pause_check,
            self.steering,
            self.dispatcher,
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
        "message_id_",
        "is_stopping_",
        "carry_out_by_type_",
        "log_limiter_",
    )

    def __init__(
        self,
        *,
        settings: Any,
        clock: Clock,
        components: Components,
        world: World,
        codec: wire.PeerCodec,
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
        self.message_id_ = 0
        self.is_stopping_ = False
        self.log_limiter_ = LogLimiter()
        self.last_event_at_ = clock.monotonic()
        self.carry_out_by_type_ = self._handlers()

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
        self._announce_pause(gap, now)

    def _announce_pause(self, seconds: float, now: float) -> None:
        self.metrics.count(Count("pauses"))
        self.log("pause_detected", "warning", seconds=round(seconds, 3))
        self.world.note_pause(seconds)
        for component in self.components.all():
            self.pending_.extend(component.handle(PauseDetected(seconds), now))

    def _carry_out_pending(self, now: float) -> None:
        while self.pending_:
            action = self.pending_.popleft()
            self.carry_out_by_type_[type(action)](action)
            if not self.pending_ and self.world.is_changed_:
                self._update_components(now)
        self.world.set_confirmed(not self.components.pause_check.is_open_)

    def _update_components(self, now: float) -> None:
        view = self.world.make_view(self.components.membership.members_, now)
        for component in self.components.all():
            self.pending_.extend(component.update(view, now))

    async def _open_ports(self) -> None:
        settings = self.settings
        from_fabric = self._guard(self._receive_fabric)
        from_server = self._guard(self._receive_server)
        from_peer = self._guard(self._receive_peer)
        self.fabric_port_ = UdpPort(listen=settings.fabric_listen, receive=from_fabric)
        self.server_port_ = UdpPort(listen=settings.server_listen, receive=from_server)
        self.peer_port_ = UdpPort(listen=settings.peer_listen, receive=from_peer)
        self.bulk_port_ = BulkPort(listen=settings.peer_listen, receive=from_peer)
        for port in (self.fabric_port_, self.server_port_, self.peer_port_):
            await port.open()

    def _guard(self, receive: Receive) -> Receive:
        """Keep one datagram that meets a fault from ending the whole process.

        The fabric may hand the same datagram to every host in turn.
        """

        def receive_guarded(data: bytes, sender: Endpoint) -> None:
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
            now = self.clock.monotonic()
            self._check_pause(now)
            for component in self.components.all():
                self.pending_.extend(component.tick(now))
            self._carry_out_pending(now)
            if self.components.membership.superseded_:
                self.log("superseded", "error", remedy="give each host its own host_id")
                raise SupersededError(self.settings.host_id)

    # Receiving

    def _receive_fabric(self, data: bytes, sender: Endpoint) -> None:
        decoded = wire.decode_proxied(data)
        if isinstance(decoded, Err):
            self._count_malformed("fabric", decoded.err_value)
            return
        datagram = decoded.ok_value
        address = self.world.address_of(datagram.destination)
        if address is None:
            self.metrics.count(Count("dropped", "unknown_address"))
            return
        self._receive_from_caller(datagram.payload, datagram.source, address)

    def _receive_from_caller(
        self,
        payload: bytes,
        caller: Endpoint,
        address: Address,
        relay: Relay = NO_RELAY,
    ) -> None:
        is_held = self.world.is_held(address.endpoint, self.clock.monotonic())
        if address.kind is AddressKind.REQUESTS:
            self._receive_request(payload, caller, address, relay, is_held)
        elif is_held:
            self.metrics.count(Count("dropped", "address_held", address.service))
        else:
            packet = wire.decode_packet(
                address.codec, payload, caller, address.endpoint
            )
            packet = replace(packet, hops=relay.hops, relayed_by=relay.host_id)
            self.feed(PacketReceived(packet), (self.components.steering,))

    def _receive_request(self, payload, caller, address, relay, is_held) -> None:
        decoded = wire.decode_request(payload, caller, address.endpoint)
        if isinstance(decoded, Err):
            self._count_malformed("caller", decoded.err_value)
            return
        message = decoded.ok_value
        if isinstance(message, wire.CancelMessage):
            event = CancelReceived(caller, address.endpoint, message.message_id)
            self.feed(event, (self.components.dispatcher,))
        elif isinstance(message, Request) and is_held:
            self._refuse_held(message, address.service)
        elif isinstance(message, Request):
            request = replace(message, hops=relay.hops, relayed_by=relay.endpoint)
            self.feed(RequestReceived(request), (self.components.dispatcher,))

    def _refuse_held(self, request: Request, service: str) -> None:
        self.metrics.count(Count("requests_refused", "address_held", service))
        answer = Answer(
            AnswerStatus.NOT_RUN, reason="address_held", retry_after=HELD_RETRY_SECONDS
        )
        self._reply(ReplyToCaller(request, answer))

    def _receive_server(self, data: bytes, sender: Endpoint) -> None:
        proxied = wire.decode_proxied(data)
        if proxied.is_ok():
            self._pass_to_caller(proxied.ok_value, sender)
            return
        decoded = wire.decode_server_message(data)
        if isinstance(decoded, Err):
            self._count_malformed("server", decoded.err_value)
            return
        message = decoded.ok_value
        if not isinstance(message, wire.ServerMessage):
            return
        server = self._hear_server(sender)
        exchange_id = int.from_bytes(message.token, "big")
        server_id = server.server_id if server else ""
        event = ServerAnswered(server_id, exchange_id, message.answer)
        self.feed(event, (self.components.dispatcher,))

    def _hear_server(self, sender: Endpoint) -> BackendServer | None:
        server = self.world.server_at(sender)
        if server is not None:
            self.components.steering.hear_server(server.server_id)
        return server

    def _pass_to_caller(self, datagram: wire.ProxiedDatagram, sender: Endpoint) -> None:
        server = self._hear_server(sender)
        address = self.world.address_of(datagram.destination)
        if server is None or address is None or server.service != address.service:
            self.metrics.count(Count("dropped", "foreign_server_datagram"))
            return
        payload = datagram.payload
        if address.codec == "coap":

            def make_handle(token: bytes) -> bytes | None:
                return self.components.steering.make_handle(server, token)

            payload = wire.add_flow_handle(payload, make_handle)
        data = wire.encode_proxied(datagram.source, datagram.destination, payload)
        self.fabric_port_.send(data, self.settings.fabric)

    def _receive_peer(self, data: bytes, sender: Endpoint) -> None:
        decoded = self.codec.decode(data)
        if isinstance(decoded, Err):
            self._count_malformed("peer", decoded.err_value)
            return
        datagram = decoded.ok_value
        message = datagram.message
        if isinstance(message, peer_types.RelayedPacket | peer_types.RelayedRequest):
            relay = Relay(message.hops, datagram.host_id, sender)
            self._receive_relayed(message, relay)
            return
        event = PeerReceived(datagram.host_id, datagram.incarnation, sender, message)
        self.feed(event, self.components.all())

    def _receive_relayed(self, message: Any, relay: Relay) -> None:
        address = self.world.address_of(
            Endpoint(message.address_ip, message.address_port)
        )
        if address is None:
            self.metrics.count(Count("dropped", "unknown_address"))
            return
        is_packet = isinstance(message, peer_types.RelayedPacket)
        payload = message.payload if is_packet else message.datagram
        caller = Endpoint(message.caller_ip, message.caller_port)
        self._receive_from_caller(payload, caller, address, relay)

    def _count_malformed(self, origin: str, error: wire.MalformedMessageError) -> None:
        self.metrics.count(Count("malformed", f"{origin}_{error.reason}"))
        self.log("malformed_message", "warning", origin=origin, detail=error)

    # Carrying out

    def _handlers(self) -> dict[type, Any]:
        return {
            ForwardPacket: self._forward_packet,
            RelayPacket: self._relay_packet,
            RelayRequest: self._relay_request,
            DropPacket: self._drop_packet,
            Dispatch: self._dispatch,
            CancelDispatch: self._cancel_dispatch,
            AcknowledgeRequest: self._acknowledge,
            ReplyToCaller: self._reply,
            SendPeer: self._send_peer,
            ReadPlatform: self._start_read,
            PutInForce: self._put_in_force,
            UseHostList: self._use_host_list,
            MembersChanged: self._mark_changed,
            AnnouncePause: self._take_pause,
            Count: self.metrics.count,
            LogEvent: self._log_event,
        }

    def _forward_packet(self, action: ForwardPacket) -> None:
        packet = action.packet
        data = wire.encode_proxied(
            packet.caller, packet.address, packet.payload, action.server.service
        )
        self.server_port_.send(data, action.server.endpoint)

    def _relay_packet(self, action: RelayPacket) -> None:
        packet = action.packet
        host = self.components.membership.members_.get(action.host_id)
        if host is None:
            self.metrics.count(Count("dropped", "owner_unknown"))
            return
        message = peer_types.RelayedPacket(
            packet.caller.ip,
            packet.caller.port,
            packet.address.ip,
            packet.address.port,
            packet.payload,
            packet.hops + 1,
        )
        self.metrics.count(Count("relayed_packets"))
        self.peer_port_.send(self.codec.encode(message), host.endpoint)

    def _relay_request(self, action: RelayRequest) -> None:
        request = action.request
        message = peer_types.RelayedRequest(
            request.caller.ip,
            request.caller.port,
            request.address.ip,
            request.address.port,
            request.datagram,
            request.hops + 1,
        )
        self.metrics.count(Count("relayed_requests"))
        self.peer_port_.send(self.codec.encode(message), action.endpoint)

    def _drop_packet(self, action: DropPacket) -> None:
        address = self.world.address_of(action.packet.address)
        service = address.service if address else ""
        self.metrics.count(Count("dropped", action.reason, service))

    def _dispatch(self, action: Dispatch) -> None:
        data = wire.encode_request(
            action.request,
            action.server.service,
            action.exchange_id.to_bytes(TOKEN_BYTES, "big"),
            action.exchange_id % MESSAGE_IDS,
            action.deadline - self.clock.monotonic(),
        )
        self.server_port_.send(data, action.server.endpoint)

    def _cancel_dispatch(self, action: CancelDispatch) -> None:
        data = wire.encode_cancel(action.exchange_id % MESSAGE_IDS)
        self.server_port_.send(data, action.server.endpoint)

    def _acknowledge(self, action: AcknowledgeRequest) -> None:
        data = wire.encode_acknowledgement(action.request.message_id)
        self._send_to_caller(action.request, data)

    def _reply(self, action: ReplyToCaller) -> None:
        self.message_id_ = (self.message_id_ + 1) % MESSAGE_IDS
        data = wire.encode_answer(action.request, action.answer, self.message_id_)
        self._send_to_caller(action.request, data)

    def _send_to_caller(self, request: Request, payload: bytes) -> None:
        data = wire.encode_proxied(request.caller, request.address, payload)
        self.fabric_port_.send(data, self.settings.fabric)

    def _send_peer(self, action: SendPeer) -> None:
        data = self.codec.encode(action.message)
        if action.bulk or len(data) > wire.MAXIMUM_DATAGRAM_BYTES:
            self.nursery_.start_soon(self.bulk_port_.send, data, action.endpoint)
        else:
            self.peer_port_.send(data, action.endpoint)
        self.metrics.count(Count("peer_bytes_sent", amount=len(data)))

    def _start_read(self, action: ReadPlatform) -> None:
        self.nursery_.start_soon(self._read_platform, action)

    async def _read_platform(self, action: ReadPlatform) -> None:
        target = f"/v1/{action.key}"
        if action.after_revision is not None:
            target += f"?after={action.after_revision}"
        self.metrics.count(Count("platform_calls"))
        source_ip = self.settings.peer_listen.ip
        response = await wire.get(self.settings.platform, target, source_ip)
        event = make_platform_event(action, response)
        self.feed(event, (self.components.dissemination,))

    def _put_in_force(self, action: PutInForce) -> None:
        errors = self.world.put_in_force(action.content)
        if errors:
            self.metrics.count(Count("documents_rejected"))
            self.log(
                "document_rejected", "error", version=action.version, detail=errors[0]
            )
            return
        self.metrics.set_gauge("version_in_force", action.version.number)
        self.log("document_in_force", version=action.version)
        self._feed_later(VersionInForce(action.version))

    def _use_host_list(self, action: UseHostList) -> None:
        errors = self.world.use_host_list(action.content)
        if errors:
            self.metrics.count(Count("host_lists_rejected"))
            self.log("host_list_rejected", "error", detail=errors[0])
            return
        self.log("host_list_used", revision=action.revision)
        entries = self.world.host_list_.entry_hosts_by_id.values()
        endpoints = tuple(entry.endpoint for entry in entries)
        self._feed_later(HostListInUse(action.revision, endpoints))

    def _feed_later(self, event: Any) -> None:
        now = self.clock.monotonic()
        for component in self.components.all():
            self.pending_.extend(component.handle(event, now))

    def _take_pause(self, action: AnnouncePause) -> None:
        # The length is unknown: the clock stood still with the process.
        self._announce_pause(0.0, self.clock.monotonic())

    def _mark_changed(self, action: MembersChanged) -> None:
        self.world.is_changed_ = True

    def _log_event(self, action: LogEvent) -> None:
        self.log(action.event, action.level, **action.fields)


def make_platform_event(action: ReadPlatform, response: Any) -> PlatformRead:
    """Turn the result of a read into an event."""
    if isinstance(response, Err):
        return PlatformRead(action.key, None, error=str(response.err_value))
    answer = response.ok_value
    if answer.status == 404:
        return PlatformRead(action.key, None)
    if answer.status == 304:
        return PlatformRead(action.key, None, action.after_revision or 0, "unchanged")
    if answer.status != 200:
        return PlatformRead(action.key, None, error=f"status {answer.status}")
    revision = int(answer.headers.get("x-revision", "0"))
    return PlatformRead(action.key, answer.body, revision)
