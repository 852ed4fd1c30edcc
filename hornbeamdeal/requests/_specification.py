"""Model of at-most-once execution, explored with minicheck.

The model has one non-idempotent request of one caller, its run token issued by
host A, and a second host B. It starts after the token has been issued; nothing
can run before that. `AtMostOnce().protocol()` models the real mechanism,
`AtMostOnce(variant).protocol()` the mechanism with one part removed or changed.

Bounds: three copies of the request reach hosts in any order (the first, the
caller's duplicate, the fabric's redelivery), each at A or B; one pause of A;
one restart of A that loses its memory; three attempts at servers, each of which
executes or refuses; one deadline, one expiry of the token, one cancellation.
A lost message is modelled as one that is never delivered, so loss needs no
transition. Not covered: a network that duplicates a dispatch on its way to
the server, more than one restart, a forged token, and a caller that requests
a second token for the same work. `AnswerMatching` covers exchange identifiers
over a restart, with two requests.

Transitions and the code that they model:

========================  ======================================================
deliver_a, relay_to_a     `RunTokenManager.claim`, `ExchangeRunner.start`, `join`
deliver_b                 `Relayer.relay`
start                     `AttemptDriver._start`, `_dispatch`
admission_refuses         `AttemptDriver.apply` with `RefuseDecision`,
                          `finish_unanswered`
server_runs, _refuses     the server
answer_arrives            `handle_answer` of `ExchangeRunner` and `AttemptDriver`
refusal_arrives           `AttemptDriver._move`
deadline_passes, expire   `ExchangeRunner.process_due`, `end_overdue`,
                          `AttemptDriver.expire`
cancel                    `ExchangeRunner.cancel`, `AttemptDriver.cancel`
token_expires, forget     `RunLedger.expire`
pause, resume             `RequestDispatcher._resume`; A takes no step between
restart                   a new process: `RunLedger` and `ExchangeTable` empty
========================  ======================================================
"""

from dataclasses import replace

from minicheck import Protocol

from ._specification_state import (
    ENDED,
    FIELDS,
    AttemptState,
    Record,
    State,
    answer_from_record,
    current_attempt,
    dispatch,
    get_record,
    pack,
    restart,
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
    """Model of the mechanism, or of a variant of it named in `VARIANTS`."""

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
        steps = self._environment_steps(state) + self._server_steps(state)
        steps += self._host_b_steps(state)
        if not state.paused:
            steps += self._host_a_steps(state)
        return [(label, pack(after)) for label, after in steps]

    def _environment_steps(self, s: State) -> Steps:
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

    def _server_steps(self, s: State) -> Steps:
        steps = []
        for index, state in enumerate(s.attempts):
            if state is not AttemptState.REQUEST_IN_FLIGHT:
                continue
            ran = set_attempt(s, index, AttemptState.ANSWER_IN_FLIGHT)
            steps.append(("server_runs", replace(ran, runs=s.runs + 1)))
            refused = set_attempt(s, index, AttemptState.REFUSAL_IN_FLIGHT)
            steps.append(("server_refuses", refused))
        return steps

    def _host_b_steps(self, s: State) -> Steps:
        steps = []
        if s.copies_b:
            delivered = replace(s, copies_b=s.copies_b - 1)
            if self.variant == "own_memory":
                steps.append(("deliver_b", self._accept(delivered, "b")))
            else:
                relayed = replace(delivered, relays=s.relays + 1)
                steps.append(("deliver_b", relayed))
                # A is dead in B's view: rightly after a restart, falsely before.
                issuer_gone = replace(delivered, said_unknown=True)
                steps.append(("deliver_b_issuer_gone", issuer_gone))
        if self.variant == "own_memory":
            steps += self._exchange_steps(s, "b")
        return steps

    def _host_a_steps(self, s: State) -> Steps:
        steps = []
        if s.copies_a:
            delivered = replace(s, copies_a=s.copies_a - 1)
            steps.append(("deliver_a", self._accept(delivered, "a")))
        if s.relays:
            delivered = replace(s, relays=s.relays - 1)
            steps.append(("relay_to_a", self._accept(delivered, "a")))
        steps += self._exchange_steps(s, "a")
        may_forget = s.token_expired or self.variant == "forget_before_expiry"
        if may_forget and s.record_a in ENDED:
            forgotten = replace(s, record_a=Record.NONE, current_a=-1)
            steps.append(("forget", forgotten))
        return steps

    def _accept(self, s: State, host: str) -> State:
        """Return the state after a request with the token arrived at a host."""
        ledger_record = get_record(s, host)
        if self.variant != "own_memory" and s.restarted:
            return replace(s, said_unknown=True)
        if ledger_record is Record.NONE and s.token_expired:
            return replace(s, said_unknown=True)
        if ledger_record is Record.NONE:
            return set_record(s, host, Record.QUEUED)
        return answer_from_record(s, ledger_record)

    def _exchange_steps(self, s: State, host: str) -> Steps:
        """Return the steps of the exchange that a host has in progress."""
        ledger_record = get_record(s, host)
        if ledger_record is Record.QUEUED:
            return self._queued_steps(s, host)
        if ledger_record is Record.DISPATCHED:
            return self._dispatched_steps(s, host)
        return []

    def _queued_steps(self, s: State, host: str) -> Steps:
        steps = [("admission_refuses", self._answer_not_run(s, host))]
        if not s.cancelled:
            cancelled = replace(s, cancelled=True)
            cancelled = set_record(cancelled, host, Record.NOT_RUN)
            steps.append(("cancel", cancelled))
        if s.deadline_passed:
            steps.append(("expire", self._answer_not_run(s, host)))
        elif AttemptState.UNUSED in s.attempts:
            steps.append(("start", dispatch(s, host)))
        return steps

    def _dispatched_steps(self, s: State, host: str) -> Steps:
        steps = []
        index = current_attempt(s, host)
        finished = set_attempt(s, index, AttemptState.FINISHED)
        if s.attempts[index] is AttemptState.ANSWER_IN_FLIGHT:
            answered = set_record(finished, host, Record.ANSWERED)
            steps.append(("answer_arrives", replace(answered, said_ok=True)))
        if s.attempts[index] is AttemptState.REFUSAL_IN_FLIGHT:
            steps.append(("refusal_arrives", self._answer_not_run(finished, host)))
            if not s.deadline_passed and AttemptState.UNUSED in s.attempts:
                steps.append(("refusal_moves", dispatch(finished, host)))
        if s.deadline_passed:
            steps.append(("expire", self._time_out(s, host)))
        if not s.cancelled:
            cancelled = replace(s, cancelled=True)
            cancelled = set_record(cancelled, host, Record.UNKNOWN)
            steps.append(("cancel", cancelled))
        return steps

    def _time_out(self, s: State, host: str) -> State:
        if self.variant == "not_run_on_timeout":
            return self._answer_not_run(s, host)
        if self.variant == "retry_on_timeout" and AttemptState.UNUSED in s.attempts:
            return dispatch(s, host)
        return replace(set_record(s, host, Record.UNKNOWN), said_unknown=True)

    def _answer_not_run(self, s: State, host: str) -> State:
        """Answer "not run", which invalidates the token."""
        keeps_token = self.variant == "not_run_keeps_token"
        new_record = Record.NONE if keeps_token else Record.NOT_RUN
        return replace(set_record(s, host, new_record), said_not_run=True)


def _not_run_is_true(s: dict) -> bool:
    """Return whether "not run" was answered only if the request never runs.

    A request in flight to a server may still run.
    """
    may_run = s["runs"] > 0 or AttemptState.REQUEST_IN_FLIGHT in s["attempts"]
    return not (s["said_not_run"] and may_run)
