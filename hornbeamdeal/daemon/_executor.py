"""Executes the actions that the components return."""

from functools import partial
from typing import Any

from result import Err

from hornbeamdeal import wire
from hornbeamdeal.kernel import (
    UNCHANGED,
    AcknowledgeRequest,
    ApplyHostList,
    BroadcastPause,
    CancelDispatchedRequest,
    DispatchRequest,
    DropPacket,
    ForwardPacket,
    HostListApplied,
    IncrementCounter,
    LogEvent,
    PlatformReadCompleted,
    PutInForce,
    ReadPlatform,
    RebuildView,
    RelayPacket,
    RelayRequest,
    ReplyToCaller,
    Request,
    SendPeerMessage,
    VersionInForce,
)
from hornbeamdeal.wire import peer_types

REVISION_HEADER = "x-revision"
# Rises by one each time that the platform is restored from an older copy.
EPOCH_HEADER = "x-epoch"
MAXIMUM_NUMBER = 2**63 - 1
MAXIMUM_DIGITS = 19
TOKEN_BYTES = 8
MESSAGE_ID_COUNT = 1 << 16


class Executor:
    """Executes each type of action by its handler.

    Parameters
    ----------
    driver : EntryDriver
        Owner of the ports, the configuration and the metrics.
    """

    __slots__ = ("driver", "message_id_", "handlers_by_type_")

    def __init__(self, *, driver: Any):
        self.driver = driver
        self.message_id_ = 0
        self.handlers_by_type_ = self._handlers()

    def execute(self, action: Any) -> None:
        """Execute one action."""
        self.handlers_by_type_[type(action)](action)

    def _handlers(self) -> dict[type, Any]:
        return {
            ForwardPacket: self._forward_packet,
            RelayPacket: self._relay_packet,
            RelayRequest: self._relay_request,
            DropPacket: self._drop_packet,
            DispatchRequest: self._dispatch,
            CancelDispatchedRequest: self._cancel_dispatch,
            AcknowledgeRequest: self._acknowledge,
            ReplyToCaller: self._reply,
            SendPeerMessage: self._send_peer,
            ReadPlatform: self._start_platform_read,
            PutInForce: self._put_in_force,
            ApplyHostList: self._use_host_list,
            RebuildView: self._schedule_view_update,
            BroadcastPause: self._handle_announced_pause,
            IncrementCounter: self.driver.metrics.count,
            LogEvent: self._log_event,
        }

    def _forward_packet(self, action: ForwardPacket) -> None:
        packet = action.packet
        data = wire.encode_proxied(
            packet.caller, packet.address, packet.payload, action.server.service
        )
        self.driver.server_port_.send(data, action.server.endpoint)

    def _relay_packet(self, action: RelayPacket) -> None:
        packet = action.packet
        host = self.driver.components.membership.members_.get(action.host_id)
        if host is None:
            self.driver.metrics.count(IncrementCounter("dropped", "owner_unknown"))
            return
        message = peer_types.RelayedPacket(
            packet.caller.ip,
            packet.caller.port,
            packet.address.ip,
            packet.address.port,
            packet.payload,
            packet.hops + 1,
        )
        self.driver.metrics.count(IncrementCounter("relayed_packets"))
        self.driver.peer_port_.send(self.driver.codec.encode(message), host.endpoint)

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
        self.driver.peer_port_.send(self.driver.codec.encode(message), action.endpoint)

    def _drop_packet(self, action: DropPacket) -> None:
        address = self.driver.configuration.address_of(action.packet.address)
        service = address.service if address else ""
        self.driver.metrics.count(IncrementCounter("dropped", action.reason, service))

    def _dispatch(self, action: DispatchRequest) -> None:
        data = wire.encode_request(
            action.request,
            action.server.service,
            action.exchange_id.to_bytes(TOKEN_BYTES, "big"),
            action.exchange_id % MESSAGE_ID_COUNT,
            action.deadline - self.driver.clock.monotonic(),
        )
        self.driver.server_port_.send(data, action.server.endpoint)

    def _cancel_dispatch(self, action: CancelDispatchedRequest) -> None:
        data = wire.encode_cancel(action.exchange_id % MESSAGE_ID_COUNT)
        self.driver.server_port_.send(data, action.server.endpoint)

    def _acknowledge(self, action: AcknowledgeRequest) -> None:
        data = wire.encode_acknowledgement(action.request.message_id)
        self._send_to_caller(action.request, data)

    def _reply(self, action: ReplyToCaller) -> None:
        self.message_id_ = (self.message_id_ + 1) % MESSAGE_ID_COUNT
        data = wire.encode_answer(action.request, action.answer, self.message_id_)
        self._send_to_caller(action.request, data)

    def _send_to_caller(self, request: Request, payload: bytes) -> None:
        data = wire.encode_proxied(request.caller, request.address, payload)
        self.driver.fabric_port_.send(data, self.driver.settings.fabric)

    def _send_peer(self, action: SendPeerMessage) -> None:
        data = self.driver.codec.encode(action.message)
        if action.over_tcp or len(data) > wire.MAXIMUM_DATAGRAM_BYTES:
            self.driver.nursery_.start_soon(
                self.driver.bulk_port_.send, data, action.endpoint
            )
        else:
            self.driver.peer_port_.send(data, action.endpoint)
        self.driver.metrics.count(IncrementCounter("peer_bytes_sent", amount=len(data)))

    def _start_platform_read(self, action: ReadPlatform) -> None:
        self.driver.nursery_.start_soon(self._read_platform, action)

    async def _read_platform(self, action: ReadPlatform) -> None:
        target = f"/v1/{action.key}"
        if action.after_revision is not None:
            target += f"?after={action.after_revision}"
            if action.epoch:
                target += f"&epoch={action.epoch}"
        self.driver.metrics.count(IncrementCounter("platform_calls"))
        source_ip = self.driver.settings.peer_listen.ip
        response = await wire.get(self.driver.settings.platform, target, source_ip)
        self.handle_platform_answer(action, response)

    def handle_platform_answer(self, action: ReadPlatform, response: Any) -> None:
        """Hand the platform's answer to the dissemination component."""
        event = make_platform_event(action, response)
        components = (self.driver.components.dissemination,)
        handle = partial(self.driver.handle_event, event, components)
        self.driver.run_contained(handle, "platform")

    def _put_in_force(self, action: PutInForce) -> None:
        errors = self.driver.configuration.put_in_force(action.content)
        if errors:
            self.driver.metrics.count(IncrementCounter("documents_rejected"))
            self.driver.log(
                "document_rejected", "error", version=action.version, detail=errors[0]
            )
            return
        self.driver.metrics.set_gauge("version_in_force", action.version.number)
        self.driver.log("document_in_force", version=action.version)
        self.driver.broadcast_event(VersionInForce(action.version))

    def _use_host_list(self, action: ApplyHostList) -> None:
        errors = self.driver.configuration.use_host_list(action.content)
        if errors:
            self.driver.metrics.count(IncrementCounter("host_lists_rejected"))
            self.driver.log("host_list_rejected", "error", detail=errors[0])
            return
        self.driver.log("host_list_used", revision=action.revision)
        entries = self.driver.configuration.host_list_.entry_hosts_by_id.values()
        endpoints = tuple(entry.endpoint for entry in entries)
        self.driver.broadcast_event(HostListApplied(action.revision, endpoints))

    def _handle_announced_pause(self, action: BroadcastPause) -> None:
        # The length is unknown: the clock did not advance during this pause.
        self.driver.handle_pause(0.0, self.driver.clock.monotonic())

    def _schedule_view_update(self, action: RebuildView) -> None:
        self.driver.configuration.is_update_due_ = True

    def _log_event(self, action: LogEvent) -> None:
        self.driver.log(action.event, action.level, **action.fields)


def make_platform_event(action: ReadPlatform, response: Any) -> PlatformReadCompleted:
    """Convert the platform's response to a read into an event."""
    if isinstance(response, Err):
        return PlatformReadCompleted(action.key, None, error=str(response.err_value))
    answer = response.ok_value
    revision = _decode_number(answer.headers.get(REVISION_HEADER, "0"))
    epoch = _decode_number(answer.headers.get(EPOCH_HEADER, "0"))
    if epoch is None:
        return PlatformReadCompleted(action.key, None, error="epoch is no number")
    if answer.status == 404:
        return PlatformReadCompleted(action.key, None, epoch=epoch)
    if answer.status == 304:
        return PlatformReadCompleted(
            action.key, None, action.after_revision or 0, UNCHANGED, epoch
        )
    if answer.status != 200:
        return PlatformReadCompleted(action.key, None, error=f"status {answer.status}")
    if revision is None:
        return PlatformReadCompleted(action.key, None, error="revision is no number")
    return PlatformReadCompleted(action.key, answer.body, revision, epoch=epoch)


def _decode_number(text: str) -> int | None:
    """Return a number of at most 63 bits, or None if the text is none."""
    is_number = text.isdecimal() and text.isascii() and len(text) <= MAXIMUM_DIGITS
    number = int(text) if is_number else None
    return number if number is None or number <= MAXIMUM_NUMBER else None
