"""Dispatch requests so that non-idempotent ones run at most once."""

from random import Random
from typing import Any

from hornbeamdeal.kernel import (
    Answer,
    Between,
    CancelReceived,
    ClusterView,
    LogEvent,
    PauseDetected,
    PeerMessageReceived,
    Request,
    RequestReceived,
    ServerAnswerReceived,
    StopRequested,
    register_plugin,
    validate_parameters,
)
from hornbeamdeal.wire import peer_types

from ._answers import AnswerFactory, reply
from ._attempts import AttemptDriver
from ._base import Limits, Reason
from ._exchange import ExchangeTable
from ._home_hosts import HomeHosts
from ._ledger import RunLedger
from ._relay_log import RelayLog
from ._relayer import Relayer
from ._retries import RetryPolicy
from ._routing import Route, Router
from ._run_tokens import RunTokenManager
from ._runner import ExchangeRunner
from ._token import KeyBytes, RunTokenCodec

_CONSTRAINTS = {
    "incarnation": Between(-(2**63), 2**63 - 1),
    "token_key": KeyBytes(),
}


@register_plugin("requests", "run_token")
class RequestDispatcher:
    """Routes, dispatches, relays and answers the requests of one entry host.

    Parameters
    ----------
    admission : Admission
        Decides which requests start at which server, wait or are refused.
    host_id : str
        Identifier of this entry host.
    incarnation : int
        Number drawn at the start of this process; 64 bits, signed.
    endpoint : Endpoint
        Endpoint to which peers relay requests; part of every run token.
    token_key, previous_token_key : bytes
        MAC keys of the run tokens, the same on all hosts of the region.
    random_state : int
        Seed of the jitter.
    limits : Limits
        Bounds of memory and time.
    """

    def __init__(
        self,
        *,
        admission,
        host_id,
        incarnation,
        endpoint,
        token_key,
        previous_token_key=None,
        random_state=0,
        limits=None,
    ):
        self.admission = admission
        self.host_id = host_id
        self.incarnation = incarnation
        self.endpoint = endpoint
        self.token_key = token_key
        self.previous_token_key = previous_token_key
        self.random_state = random_state
        self.limits = limits
        self.now_ = None

    @property
    def idle_(self) -> bool:
        """Whether no request is in progress."""
        return self.now_ is None or len(self.runner_.table) == 0

    def update(self, view: ClusterView, now: float) -> list[Any]:
        """Apply a new view, and end the relays to issuers that are dead in it."""
        now = self._advance_time(now)
        self.router_.update(view, now)
        self.home_hosts_.update(view)
        actions = self.attempts_.apply(self.admission.update(view, now), now)
        return actions + self.relayer_.update(view, now)

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle one event; events of other components are ignored."""
        now = self._advance_time(now)
        match event:
            case RequestReceived():
                return self._handle_request(event.request, event.is_address_held, now)
            case ServerAnswerReceived():
                return self.runner_.handle_answer(event, now)
            case CancelReceived():
                return self._cancel(event, now)
            case PeerMessageReceived():
                return self._handle_peer_message(event.message, now)
            case PauseDetected():
                return self._resume(event, now)
            case StopRequested():
                return self._stop(now)
        return []

    def tick(self, now: float) -> list[Any]:
        """End overdue requests, start due retries and drop expired records."""
        now = self._advance_time(now)
        actions = self.runner_.process_due(now)
        actions += self.attempts_.apply(self.admission.tick(now), now)
        self.ledger_.expire(now)
        return actions + self.relayer_.tick(now)

    def _advance_time(self, now: float) -> float:
        """Return the latest time seen so far; prepare the instance on first use.

        The time must not go back: a record is dropped when its token expires,
        and with an earlier time that token would count as unused and unexpired.
        """
        if self.now_ is None:
            self._prepare()
            self.now_ = now
        self.now_ = max(self.now_, now)
        return self.now_

    def _prepare(self) -> None:
        validate_parameters(self, _CONSTRAINTS)
        limits = self.limits or Limits()
        random = Random(self.random_state)
        self.limits_ = limits
        self.answers_ = AnswerFactory(random=random, retry_after=limits.retry_after)
        self.ledger_ = RunLedger(limits=limits)
        self.router_ = Router()
        self.home_hosts_ = HomeHosts()
        relay_log = RelayLog(
            grace=limits.relay_grace,
            maximum=limits.maximum_relays,
            detection=limits.relay_detection,
        )
        self.relayer_ = Relayer(answers=self.answers_, log=relay_log)
        self.attempts_ = AttemptDriver(
            admission=self.admission,
            answers=self.answers_,
            ledger=self.ledger_,
            retries=RetryPolicy(limits=limits, random=random),
            table=ExchangeTable(incarnation=self.incarnation),
        )
        self.runner_ = ExchangeRunner(attempts=self.attempts_, limits=limits)
        self.token_manager_ = RunTokenManager(
            codec=RunTokenCodec(
                key=self.token_key, previous_key=self.previous_token_key
            ),
            ledger=self.ledger_,
            answers=self.answers_,
            limits=limits,
            incarnation=self.incarnation,
            endpoint=self.endpoint,
        )

    def _handle_request(
        self, request: Request, is_address_held: bool, now: float
    ) -> list[Any]:
        route = self.router_.find(request, now)
        if isinstance(route, Reason):
            return reply(
                request, self._answer_unroutable(request, route, is_address_held)
            )
        refusal = Reason.ADDRESS_HELD if is_address_held else self._refusal_reason()
        idempotent = request.idempotent or route.work_class.idempotent
        is_first = idempotent or request.run_token is None
        if is_first and not is_address_held:
            relay = self.home_hosts_.relay(request, route)
            if relay:
                return relay
        if idempotent:
            return self._handle_idempotent(request, route, refusal, now)
        if request.run_token is None:
            return self._require_token(request, route, refusal, now)
        return self._handle_run_token(request, route, refusal, now)

    def _answer_unroutable(
        self, request: Request, reason: Reason, is_address_held: bool
    ) -> Answer:
        """Return the answer to a request without a route.

        A request with a run token may have run while it still had a route.
        """
        if request.run_token is not None and not request.idempotent:
            return self.answers_.unknown(reason)
        if is_address_held:
            # A document that this host does not have yet may hold the route.
            return self.answers_.not_run(Reason.ADDRESS_HELD)
        if reason is Reason.UNKNOWN_PATH:
            return self.answers_.bad_request(f"{reason}: {request.path}")
        return self.answers_.not_run(reason)

    def _refusal_reason(self) -> Reason | None:
        """Return why no request may start now, or None if one may."""
        if self.attempts_.stopping_:
            return Reason.STOPPING
        return Reason.HOST_FULL if self.runner_.is_full else None

    def _handle_idempotent(
        self, request: Request, route: Route, refusal: Reason | None, now: float
    ) -> list[Any]:
        running = self.runner_.table.find(request)
        if running is not None:
            return self.runner_.join(running, request)
        if refusal is not None:
            return reply(request, self.answers_.not_run(refusal), route.service)
        return self.runner_.start(request, route, None, now)

    def _require_token(
        self, request: Request, route: Route, refusal: Reason | None, now: float
    ) -> list[Any]:
        if refusal is not None:
            return reply(request, self.answers_.not_run(refusal), route.service)
        answer = self.token_manager_.issue(request, route.service, now)
        return reply(request, answer, route.service)

    def _handle_run_token(
        self, request: Request, route: Route, refusal: Reason | None, now: float
    ) -> list[Any]:
        token = self.token_manager_.read_token(request, route.service)
        if isinstance(token, Answer):
            return reply(request, token, route.service)
        if token.incarnation != self.incarnation:
            return self.relayer_.relay(request, token, route, now)
        record = self.token_manager_.claim(token, request, refusal, now)
        if isinstance(record, Answer):
            return reply(request, record, route.service)
        if record.exchange is not None:
            return self.runner_.join(record.exchange, request)
        return self.runner_.start(request, route, record, now)

    def _cancel(self, event: CancelReceived, now: float) -> list[Any]:
        actions = self.runner_.cancel(event, now)
        if not actions:
            self.relayer_.log.remove(event.caller, event.address, event.message_id)
        return actions

    def _handle_peer_message(self, message: Any, now: float) -> list[Any]:
        if isinstance(message, peer_types.IncarnationGone):
            return self.relayer_.handle_issuer_gone(message, now)
        return []

    def _resume(self, event: PauseDetected, now: float) -> list[Any]:
        """End overdue requests before admission starts any other."""
        actions: list[Any] = [LogEvent("requests_paused", {"seconds": event.seconds})]
        actions += self.runner_.end_overdue(now)
        self.ledger_.expire(now)
        return actions + self.attempts_.apply(self.admission.tick(now), now)

    def _stop(self, now: float) -> list[Any]:
        fields = {"in_progress": len(self.runner_.table)}
        actions: list[Any] = [LogEvent("requests_stopping", fields)]
        return actions + self.runner_.stop(now)
