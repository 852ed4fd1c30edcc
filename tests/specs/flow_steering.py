"""Models of flow steering while entry hosts have different documents.

`one_server` covers an opaque flow key whose choice is server 1 in document 1 and
server 2 in document 2, two hosts A and B, the key's owner O, one relayed packet,
one reply and one handover in flight for each of A and B, and any number of
packets from the caller. Messages arrive in any order. Hosts learn document 2 at
any time, and the owner settles the change when both have handed over. Not
covered: crashes, a third document, lost messages, and the time limit on settling,
which lets a host that hands over later break flows that only it knew.

`leaving_server` covers new flows at O and at a host A in steps of half a second.
The first host learns that the server leaves at time 0, A and O learn at any time
up to 3 s, and a report of a host's version takes up to 1 s. Some host never hands
over. Packets for which `HandoverTracker.must_wait` is true go to another server
later, so their waiting is not modelled.

Transitions and the code that they model:

learn: `FlowState.update`, `TableScan.restart`
handover: `TableScan._recipients_of_flow`, `FlowState._receive_record`
settle: `HandoverTracker.settle_due`
packet: `PacketRouter._route_opaque`
relay: `PacketRouter._route_unrecorded`, `HandoverTracker.choose_unrecorded`
reply: `PacketRouter._reply`
report: `HandoverTracker.observe_version`
deadline: `HandoverTracker._leaving_deadline`
"""

from typing import NamedTuple

from minicheck import Protocol

OWNER = 2
STEPS_PER_SECOND = 2
CONVERGED_STEP = 3 * STEPS_PER_SECOND
LEAVING_BOUND_STEP = 3 * STEPS_PER_SECOND
SETTLE_STEPS = 2 * STEPS_PER_SECOND
REPORTED_SETTLE_STEPS = 2 * STEPS_PER_SECOND
REPORT_STEPS = 1 * STEPS_PER_SECOND
LAST_STEP = 6 * STEPS_PER_SECOND
NEVER = LAST_STEP + 1


class FlowState(NamedTuple):
    """State of one flow. Tuples hold A, B and, if there is a third item, O.

    0 means none.
    """

    versions: tuple = (1, 1, 1)
    records: tuple = (0, 0, 0)
    handovers: tuple = (0, 0)  # 1: with record 1, 2: with record 2, 3: no record
    completed: tuple = (False, False)
    relays: tuple = (False, False)
    replies: tuple = (0, 0)
    settled: bool = False
    server: int = 0
    broken: bool = False


def _replace_at(items, position, value):
    return items[:position] + (value,) + items[position + 1 :]


def _forward(state, server):
    is_broken = state.broken or state.server not in (0, server)
    return state._replace(server=server, broken=is_broken)


def _record(state, host, server):
    return state._replace(records=_replace_at(state.records, host, server))


def _learn(state, host):
    state = state._replace(versions=_replace_at(state.versions, host, 2))
    if host == OWNER:
        return state
    differs = state.records[host] == 1
    handover = 1 if differs else 3
    return state._replace(handovers=_replace_at(state.handovers, host, handover))


def _receive_handover(state, host):
    if state.handovers[host] != 3 and not state.records[OWNER]:
        state = _record(state, OWNER, state.handovers[host])
    return state._replace(
        handovers=_replace_at(state.handovers, host, 0),
        completed=_replace_at(state.completed, host, True),
    )


def _decide(state, has_settle):
    if state.records[OWNER]:
        return state.records[OWNER]
    if state.versions[OWNER] == 1:
        return 1
    return 2 if state.settled or not has_settle else 1


def _packet_at_owner(state, has_settle):
    server = _decide(state, has_settle)
    return _forward(_record(state, OWNER, server), server)


def _packet(state, host, has_owner):
    if state.records[host]:
        return _forward(state, state.records[host])
    if state.versions[host] == 1:
        return _forward(_record(state, host, 1), 1)
    if not has_owner:
        return _forward(_record(state, host, 2), 2)
    return state._replace(relays=_replace_at(state.relays, host, True))


def _receive_relay(state, host, has_settle):
    state = state._replace(relays=_replace_at(state.relays, host, False))
    state = _packet_at_owner(state, has_settle)
    reply = state.records[OWNER]
    return state._replace(replies=_replace_at(state.replies, host, reply))


def _receive_reply(state, host):
    if not state.records[host]:
        state = _record(state, host, state.replies[host])
    return state._replace(replies=_replace_at(state.replies, host, 0))


def one_server(has_owner=True, has_settle=True):
    """Return the model; without an owner or settling it must break a flow."""

    def transitions(values):
        state = FlowState(*values)
        steps = []
        for host in (0, 1, OWNER):
            if state.versions[host] == 1:
                steps.append((f"learn {host}", _learn(state, host)))
        for host in (0, 1):
            steps.append((f"packet {host}", _packet(state, host, has_owner)))
            if state.handovers[host]:
                steps.append((f"handover {host}", _receive_handover(state, host)))
            if state.relays[host]:
                relayed = _receive_relay(state, host, has_settle)
                steps.append((f"relay {host}", relayed))
            if state.replies[host]:
                steps.append((f"reply {host}", _receive_reply(state, host)))
        steps.append(("packet owner", _packet_at_owner(state, has_settle)))
        if state.versions[OWNER] == 2 and all(state.completed):
            steps.append(("settle", state._replace(settled=True)))
        return [(label, tuple(step)) for label, step in steps]

    return Protocol(
        name="one flow, one server with uneven versions",
        candidate=False,
        fields=FlowState._fields,
        initial=tuple(FlowState()),
        transitions=transitions,
        invariants={"one_server": lambda state: not state["broken"]},
    )


class LeavingState(NamedTuple):
    """Times are in steps since the first host has learned of the change."""

    now: int = 0
    owner_learned: int = NEVER
    other_learned: int = NEVER
    report_seen: int = NEVER
    is_late: bool = False


def _deadline(state, has_report):
    deadline = state.owner_learned + SETTLE_STEPS
    if has_report and state.report_seen <= state.owner_learned:
        deadline = min(deadline, state.report_seen + REPORTED_SETTLE_STEPS)
    return deadline


def _new_flow(state, at_owner, has_bound, has_report):
    learned = state.owner_learned if at_owner else state.other_learned
    uses_old_choice = state.now < learned
    if not uses_old_choice and state.now < state.owner_learned:
        uses_old_choice = True  # relayed to an owner that has not learned of the change
    if not uses_old_choice:
        uses_old_choice = not has_bound or state.now < _deadline(state, has_report)
    is_late = uses_old_choice and state.now > LEAVING_BOUND_STEP
    return state._replace(is_late=state.is_late or is_late)


def _can_advance(state):
    is_converged = max(state.owner_learned, state.other_learned) <= state.now
    if state.now >= CONVERGED_STEP and not is_converged:
        return False
    is_report_seen = min(state.report_seen, state.owner_learned) <= state.now
    return state.now < LAST_STEP and (state.now < REPORT_STEPS or is_report_seen)


def leaving_server(has_bound=True, has_report=True):
    """Return the model; without the bound or reports it must have a late flow."""

    def transitions(values):
        state = LeavingState(*values)
        now, steps = state.now, []
        for at_owner in (True, False):
            step = _new_flow(state, at_owner, has_bound, has_report)
            steps.append((f"new flow {at_owner=}", step))
        if state.owner_learned == NEVER:
            steps.append(("owner learns", state._replace(owner_learned=now)))
            if state.report_seen == NEVER:
                steps.append(("owner sees report", state._replace(report_seen=now)))
        if state.other_learned == NEVER:
            steps.append(("other learns", state._replace(other_learned=now)))
        if _can_advance(state):
            steps.append(("half a second", state._replace(now=now + 1)))
        return [(label, tuple(step)) for label, step in steps]

    return Protocol(
        name="leaving server gets no new flow",
        candidate=False,
        fields=LeavingState._fields,
        initial=tuple(LeavingState()),
        transitions=transitions,
        invariants={"no_late_flow": lambda state: not state["is_late"]},
    )
