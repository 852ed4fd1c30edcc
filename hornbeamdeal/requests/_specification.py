"""Specification of at-most-once execution, explored with minicheck.

One non-idempotent request of one caller, its run token issued by host A, and
a second host B. The token has been handed out; the states before that hold no
run. `AtMostOnce(variant).protocol()` is the mechanism or a variant without it.

Bounds: three copies of the request reach hosts in any order (the first, the
caller's duplicate, the fabric's redelivery), each at A or B; one pause of A;
one restart of A that loses its memory; three attempts at servers, each of which
executes or refuses; one deadline, one expiry of the token, one cancellation.
A message that is lost is one that is never delivered, so loss needs no
transition. Not covered: a network that duplicates a dispatch on its way to
the server, more than one restart, a forged token, and a caller that asks for
a second token for the same work. `AnswerMatching` covers exchange identifiers
over a restart, with two requests.

Transitions and the code they stand for:

========================  ==================================================
deliver_a, relay_to_a     `RunTokenManager.claim`, `ExchangeRunner.start` and `join`
deliver_b                 `Relayer.relay`
start                     `AttemptDriver._start`, `_dispatch`
admission_refuses         `AttemptDriver.apply` with `Refuse`, `AttemptDriver.finish_unanswered`
server_runs, _refuses     the server
answer_arrives            `ExchangeRunner.handle_answer`, `AttemptDriver.handle_answer`
refusal_arrives           `AttemptDriver._move`
deadline_passes, expire   `ExchangeRunner.process_due`, `end_overdue`, `AttemptDriver.expire`
cancel                    `ExchangeRunner.cancel`, `AttemptDriver.cancel`
token_expires, forget     `RunLedger.expire`
pause, resume             `RequestDispatcher._resume`; A takes no step between
restart                   a new process: `RunLedger` and `ExchangeTable` empty
========================  ==================================================
"""

from dataclasses import replace

from minicheck import Protocol

from ._specification_state import (
    ENDED,
    FIELDS,
    AttemptState,
    Record,
    State,
    current_attempt,
    dispatch,
    pack,
    record,
    restart,
    say,
    set_attempt,
    set_record,
)

MAXIMUM_COPIES = 3
MAXIMUM_STATES = 2_000_000

VARIANTS = (
    "own_memory",
    "not_run_on_timeout",
    "retry_on_timeout",
    "not_run_keeps_token",
    "forget_before_expiry",
)
Steps = list[tuple[str, State]]


class AtMostOnce:
    """The mechanism, or the variant of that name without a part of it."""

    def __init__(self, variant: str = ""):
        self.variant = variant

    def protocol(self) -> Protocol:
        """Return the model for minicheck."""
        return Protocol(
            name=self.variant or "run_token",
            candidate=not self.variant,
            fields=FIELDS,
            initial=pack(State()),
            transitions=self._transitions,
            invariants={
                "runs_at_most_once": lambda s: s["runs"] <= 1,
                "not_run_is_true": _not_run_is_true,
                "answer_of_own_run": lambda s: not s["said_ok"] or s["runs"] > 0,
            },
        )

    def _transitions(self, packed: tuple) -> list[tuple[str, tuple]]:
        state = State(*packed)
        steps = self._environment(state) + self._servers(state)
        steps += self._host_b(state)
        if not state.paused:
            steps += self._host_a(state)
        return [(label, pack(after)) for label, after in steps]

    def _environment(self, s: State) -> Steps:
        steps = []
        if s.sent < MAXIMUM_COPIES:
            to_a = replace(s, sent=s.sent + 1, copies_a=s.copies_a + 1)
            to_b = replace(s, sent=s.sent + 1, copies_b=s.copies_b + 1)
            steps += [("send_to_a", to_a), ("send_to_b", to_b)]
        if not s.deadline_passed and s.record_a is not Record.NONE:
            steps.append(("deadline_passes", replace(s, deadline_passed=True)))
        if not s.token_expired:
            steps.append(("token_expires", replace(s, token_expired=True)))
        if not s.paused_before:
            paused = replace(s, paused=True, paused_before=True)
            steps.append(("pause", paused))
        if s.paused:
            steps.append(("resume", replace(s, paused=False)))
        if not s.restarted:
            steps.append(("restart", restart(s)))
        return steps

    def _servers(self, s: State) -> Steps:
        steps = []
        for index, state in enumerate(s.attempts):
            if state is not AttemptState.REQUEST_IN_FLIGHT:
                continue
            ran = set_attempt(s, index, AttemptState.ANSWER_IN_FLIGHT)
            steps.append(("server_runs", replace(ran, runs=s.runs + 1)))
            refused = set_attempt(s, index, AttemptState.REFUSAL_IN_FLIGHT)
            steps.append(("server_refuses", refused))
        return steps

    def _host_b(self, s: State) -> Steps:
        steps = []
        if s.copies_b:
            taken = replace(s, copies_b=s.copies_b - 1)
            if self.variant == "own_memory":
                steps.append(("deliver_b", self._accept(taken, "b")))
            else:
                relayed = replace(taken, relays=s.relays + 1)
                steps.append(("deliver_b", relayed))
                # B calls A dead: true after a restart, a false suspicion before.
                gone = replace(taken, said_unknown=True)
                steps.append(("deliver_b_issuer_gone", gone))
        if self.variant == "own_memory":
            steps += self._exchange(s, "b")
        return steps

    def _host_a(self, s: State) -> Steps:
        steps = []
        if s.copies_a:
            taken = replace(s, copies_a=s.copies_a - 1)
            steps.append(("deliver_a", self._accept(taken, "a")))
        if s.relays:
            taken = replace(s, relays=s.relays - 1)
            steps.append(("relay_to_a", self._accept(taken, "a")))
        steps += self._exchange(s, "a")
        may_forget = s.token_expired or self.variant == "forget_before_expiry"
        if may_forget and s.record_a in ENDED:
            forgotten = replace(s, record_a=Record.NONE, current_a=-1)
            steps.append(("forget", forgotten))
        return steps

    def _accept(self, s: State, host: str) -> State:
        """Take a request with the token at a host."""
        known = record(s, host)
        if self.variant != "own_memory" and s.restarted:
            return replace(s, said_unknown=True)
        if known is Record.NONE and s.token_expired:
            return replace(s, said_unknown=True)
        if known is Record.NONE:
            return set_record(s, host, Record.QUEUED)
        return say(s, known)

    def _exchange(self, s: State, host: str) -> Steps:
        """Steps of the exchange that a host has in progress."""
        known = record(s, host)
        if known is Record.QUEUED:
            return self._queued(s, host)
        if known is Record.DISPATCHED:
            return self._dispatched(s, host)
        return []

    def _queued(self, s: State, host: str) -> Steps:
        steps = [("admission_refuses", self._refuse(s, host))]
        if not s.cancelled:
            cancelled = replace(s, cancelled=True)
            cancelled = set_record(cancelled, host, Record.NOT_RUN)
            steps.append(("cancel", cancelled))
        if s.deadline_passed:
            steps.append(("expire", self._refuse(s, host)))
        elif AttemptState.UNUSED in s.attempts:
            steps.append(("start", dispatch(s, host)))
        return steps

    def _dispatched(self, s: State, host: str) -> Steps:
        steps = []
        index = current_attempt(s, host)
        over = set_attempt(s, index, AttemptState.FINISHED)
        if s.attempts[index] is AttemptState.ANSWER_IN_FLIGHT:
            answered = set_record(over, host, Record.ANSWERED)
            steps.append(("answer_arrives", replace(answered, said_ok=True)))
        if s.attempts[index] is AttemptState.REFUSAL_IN_FLIGHT:
            steps.append(("refusal_arrives", self._refuse(over, host)))
            if not s.deadline_passed and AttemptState.UNUSED in s.attempts:
                steps.append(("refusal_moves", dispatch(over, host)))
        if s.deadline_passed:
            steps.append(("expire", self._time_out(s, host)))
        if not s.cancelled:
            cancelled = replace(s, cancelled=True)
            cancelled = set_record(cancelled, host, Record.UNKNOWN)
            steps.append(("cancel", cancelled))
        return steps

    def _time_out(self, s: State, host: str) -> State:
        if self.variant == "not_run_on_timeout":
            return self._refuse(s, host)
        if self.variant == "retry_on_timeout" and AttemptState.UNUSED in s.attempts:
            return dispatch(s, host)
        return replace(set_record(s, host, Record.UNKNOWN), said_unknown=True)

    def _refuse(self, s: State, host: str) -> State:
        """Say "not run"; from then on the token is invalid."""
        keeps = self.variant == "not_run_keeps_token"
        after = Record.NONE if keeps else Record.NOT_RUN
        return replace(set_record(s, host, after), said_not_run=True)


def _not_run_is_true(s: dict) -> bool:
    """Nothing ran, and nothing is on its way to a server that would."""
    may_run = s["runs"] > 0 or AttemptState.REQUEST_IN_FLIGHT in s["attempts"]
    return not (s["said_not_run"] and may_run)
