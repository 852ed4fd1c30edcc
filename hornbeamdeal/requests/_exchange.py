"""Table of the requests in progress, with their timers."""

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
    """State of a request's current attempt."""

    QUEUED = "queued"
    DISPATCHED = "dispatched"
    RETRY_WAIT = "retry_wait"


class Exchange:
    """A request in progress and the messages that wait for its answer.

    Times are in monotonic seconds. `deadline` is the deadline of the request,
    `due_at` that of the current attempt, or the start of the next one.
    """

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
        # The datagram is needed for relaying only; dropping it avoids a second
        # copy of a large payload.
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
        # Set once an attempt ends with neither a success nor a refusal: its
        # server may have run the request, so the answer must not be "not run".
        self.may_have_run = False


def caller_key(request: Request) -> CallerKey:
    """Return the key of a caller's message (RFC 7252, section 4.5)."""
    return request.caller, request.address, request.message_id


def first_exchange_id(incarnation: int) -> int:
    """Return the first exchange identifier of an incarnation.

    A hash of the incarnation spreads the first identifiers over 62 bits, so
    that an answer to the previous process at the same endpoint matches no
    exchange of this one.
    """
    digest = blake2b(str(incarnation).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") >> 2


class ExchangeTable:
    """Exchanges by identifier and by caller's message, and their timers."""

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
        """Add a new exchange and give it an identifier."""
        self.by_caller_[caller_key(exchange.waiting[0])] = exchange
        self.payload_bytes_ += exchange.payload_bytes
        self.assign_new_id(exchange)

    def assign_new_id(self, exchange: Exchange) -> None:
        """Give an exchange a new identifier for its next attempt."""
        self.by_id_.pop(exchange.exchange_id, None)
        exchange.exchange_id = self.next_id_
        self.next_id_ += 1
        self.by_id_[exchange.exchange_id] = exchange
        self.schedule(exchange, exchange.deadline)

    def attach(self, exchange: Exchange, request: Request) -> None:
        """Add another message of the caller that waits for the same answer.

        All its messages share one copy of the payload.
        """
        payload = exchange.waiting[0].payload
        exchange.waiting.append(replace(request, payload=payload, datagram=b""))
        self.by_caller_[caller_key(request)] = exchange

    def find(self, request: Request) -> Exchange | None:
        """Return the exchange of a retransmitted message, or None."""
        exchange = self.by_caller_.get(caller_key(request))
        if exchange is None:
            return None
        is_same = any(waiting.token == request.token for waiting in exchange.waiting)
        return exchange if is_same else None

    def detach(self, exchange: Exchange, key: CallerKey) -> None:
        """Remove one waiting message from an exchange."""
        exchange.waiting = [r for r in exchange.waiting if caller_key(r) != key]
        del self.by_caller_[key]

    def remove(self, exchange: Exchange) -> None:
        """Remove an exchange."""
        self.payload_bytes_ -= exchange.payload_bytes
        del self.by_id_[exchange.exchange_id]
        for request in exchange.waiting:
            key = caller_key(request)
            if self.by_caller_.get(key) is exchange:
                del self.by_caller_[key]

    def schedule(self, exchange: Exchange, at: float) -> None:
        """Set a timer for the exchange's current attempt."""
        heapq.heappush(self.timers_, (at, exchange.exchange_id))
        if len(self.timers_) > 4 * len(self.by_id_) + COMPACTION_SLACK:
            self._compact()

    def pop_due(self, now: float) -> list[Exchange]:
        """Remove the elapsed timers and return their exchanges."""
        found = []
        while self.timers_ and self.timers_[0][0] <= now:
            _, exchange_id = heapq.heappop(self.timers_)
            exchange = self.by_id_.get(exchange_id)
            if exchange is not None:
                found.append(exchange)
        return found

    def _compact(self) -> None:
        """Drop the timers of attempts that have ended."""
        self.timers_ = [item for item in self.timers_ if item[1] in self.by_id_]
        heapq.heapify(self.timers_)
