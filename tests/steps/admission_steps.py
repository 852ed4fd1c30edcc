"""Steps for admission: a host with a manual clock and servers played by the test."""

from dataclasses import replace

from behave import given, then, when

from hornbeamdeal.admission import RefusalReason, Start, Ticket
from hornbeamdeal.kernel import (
    BackendServer,
    Endpoint,
    EntryHost,
    HostState,
    ManualClock,
    Outcome,
    ServerAnswer,
    ServerState,
    View,
    create,
)

STEP = 0.05  # seconds between ticks
SERVICE_TIME = 0.05  # seconds
LONG_SERVICE_TIME = 2.5  # seconds


class PlayedHost:
    """A plug-in with the record of its decisions."""

    def __init__(self, plugin, servers, slots, hosts=1, own="h0"):
        self.clock = ManualClock(100.0)
        self.plugin = create("admission", plugin, random_state=7)
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
        self.own = own
        self.starts, self.refusals = [], []
        self.running, self.started_at = {}, {}
        self.refused_at = set()
        self.offers = 0
        self.update()

    def update(self):
        view = View(self.own, "a", servers_by_id=self.servers, hosts_by_id=self.hosts)
        self.apply(self.plugin.update(view, self.clock.seconds))

    def offer(self, long=False, deadline=2.0, caller=1, excluded=()):
        self.offers += 1
        work_class = "photos" if long else "bookings"
        until = self.clock.seconds + deadline
        ticket = Ticket(
            *(self.offers, "reservas", work_class, long, Endpoint("::", caller), until),
            frozenset(excluded),
        )
        self.apply(self.plugin.offer(ticket, self.clock.seconds))
        return ticket

    def finish(self, ticket_id, outcome=Outcome.ANSWERED, load=None):
        del self.running[ticket_id]
        answer = ServerAnswer(outcome, load=load)
        self.apply(self.plugin.release(ticket_id, answer, self.clock.seconds))

    def apply(self, decisions):
        for decision in decisions:
            ticket_id = decision.ticket.ticket_id
            assert ticket_id not in {r.ticket.ticket_id for r in self.refusals}
            if isinstance(decision, Start):
                assert ticket_id not in self.started_at, "started twice"
                self.starts.append(decision)
                self.running[ticket_id] = decision
                self.started_at[ticket_id] = self.clock.seconds
            else:
                self.refusals.append(decision)
                self.refused_at.add(self.clock.seconds)

    def serve(self, seconds, outcome_of=lambda server_id: Outcome.ANSWERED, each=None):
        """Let time pass; requests end after the service time of their kind."""
        end = self.clock.seconds + seconds
        while self.clock.seconds < end - 1e-9:
            self.clock.advance(STEP)
            for ticket_id, start in list(self.running.items()):
                duration = LONG_SERVICE_TIME if start.ticket.long else SERVICE_TIME
                outcome = outcome_of(start.server.server_id)
                if outcome is Outcome.REFUSED:
                    duration = 0
                if self.clock.seconds - self.started_at[ticket_id] >= duration - 1e-9:
                    self.finish(ticket_id, outcome)
            self.apply(self.plugin.tick(self.clock.seconds))
            if each:
                each()

    def running_on(self, server_id):
        return [s for s in self.running.values() if s.server.server_id == server_id]

    def waiting(self):
        return self.offers - len(self.starts) - len(self.refusals)


@given(
    'an admission host with plug-in "{plugin}" and {servers:d} servers of {slots:d} slots'
)
def given_host(context, plugin, servers, slots):
    context.played = PlayedHost(plugin, servers, slots)


@given(
    "host {own} of {hosts:d} admission hosts with {servers:d} servers of {slots:d} slots"
)
def given_one_of_hosts(context, own, hosts, servers, slots):
    context.played = PlayedHost("slot_shares", servers, slots, hosts, own)


@given("it has served {count:d} bookings")
def given_served(context, count):
    for _ in range(count):
        context.played.offer()
        context.played.serve(SERVICE_TIME)


@when("{count:d} bookings are offered at once")
def when_bookings(context, count):
    for _ in range(count):
        context.played.offer()


@when("{count:d} uploads are offered at once")
def when_uploads(context, count):
    for _ in range(count):
        context.played.offer(long=True, deadline=60.0)


@when("bookings are offered faster than they are served for {seconds:d} s")
def when_flood(context, seconds):
    played = context.played
    played.serve(seconds, each=lambda: [played.offer() for _ in range(20)])


@when("requests are served for {seconds:g} s")
def when_served(context, seconds):
    context.played.serve(seconds)


@when("no request ends for {seconds:g} s")
def when_nothing_ends(context, seconds):
    played = context.played
    for _ in range(round(seconds / STEP)):
        played.clock.advance(STEP)
        played.apply(played.plugin.tick(played.clock.seconds))


@when("server {server_id} becomes {state}")
def when_state(context, server_id, state):
    played = context.played
    if state == "absent":
        played.removed = played.servers.pop(server_id)
    elif state == "present":
        played.servers[server_id] = played.removed
    else:
        server = played.servers[server_id]
        played.servers[server_id] = replace(server, state=ServerState(state))
    played.starts_before = len(played.starts)
    played.update()


@when("server {server_id} answers {outcome} to {count:d} requests")
def when_outcomes(context, server_id, outcome, count):
    """Offer bookings until the server has given so many results."""
    played, left = context.played, [count]

    def outcome_of(running_on):
        if running_on != server_id or left[0] == 0:
            return Outcome.ANSWERED
        left[0] -= 1
        return Outcome(outcome)

    for _ in range(4000):
        if left[0] == 0:
            return
        played.offer()
        played.serve(STEP, outcome_of)
    raise AssertionError("the server got too few requests")


@when("light load is offered for {seconds:d} s with failing servers {failing}")
def when_fail(context, failing, seconds):
    played = context.played
    names = failing.split(",")

    def outcome_of(server_id):
        return Outcome.FAILED if server_id in names else Outcome.ANSWERED

    def offer_some():
        for _ in range(4):
            played.offer()

    played.starts_before = len(played.starts)
    played.serve(seconds, outcome_of, each=offer_some)


@when("the admission host closes")
def when_close(context):
    context.played.apply(context.played.plugin.close(context.played.clock.seconds))


@when("caller 1 offers {count:d} bookings and then callers 2 to 4 offer one each")
def when_greedy(context, count):
    context.played.starts_before = len(context.played.starts)
    for _ in range(count):
        context.played.offer(caller=1, deadline=20.0)
    for caller in (2, 3, 4):
        context.played.offer(caller=caller, deadline=20.0)


@when(
    "an impatient caller offers {factor:d} times as often as 5 others for {seconds:d} s"
)
def when_hasty(context, factor, seconds):
    played = context.played

    def offer_all():
        # The hasty caller comes first, so it finds each free place first.
        for _ in range(factor):
            played.offer(caller=9)
        for caller in (1, 2, 3, 4, 5):
            played.offer(caller=caller)

    played.serve(seconds, each=offer_all)


@when("all servers report {load:g} load and {count:d} bookings are served")
def when_lie(context, load, count):
    played = context.played
    for _ in range(count):
        ticket = played.offer()
        played.clock.advance(STEP)
        if ticket.ticket_id in played.running:
            played.finish(ticket.ticket_id, load=load)
    played.starts_before = len(played.starts)


@when("host {host_id} is leaving in the view of this host only")
def when_member_leaves(context, host_id):
    member = context.played.hosts[host_id]
    context.played.hosts[host_id] = replace(member, state=HostState.LEAVING)
    context.played.update()


@when("a ticket is withdrawn while it {state}")
def when_withdrawn(context, state):
    played = context.played
    known = set(played.running) if state == "runs" else None
    if known is None:
        decided = set(played.started_at) | {r.ticket.ticket_id for r in played.refusals}
        known = set(range(1, played.offers + 1)) - decided
    context.withdrawn = min(known)
    played.running.pop(context.withdrawn, None)
    now = played.clock.seconds
    played.starts_before = len(played.starts)
    played.apply(played.plugin.withdraw(context.withdrawn, now))
    played.apply(
        played.plugin.release(context.withdrawn, ServerAnswer(Outcome.ANSWERED), now)
    )


@when("a booking that failed at {excluded} is offered")
def when_excluded(context, excluded):
    context.ticket = context.played.offer(excluded=excluded.split(","))


@then("{count:d} tickets are started")
def then_started(context, count):
    assert len(context.played.starts) == count, len(context.played.starts)


@then("{count:d} tickets wait and {refused:d} are refused")
def then_wait(context, count, refused):
    played = context.played
    found = (played.waiting(), len(played.refusals))
    assert found == (count, refused), found


@then("all offers beyond the queue were refused at once, with spread retry times")
def then_refused_at_once(context):
    played = context.played
    assert played.refusals
    reasons = {RefusalReason.DEADLINE_UNREACHABLE, RefusalReason.QUEUE_FULL}
    assert {refusal.reason for refusal in played.refusals} <= reasons
    assert played.refused_at == {played.clock.seconds}
    times = [round(r.retry_after, 6) for r in played.refusals]
    assert min(times) > 0
    assert len(set(times)) > len(times) * 0.9


@then("all accepted bookings started in time to meet their deadline")
def then_in_time(context):
    played = context.played
    for start in played.starts:
        started = played.started_at[start.ticket.ticket_id]
        assert started + SERVICE_TIME <= start.ticket.deadline


@then("server {server_id} got no new work")
def then_no_work(context, server_id):
    played = context.played
    later = played.starts[played.starts_before :]
    assert later, "no request was started at all"
    assert all(start.server.server_id != server_id for start in later)


@then("no server runs more than {count:d} tickets")
def then_at_most(context, count):
    played = context.played
    assert all(len(played.running_on(key)) <= count for key in played.servers)


@then("server {server_id} runs {count:d} tickets")
def then_runs(context, server_id, count):
    found = len(context.played.running_on(server_id))
    assert found == count, found


@then("{count:d} uploads run")
def then_uploads(context, count):
    running = context.played.running.values()
    found = sum(start.ticket.long for start in running)
    assert found == count, found


@then("the next booking starts at once")
def then_next_booking(context):
    ticket = context.played.offer()
    assert ticket.ticket_id in context.played.running


@then("the next booking waits")
def then_next_waits(context):
    waiting = context.played.waiting()
    context.played.offer()
    assert context.played.waiting() == waiting + 1


@then("the reason of all refusals is {reason}")
def then_reason(context, reason):
    reasons = {refusal.reason.value for refusal in context.played.refusals}
    assert reasons == {reason}, reasons


@then("a later booking is refused with {reason}")
def then_later_refused(context, reason):
    context.played.offer()
    assert context.played.refusals[-1].reason.value == reason


@then("callers 2 to 4 are among the {count:d} started next")
def then_fair(context, count):
    later = context.played.starts[context.played.starts_before :]
    callers = [start.ticket.caller.port for start in later[:count]]
    assert {2, 3, 4} <= set(callers), callers


@then("the impatient caller got at most {factor:g} times the mean of the others")
def then_hasty(context, factor):
    counts = dict.fromkeys((1, 2, 3, 4, 5, 9), 0)
    for start in context.played.starts:
        if start.ticket.caller.port in counts:
            counts[start.ticket.caller.port] += 1
    hasty = counts.pop(9)
    assert hasty <= factor * sum(counts.values()) / len(counts), (hasty, counts)


@then("at least {count:d} servers got starts in the last second")
def then_in_use(context, count):
    played = context.played
    since = played.clock.seconds - 1.0
    recent = [s for s in played.starts if played.started_at[s.ticket.ticket_id] > since]
    found = {start.server.server_id for start in recent}
    assert len(found) >= count, found


@then("at most {share:g} of the later starts went to {names}")
def then_share(context, share, names):
    later = context.played.starts[context.played.starts_before :]
    hits = sum(start.server.server_id in names.split(",") for start in later)
    assert hits <= share * len(later), (hits, len(later))


@then("at least {share:g} of the later starts went to {names}")
def then_least_share(context, share, names):
    later = context.played.starts[context.played.starts_before :]
    hits = sum(start.server.server_id in names.split(",") for start in later)
    assert hits >= share * len(later), (hits, len(later))


@then("all bookings have been answered or refused")
def then_all_done(context):
    played = context.played
    assert not played.running
    assert played.waiting() == 0, played.waiting()


@then("the withdrawn ticket is not started again")
def then_withdrawn(context):
    later = context.played.starts[context.played.starts_before :]
    assert all(s.ticket.ticket_id != context.withdrawn for s in later)


@then("that booking runs on none of {names}")
def then_runs_elsewhere(context, names):
    start = context.played.running[context.ticket.ticket_id]
    assert start.server.server_id not in names.split(",")


@then("that booking runs")
def then_that_runs(context):
    assert context.ticket.ticket_id in context.played.running
