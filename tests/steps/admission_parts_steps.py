"""Steps for the parts of admission."""

from collections import Counter
from random import Random

from behave import given, then, when
from hypothesis import given as for_all, settings
from hypothesis.strategies import integers, lists, sampled_from

from hornbeamdeal.admission import (
    AdaptiveConcurrencyLimit,
    CallerFairShare,
    HostPlace,
    RetrySchedule,
    assign_home_slots,
    elect_home_hosts,
)
from hornbeamdeal.kernel import BackendServer, Endpoint

START = 50.0  # seconds
IDLE, BUSY = Endpoint("::", 1), Endpoint("::", 2)


def make_servers(slots, zones):
    return [
        BackendServer(f"s{i}", "x", Endpoint("::", i), zone, 1, count)
        for i, (count, zone) in enumerate(zip(slots, zones, strict=True))
    ]


def assign(servers, hosts):
    return {
        h.host_id: assign_home_slots(servers, hosts, h.host_id, 1 / 3) for h in hosts
    }


@then("home slots are assigned once each, evenly, for any servers and hosts")
def then_assigned_once(context):
    zones = sampled_from("ab")

    @settings(derandomize=True, database=None, deadline=None)
    @for_all(lists(integers(1, 5), min_size=1, max_size=6), integers(1, 8), zones)
    def check(slots, host_count, zone):
        servers = make_servers(slots, ["a"] * len(slots))
        places = [HostPlace(f"h{i}", zone if i else "a") for i in range(host_count)]
        owned = Counter()
        totals = []
        for home in assign(servers, places).values():
            owned.update((key, i) for key, own in home.items() for i in own.indices)
            totals.append(sum(len(own.indices) for own in home.values()))
        expected = {(s.server_id, i) for s in servers for i in range(s.slots)}
        assert set(owned) == expected
        assert set(owned.values()) == {1}
        assert max(totals) - min(totals) <= 1, totals

    check()


@then(
    "{hosts:d} hosts with {servers:d} servers of 3 slots own slots of {spread:d} servers each"
)
def then_spread(context, hosts, servers, spread):
    places = [HostPlace(f"h{i}", "a") for i in range(hosts)]
    assigned = assign(make_servers([3] * servers, ["a"] * servers), places)
    assert all(len(home) == spread for home in assigned.values()), assigned


@then("hosts in 2 zones with 2 servers each own slots of their own zone only")
def then_zones(context):
    servers = make_servers([3] * 4, ["a", "a", "b", "b"])
    places = [HostPlace(f"h{i}", "ab"[i % 2]) for i in range(4)]
    assigned = assign(servers, places)
    for place in places:
        zones = {servers[int(key[1:])].zone for key in assigned[place.host_id]}
        assert zones == {place.zone}, (place, zones)


@given("an adaptive limit of {slots:d} slots")
def given_limit(context, slots):
    context.limit = AdaptiveConcurrencyLimit(slots, 1.28)


@when("it is refused with {outstanding:d} outstanding")
def when_refused(context, outstanding):
    context.limit.record_refusal(outstanding, START)


@when("it is refused {count:d} times with 0 outstanding")
def when_refused_often(context, count):
    for _ in range(count):
        context.limit.record_refusal(0, START + 1)


@then("the limit allows {fewer:d} but not {more:d} outstanding")
def then_limit(context, fewer, more):
    assert context.limit.allows(fewer - 1, START)
    assert not context.limit.allows(more - 1, START)


@then("it allows 2 outstanding after {seconds:g} s")
def then_recovers(context, seconds):
    assert context.limit.allows(1, START + seconds + 1e-6)


@then("it allows no request after {seconds:g} s")
def then_none(context, seconds):
    assert not context.limit.allows(0, START + 1 + seconds)


@then("it allows one after {seconds:g} s")
def then_one(context, seconds):
    assert context.limit.allows(0, START + 1 + seconds)


@when("{count:d} callers are refused at a throughput of {rate:d} per second")
def when_callers_refused(context, count, rate):
    schedule = RetrySchedule(Random(5))
    context.times = [schedule.retry_after(rate, START) for _ in range(count)]


@then("no second holds more than {count:d} of the retry times")
def then_retry_times(context, count):
    by_second = Counter(int(seconds) for seconds in context.times)
    assert max(by_second.values()) <= count, by_second


@given("fair shares of an idle caller and of one with {count:d} accepted tickets")
def given_shares(context, count):
    context.shares = CallerFairShare()
    for caller in (IDLE, BUSY):
        context.shares.record_offer(caller, START)
    for _ in range(count):
        context.shares.record_accept(BUSY)


@then("the idle caller may add {fewer:d} ticket to a full queue but not {more:d}")
def then_shares(context, fewer, more):
    for _ in range(fewer):
        assert context.shares.allows(IDLE, 1.0)
        context.shares.record_accept(IDLE)
    for _ in range(more - fewer - 1):
        context.shares.record_accept(IDLE)
    assert not context.shares.allows(IDLE, 1.0)


def elect(zones, hosts):
    servers = make_servers([3] * len(zones), zones)
    return servers, elect_home_hosts("x", servers, hosts)


@then("with {servers:d} servers of 3 slots these hosts are home hosts")
def then_home_hosts(context, servers):
    for row in context.table:
        places = [HostPlace(f"h{i}", "a") for i in range(int(row["hosts"]))]
        _, elected = elect(["a"] * servers, places)
        assert len(elected) == int(row["home hosts"]), (row, len(elected))


@then("each zone's home hosts own the slots of its own servers")
def then_zone_homes(context):
    places = [HostPlace(f"h{i}", "abc"[i % 3]) for i in range(30)]
    servers, elected = elect(["a", "a", "a", "b", "b", "c"], places)
    assert Counter(h.zone for h in elected) == {"a": 3, "b": 2, "c": 1}
    assigned = assign(servers, elected)
    for place in elected:
        zones = {servers[int(key[1:])].zone for key in assigned[place.host_id]}
        assert zones == {place.zone}, (place, zones)


@then("the failure of one of 40 hosts replaces at most one home host")
def then_stable(context):
    places = [HostPlace(f"h{i}", "a") for i in range(40)]
    _, before = elect(["a"] * 7, places)
    for dead in places:
        _, after = elect(["a"] * 7, [p for p in places if p != dead])
        assert len(set(after) - set(before)) == (dead in before)
