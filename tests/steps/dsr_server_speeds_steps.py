"""Steps for the estimates of servers' speeds and the placement that uses them."""

import copy
import random
from collections import Counter
from unittest.mock import Mock

from behave import given, then, when
from fakes.dsr_host import (
    FLAG_ACK,
    FLAG_FIN,
    SERVER_SEQUENCE,
    handle_in,
    make_packet,
    make_routes,
    make_server,
)
from fakes.dsr_speed_simulation import SimulatedHost, SpeedSimulation

from hornbeamdeal.dsr import (
    Flow,
    PeerSync,
    ReadScheduler,
    ServerHealth,
    make_placement,
)
from hornbeamdeal.kernel import PeerMessageReceived, RebuildView, SendPeerMessage
from hornbeamdeal.wire import peer_types

SPEEDS = peer_types.ServerSpeeds
RATE = 250
SETTLE_SECONDS = 20.0
REPORTED_AT = 100.0
CHANGED_AT, RETURNED_AT = 10.0, 30.0


@given(
    "{hosts:d} hosts and 18 servers with service times 1.67, 1 and 0.63 times as long"
)
def given_speeds(context, hosts):
    factors = [1 / speed for speed in (0.6, 1.0, 1.6) for _ in range(6)]
    context.simulation = SpeedSimulation(hosts=hosts, factors=factors, rate=RATE)


@given("{hosts:d} hosts and {count:d} alike servers")
def given_alike(context, hosts, count, rate=RATE):
    factors = [1.0] * count
    context.simulation = SpeedSimulation(hosts=hosts, factors=factors, rate=rate)
    context.simulation.run(CHANGED_AT)


@given(
    "{hosts:d} hosts and {count:d} alike servers that get {rate:d} requests a second"
)
def given_alike_at_rate(context, hosts, count, rate):
    given_alike(context, hosts, count, rate)


@when("{seconds:d} s of requests have passed")
def when_requests(context, seconds):
    context.simulation.run(SETTLE_SECONDS)
    context.placed = context.simulation.run(SETTLE_SECONDS + seconds)


@when("{which} takes 5 times as long for 20 s")
def when_slow(context, which):
    simulation = context.simulation
    simulation.factors[simulation.servers[0]] = 5.0
    context.during = simulation.run(RETURNED_AT)
    simulation.factors[simulation.servers[0]] = 1.0


@when("one server fails each request for 20 s, seen by the hosts after {seconds:g} s")
def when_failing(context, seconds):
    context.simulation.failure_seconds = seconds
    context.simulation.failing = context.simulation.servers[0]
    context.during = context.simulation.run(RETURNED_AT)


@when("all servers take 3 times as long for 5 s")
def when_zone_slow(context):
    for server in context.simulation.servers:
        context.simulation.factors[server] = 3.0
    context.simulation.run(CHANGED_AT + 5)


@then("each kind of server gets its share by speed within 25%")
def then_by_speed(context):
    factors = context.simulation.factors
    counts = Counter(factors[server] for _, server in context.placed)
    total_speed = sum(1 / factor for factor in factors.values())
    for factor, count in counts.items():
        expected = 6 / factor / total_speed
        assert abs(count / len(context.placed) / expected - 1) < 0.25, counts


def relative_share(context, placed, start):
    """Return the first server's part of the flows since a time; 1 is an equal share."""
    servers = context.simulation.servers
    chosen = [server is servers[0] for at, server in placed if at >= start]
    return len(servers) * sum(chosen) / len(chosen)


@then("from 4 s after the change it gets less than half of an equal share")
def then_loses(context):
    share = relative_share(context, context.during, CHANGED_AT + 4)
    assert share < 0.5, share


@then("from 4 s after the change it gets less than an equal share")
def then_not_attracting(context):
    share = relative_share(context, context.during, CHANGED_AT + 4)
    assert share < 1, share


@then("within 10 s after its return it gets at least 80% of an equal share")
def then_regains(context):
    placed = context.simulation.run(RETURNED_AT + 20)
    share = relative_share(context, placed, RETURNED_AT + 10)
    assert share >= 0.8, share


@then("no host takes any server for slow or fast")
def then_none_slow(context):
    now = context.simulation.now
    for host in context.simulation.hosts:
        assert host.speeds.slowness_by_id(now) == {}


@given("{hosts:d} hosts that know 1 fast server and {count:d} others")
def given_one_fast(context, hosts, count):
    context.servers = [make_server(number) for number in range(1, count + 2)]
    context.hosts = [
        SimulatedHost(context.servers, "expected_wait", seed) for seed in range(hosts)
    ]
    for host in context.hosts:
        host.speeds.record_peer_samples(context.servers[0], 6, 0.5, 1.0)


@then(
    "of {flows:d} flows opened at once by different hosts at most {most:d} go to one server"
)
def then_no_herd(context, flows, most):
    for _ in range(20):
        chosen = Counter(
            host.placement.choose(context.servers, 1.0) for host in context.hosts
        )
        assert sum(chosen.values()) == flows
        assert max(chosen.values()) <= most, chosen


@given("servers whose slowness is between 0.7 and 1.4")
def given_dead_band(context):
    context.servers = [make_server(number) for number in range(1, 9)]
    for server in context.servers[4:]:
        server.zone, server.slots = "z2", 1
    context.host = SimulatedHost(context.servers, "expected_wait", 7)
    for index, server in enumerate(context.servers):
        context.host.speeds.record_peer_samples(server, 6, 0.7 + 0.1 * index, 0.0)


@then("{count:d} choices equal those of least_outstanding with the same seed")
def then_same_choices(context, count):
    host = context.host
    reference = make_placement(
        "least_outstanding", outstanding=host.outstanding, zone="z1", random_state=7
    )
    generator, flows = random.Random(3), []
    for step in range(count):
        now = step / 1000
        chosen = host.placement.choose(context.servers, now)
        assert chosen is reference.choose(context.servers, now)
        host.placement.record_placement(chosen, now)
        reference.record_placement(chosen, now)
        flows.append(Flow(now))
        host.outstanding.start(flows[-1], chosen, now)
        if len(flows) > 20:
            host.outstanding.finish(flows.pop(generator.randrange(20)))


@then("nothing is to be sent to peers")
def then_nothing_to_send(context):
    [route] = make_routes().routes_by_key.values()
    for server in context.servers * 10:
        context.host.speeds.record_answer(route, server, 0.03, 2.0)
    assert context.host.exchange.make_report(3.0) is None


@given("a server that peers report as {factor:d} times slower")
def given_reported(context, factor):
    context.server, context.now = make_server(1), REPORTED_AT
    context.host = SimulatedHost([context.server], "expected_wait", 1)
    report(context, 4, 4.0 * factor)
    assert abs(slowness(context) - factor) < 0.01


def report(context, samples, ratio_sum, server_id=None):
    server_id = server_id or context.server.server_id
    speed = peer_types.ServerSpeed(server_id, samples, ratio_sum)
    context.host.exchange.apply(peer_types.ServerSpeeds([speed]), context.now)


def slowness(context):
    # Estimates are made at intervals, so time must pass before the next one.
    context.now += 0.5
    found = context.host.speeds.slowness_by_id(context.now)
    return found.get(context.server.server_id, 1.0)


@when("a report has {samples:d} samples with the sum {ratio_sum:g} for {server}")
def when_malformed_report(context, samples, ratio_sum, server):
    for _ in range(10):
        report(
            context, samples, ratio_sum, "i-9" if server == "another server" else None
        )


@when("a report has {samples:d} samples with the sum {special} for {server}")
def when_special_report(context, samples, special, server):
    when_malformed_report(context, samples, float(special), server)


@when(
    "a host with own samples of the server runs for {seconds:d} s, its first second without samples"
)
def when_reporting(context, seconds):
    members_by_id = context.members_by_id
    sender = next(iter(members_by_id.values()))
    membership = Mock(own=sender, members_=members_by_id, superseded_=False)
    membership.tick.return_value = [RebuildView()]
    context.zone = {m.endpoint for m in members_by_id.values() if m.zone == sender.zone}
    context.zone.discard(sender.endpoint)
    context.peer_sync = PeerSync(
        catalog=context.host.catalog,
        read_scheduler=ReadScheduler(),
        server_health=ServerHealth(),
        journal=context.host.journal,
        make_membership=lambda rejoins: membership,
        on_server_changes=lambda changes: None,
        speed_exchange=context.host.exchange,
    )
    [route] = make_routes().routes_by_key.values()
    context.sent = []
    for tick in range(10 * seconds):
        now = context.now + tick / 10
        for number in range(1, 5):
            seconds_waited = 0.12 if number == 1 else 0.03
            server = make_server(number)
            context.host.speeds.record_answer(route, server, seconds_waited, now)
        actions = context.peer_sync.tick(now)
        context.sent += [a for a in actions if isinstance(a, SendPeerMessage)]
    context.now = now


@then("each of {count:d} reports goes to {peers:d} hosts of its zone")
def then_reports(context, count, peers):
    reports = [a for a in context.sent if isinstance(a.message, SPEEDS)]
    receivers = Counter(id(action.message) for action in reports)
    assert list(receivers.values()) == [peers] * count, receivers
    assert {action.endpoint for action in reports} <= context.zone


@then("a host that receives one has a slower server")
def then_received(context):
    receiver = SimulatedHost([context.server], "expected_wait", 2)
    context.peer_sync.speed_exchange = receiver.exchange
    message = next(a.message for a in context.sent if isinstance(a.message, SPEEDS))
    event = PeerMessageReceived("h2", 1, None, message)
    assert context.peer_sync.handle(event, context.now) == []
    assert receiver.speeds.describe("i-0000000001", context.now)["slowness"] > 1.5


@when("its entry is {change}")
def when_entry_changes(context, change):
    server = copy.copy(context.server)
    server.cold_seconds = 0.0 if change == "removed" else 4.0
    kind = "removed" if change == "removed" else "listed"
    context.host.speeds.handle_server_changes([(kind, server)])


@then("its slowness is {expected:d}")
def then_slowness(context, expected):
    found = slowness(context)
    assert abs(found - expected) < 0.01, found


@then("its slowness is {expected:d} after {seconds:d} s")
def then_slowness_later(context, expected, seconds):
    context.now = REPORTED_AT + seconds - 0.5
    then_slowness(context, expected)


@then("the report is counted as {reason}")
def then_counted(context, reason):
    assert context.host.journal.counts["server_speeds_ignored", reason]


@then("peers can bring its slowness back to the dead band with {count:d} reports")
def then_limited(context, count):
    for _ in range(count):
        report(context, 6, 6.0)
    assert slowness(context) == 1.0


@then("its description is {value:g}, {age:d} ms old, from {source}")
def then_described(context, value, age, source):
    placement = context.host.placement
    assert placement.describe(context.server, context.now) == {
        "slowness": value,
        "slowness_age_ms": age,
        "slowness_source": source,
    }
    assert placement.gauges(context.now) == {"servers_slow": 1.0, "servers_fast": 0.0}


@given("the answers that it sees are observed")
def given_observed(context):
    context.observer = Mock()
    context.host.forwarder.answer_observers = (context.observer,)
    context.host.forwarder.handshake_observers = (context.observer,)


@when("the caller closes the flow")
def when_closed(context):
    packet = make_packet(
        context.caller,
        FLAG_FIN,
        sequence=11,
        ack=SERVER_SEQUENCE,
        echo=context.handle,
    )
    context.host.receive(packet)


@when("the host resets the flow")
def when_reset(context):
    server_id, now = context.server.server_id, context.host.clock.monotonic()
    context.host.catalog.confirm(now + 60)
    context.host.apply_update(revision=2, base=1, removed={server_id: 2})
    context.host.catalog.mark_dead(server_id)
    context.host.forwarder.tick(now)


@when("the flow's server answers the handshake")
def when_handshake(context):
    [(data, _)] = context.sent
    fields = {"ack": SERVER_SEQUENCE, "echo": handle_in(data)}
    context.host.receive(make_packet(context.caller, FLAG_ACK, **fields))


@then("a handshake of {milliseconds:d} ms is recorded")
def then_handshake(context, milliseconds):
    [call] = context.observer.record_handshake.call_args_list
    assert call.args[0].name == "r-443"
    assert round(1000 * call.args[1]) == milliseconds


@then("one failure is recorded")
def then_one_failure(context):
    [call] = context.observer.record_failure.call_args_list
    assert call.args[1] is context.server
    context.observer.record_answer.assert_not_called()


@then("no failure and no answer is recorded")
def then_no_failure(context):
    context.observer.record_failure.assert_not_called()
    context.observer.record_answer.assert_not_called()
