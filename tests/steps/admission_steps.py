"""Steps for admission, on a manual clock and with simulated servers."""

from dataclasses import replace

from behave import given, then, when

from hornbeamdeal.admission import RefusalReason, StartDecision, Ticket
from hornbeamdeal.kernel import (
    BackendServer,
    ClusterView,
    DispatchOutcome,
    Endpoint,
    EntryHost,
    HostState,
    ManualClock,
    ServerAnswer,
    ServerState,
    create_plugin,
)

TICK_SECONDS = 0.05
SERVICE_SECONDS = 0.05
LONG_SERVICE_SECONDS = 2.5


class SimulatedHost:
    """An admission plug-in on a manual clock, with a record of its decisions."""

    def __init__(self, plugin, servers, slots, hosts=1, own_id="h0"):
        self.clock = ManualClock(100.0)
        self.plugin = create_plugin("admission", plugin, random_state=7)
        self.servers = {
            f"s{i}": BackendServer(
                f"s{i}", "reservas", Endpoint("::", i), "a", 1, slots
            )
            for i in range(servers)
        }
        self.hosts = {
            f"h{i}": EntryHost(f"h{i}", i, Endpoint("::", 100 + i), "a")
            for i in range(hosts)
        }
        self.own_id = own_id
        self.starts, self.refusals = [], []
        self.running, self.started_at = {}, {}
        self.refused_at = set()
        self.offered = 0
        self.update()

    def update(self):
        view = ClusterView(
            self.own_id, "a", servers_by_id=self.servers, hosts_by_id=self.hosts
        )
        self.apply(self.plugin.update(view, self.clock.seconds))

    def offer(self, long=False, deadline=2.0, caller=1, excluded=()):
        self.offered += 1
        work_class = "photos" if long else "bookings"
        due = self.clock.seconds + deadline
        ticket = Ticket(
            *(self.offered, "reservas", work_class, long, Endpoint("::", caller), due),
            frozenset(excluded),
        )
        self.apply(self.plugin.offer(ticket, self.clock.seconds))
        return ticket

    def finish(self, ticket_id, outcome=DispatchOutcome.ANSWERED, load=None):
        del self.running[ticket_id]
        answer = ServerAnswer(outcome, load=load)
        self.apply(self.plugin.release(ticket_id, answer, self.clock.seconds))

    def apply(self, decisions):
        for decision in decisions:
            ticket_id = decision.ticket.ticket_id
            assert ticket_id not in {r.ticket.ticket_id for r in self.refusals}
            if isinstance(decision, StartDecision):
                assert ticket_id not in self.started_at, "started twice"
                self.starts.append(decision)
                self.running[ticket_id] = decision
                self.started_at[ticket_id] = self.clock.seconds
            else:
                self.refusals.append(decision)
                self.refused_at.add(self.clock.seconds)

    def serve(
        self,
        seconds,
        outcome_of=lambda server_id: DispatchOutcome.ANSWERED,
        on_tick=None,
    ):
        """Advance the clock; requests end after the service time of their kind."""
        end = self.clock.seconds + seconds
        while self.clock.seconds < end - 1e-9:
            self.clock.advance(TICK_SECONDS)
            for ticket_id, start in list(self.running.items()):
                duration = (
                    LONG_SERVICE_SECONDS if start.ticket.is_long else SERVICE_SECONDS
                )
                outcome = outcome_of(start.server.server_id)
                if outcome is DispatchOutcome.REFUSED:
                    duration = 0
                if self.clock.seconds - self.started_at[ticket_id] >= duration - 1e-9:
                    self.finish(ticket_id, outcome)
            self.apply(self.plugin.tick(self.clock.seconds))
            if on_tick:
                on_tick()

    def running_on(self, server_id):
        return [s for s in self.running.values() if s.server.server_id == server_id]

    def waiting(self):
        return self.offered - len(self.starts) - len(self.refusals)


@given(
    'an admission host with plug-in "{plugin}" and {servers:d} servers of {slots:d} slots'
)
def given_host(context, plugin, servers, slots):
    context.host = SimulatedHost(plugin, servers, slots)


@given(
    "host {own_id} of {hosts:d} admission hosts with {servers:d} servers of {slots:d} slots"
)
def given_one_of_hosts(context, own_id, hosts, servers, slots):
    context.host = SimulatedHost("slot_shares", servers, slots, hosts, own_id)


@given("it has served {count:d} bookings")
def given_served(context, count):
    for _ in range(count):
        context.host.offer()
        context.host.serve(SERVICE_SECONDS)


@when("{count:d} bookings are offered at once")
def when_bookings(context, count):
    for _ in range(count):
        context.host.offer()


@when("{count:d} uploads are offered at once")
def when_uploads(context, count):
    for _ in range(count):
        context.host.offer(long=True, deadline=60.0)


@when("bookings are offered faster than they are served for {seconds:d} s")
def when_flood(context, seconds):
    host = context.host
    host.serve(seconds, on_tick=lambda: [host.offer() for _ in range(20)])


@when("requests are served for {seconds:g} s")
def when_served(context, seconds):
    context.host.serve(seconds)


@when("no request ends for {seconds:g} s")
def when_none_ends(context, seconds):
    host = context.host
    for _ in range(round(seconds / TICK_SECONDS)):
        host.clock.advance(TICK_SECONDS)
        host.apply(host.plugin.tick(host.clock.seconds))


@when("server {server_id} becomes {state}")
def when_state(context, server_id, state):
    host = context.host
    if state == "absent":
        host.removed = host.servers.pop(server_id)
    elif state == "present":
        host.servers[server_id] = host.removed
    else:
        server = host.servers[server_id]
        host.servers[server_id] = replace(server, state=ServerState(state))
    host.starts_before = len(host.starts)
    host.update()


@when("server {server_id} answers {outcome} to {count:d} requests")
def when_outcomes(context, server_id, outcome, count):
    """Offer bookings until the server has given `count` of these results."""
    host, remaining = context.host, [count]

    def outcome_of(running_on):
        if running_on != server_id or remaining[0] == 0:
            return DispatchOutcome.ANSWERED
        remaining[0] -= 1
        return DispatchOutcome(outcome)

    for _ in range(4000):
        if remaining[0] == 0:
            return
        host.offer()
        host.serve(TICK_SECONDS, outcome_of)
    raise AssertionError("the server got too few requests")


@when("light load is offered for {seconds:d} s with failing servers {failing}")
def when_fail(context, failing, seconds):
    host = context.host
    names = failing.split(",")

    def outcome_of(server_id):
        return (
            DispatchOutcome.FAILED if server_id in names else DispatchOutcome.ANSWERED
        )

    def offer_some():
        for _ in range(4):
            host.offer()

    host.starts_before = len(host.starts)
    host.serve(seconds, outcome_of, on_tick=offer_some)


@when("the admission host closes")
def when_close(context):
    context.host.apply(context.host.plugin.close(context.host.clock.seconds))


@when("caller 1 offers {count:d} bookings and then callers 2 to 4 offer one each")
def when_caller_floods(context, count):
    context.host.starts_before = len(context.host.starts)
    for _ in range(count):
        context.host.offer(caller=1, deadline=20.0)
    for caller in (2, 3, 4):
        context.host.offer(caller=caller, deadline=20.0)


@when(
    "an impatient caller offers {factor:d} times as often as 5 others for {seconds:d} s"
)
def when_impatient_caller(context, factor, seconds):
    host = context.host

    def offer_all():
        # The impatient caller offers first, so it gets each free place.
        for _ in range(factor):
            host.offer(caller=9)
        for caller in (1, 2, 3, 4, 5):
            host.offer(caller=caller)

    host.serve(seconds, on_tick=offer_all)


@when("all servers report {load:g} load and {count:d} bookings are served")
def when_servers_report(context, load, count):
    host = context.host
    for _ in range(count):
        ticket = host.offer()
        host.clock.advance(TICK_SECONDS)
        if ticket.ticket_id in host.running:
            host.finish(ticket.ticket_id, load=load)
    host.starts_before = len(host.starts)


@when("host {host_id} is leaving in the view of this host only")
def when_member_leaves(context, host_id):
    member = context.host.hosts[host_id]
    context.host.hosts[host_id] = replace(member, state=HostState.LEAVING)
    context.host.update()


@when("a ticket is withdrawn while it {state}")
def when_withdrawn(context, state):
    host = context.host
    candidates = set(host.running) if state == "runs" else None
    if candidates is None:
        decided = set(host.started_at) | {r.ticket.ticket_id for r in host.refusals}
        candidates = set(range(1, host.offered + 1)) - decided
    context.withdrawn = min(candidates)
    host.running.pop(context.withdrawn, None)
    now = host.clock.seconds
    host.starts_before = len(host.starts)
    host.apply(host.plugin.withdraw(context.withdrawn, now))
    host.apply(
        host.plugin.release(
            context.withdrawn, ServerAnswer(DispatchOutcome.ANSWERED), now
        )
    )


@when("a booking that failed at {excluded} is offered")
def when_excluded(context, excluded):
    context.ticket = context.host.offer(excluded=excluded.split(","))


@then("{count:d} tickets are started")
def then_started(context, count):
    assert len(context.host.starts) == count, len(context.host.starts)


@then("{count:d} tickets wait and {refused:d} are refused")
def then_wait(context, count, refused):
    host = context.host
    found = (host.waiting(), len(host.refusals))
    assert found == (count, refused), found


@then("all offers beyond the queue were refused at once, with spread retry times")
def then_refused_at_once(context):
    host = context.host
    assert host.refusals
    reasons = {RefusalReason.DEADLINE_UNREACHABLE, RefusalReason.QUEUE_FULL}
    assert {refusal.reason for refusal in host.refusals} <= reasons
    assert host.refused_at == {host.clock.seconds}
    times = [round(r.retry_after, 6) for r in host.refusals]
    assert min(times) > 0
    assert len(set(times)) > len(times) * 0.9


@then("all accepted bookings started in time to meet their deadline")
def then_in_time(context):
    host = context.host
    for start in host.starts:
        started = host.started_at[start.ticket.ticket_id]
        assert started + SERVICE_SECONDS <= start.ticket.deadline


@then("server {server_id} got no new work")
def then_no_new_work(context, server_id):
    host = context.host
    later = host.starts[host.starts_before :]
    assert later, "no request was started at all"
    assert all(start.server.server_id != server_id for start in later)


@then("no server runs more than {count:d} tickets")
def then_at_most(context, count):
    host = context.host
    assert all(len(host.running_on(key)) <= count for key in host.servers)


@then("server {server_id} runs {count:d} tickets")
def then_runs(context, server_id, count):
    found = len(context.host.running_on(server_id))
    assert found == count, found


@then("{count:d} uploads run")
def then_uploads(context, count):
    running = context.host.running.values()
    found = sum(start.ticket.is_long for start in running)
    assert found == count, found


@then("the next booking starts at once")
def then_next_booking(context):
    ticket = context.host.offer()
    assert ticket.ticket_id in context.host.running


@then("the next booking waits")
def then_next_waits(context):
    waiting = context.host.waiting()
    context.host.offer()
    assert context.host.waiting() == waiting + 1


@then("the reason of all refusals is {reason}")
def then_reason(context, reason):
    reasons = {refusal.reason.value for refusal in context.host.refusals}
    assert reasons == {reason}, reasons


@then("a later booking is refused with {reason}")
def then_later_refused(context, reason):
    context.host.offer()
    assert context.host.refusals[-1].reason.value == reason


@then("callers 2 to 4 are among the {count:d} started next")
def then_fair(context, count):
    later = context.host.starts[context.host.starts_before :]
    callers = [start.ticket.caller.port for start in later[:count]]
    assert {2, 3, 4} <= set(callers), callers


@then("the impatient caller got at most {factor:g} times the mean of the others")
def then_impatient_share(context, factor):
    counts = dict.fromkeys((1, 2, 3, 4, 5, 9), 0)
    for start in context.host.starts:
        if start.ticket.caller.port in counts:
            counts[start.ticket.caller.port] += 1
    impatient = counts.pop(9)
    assert impatient <= factor * sum(counts.values()) / len(counts), (impatient, counts)


@then("at least {count:d} servers got starts in the last second")
def then_servers_used(context, count):
    host = context.host
    since = host.clock.seconds - 1.0
    recent = [s for s in host.starts if host.started_at[s.ticket.ticket_id] > since]
    found = {start.server.server_id for start in recent}
    assert len(found) >= count, found


@then("at most {share:g} of the later starts went to {names}")
def then_at_most_share(context, share, names):
    later = context.host.starts[context.host.starts_before :]
    matching = sum(start.server.server_id in names.split(",") for start in later)
    assert matching <= share * len(later), (matching, len(later))


@then("at least {share:g} of the later starts went to {names}")
def then_at_least_share(context, share, names):
    later = context.host.starts[context.host.starts_before :]
    matching = sum(start.server.server_id in names.split(",") for start in later)
    assert matching >= share * len(later), (matching, len(later))


@then("all bookings have been answered or refused")
def then_all_done(context):
    host = context.host
    assert not host.running
    assert host.waiting() == 0, host.waiting()


@then("the withdrawn ticket is not started again")
def then_withdrawn(context):
    later = context.host.starts[context.host.starts_before :]
    assert all(s.ticket.ticket_id != context.withdrawn for s in later)


@then("that booking runs on none of {names}")
def then_runs_elsewhere(context, names):
    start = context.host.running[context.ticket.ticket_id]
    assert start.server.server_id not in names.split(",")


@then("that booking runs")
def then_that_runs(context):
    assert context.ticket.ticket_id in context.host.running
