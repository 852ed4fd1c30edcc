"""Callers of the load tool, which send CoAP requests and watch flows over UDP."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from hornbeamdeal.kernel import Endpoint
from hornbeamdeal.wire import (
    CallerMessage,
    decode_caller_message,
    encode_caller_request,
    encode_registration,
)

MAXIMUM_DATAGRAM_BYTES = 65507
# Transmission parameters of RFC 7252, section 4.8.
ACK_TIMEOUT_SECONDS = 2.0
ACK_RANDOM_FACTOR = 1.5
MAXIMUM_RETRANSMISSIONS = 4
MESSAGE_ID_COUNT = 1 << 16
TOKEN_BYTES = 6


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Outcome of a request. `seconds` and `retry_after` are in seconds."""

    code: str
    payload: bytes
    seconds: float
    retry_after: int | None = None


class Caller:
    """Caller with its own UDP socket.

    Parameters
    ----------
    address : Endpoint
        Service address.
    random_state : int
        Seed of tokens and retransmission times.
    """

    __slots__ = ("address", "random_", "socket_", "message_id_", "channels_by_token_")

    def __init__(self, *, address: Endpoint, random_state: int):
        self.address = address
        self.random_ = random.Random(random_state)
        self.message_id_ = self.random_.randrange(MESSAGE_ID_COUNT)
        self.channels_by_token_: dict[bytes, trio.MemorySendChannel] = {}

    async def open(self) -> None:
        """Open the socket."""
        self.socket_ = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await self.socket_.bind(("127.0.0.1", 0))

    async def run(self) -> None:
        """Pass received messages to the requests of their tokens until cancelled."""
        while True:
            data, _ = await self.socket_.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            decoded = decode_caller_message(data)
            if decoded.is_err() or decoded.ok_value.is_acknowledgement:
                continue
            channel = self.channels_by_token_.get(decoded.ok_value.token)
            if channel is not None:
                try:
                    channel.send_nowait(decoded.ok_value)
                except trio.WouldBlock:
                    continue

    async def submit(
        self, method: str, path: str, payload: bytes, timeout: float
    ) -> RequestResult:
        """Submit a request; repeat it with a run token if the answer asks for one.

        The result has the code NO_ANSWER after `timeout` seconds without an answer.
        """
        started_at = trio.current_time()
        run_token = None
        with trio.move_on_after(timeout):
            message = await self._exchange(method, path, payload, None)
            if message.code == "UNAUTHORIZED" and message.echo:
                run_token = message.echo
                message = await self._exchange(method, path, payload, run_token)
            seconds = trio.current_time() - started_at
            return RequestResult(
                message.code, message.payload, seconds, message.retry_after
            )
        return RequestResult("NO_ANSWER", b"", trio.current_time() - started_at)

    async def _exchange(self, method, path, payload, run_token) -> CallerMessage:
        token = self.random_.randbytes(TOKEN_BYTES)
        data = encode_caller_request(
            method, path, token, self._next_message_id(), payload, run_token
        )
        send_channel, receive_channel = trio.open_memory_channel(8)
        self.channels_by_token_[token] = send_channel
        timeout = ACK_TIMEOUT_SECONDS * self.random_.uniform(1, ACK_RANDOM_FACTOR)
        try:
            for _ in range(MAXIMUM_RETRANSMISSIONS + 1):
                await self._send(data)
                with trio.move_on_after(timeout):
                    return await receive_channel.receive()
                timeout *= 2
            return await receive_channel.receive()
        finally:
            del self.channels_by_token_[token]

    async def _send(self, data: bytes) -> None:
        await self.socket_.sendto(data, (self.address.ip, self.address.port))

    def _next_message_id(self) -> int:
        self.message_id_ = (self.message_id_ + 1) % MESSAGE_ID_COUNT
        return self.message_id_


@dataclass(slots=True)
class FlowObservations:
    """What a watching caller has observed of its flow."""

    server: str = ""
    notifications: int = 0
    handle: bytes | None = None
    is_broken: bool = False
    is_closed: bool = False
    servers: set[str] = field(default_factory=set)


class Watcher(Caller):
    """Caller that watches a resource and refreshes its registration.

    `read_server` returns the server's name from a notification's payload. A flow
    counts as broken when another server than before notifies it, or when a message
    has another code than CONTENT.
    """

    __slots__ = ("path", "refresh_seconds", "read_server", "observations_")

    def __init__(
        self,
        *,
        address: Endpoint,
        random_state: int,
        path: str,
        refresh_seconds: float,
        read_server: Callable[[bytes], str],
    ):
        super().__init__(address=address, random_state=random_state)
        self.path = path
        self.refresh_seconds = refresh_seconds
        self.read_server = read_server
        self.observations_ = FlowObservations()

    async def watch(self) -> None:
        """Register the flow and refresh it until cancelled."""
        token = self.random_.randbytes(TOKEN_BYTES)
        send_channel, receive_channel = trio.open_memory_channel(64)
        self.channels_by_token_[token] = send_channel
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._record_notifications, receive_channel)
            while True:
                await self._register(token)
                jitter = self.random_.uniform(0.8, 1.2)
                await trio.sleep(self._registration_interval() * jitter)

    def _registration_interval(self) -> float:
        # Repeat an unanswered registration before a refresh is due.
        if self.observations_.notifications == 0:
            return min(ACK_TIMEOUT_SECONDS, self.refresh_seconds)
        return self.refresh_seconds

    async def _register(self, token: bytes) -> None:
        message_id = self._next_message_id()
        handle = self.observations_.handle
        await self._send(encode_registration(token, message_id, self.path, handle))

    async def _record_notifications(self, channel) -> None:
        async for message in channel:
            observations = self.observations_
            if message.code != "CONTENT":
                observations.is_broken = True
                continue
            observations.notifications += 1
            observations.handle = message.echo or observations.handle
            server = self.read_server(message.payload)
            observations.servers.add(server)
            if observations.server and server != observations.server:
                observations.is_broken = True
            observations.server = server
