"""State and state changes of the model of at-most-once execution."""

from dataclasses import dataclass, replace
from enum import IntEnum

MAXIMUM_ATTEMPTS = 3


class Record(IntEnum):
    """State of the token's record in a host's ledger."""

    NONE = 0
    QUEUED = 1
    DISPATCHED = 2
    ANSWERED = 3
    NOT_RUN = 4
    UNKNOWN = 5


class AttemptState(IntEnum):
    """State of one attempt at a server."""

    UNUSED = 0
    REQUEST_IN_FLIGHT = 1
    ANSWER_IN_FLIGHT = 2
    REFUSAL_IN_FLIGHT = 3
    FINISHED = 4


ENDED = (Record.ANSWERED, Record.NOT_RUN, Record.UNKNOWN)


@dataclass(frozen=True, slots=True)
class State:
    """State of the model.

    `current_*` is the index of a host's current attempt, or -1. The `said_*`
    fields tell which answers the caller has been given.
    """

    copies_a: int = 0
    copies_b: int = 0
    sent: int = 0
    relays: int = 0
    record_a: Record = Record.NONE
    record_b: Record = Record.NONE
    current_a: int = -1
    current_b: int = -1
    attempts: tuple[AttemptState, ...] = (AttemptState.UNUSED,) * MAXIMUM_ATTEMPTS
    runs: int = 0
    deadline_passed: bool = False
    token_expired: bool = False
    paused: bool = False
    paused_before: bool = False
    restarted: bool = False
    cancelled: bool = False
    said_not_run: bool = False
    said_unknown: bool = False
    said_ok: bool = False


FIELDS = tuple(State.__dataclass_fields__)


def pack(state: State) -> tuple:
    """Return the state as minicheck's tuple."""
    return tuple(getattr(state, name) for name in FIELDS)


def get_record(s: State, host: str) -> Record:
    """Return the state of the token's record at a host."""
    return s.record_a if host == "a" else s.record_b


def current_attempt(s: State, host: str) -> int:
    """Return the index of a host's current attempt, or -1."""
    return s.current_a if host == "a" else s.current_b


def set_record(s: State, host: str, new_record: Record) -> State:
    """Set the state of the token's record at a host."""
    return replace(s, **{f"record_{host}": new_record})


def set_attempt(s: State, index: int, state: AttemptState) -> State:
    """Set the state of an attempt."""
    attempts = (*s.attempts[:index], state, *s.attempts[index + 1 :])
    return replace(s, attempts=attempts)


def dispatch(s: State, host: str) -> State:
    """Dispatch a host's next attempt to a server."""
    index = s.attempts.index(AttemptState.UNUSED)
    sent = set_attempt(s, index, AttemptState.REQUEST_IN_FLIGHT)
    sent = replace(sent, **{f"current_{host}": index})
    return set_record(sent, host, Record.DISPATCHED)


def answer_from_record(s: State, ledger_record: Record) -> State:
    """Answer a duplicate from the record."""
    return replace(
        s,
        said_ok=s.said_ok or ledger_record is Record.ANSWERED,
        said_not_run=s.said_not_run or ledger_record is Record.NOT_RUN,
        said_unknown=s.said_unknown or ledger_record is Record.UNKNOWN,
    )


def restart(s: State) -> State:
    """Restart host A with an empty ledger."""
    return replace(s, record_a=Record.NONE, current_a=-1, restarted=True, paused=False)
