"""Sends and receives messages between a node and its peers."""

from functools import partial
from typing import Any

import trio

from hornbeamdeal.kernel import (
    Clock,
    Endpoint,
    PeerMessageReceived,
    SendPeerMessage,
    StopRequested,
)
from hornbeamdeal.wire import BulkPort, PeerCodec, PeerDatagram, UdpPort

from ._base import Journal
from ._environment import EnvironmentCheck
from ._link_queue import LinkQueue
from ._packet_io import call_guarded, log_unexpected_error
from ._peer_sync import PeerSync
from ._records import RouteTable, Update

TICK_SECONDS = 0.1
# Larger messages are sent over TCP.
MAXIMUM_DATAGRAM_BYTES = 1200
# Minimum interval between two log lines on messages of other environments. A host with a
# wrong seed sends about one message a second.
FOREIGN_LOG_INTERVAL_SECONDS = 10.0


class Peering:
    """Exchanges messages with peers over UDP, and large ones over TCP.

    Messages of hosts of other environments are dropped.
    """

    __slots__ = (
        "bulk_port_",
        "clock",
        "codec",
        "environment",
        "peer_sync",
        "journal",
        "link_queue",
        "listen",
        "port_",
    )
    __slots__ += ("_foreign_log_due", "_nursery")

    def __init__(
        self,
        *,
        clock: Clock,
        codec: PeerCodec,
        environment: EnvironmentCheck,
        peer_sync: PeerSync,
        journal: Journal,
        link_queue: LinkQueue,
        listen: Endpoint,
    ):
        self.clock = clock
        self.codec = codec
        self.environment = environment
        self.peer_sync = peer_sync
        self.journal = journal
        self.link_queue = link_queue
        self.listen = listen
        self._foreign_log_due = float("-inf")
        self.port_ = UdpPort(listen=listen, handle_datagram=self._receive)
        self.bulk_port_ = BulkPort(
            listen=listen,
            handle_datagram=self._receive,
            record_error=partial(log_unexpected_error, journal),
        )

    async def run(self) -> None:
        """Exchange messages with peers until cancelled."""
        await self.port_.open()
        async with trio.open_nursery() as self._nursery:
            self._nursery.start_soon(self.port_.run)
            self._nursery.start_soon(self.bulk_port_.run)
            while True:
                call_guarded(self.journal, self._tick)
                await trio.sleep(TICK_SECONDS)

    def broadcast(self, update: Update, previous: RouteTable | None) -> None:
        """Send an answer of the store to the peers, in a large fleet through relays."""
        now = self.clock.monotonic()
        self._execute(self.peer_sync.broadcast(update, previous, now))

    def leave(self) -> None:
        """Notify peers that this host stops."""
        now = self.clock.monotonic()
        self._execute(self.peer_sync.handle(StopRequested(), now))

    def _tick(self) -> None:
        now = self.clock.monotonic()
        actions = self.peer_sync.tick(now)
        self.codec.environments = self.environment.names(now)
        self.codec.incarnation = self.peer_sync.membership.own.incarnation
        self._execute(actions)

    def _receive(self, data: bytes, sender: Endpoint) -> None:
        decoded = self.codec.decode(data)
        if decoded.is_err():
            self.journal.count("peer_messages_dropped", decoded.err_value.reason)
            return
        datagram = decoded.ok_value
        now = self.clock.monotonic()
        if not self.environment.recognizes(datagram.environments, now):
            self._record_foreign(datagram, sender, now)
            return
        event = PeerMessageReceived(
            datagram.host_id,
            datagram.incarnation,
            Endpoint(sender.ip, self.listen.port),
            datagram.message,
        )
        # A message with missing fields must not end the process.
        call_guarded(self.journal, self._handle, event)

    def _record_foreign(
        self, datagram: PeerDatagram, sender: Endpoint, now: float
    ) -> None:
        self.journal.count("peer_messages_dropped", "foreign_environment")
        if now < self._foreign_log_due:
            return
        self._foreign_log_due = now + FOREIGN_LOG_INTERVAL_SECONDS
        self.journal.event(
            "foreign_environment",
            sender=sender,
            peer=datagram.host_id,
            peer_environment=",".join(datagram.environments),
            environment=",".join(self.environment.names(now)),
        )

    def _handle(self, event: Any) -> None:
        self._execute(self.peer_sync.handle(event, self.clock.monotonic()))

    def _execute(self, actions: list[Any]) -> None:
        encoded: dict[int, bytes] = {}
        for action in actions:
            if isinstance(action, SendPeerMessage):
                key = id(action.message)
                if key not in encoded:
                    encoded[key] = self.codec.encode(action.message)
                self._send(encoded[key], action)
            else:
                self._log(action)

    def _send(self, data: bytes, action: SendPeerMessage) -> None:
        self.journal.count("peer_messages_sent", type(action.message).__name__)
        self.link_queue.add(len(data), self.clock.monotonic())
        if action.over_tcp or len(data) > MAXIMUM_DATAGRAM_BYTES:
            self._nursery.start_soon(self.bulk_port_.send, data, action.endpoint)
        else:
            self.port_.send(data, action.endpoint)

    def _log(self, action: Any) -> None:
        event = getattr(action, "event", None)
        if event is not None:
            self.journal.event(event, **action.fields)
