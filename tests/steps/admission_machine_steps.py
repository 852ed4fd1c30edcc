"""Hypothesis state machine for the plug-in, and models checked in all states."""

from behave import then
from hypothesis import HealthCheck, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from hypothesis.strategies import booleans, floats, integers, sampled_from
from minicheck import Protocol, check_safety

from hornbeamdeal.admission import RefuseDecision, Ticket
from hornbeamdeal.kernel import (
    BackendServer,
    ClusterView,
    DispatchOutcome,
    Endpoint,
    EntryHost,
    ServerAnswer,
    ServerState,
    create_plugin,
)

SLOTS = 3
SERVERS = ("s0", "s1", "s2")


class AdmissionMachine(RuleBasedStateMachine):
    """Calls the plug-in's methods in any order while servers and hosts change."""

    plugin_name = "slot_shares"

    def __init__(self):
        super().__init__()
        self.plugin = create_plugin("admission", self.plugin_name, random_state=3)
        self.now = 10.0
        self.offered = 0
        self.states = dict.fromkeys(SERVERS, ServerState.ACTIVE)
        self.hosts = ["h0", "h1"]
        self.waiting, self.running, self.ended = {}, {}, set()
        self.closed = False
        self.send_view()

    def send_view(self):
        servers = {
            key: BackendServer(key, "x", Endpoint("::", 1), "a", 1, SLOTS, 9, state)
            for key, state in self.states.items()
            if state is not None
        }
        hosts = {key: EntryHost(key, 1, Endpoint("::", 2), "a") for key in self.hosts}
        view = ClusterView("h0", "a", servers_by_id=servers, hosts_by_id=hosts)
        self.apply(self.plugin.update(view, self.now))

    def apply(self, decisions):
        for decision in decisions:
            ticket_id = decision.ticket.ticket_id
            assert ticket_id not in self.ended, "decision after the ticket ended"
            assert ticket_id not in self.running, "decision while the ticket runs"
            assert self.waiting.pop(ticket_id, None), "decision without an offer"
            if isinstance(decision, RefuseDecision):
                assert decision.retry_after > 0
                self.ended.add(ticket_id)
            else:
                self.check_start(decision)
                self.running[ticket_id] = decision

    def check_start(self, start):
        assert not self.closed, "started after close"
        assert self.states[start.server.server_id] is ServerState.ACTIVE
        assert start.ticket.deadline > self.now, "started after its deadline"

    @rule(
        long=booleans(),
        caller=integers(1, 3),
        deadline=sampled_from([0.05, 2.0, 60.0]),
        excluded=sampled_from([(), ("s0",), ("s0", "s1", "s2")]),
    )
    def offer(self, long, caller, deadline, excluded):
        self.offered += 1
        work_class = "photos" if long else "bookings"
        due = self.now + deadline
        ticket = Ticket(
            *(self.offered, "x", work_class, long, Endpoint("::", caller), due),
            frozenset(excluded),
        )
        self.waiting[ticket.ticket_id] = ticket
        self.apply(self.plugin.offer(ticket, self.now))

    @rule(
        pick=integers(0, 30),
        outcome=sampled_from(DispatchOutcome),
        load=floats(0.0, 1.0),
    )
    def release(self, pick, outcome, load):
        if self.running:
            ticket_id = sorted(self.running)[pick % len(self.running)]
            del self.running[ticket_id]
            self.ended.add(ticket_id)
            answer = ServerAnswer(outcome, load=load)
            self.apply(self.plugin.release(ticket_id, answer, self.now))

    @rule(pick=integers(0, 30))
    def withdraw(self, pick):
        known = sorted(self.running | self.waiting)
        if known:
            ticket_id = known[pick % len(known)]
            self.running.pop(ticket_id, None)
            self.waiting.pop(ticket_id, None)
            self.ended.add(ticket_id)
            self.apply(self.plugin.withdraw(ticket_id, self.now))

    @rule(seconds=sampled_from([0.001, 0.05, 0.5, 5.0]))
    def tick(self, seconds):
        self.now += seconds
        self.apply(self.plugin.tick(self.now))

    @rule(
        server=sampled_from(SERVERS),
        state=sampled_from([ServerState.ACTIVE, ServerState.DRAINING, None]),
    )
    def change_server(self, server, state):
        self.states[server] = state
        self.send_view()

    @rule(hosts=integers(1, 4))
    def change_hosts(self, hosts):
        self.hosts = [f"h{index}" for index in range(hosts)]
        self.send_view()

    @rule(really=integers(0, 9))
    def close(self, really):
        if really == 0:
            self.closed = True
            self.apply(self.plugin.close(self.now))
            assert not self.waiting

    @invariant()
    def slots_are_kept(self):
        for key in SERVERS:
            on_server = [s for s in self.running.values() if s.server.server_id == key]
            assert len(on_server) <= SLOTS, "more requests than slots"
            assert sum(s.ticket.is_long for s in on_server) < SLOTS, "no short slot"


class BaselineMachine(AdmissionMachine):
    """The state machine on a baseline, which keeps no slot for short work."""

    plugin_name = "round_robin"


def run_machine(machine):
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=150,
            stateful_step_count=60,
            suppress_health_check=list(HealthCheck),
        ),
    )


def specify_refusal(removes_refused):
    """Return the model of a ticket that is offered, queued, refused, started, ended."""

    def transitions(state):
        phase, refused, running = state
        found = []
        if phase == "new":
            found += [("queue", ("queued", refused, running))]
            found += [("refuse", ("gone", True, running))]
        if phase == "queued":
            phase_after_expiry = "gone" if removes_refused else "queued"
            found += [("expire", (phase_after_expiry, True, running))]
            found += [("start", ("gone", refused, True))]
        if running:
            found += [("end", (phase, refused, False))]
        return found

    return Protocol(
        name="refused ticket",
        candidate=False,
        fields=("phase", "refused", "running"),
        initial=("new", False, False),
        transitions=transitions,
        invariants={"not_run": lambda s: not (s["refused"] and s["running"])},
    )


def specify_leaving(starts_before_update):
    """Return the model of a server that starts draining while a ticket waits for it.

    The faulty variant starts waiting tickets from the old view in the update.
    """

    def transitions(state):
        known, free, waiting, started_late = state
        found = []
        if waiting and free and known == "active":
            found += [("start", (known, False, False, started_late))]
        if not free:
            found += [("end", (known, True, waiting, started_late))]
        if not waiting:
            found += [("offer", (known, free, True, started_late))]
        if known == "active":
            late = starts_before_update and waiting
            found += [("update", ("draining", free and not late, waiting, late))]
        return found

    return Protocol(
        name="leaving server",
        candidate=False,
        fields=("known", "free", "waiting", "started_late"),
        initial=("active", True, False, False),
        transitions=transitions,
        invariants={"no_new_work": lambda s: not s["started_late"]},
    )


SPECIFICATIONS = {
    "a refused ticket never starts": (specify_refusal, True, False),
    "a leaving server gets no new work": (specify_leaving, False, True),
}


@then("the admission invariants hold in any order of calls")
def then_invariants_hold(context):
    run_machine(AdmissionMachine)


@then('the same state machine finds a violation in plug-in "round_robin"')
def then_violation(context):
    try:
        run_machine(BaselineMachine)
    except AssertionError as error:
        assert "no short slot" in str(error), error
        return
    raise AssertionError(
        "no violation found, although the baseline keeps no slot for short work"
    )


@then('the model "{name}" holds and its faulty variant does not')
def then_specification_holds(context, name):
    specify, correct, faulty = SPECIFICATIONS[name]
    assert all(
        p["holds"] for p in check_safety(specify(correct))["properties"].values()
    )
    found = check_safety(specify(faulty))["properties"]
    assert not all(p["holds"] for p in found.values())
