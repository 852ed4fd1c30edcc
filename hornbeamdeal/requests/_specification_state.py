"""State of the specification of at-most-once execution."""

from dataclasses import dataclass, replace
from enum import IntEnum

MAXIMUM_ATTEMPTS = 3


class Record(IntEnum):
    """What a host's ledger holds for the token."""

    NONE = 0
    QUEUED = 1
    DISPATCHED = 2
    ANSWERED = 3
    NOT_RUN = 4
    UNKNOWN = 5


class AttemptState(IntEnum):
    """Where one try at a server is."""

    UNUSED = 0
    REQUEST_IN_FLIGHT = 1
    ANSWER_IN_FLIGHT = 2
    REFUSAL_IN_FLIGHT = 3
    FINISHED = 4


ENDED = (Record.ANSWERED, Record.NOT_RUN, Record.UNKNOWN)


@dataclass(frozen=True, slots=True)
class State:
    """State of the model; `current_*` is the index of a host's try, or -1."""

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


def record(s: State, host: str) -> Record:
    """Return what a host's ledger holds."""
    return s.record_a if host == "a" else s.record_b


def current_attempt(s: State, host: str) -> int:
    """Return the index of a host's try."""
    return s.current_a if host == "a" else s.current_b


def set_record(s: State, host: str, after: Record) -> State:
    """Set what a host's ledger holds."""
    return replace(s, **{f"record_{host}": after})


def set_attempt(s: State, index: int, state: AttemptState) -> State:
    """Set where a try is."""
    attempts = (*s.attempts[:index], state, *s.attempts[index + 1 :])
    return replace(s, attempts=attempts)


def dispatch(s: State, host: str) -> State:
    """Send the next try to a server."""
    index = s.attempts.index(AttemptState.UNUSED)
    sent = set_attempt(s, index, AttemptState.REQUEST_IN_FLIGHT)
    sent = replace(sent, **{f"current_{host}": index})
    return set_record(sent, host, Record.DISPATCHED)


def say(s: State, known: Record) -> State:
    """Answer a duplicate from the record."""
    return replace(
        s,
        said_ok=s.said_ok or known is Record.ANSWERED,
        said_not_run=s.said_not_run or known is Record.NOT_RUN,
        said_unknown=s.said_unknown or known is Record.UNKNOWN,
    )


def restart(s: State) -> State:
    """Start host A anew, without memory."""
    return replace(s, record_a=Record.NONE, current_a=-1, restarted=True, paused=False)
