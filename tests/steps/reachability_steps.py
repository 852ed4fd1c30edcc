"""Steps for reachability: one entry host that owns all flow keys, and its servers."""

import heapq
from collections import Counter

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

from hornbeamdeal.kernel import (
    AddressKind,
    BackendServer,
    ClusterView,
    Endpoint,
    EntryHost,
    FlowPacket,
    ForwardPacket,
    IncrementCounter,
    LogEvent,
    PacketReceived,
    PauseDetected,
    ServiceAddress,
    Version,
    create_plugin,
)
from hornbeamdeal.reachability import excluded_ids

ADDRESS = Endpoint("10.0.0.1", 1)
SERVICE, TOKEN = "map", b"tok"
STEP_SECONDS = 0.05
ROUND_TRIP_SECONDS = 0.005


def make_server(name, weight=1.0, port=1):
    """Return a server whose zone is the first letter of its name."""
    return BackendServer(name, SERVICE, Endpoint("10.1.0.1", port), name[0], weight)


class HostUnderTest:
    """The steering of one host, with simulated servers and a manual clock."""

    def __init__(self, servers):
        self.now, self.caller, self.lose_every = 100.0, 0, 0
        self.silent, self.delays = set(), {}
        self.answers_per_second, self.free_at = 0, Counter()
        self.answers, self.actions, self.sent = [], [], []
        self.steering = create_plugin(
            "steering", "tracked", random_state=7, handle_keys=(b"k" * 16,)
        )
        self.update(servers)
        self.run(0, 4.0)

    def update(self, servers):
        """Apply a view with these servers."""
        self.servers = {server.server_id: server for server in servers}
        view = ClusterView(
            own_id="h0",
            own_zone="a",
            version=Version(1, bytes(32)),
            servers_by_id=self.servers,
            addresses_by_endpoint={
                ADDRESS: ServiceAddress(
                    "m", SERVICE, ADDRESS, AddressKind.FLOWS, "coap"
                )
            },
            hosts_by_id={"h0": EntryHost("h0", 1, Endpoint("10.2.0.1", 1), "a")},
        )
        self.steering.update(view, self.now)

    def open(self):
        """Send the opening packet of a new caller; return its server."""
        self.caller += 1
        return self.repeat(self.caller)

    def repeat(self, caller, handle=None):
        """Send a packet of a caller; return the server that it is forwarded to."""
        source = Endpoint("10.9.0.1", caller)
        packet = FlowPacket(source, ADDRESS, b"", handle is None, TOKEN, handle)
        self.perform(self.steering.handle(PacketReceived(packet), self.now))
        return self.sent[-1][1] if self.sent else None

    def perform(self, actions):
        """Deliver forwarded packets to their servers, and store the other actions."""
        for action in actions:
            if isinstance(action, ForwardPacket):
                name = action.server.server_id
                self.sent.append((self.now, name, action.packet.caller.port))
                self.answer(name)
            else:
                self.actions.append(action)

    def answer(self, name):
        """Schedule the answer of a server unless it is silent or the answer is lost."""
        is_lost = self.lose_every and len(self.sent) % self.lose_every == 0
        if name in self.silent or is_lost:
            return
        at = self.now + self.delays.get(name, ROUND_TRIP_SECONDS)
        if self.answers_per_second:
            at = self.free_at[name] = (
                max(self.free_at[name], self.now) + 1 / self.answers_per_second
            )
        heapq.heappush(self.answers, (at, name))

    def run(self, rate, seconds):
        """Run the clock and open flows at an even rate, in flows a second."""
        due = 0.0
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            while self.answers and self.answers[0][0] <= self.now:
                self.steering.record_server_datagram(heapq.heappop(self.answers)[1])
            self.perform(self.steering.tick(self.now))
            due += rate * STEP_SECONDS
            while due >= 1 - 1e-9:
                due -= 1
                self.open()

    def reported_servers(self, change):
        """Return the servers logged with a change; check that the counter agrees."""
        logged = [
            action.fields["server"]
            for action in self.actions
            if isinstance(action, LogEvent) and action.event == f"server_{change}"
        ]
        counted = self.actions.count(
            IncrementCounter(f"servers_{change}", service=SERVICE)
        )
        assert counted == len(logged), (counted, logged)
        return logged

    def sent_to(self, name):
        """Return times and callers of the opening packets that a server got."""
        return [(at, caller) for at, server, caller in self.sent if server == name]


@given("a reachability host in zone a with servers {names} of weights {weights}")
def given_weighted(context, names, weights):
    pairs = zip(names.split(), weights.split(","), strict=True)
    context.host = HostUnderTest([make_server(n, float(w)) for n, w in pairs])


@given("a reachability host in zone a with servers {names}")
def given_host(context, names):
    context.host = HostUnderTest([make_server(name) for name in names.split()])


@when("{rate:d} openings a second arrive for {seconds:d} s while {names} silent")
def when_silent(context, rate, seconds, names):
    context.host.silent = set(names.split()) - {"is", "are", "none"}
    context.host.sent.clear()
    context.host.run(rate, seconds)


@when("{rate:d} openings a second arrive for {seconds:d} s and b0 answers after 1.5 s")
def when_late(context, rate, seconds):
    context.host.delays["b0"] = 1.5
    context.host.run(rate, seconds)


@when(
    "{rate:d} openings a second arrive for {seconds:d} s "
    "and each server answers {answers:d} a second"
)
def when_surge(context, rate, seconds, answers):
    context.host.answers_per_second = answers
    context.host.run(rate, seconds)
    # The servers need long queues by now, or the scenario would test nothing.
    assert context.host.answers[-1][0] > context.host.now + 5


@when(
    "{rate:d} openings a second arrive for {seconds:d} s "
    "and every {loss:d}th answer is lost"
)
def when_loss(context, rate, seconds, loss):
    context.host.lose_every = loss
    context.host.run(rate, seconds)


@when("{number:d} openings arrive at once and the host pauses for {seconds:d} s")
def when_paused(context, number, seconds):
    host = context.host
    for _ in range(number):
        host.open()
    host.answers.clear()
    host.now += seconds
    host.perform(host.steering.handle(PauseDetected(float(seconds)), host.now))


@when("the openings that b0 got are repeated")
def when_repeated(context):
    host = context.host
    context.repeated = [caller for _, caller in host.sent_to("b0")][:3]
    assert len(context.repeated) == 3
    context.went_to = [host.repeat(caller) for caller in context.repeated]


@then("none of the repeated openings goes to b0")
def then_left(context):
    assert "b0" not in context.went_to, context.went_to


@then("the repeated openings stay with their new servers when repeated again")
def then_stay(context):
    context.host.run(0, 2.0)
    again = [context.host.repeat(caller) for caller in context.repeated]
    assert again == context.went_to, (again, context.went_to)


@when("an opening goes to b0 as a trial")
def when_trial(context):
    for _ in range(400):
        context.host.run(0, STEP_SECONDS)
        if context.host.open() == "b0":
            return
    raise AssertionError("no trial in 20 s")


@then("the same opening goes to b0 again at once")
def then_at_once(context):
    assert context.host.repeat(context.host.caller) == "b0"


@then("the same opening goes elsewhere after {seconds:f} s")
def then_elsewhere(context, seconds):
    caller = context.host.caller
    context.host.run(0, seconds)
    assert context.host.repeat(caller) != "b0"


@when("the host receives a datagram from b0")
def when_datagram_received(context):
    context.host.silent = set()
    context.host.steering.record_server_datagram("b0")


@when("b0 moves to another endpoint")
def when_moves(context):
    servers = dict(context.host.servers, b0=make_server("b0", port=2))
    context.host.silent = set()
    context.host.update(servers.values())


@then("the host reports {name} {change} once")
def then_reported(context, name, change):
    context.host.run(0, 0.2)
    logged = context.host.reported_servers(change.replace(" ", "_"))
    assert logged == [name], logged


@then("the host has reported no other server unreachable")
def then_no_other(context):
    assert set(context.host.reported_servers("unreachable")) == {"b0"}


@then("the host reports no server unreachable")
def then_none_reported(context):
    assert len(context.host.sent) > 30
    assert context.host.reported_servers("unreachable") == []


@then("b0 got {low:d} to {high:d} of the openings, none twice within 1 s")
def then_trials(context, low, high):
    times = [at for at, _ in context.host.sent_to("b0")]
    assert low <= len(times) <= high, times
    assert all(b - a > 1 for a, b in zip(times, times[1:], strict=False)), times


@then("b0 answered at least {number:d} openings")
def then_answered(context, number):
    assert len(context.host.sent_to("b0")) >= number


@then("a packet with the handle of a late answer of b0 goes to b0")
@then("packets with a handle of b0 still go to b0")
def then_handle(context):
    host = context.host
    handle = host.steering.make_handle(host.servers["b0"], TOKEN)
    for caller in (*getattr(context, "repeated", ()), 1):
        assert host.repeat(caller, handle) == "b0"


@then("the next {number:d} openings give each server {low:d} to {high:d}")
def then_even(context, number, low, high):
    # After a pause the host holds opening packets for up to 1 s.
    context.host.run(0, 1.5)
    given = Counter(context.host.open() for _ in range(number))
    assert len(given) == len(context.host.servers), given
    assert all(low <= count <= high for count in given.values()), given


@then("{number:d} openings without a trial go to {names}")
def then_serving(context, number, names):
    host = context.host
    # At most one trial per server is due at one moment.
    for _ in range(2 * len(host.servers)):
        host.open()
    serving = {host.open() for _ in range(number)}
    if names.startswith("any "):
        assert len(serving) == int(names.split()[1]), serving
    else:
        assert serving == set(names.split()), serving


WEIGHTS = st.sampled_from([0.5, 1.0, 2.0, 5.0])
SERVERS = st.lists(st.tuples(st.sampled_from("abc"), WEIGHTS, st.booleans()))


@then("the excluded servers stay within the bound for any unreachable servers")
def then_bound(context):
    @settings(max_examples=500, derandomize=True, deadline=None, database=None)
    @for_all(SERVERS)
    def check(servers_drawn):
        servers = [
            make_server(f"{z}{i}", w) for i, (z, w, _) in enumerate(servers_drawn)
        ]
        unreachable = {
            f"{z}{i}" for i, (z, _, silent) in enumerate(servers_drawn) if silent
        }
        excluded = excluded_ids(servers, sorted(unreachable), "a")
        assert excluded <= unreachable
        if len(unreachable) == len(servers):
            assert not excluded
            return
        local = [s for s in servers if s.zone == "a"]
        remote = {s.server_id for s in servers} - {s.server_id for s in local}
        is_partitioned = remote and remote <= unreachable
        if is_partitioned:
            assert remote <= excluded
        bounded = local if is_partitioned else servers
        left_out = [s.weight for s in bounded if s.server_id in excluded]
        assert sum(left_out) <= sum(s.weight for s in bounded) / 2
        assert len(excluded) < len(servers)

    check()
