"""Start and end the exchanges of one host."""

from typing import Any

from hornbeamdeal.kernel import (
    AcknowledgeRequest,
    CancelReceived,
    IncrementCounter,
    Request,
    ServerAnswerReceived,
)

from ._attempts import AttemptDriver
from ._base import Limits, Reason
from ._exchange import Exchange, ExchangeState
from ._ledger import RunRecord
from ._routing import Route


def acknowledge(request: Request) -> list[Any]:
    """Return the acknowledgement of a request, none if it is not confirmable."""
    return [AcknowledgeRequest(request)] if request.confirmable else []


class ExchangeRunner:
    """Starts, joins, cancels and ends exchanges."""

    __slots__ = ("limits", "table", "attempts")

    def __init__(self, *, attempts: AttemptDriver, limits: Limits):
        self.attempts = attempts
        self.table = attempts.table
        self.limits = limits

    @property
    def is_full(self) -> bool:
        """Whether no further exchange may start."""
        if len(self.table) >= self.limits.maximum_exchanges:
            return True
        return self.table.payload_bytes_ >= self.limits.maximum_payload_bytes

    def start(
        self, request: Request, route: Route, run_record: RunRecord | None, now: float
    ) -> list[Any]:
        """Start an exchange and offer it to admission."""
        exchange = Exchange(request, route, now + route.work_class.deadline, run_record)
        if run_record is not None:
            run_record.exchange = exchange
        self.table.add(exchange)
        actions = self.attempts.offer(exchange, now)
        # Without an acknowledgement the caller of a relayed idempotent request
        # keeps retransmitting, so another home host takes over if this one dies.
        is_ack_withheld = run_record is None and request.hops > 0
        if exchange.waiting and not is_ack_withheld:
            return acknowledge(request) + actions
        return actions

    def join(self, exchange: Exchange, request: Request) -> list[Any]:
        """Add a duplicate to the messages that wait for the exchange's answer.

        A duplicate beyond `maximum_waiting` is not acknowledged, so that its
        caller retransmits it and gets the stored answer.
        """
        if self.table.find(request) is exchange:
            return acknowledge(request)
        if len(exchange.waiting) >= self.limits.maximum_waiting:
            return []
        self.table.attach(exchange, request)
        return acknowledge(request)

    def handle_answer(self, event: ServerAnswerReceived, now: float) -> list[Any]:
        """Process a server's answer if it matches a dispatched exchange."""
        exchange = self.table.by_id_.get(event.exchange_id)
        if exchange is None or exchange.state is not ExchangeState.DISPATCHED:
            return [IncrementCounter("answers_dropped", "no_exchange")]
        if exchange.server.server_id != event.server_id:
            return [
                IncrementCounter(
                    "answers_dropped", "other_server", exchange.route.service
                )
            ]
        admission = self.attempts.admission
        decisions = admission.release(event.exchange_id, event.answer, now)
        actions = self.attempts.handle_answer(exchange, event.answer, now)
        return actions + self.attempts.apply(decisions, now)

    def cancel(self, event: CancelReceived, now: float) -> list[Any]:
        """Cancel one waiting message; end the exchange if it was the last."""
        key = (event.caller, event.address, event.message_id)
        exchange = self.table.by_caller_.get(key)
        if exchange is None:
            return []
        if len(exchange.waiting) > 1:
            self.table.detach(exchange, key)
            return []
        return self.attempts.cancel(exchange, now)

    def process_due(self, now: float) -> list[Any]:
        """End, retry or offer the exchanges whose timers have elapsed."""
        actions = []
        for exchange in self.table.pop_due(now):
            if not exchange.waiting:
                continue
            if now >= exchange.deadline:
                actions += self.attempts.expire(exchange, now)
            elif now >= exchange.due_at:
                actions += self.attempts.start_next_attempt(exchange, now)
        return actions

    def end_overdue(self, now: float) -> list[Any]:
        """End every exchange whose deadline has passed."""
        actions = []
        for exchange in list(self.table.by_id_.values()):
            if exchange.waiting and now >= exchange.deadline:
                actions += self.attempts.expire(exchange, now)
        return actions

    def stop(self, now: float) -> list[Any]:
        """Refuse the requests that are not at a server; the others go on."""
        self.attempts.stopping_ = True
        actions = self.attempts.apply(self.attempts.admission.close(now), now)
        for exchange in list(self.table.by_id_.values()):
            if exchange.state is ExchangeState.RETRY_WAIT:
                actions += self.attempts.finish_unanswered(
                    exchange, Reason.STOPPING, now
                )
        return actions
