"""Drive the attempts of an exchange until it has a final answer."""

from collections import deque
from typing import Any

from hornbeamdeal.admission._base import Admission, Decision, StartDecision, Ticket
from hornbeamdeal.kernel import (
    Answer,
    CancelDispatchedRequest,
    DispatchOutcome,
    DispatchRequest,
    IncrementCounter,
    ServerAnswer,
)

from ._answers import AnswerFactory, from_server, is_refusal, reply
from ._base import Reason
from ._exchange import Exchange, ExchangeState, ExchangeTable
from ._ledger import RunLedger
from ._retries import RetryPolicy

_TIMED_OUT = ServerAnswer(DispatchOutcome.TIMED_OUT)


class AttemptDriver:
    """Offers attempts to admission, dispatches them and ends exchanges."""

    __slots__ = ("admission", "answers", "ledger", "retries", "stopping_", "table")

    def __init__(
        self,
        *,
        admission: Admission,
        answers: AnswerFactory,
        ledger: RunLedger,
        retries: RetryPolicy,
        table: ExchangeTable,
    ):
        self.admission = admission
        self.answers = answers
        self.ledger = ledger
        self.retries = retries
        self.table = table
        self.stopping_ = False

    def offer(self, exchange: Exchange, now: float) -> list[Any]:
        """Offer the exchange's next attempt to admission."""
        exchange.state = ExchangeState.QUEUED
        exchange.server = None
        exchange.due_at = exchange.deadline
        work_class = exchange.route.work_class
        ticket = Ticket(
            ticket_id=exchange.exchange_id,
            service=exchange.route.service,
            work_class=work_class.name,
            is_long=work_class.long,
            caller=exchange.waiting[0].caller,
            deadline=exchange.deadline,
            excluded=exchange.excluded,
        )
        return self.apply(self.admission.offer(ticket, now), now)

    def apply(self, decisions: list[Decision], now: float) -> list[Any]:
        """Execute decisions of admission, and the decisions that result from them."""
        actions: list[Any] = []
        pending = deque(decisions)
        while pending:
            decision = pending.popleft()
            exchange = self.table.by_id_.get(decision.ticket.ticket_id)
            if isinstance(decision, StartDecision):
                pending.extend(self._start(exchange, decision, now, actions))
            elif exchange is not None and exchange.state is ExchangeState.QUEUED:
                reason = decision.reason.value
                actions += self.finish_unanswered(
                    exchange, reason, now, decision.retry_after
                )
        return actions

    def _start(
        self,
        exchange: Exchange | None,
        decision: StartDecision,
        now: float,
        actions: list[Any],
    ) -> list[Decision]:
        """Dispatch a queued exchange, or withdraw a ticket whose exchange has ended."""
        ticket_id = decision.ticket.ticket_id
        if exchange is None:
            return self.admission.withdraw(ticket_id, now)
        if exchange.state is not ExchangeState.QUEUED:
            # The attempt already runs, and a withdrawal would free its slot.
            return []
        if now >= exchange.deadline:
            actions += self.finish_unanswered(exchange, Reason.DEADLINE_PASSED, now)
            return self.admission.withdraw(ticket_id, now)
        actions.append(self._dispatch(exchange, decision, now))
        return []

    def _dispatch(
        self, exchange: Exchange, decision: StartDecision, now: float
    ) -> DispatchRequest:
        exchange.state = ExchangeState.DISPATCHED
        exchange.server = decision.server
        exchange.due_at = self.retries.attempt_deadline(exchange, now)
        if exchange.due_at < exchange.deadline:
            self.table.schedule(exchange, exchange.due_at)
        return DispatchRequest(
            decision.server,
            exchange.exchange_id,
            exchange.waiting[0],
            exchange.deadline,
        )

    def handle_answer(
        self, exchange: Exchange, answer: ServerAnswer, now: float
    ) -> list[Any]:
        """Process the server's answer to a dispatched attempt, or its loss."""
        if is_refusal(answer):
            return self._move(exchange, answer, now)
        if answer.outcome is DispatchOutcome.ANSWERED:
            self.retries.record_success(now)
            return self.finish(exchange, from_server(answer), now)
        exchange.may_have_run = True
        if self._try_acquire_retry(exchange, now):
            return self._schedule_retry(exchange, answer.outcome.value, now)
        return self.finish(exchange, self.answers.failed(answer), now)

    def _move(self, exchange: Exchange, answer: ServerAnswer, now: float) -> list[Any]:
        """Offer a refused request again, with the refusing server excluded."""
        if self.stopping_ or not self.retries.may_move(exchange, now):
            reason = Reason.SERVERS_REFUSED
            return self.finish_unanswered(exchange, reason, now, answer.retry_after)
        exchange.excluded |= {exchange.server.server_id}
        exchange.moves += 1
        self.table.assign_new_id(exchange)
        count = IncrementCounter(
            "requests_retried", "server_refused", exchange.route.service
        )
        return [count, *self.offer(exchange, now)]

    def _try_acquire_retry(self, exchange: Exchange, now: float) -> bool:
        return not self.stopping_ and self.retries.try_acquire_retry(exchange, now)

    def _schedule_retry(self, exchange: Exchange, reason: str, now: float) -> list[Any]:
        exchange.excluded |= {exchange.server.server_id}
        exchange.state = ExchangeState.RETRY_WAIT
        exchange.due_at = self.retries.next_attempt_time(exchange, now)
        exchange.retries += 1
        self.table.assign_new_id(exchange)
        self.table.schedule(exchange, exchange.due_at)
        return [IncrementCounter("requests_retried", reason, exchange.route.service)]

    def start_next_attempt(self, exchange: Exchange, now: float) -> list[Any]:
        """Offer a delayed retry, or cancel an overdue attempt and schedule a retry."""
        if exchange.state is ExchangeState.RETRY_WAIT:
            return self.offer(exchange, now)
        is_overdue = exchange.state is ExchangeState.DISPATCHED
        if not is_overdue or not self._try_acquire_retry(exchange, now):
            return []
        exchange.may_have_run = True
        actions, decisions = self._cancel_attempt(exchange, now)
        actions += self._schedule_retry(exchange, DispatchOutcome.TIMED_OUT.value, now)
        return actions + self.apply(decisions, now)

    def _cancel_attempt(
        self, exchange: Exchange, now: float
    ) -> tuple[list[Any], list[Decision]]:
        """Cancel an attempt at its server and release its admission slot."""
        cancel = CancelDispatchedRequest(exchange.server, exchange.exchange_id)
        decisions = self.admission.release(exchange.exchange_id, _TIMED_OUT, now)
        return [cancel], decisions

    def expire(self, exchange: Exchange, now: float) -> list[Any]:
        """End an exchange whose deadline has passed."""
        actions: list[Any] = []
        decisions: list[Decision] = []
        reason = Reason.DEADLINE_PASSED
        if exchange.state is ExchangeState.DISPATCHED:
            exchange.may_have_run = True
            reason = Reason.ANSWER_LOST
            actions, decisions = self._cancel_attempt(exchange, now)
        elif exchange.state is ExchangeState.QUEUED:
            decisions = self.admission.withdraw(exchange.exchange_id, now)
        actions += self.finish_unanswered(exchange, reason, now)
        return actions + self.apply(decisions, now)

    def cancel(self, exchange: Exchange, now: float) -> list[Any]:
        """End an exchange whose last caller cancelled, and cancel it at its server."""
        actions: list[Any] = [IncrementCounter("requests_cancelled")]
        decisions: list[Decision] = []
        if exchange.state is ExchangeState.DISPATCHED:
            exchange.may_have_run = True
            actions.append(
                CancelDispatchedRequest(exchange.server, exchange.exchange_id)
            )
        # Not `release`, which would count the cancellation as a result of the server.
        if exchange.state is not ExchangeState.RETRY_WAIT:
            decisions = self.admission.withdraw(exchange.exchange_id, now)
        # The replies are dropped, but the answer is stored for the run token.
        self.finish_unanswered(exchange, Reason.CANCELLED, now)
        return actions + self.apply(decisions, now)

    def finish_unanswered(
        self,
        exchange: Exchange,
        reason: str,
        now: float,
        retry_after: float | None = None,
    ) -> list[Any]:
        """End an exchange without a server's answer.

        The answer is "not run" if no server can have run the request, otherwise
        "outcome unknown".
        """
        if exchange.may_have_run:
            answer = self.answers.unknown(reason)
        else:
            answer = self.answers.not_run(reason, retry_after)
        return self.finish(exchange, answer, now)

    def finish(self, exchange: Exchange, answer: Answer, now: float) -> list[Any]:
        """Answer all waiting messages and store the answer for the run token."""
        self.table.remove(exchange)
        if exchange.run_record is not None:
            self.ledger.store_answer(exchange.run_record, answer, now)
        actions = []
        for request in exchange.waiting:
            actions += reply(request, answer, exchange.route.service)
        exchange.waiting = []
        return actions
