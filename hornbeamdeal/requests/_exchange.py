"""Requests in progress: queued, at a server, or waiting for a retry."""

import heapq
from dataclasses import replace
from enum import Enum
from hashlib import blake2b

from hornbeamdeal.kernel import BackendServer, Endpoint, Request

from ._ledger import RunRecord
from ._routing import Route

CallerKey = tuple[Endpoint, Endpoint, int]
COMPACTION_SLACK = 1024


class ExchangeState(Enum):
    """Where the current try of a request is."""

    QUEUED = "queued"
    DISPATCHED = "dispatched"
    RETRY_WAIT = "retry_wait"


class Exchange:
    """A request in progress. Times are in monotonic seconds."""

    __slots__ = (
        "deadline",
        "due_at",
        "exchange_id",
        "excluded",
        "idempotent",
        "may_have_run",
        "moves",
        "payload_bytes",
        "retries",
        "route",
        "run_record",
        "server",
        "state",
        "waiting",
    )

    def __init__(
        self,
        request: Request,
        route: Route,
        deadline: float,
        run_record: RunRecord | None,
    ):
        # The datagram serves for relaying only; without it a large upload is
        # held once.
        self.waiting = [replace(request, datagram=b"")]
        self.payload_bytes = len(request.payload)
        self.route = route
        self.deadline = deadline
        self.run_record = run_record
        self.idempotent = run_record is None
        self.exchange_id = 0
        self.state = ExchangeState.QUEUED
        self.server: BackendServer | None = None
        self.excluded: frozenset[str] = frozenset()
        self.moves = 0
        self.retries = 0
        self.due_at = deadline
        # Set when a server got the request and did not refuse it: from then
        # on "not run" would be a guess.
        self.may_have_run = False


def caller_key(request: Request) -> CallerKey:
    """Return what identifies a caller's message (RFC 7252, section 4.5)."""
    return request.caller, request.address, request.message_id


def first_exchange_id(incarnation: int) -> int:
    """Return the start of an incarnation's identifiers.

    A hash of the incarnation spreads the starts over 62 bits, so that an
    answer to the previous process on the same endpoint matches no exchange of
    this one.
    """
    digest = blake2b(str(incarnation).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") >> 2


class ExchangeTable:
    """Exchanges by identifier and caller, and the times to look at them."""

    __slots__ = ("by_caller_", "by_id_", "next_id_", "payload_bytes_", "timers_")

    def __init__(self, *, incarnation: int):
        self.by_id_: dict[int, Exchange] = {}
        self.by_caller_: dict[CallerKey, Exchange] = {}
        self.timers_: list[tuple[float, int]] = []
        self.payload_bytes_ = 0
        self.next_id_ = first_exchange_id(incarnation)

    def __len__(self) -> int:
        return len(self.by_id_)

    def add(self, exchange: Exchange) -> None:
        """Enter a new exchange."""
        self.by_caller_[caller_key(exchange.waiting[0])] = exchange
        self.payload_bytes_ += exchange.payload_bytes
        self.assign_new_id(exchange)

    def assign_new_id(self, exchange: Exchange) -> None:
        """Give an exchange a fresh identifier for its next try."""
        self.by_id_.pop(exchange.exchange_id, None)
        exchange.exchange_id = self.next_id_
        self.next_id_ += 1
        self.by_id_[exchange.exchange_id] = exchange
        self.schedule(exchange, exchange.deadline)

    def attach(self, exchange: Exchange, request: Request) -> None:
        """Let another message of the caller wait for the same answer.

        Its payload is the same, and is held once.
        """
        payload = exchange.waiting[0].payload
        exchange.waiting.append(replace(request, payload=payload, datagram=b""))
        self.by_caller_[caller_key(request)] = exchange

    def find(self, request: Request) -> Exchange | None:
        """Return the exchange of a retransmitted message."""
        exchange = self.by_caller_.get(caller_key(request))
        if exchange is None:
            return None
        is_same = any(waiting.token == request.token for waiting in exchange.waiting)
        return exchange if is_same else None

    def detach(self, exchange: Exchange, key: CallerKey) -> None:
        """Let one message no longer wait for the exchange's answer."""
        exchange.waiting = [r for r in exchange.waiting if caller_key(r) != key]
        del self.by_caller_[key]

    def remove(self, exchange: Exchange) -> None:
        """Forget an exchange."""
        self.payload_bytes_ -= exchange.payload_bytes
        del self.by_id_[exchange.exchange_id]
        for request in exchange.waiting:
            key = caller_key(request)
            if self.by_caller_.get(key) is exchange:
                del self.by_caller_[key]

    def schedule(self, exchange: Exchange, at: float) -> None:
        """Look at the exchange's current try at this time."""
        heapq.heappush(self.timers_, (at, exchange.exchange_id))
        if len(self.timers_) > 4 * len(self.by_id_) + COMPACTION_SLACK:
            self._compact()

    def pop_due(self, now: float) -> list[Exchange]:
        """Return the exchanges whose time has come."""
        found = []
        while self.timers_ and self.timers_[0][0] <= now:
            _, exchange_id = heapq.heappop(self.timers_)
            exchange = self.by_id_.get(exchange_id)
            if exchange is not None:
                found.append(exchange)
        return found

    def _compact(self) -> None:
        """Drop the times of exchanges that have ended."""
        self.timers_ = [item for item in self.timers_ if item[1] in self.by_id_]
        heapq.heapify(self.timers_)
