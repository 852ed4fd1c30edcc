"""Model of answer matching over a restart, explored with minicheck.

One host dispatches two requests of different callers. Servers answer late and
more than once; the host times out, and restarts once.

Bounds: two requests, one dispatch of each per incarnation, one restart; an
answer in flight can be delivered any number of times. In the variant
`identifiers_from_zero` the exchange identifiers start from zero at each start.

Transitions and the code that they model: dispatch is
`ExchangeTable.assign_new_id`, answer is the server, deliver is
`ExchangeRunner.handle_answer`, time_out is `AttemptDriver.expire`, restart is a
new `ExchangeTable` with `first_exchange_id`.
"""

from dataclasses import dataclass, replace

from minicheck import Protocol

FIRST_ID_AFTER_RESTART = 100
VARIANTS = ("identifiers_from_zero",)
REQUESTS = (0, 1)
NO_EXCHANGE = -1


@dataclass(frozen=True, slots=True)
class State:
    """State of the model.

    `exchanges` holds the exchange identifier of each request in progress.
    `sent` and `answers` are sets of (identifier, request), `received` is a set
    of (request, request whose answer its caller got).
    """

    next_id: int = 0
    exchanges: tuple[int, ...] = (NO_EXCHANGE,) * len(REQUESTS)
    dispatched: frozenset = frozenset()
    sent: frozenset = frozenset()
    answers: frozenset = frozenset()
    received: frozenset = frozenset()
    restarted: bool = False


FIELDS = tuple(State.__dataclass_fields__)


class AnswerMatching:
    """Model of the mechanism, or of a variant of it named in `VARIANTS`."""

    def __init__(self, variant: str = ""):
        self.variant = variant

    def protocol(self) -> Protocol:
        """Return the model for minicheck."""
        return Protocol(
            name=self.variant or "answer_matching",
            candidate=not self.variant,
            fields=FIELDS,
            initial=_pack(State()),
            transitions=self._transitions,
            invariants={"answer_of_own_run": _answer_of_own_run},
        )

    def _transitions(self, packed: tuple) -> list[tuple[str, tuple]]:
        state = State(*packed)
        steps = self._host(state)
        for identifier, request in state.sent:
            answered = state.answers | {(identifier, request)}
            steps.append(("answer", replace(state, answers=answered)))
        return [(label, _pack(after)) for label, after in steps]

    def _host(self, s: State) -> list[tuple[str, State]]:
        steps = []
        for request in REQUESTS:
            if (s.restarted, request) not in s.dispatched:
                steps.append(("dispatch", _dispatch(s, request)))
            if s.exchanges[request] != NO_EXCHANGE:
                steps.append(("time_out", _end_exchange(s, request)))
        for identifier, ran in s.answers:
            if identifier in s.exchanges:
                steps.append(("deliver", _deliver(s, identifier, ran)))
        if not s.restarted:
            steps.append(("restart", self._restart(s)))
        return steps

    def _restart(self, s: State) -> State:
        first_id = (
            0 if self.variant == "identifiers_from_zero" else FIRST_ID_AFTER_RESTART
        )
        exchanges = (NO_EXCHANGE,) * len(REQUESTS)
        return replace(s, next_id=first_id, exchanges=exchanges, restarted=True)


def _answer_of_own_run(s: dict) -> bool:
    return all(request == ran for request, ran in s["received"])


def _pack(state: State) -> tuple:
    return tuple(getattr(state, name) for name in FIELDS)


def _set_exchange(s: State, request: int, identifier: int) -> State:
    exchanges = list(s.exchanges)
    exchanges[request] = identifier
    return replace(s, exchanges=tuple(exchanges))


def _dispatch(s: State, request: int) -> State:
    started = _set_exchange(s, request, s.next_id)
    return replace(
        started,
        next_id=s.next_id + 1,
        sent=s.sent | {(s.next_id, request)},
        dispatched=s.dispatched | {(s.restarted, request)},
    )


def _end_exchange(s: State, request: int) -> State:
    return _set_exchange(s, request, NO_EXCHANGE)


def _deliver(s: State, identifier: int, ran: int) -> State:
    request = s.exchanges.index(identifier)
    return replace(_end_exchange(s, request), received=s.received | {(request, ran)})
