"""Owns the exchanges of one host."""

from typing import Any

from hornbeamdeal.kernel import (
    AcknowledgeRequest,
    CancelReceived,
    Count,
    Request,
    ServerAnswered,
)

from ._attempts import AttemptDriver
from ._base import Limits, Reason
from ._exchange import Exchange, ExchangeState
from ._ledger import RunRecord
from ._routing import Route


def acknowledge(request: Request) -> list[Any]:
    """Return the acknowledgement of a confirmable request."""
    return [AcknowledgeRequest(request)] if request.confirmable else []


class ExchangeRunner:
    """Starts, joins, cancels, wakes and stops exchanges."""

    __slots__ = ("limits", "table", "attempts")

    def __init__(self, *, attempts: AttemptDriver, limits: Limits):
        self.attempts = attempts
        self.table = attempts.table
        self.limits = limits

    @property
    def is_full(self) -> bool:
        """Tell whether no further exchange can be held."""
        if len(self.table) >= self.limits.maximum_exchanges:
            return True
        return self.table.payload_bytes_ >= self.limits.maximum_payload_bytes

    def start(
        self, request: Request, route: Route, run_record: RunRecord | None, now: float
    ) -> list[Any]:
        """Begin an exchange and offer it to admission."""
        exchange = Exchange(request, route, now + route.work_class.deadline, run_record)
        if run_record is not None:
            run_record.exchange = exchange
        self.table.add(exchange)
        actions = self.attempts.offer(exchange, now)
        # The caller of a relayed idempotent request goes on retransmitting, so
        # that another home host takes the request if this one dies.
        is_retransmitted = run_record is None and request.hops > 0
        if exchange.waiting and not is_retransmitted:
            return acknowledge(request) + actions
        return actions

    def join(self, exchange: Exchange, request: Request) -> list[Any]:
        """Let a duplicate wait for the exchange's answer.

        A duplicate beyond the bound is not acknowledged, so that its caller
        sends it again and finds the stored answer.
        """
        if self.table.find(request) is exchange:
            return acknowledge(request)
        if len(exchange.waiting) >= self.limits.maximum_waiting:
            return []
        self.table.attach(exchange, request)
        return acknowledge(request)

    def handle_answer(self, event: ServerAnswered, now: float) -> list[Any]:
        """Take an answer that matches an exchange and its server."""
        exchange = self.table.by_id_.get(event.exchange_id)
        if exchange is None or exchange.state is not ExchangeState.DISPATCHED:
            return [Count("answers_dropped", "no_exchange")]
        if exchange.server.server_id != event.server_id:
            return [Count("answers_dropped", "other_server", exchange.route.service)]
        admission = self.attempts.admission
        decisions = admission.release(event.exchange_id, event.answer, now)
        actions = self.attempts.handle_answer(exchange, event.answer, now)
        return actions + self.attempts.apply(decisions, now)

    def cancel(self, event: CancelReceived, now: float) -> list[Any]:
        """End an exchange whose callers all gave up."""
        key = (event.caller, event.address, event.message_id)
        exchange = self.table.by_caller_.get(key)
        if exchange is None:
            return []
        if len(exchange.waiting) > 1:
            self.table.detach(exchange, key)
            return []
        return self.attempts.cancel(exchange, now)

    def process_due(self, now: float) -> list[Any]:
        """End, retry or offer the exchanges whose time has come."""
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
        """Refuse what has not started; what is at a server goes on."""
        self.attempts.stopping_ = True
        actions = self.attempts.apply(self.attempts.admission.close(now), now)
        for exchange in list(self.table.by_id_.values()):
            if exchange.state is ExchangeState.RETRY_WAIT:
                actions += self.attempts.finish_unanswered(
                    exchange, Reason.STOPPING, now
                )
        return actions
