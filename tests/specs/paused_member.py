"""Model: a resumed host does not act on outdated suspicions.

One host monitors one member that is always alive and reachable. A lost probe
makes the host suspect it; the refutation reaches the host's socket within one
unit of time, and a suspicion expires after two. The host can pause and resume
at any moment, any number of times, while the clock runs on. A running host
reads its socket before a unit of time passes, but immediately after it resumes,
its timers may run first.

The code of each transition: `lose probe` is `mark_suspect`; `read` is
`MemberTable.apply_claim`; `expire` is `SuspicionTimers.tick`; `wake` is
`Membership._resync_after_pause`, which restarts the suspicions. Not covered:
several members, and isolation of the host.
"""

from minicheck import Protocol

ALIVE, SUSPECT, DEAD = "alive", "suspect", "dead"
NONE, IN_FLIGHT, IN_SOCKET = "none", "in flight", "in socket"
ARRIVAL_LIMIT = 1
TIMEOUT = 2
FIELDS = ("view", "age", "refutation", "paused")


def _time_passes(view: str, age: int, refutation: str, paused: bool) -> list:
    must_arrive = refutation == IN_FLIGHT and age >= ARRIVAL_LIMIT
    must_read = refutation == IN_SOCKET and not paused
    if view != SUSPECT or must_arrive or must_read:
        return []
    return [("time passes", (view, min(age + 1, TIMEOUT), refutation, paused))]


def _running(view: str, age: int, refutation: str) -> list:
    steps = [("pause", (view, age, refutation, True))]
    if view == ALIVE and refutation == NONE:
        steps.append(("lose probe", (SUSPECT, 0, IN_FLIGHT, False)))
    if refutation == IN_SOCKET:
        steps.append(("read", (ALIVE if view == SUSPECT else view, 0, NONE, False)))
    if view == SUSPECT and age >= TIMEOUT:
        steps.append(("expire", (DEAD, 0, refutation, False)))
    return steps


def build(restarts_suspicions: bool = True) -> Protocol:
    """Return the model with or without the restart of suspicions."""

    def transitions(state: tuple) -> list:
        view, age, refutation, paused = state
        steps = _time_passes(*state)
        if refutation == IN_FLIGHT:
            steps.append(("arrive", (view, age, IN_SOCKET, paused)))
        if paused:
            age_after = 0 if restarts_suspicions else age
            return [*steps, ("wake", (view, age_after, refutation, False))]
        return steps + _running(view, age, refutation)

    return Protocol(
        name="paused member",
        candidate=False,
        fields=FIELDS,
        initial=(ALIVE, 0, NONE, False),
        transitions=transitions,
        invariants={"reachable_member_stays": lambda state: state["view"] != DEAD},
    )


WITHOUT_RESTART = build(restarts_suspicions=False)
