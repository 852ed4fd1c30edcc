"""Steps for slow start: the hosts of one zone and their cold servers."""

import random
import sys
from pathlib import Path
from unittest.mock import Mock

from behave import given, then, when
from fakes.dsr_host import (
    FLAG_SYN,
    SERVICE,
    ZONE,
    Host,
    is_reset,
    make_packet,
    make_routes,
    make_server,
    number_in,
)

from hornbeamdeal.dsr import PeerSync, ReadScheduler, Service, Update, ZoneState
from hornbeamdeal.dsr._server_health import UnansweredPacket
from hornbeamdeal.kernel import Endpoint, EntryHost, ManualClock
from hornbeamdeal.membership import Membership

# The benchmarks are not part of the installed package.
sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from benchmarks import cold_servers  # noqa: E402

COLD_SECONDS, COLD_START_SECONDS = 200.0, 5.0


def make_hosts(context, hosts, bound, servers, settled=True):
    """Create hosts with servers, given as pairs such as "cold server 1"."""
    words = servers.replace(" and ", " ").split()
    context.clock = ManualClock(100.0)
    routes = make_routes()
    service = Service(name=SERVICE, cold_start_seconds=COLD_START_SECONDS)
    routes.services_by_name = {SERVICE: service}
    entries = [make_server(number) for number in words[2::3]]
    for entry, state in zip(entries, words[::3], strict=True):
        entry.cold_seconds = COLD_SECONDS * (state == "cold")
    names = [f"h{i}" for i in range(hosts)]
    context.hosts = {
        name: Host(context.clock, host_id=name, cold_overage=1.5, cold_slack=bound)
        for name in names
    }
    for host in context.hosts.values():
        host.apply_update(entries, routes)
    context.revision, context.port, context.sent = 1, 1000, []
    see(context, names)
    if settled:
        context.clock.advance(3.0)


def see(context, names, leaving=()):
    now = context.clock.monotonic()
    context.hosts = {n: context.hosts[n] for n in names if n in context.hosts}
    for host in context.hosts.values():
        host.slow_start.set_zone_hosts(names, now, leaving)


def open_flow(context, host, copy_number=0):
    context.port += 1
    host.catalog.confirm(context.clock.monotonic())
    packet = make_packet(f"100.64.0.1:{context.port}", FLAG_SYN, ack=copy_number)
    return host.receive(packet)


def receivers(datagrams):
    return [0 if is_reset(data) else number_in(data) for data, _ in datagrams]


def count_openers(context, number):
    sent = [receivers(open_flow(context, host)) for host in context.hosts.values()]
    return sum(int(number) in numbers for numbers in sent)


def first_host(context):
    return next(iter(context.hosts.values()))


def apply(context, update):
    for host in context.hosts.values():
        host.catalog.apply(update, context.clock.monotonic())


def write_entry(context, number, cold_seconds, epoch=0):
    context.revision += 1
    entry = make_server(number, revision=context.revision)
    entry.cold_seconds = cold_seconds
    base = None if epoch else context.revision - 1
    update = Update(
        base_revision=base, revision=context.revision, epoch=epoch, servers=[entry]
    )
    apply(context, update)


def change_zone(context, is_evacuated):
    context.revision += 1
    state = ZoneState(ZONE, is_evacuated, context.revision)
    base = context.revision - 1
    update = Update(base_revision=base, revision=context.revision, zones=[state])
    apply(context, update)


@when("{n:d} hosts with a bound of {bound:g} open flows to cold servers in case {case}")
def when_case(context, n, bound, case):
    context.most = max(
        cold_servers.count_overshoot("home_hosts", case, n, bound, seed)[0]
        for seed in (1, 2)
    )


@then("no cold server gets more than {bound:g} opening packets in any second")
def then_bound(context, bound):
    assert 0 < context.most <= bound, context.most


@given("{n:d} hosts with a bound of {bound:g} that know {servers}")
def given_hosts(context, n, bound, servers):
    make_hosts(context, n, bound, servers)


@given("two hosts that have just started know cold server 1")
def given_started(context):
    make_hosts(context, 2, 5, "cold server 1", settled=False)


@given("a starting host with {seeds:d} seeds that knows cold server 1")
def given_starting(context, seeds):
    make_hosts(context, 1, 5, "cold server 1")
    host = first_host(context)
    host.slow_start._first_view_at = None
    own = EntryHost("h0", 1, Endpoint("10.0.0.1", 1), ZONE)
    endpoints = [Endpoint(f"10.0.1.{i}", 1) for i in range(seeds)]
    peer_sync = PeerSync(
        catalog=host.catalog,
        read_scheduler=ReadScheduler(),
        server_health=host.server_health,
        journal=host.journal,
        make_membership=lambda _: Membership(own=own, seeds=endpoints),
        on_server_changes=Mock(),
        slow_start=host.slow_start,
    )
    peer_sync.tick(context.clock.monotonic())


@then("{n:d} hosts open a flow to server {number}")
def then_openers(context, n, number):
    count = count_openers(context, number)
    assert count == n, count


@then("after {seconds:g} s, {n:d} hosts open a flow to server {number}")
def then_openers_later(context, seconds, n, number):
    context.clock.advance(seconds)
    then_openers(context, n, number)


@then("after {seconds:g} s, {least:d} to {most:d} hosts may choose server {number}")
def then_choosers(context, seconds, least, most, number):
    context.clock.advance(seconds)
    now, server = context.clock.monotonic(), make_server(number)
    starts = [host.slow_start for host in context.hosts.values()]
    count = sum(not slow_start.is_warming(server, now) for slow_start in starts)
    assert least <= count <= most, count


@when("100 s pass and the hosts see only 4 of each other")
def when_few_seen(context):
    context.clock.advance(100.0)
    see(context, list(context.hosts)[:4])


@when("the home host of server {number} {change}")
def when_home_host_goes(context, number, change):
    server, now = make_server(number), context.clock.monotonic()
    home = next(
        n for n, h in context.hosts.items() if h.slow_start.permits(server, now)
    )
    others = [name for name in context.hosts if name != home]
    see(context, others, leaving=[home] if change == "leaves" else [])


@when("the first host sees 40 changes of the members")
def when_changes(context):
    generator, names = random.Random(1), [f"h{i}" for i in range(30)]
    for _ in range(40):
        context.clock.advance(generator.uniform(0, 15))
        first_host(context).slow_start.permits(
            make_server(1), context.clock.monotonic()
        )
        see(context, ["h0", *generator.sample(names[1:], 20)][:20])


@then("its rank for server 1 is that of a new computation")
def then_rank(context):
    slow_start, server = first_host(context).slow_start, make_server(1)
    assert server.server_id in slow_start._ranks_by_id
    rank = slow_start._rank(server)
    slow_start._ranks_by_id.clear()
    assert slow_start._rank(server) == rank


@when("the host's link is busy for 1 s")
def when_link_busy(context):
    first_host(context).forwarder.link_queue._empty_at = 1 + context.clock.monotonic()


@when("the host resumes after a pause of {seconds:g} s")
def when_pause(context, seconds):
    arrivals = first_host(context).server_health.arrivals
    arrivals.start_turn(context.clock.monotonic())
    context.clock.advance(seconds)
    arrivals.start_turn(context.clock.monotonic())


@when("the host resumes after a pause of 5 s with 8 openings and an old catalog")
def when_pause_with_backlog(context):
    when_pause(context, 5.0)
    for port in range(8):
        packet = make_packet(f"100.64.0.1:{port + 1}", FLAG_SYN)
        context.sent += first_host(context).receive(packet)


@when("a caller's opening packet arrives twice")
def when_twice(context):
    context.sent += open_flow(context, first_host(context))
    context.port -= 1
    context.sent += open_flow(context, first_host(context))


@when("a caller's opening packet arrives again after the zone was evacuated")
def when_again_evacuated(context):
    context.sent += open_flow(context, first_host(context))
    change_zone(context, True)
    context.port -= 1
    context.sent += open_flow(context, first_host(context))


def take_out(context, number):
    host, now = first_host(context), context.clock.monotonic()
    for caller in (1, 2):
        packet = UnansweredPacket(now, caller, 0)
        host.server_health.record_unanswered(make_server(number).server_id, packet, now)
    return host


@when("server {number} is out and due for a trial")
def when_trial_due(context, number):
    host = take_out(context, number)
    context.clock.advance(3.0)
    context.sent += open_flow(context, host)


@when("server {number} is out and a caller opens a flow at the first host")
def when_out(context, number):
    context.sent += open_flow(context, take_out(context, number))


@then("server {number:d} gets 1 opening packet and the caller none")
def then_single(context, number):
    assert receivers(context.sent) == [number], receivers(context.sent)


@then("the opening goes to server {number:d}")
def then_goes_to(context, number):
    assert receivers(context.sent) == [number], receivers(context.sent)


@when("server {number} writes an entry with {seconds:g} s of cold time")
def when_entry(context, number, seconds):
    write_entry(context, number, seconds)


@when("the store is restored with a warm entry of server {number}")
def when_restored(context, number):
    write_entry(context, number, 0.0, epoch=1)


@when("a zone of 1 host serves 70% load as one of its 20 servers becomes warm")
def when_ramp(context):
    context.ramp = cold_servers.measure_ramp(1, True, 1)


@then("the server gets at most {most:d} flows in the first second and sheds none")
def then_ramp(context, most):
    got, shed, _ = context.ramp
    assert 0 < got <= most and shed == 0, context.ramp


@when("the evacuation of the zone ends")
def when_returned(context):
    change_zone(context, True)
    context.clock.advance(6.0)
    change_zone(context, False)


@when("a caller opens a flow at the first host")
def when_open_first(context):
    context.sent += open_flow(context, first_host(context))


@when("a caller sends a second copy to the first host")
def when_second_copy(context):
    context.sent += open_flow(context, first_host(context), copy_number=1)


@then('the opening is refused for "{reason}"')
def then_refused_for(context, reason):
    assert receivers(context.sent) == [0]
    assert first_host(context).journal.counts["openings_refused", reason] == 1


@then("nothing goes to the caller or a server")
def then_nothing(context):
    assert context.sent == []


@then("the permitted servers are the catalog's list itself")
def then_not_examined(context):
    host, now = first_host(context), context.clock.monotonic()
    permitted = host.forwarder.eligibility.permitted_servers(SERVICE, now)
    assert permitted is host.catalog.accepting_servers(SERVICE)
