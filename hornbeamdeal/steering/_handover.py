"""Rate-limited transfer of flow records to their holders."""

from collections import deque
from typing import Any

from hornbeamdeal.kernel import SendPeerMessage
from hornbeamdeal.wire import peer_types

from ._keys import to_signed
from ._ownership import Ownership

# A record takes at most 24 bytes, so 40 of them and the envelope fit into the
# 1,200 bytes of a peer datagram.
RECORDS_PER_DATAGRAM = 40
RECORDS_PER_BULK_MESSAGE = 2000
RECORD_BYTES = 24


class Outbox:
    """Queues flow records and limits the rate at which they are sent.

    The limit is a token bucket that refills at `bytes_per_second` and holds
    `burst_bytes`, because records are most useful right after a change.
    """

    __slots__ = (
        "bytes_per_second",
        "burst_bytes",
        "_queues",
        "_tokens",
        "_refilled_at",
    )

    def __init__(self, bytes_per_second: float, burst_bytes: float):
        self.bytes_per_second = bytes_per_second
        self.burst_bytes = burst_bytes
        self._queues: dict[str, deque[tuple[int, int]]] = {}
        self._tokens = burst_bytes
        self._refilled_at = 0.0

    def add(self, host_id: str, key: int, digest: int) -> None:
        """Queue a record for a host."""
        self._queues.setdefault(host_id, deque()).append((key, digest))

    def is_empty(self) -> bool:
        """Return whether no records are queued."""
        return not self._queues

    def send_due(
        self,
        ownership: Ownership,
        version_number: int,
        servers_digest: bytes,
        now: float,
    ):
        """Return the messages that the rate limit allows now."""
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        tokens = self._tokens + elapsed * self.bytes_per_second
        self._tokens = min(self.burst_bytes, tokens)
        actions: list[Any] = []
        while self._queues and self._tokens >= 0:
            # Serves hosts in turn, so that a long queue does not delay the others.
            host_id = next(iter(self._queues))
            queue = self._queues.pop(host_id)
            records = [queue.popleft() for _ in range(_batch_size(queue))]
            if queue:
                self._queues[host_id] = queue
            host = ownership.host(host_id)
            if host is not None:
                self._tokens -= RECORD_BYTES * len(records)
                message = make_records_message(version_number, servers_digest, records)
                actions.append(SendPeerMessage(host.endpoint, message))
        return actions

    def send_all(
        self, ownership: Ownership, version_number: int, servers_digest: bytes
    ) -> list[Any]:
        """Return all queued records as bulk messages, without the rate limit."""
        actions: list[Any] = []
        for host_id, queue in self._queues.items():
            host = ownership.host(host_id)
            while queue and host is not None:
                size = min(len(queue), RECORDS_PER_BULK_MESSAGE)
                records = [queue.popleft() for _ in range(size)]
                message = make_records_message(version_number, servers_digest, records)
                actions.append(SendPeerMessage(host.endpoint, message, over_tcp=True))
        self._queues = {}
        return actions


def make_records_message(
    version_number: int, servers_digest: bytes, records, complete: bool = False
):
    """Return a message of records, stamped with the sender's version and servers."""
    items = [peer_types.FlowRecord(to_signed(k), to_signed(d)) for k, d in records]
    return peer_types.FlowRecords(version_number, servers_digest, items, complete)


def _batch_size(queue: deque) -> int:
    return min(len(queue), RECORDS_PER_DATAGRAM)
