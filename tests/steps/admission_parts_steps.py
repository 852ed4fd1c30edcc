"""Steps for the components of admission."""

from collections import Counter
from random import Random

from behave import given, then, when
from hypothesis import given as for_all, settings
from hypothesis.strategies import integers, lists, sampled_from

from hornbeamdeal.admission import (
    AdaptiveConcurrencyLimit,
    CallerFairShare,
    HostLocation,
    RetrySchedule,
    assign_home_slots,
    elect_home_hosts,
)
from hornbeamdeal.kernel import BackendServer, Endpoint

START_SECONDS = 50.0
IDLE_CALLER, BUSY_CALLER = Endpoint("::", 1), Endpoint("::", 2)


def make_servers(slots, zones):
    return [
        BackendServer(f"s{i}", "x", Endpoint("::", i), zone, 1, count)
        for i, (count, zone) in enumerate(zip(slots, zones, strict=True))
    ]


def assign(servers, hosts):
    # A third of the slots is open to long work, the plug-in's default.
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
        places = [HostLocation(f"h{i}", zone if i else "a") for i in range(host_count)]
        owner_counts = Counter()
        slot_counts = []
        for home_slots in assign(servers, places).values():
            owner_counts.update(
                (key, i) for key, owned in home_slots.items() for i in owned.indices
            )
            slot_counts.append(sum(len(owned.indices) for owned in home_slots.values()))
        expected = {(s.server_id, i) for s in servers for i in range(s.slots)}
        assert set(owner_counts) == expected
        assert set(owner_counts.values()) == {1}
        assert max(slot_counts) - min(slot_counts) <= 1, slot_counts

    check()


@then(
    "{hosts:d} hosts with {servers:d} servers of 3 slots own slots of {count:d} servers each"
)
def then_spread_over_servers(context, hosts, servers, count):
    places = [HostLocation(f"h{i}", "a") for i in range(hosts)]
    assigned = assign(make_servers([3] * servers, ["a"] * servers), places)
    assert all(len(home_slots) == count for home_slots in assigned.values()), assigned


@then("hosts in 2 zones with 2 servers each own slots of their own zone only")
def then_zones(context):
    servers = make_servers([3] * 4, ["a", "a", "b", "b"])
    places = [HostLocation(f"h{i}", "ab"[i % 2]) for i in range(4)]
    assigned = assign(servers, places)
    for place in places:
        zones = {servers[int(key[1:])].zone for key in assigned[place.host_id]}
        assert zones == {place.zone}, (place, zones)


@given("an adaptive limit of {slots:d} slots")
def given_limit(context, slots):
    # The recovery time per slot is at most 1.28 s.
    context.limit = AdaptiveConcurrencyLimit(slots, 1.28)


@when("a request is refused with {outstanding:d} outstanding")
def when_refused(context, outstanding):
    context.limit.record_refusal(outstanding, START_SECONDS)


@when("requests are refused {count:d} times with 0 outstanding")
def when_refused_often(context, count):
    for _ in range(count):
        context.limit.record_refusal(0, START_SECONDS + 1)


@then("the limit allows {allowed:d} but not {refused:d} outstanding")
def then_allows_between(context, allowed, refused):
    assert context.limit.allows(allowed - 1, START_SECONDS)
    assert not context.limit.allows(refused - 1, START_SECONDS)


@then("it allows 2 outstanding after {seconds:g} s")
def then_recovers(context, seconds):
    assert context.limit.allows(1, START_SECONDS + seconds + 1e-6)


@then("it allows no request after {seconds:g} s")
def then_allows_none(context, seconds):
    assert not context.limit.allows(0, START_SECONDS + 1 + seconds)


@then("it allows one after {seconds:g} s")
def then_allows_one(context, seconds):
    assert context.limit.allows(0, START_SECONDS + 1 + seconds)


@when("{count:d} callers are refused at a throughput of {rate:d} per second")
def when_callers_refused(context, count, rate):
    schedule = RetrySchedule(Random(5))
    context.retry_times = [
        schedule.retry_after(rate, START_SECONDS) for _ in range(count)
    ]


@then("no second holds more than {count:d} of the retry times")
def then_retry_times(context, count):
    by_second = Counter(int(seconds) for seconds in context.retry_times)
    assert max(by_second.values()) <= count, by_second


@given("fair shares of an idle caller and of one with {count:d} accepted tickets")
def given_fair_shares(context, count):
    context.fair_share = CallerFairShare()
    for caller in (IDLE_CALLER, BUSY_CALLER):
        context.fair_share.record_offer(caller, START_SECONDS)
    for _ in range(count):
        context.fair_share.record_accept(BUSY_CALLER)


@then("the idle caller may add {allowed:d} ticket to a full queue but not {refused:d}")
def then_idle_credit(context, allowed, refused):
    # The queue is full at a fill of 1.0.
    for _ in range(allowed):
        assert context.fair_share.allows(IDLE_CALLER, 1.0)
        context.fair_share.record_accept(IDLE_CALLER)
    for _ in range(refused - allowed - 1):
        context.fair_share.record_accept(IDLE_CALLER)
    assert not context.fair_share.allows(IDLE_CALLER, 1.0)


def elect(zones, hosts):
    servers = make_servers([3] * len(zones), zones)
    return servers, elect_home_hosts("x", servers, hosts)


@then("with {servers:d} servers of 3 slots these hosts are home hosts")
def then_home_hosts(context, servers):
    for row in context.table:
        places = [HostLocation(f"h{i}", "a") for i in range(int(row["hosts"]))]
        _, elected = elect(["a"] * servers, places)
        assert len(elected) == int(row["home hosts"]), (row, len(elected))


@then("each zone's home hosts own the slots of its own servers")
def then_home_hosts_by_zone(context):
    places = [HostLocation(f"h{i}", "abc"[i % 3]) for i in range(30)]
    servers, elected = elect(["a", "a", "a", "b", "b", "c"], places)
    assert Counter(h.zone for h in elected) == {"a": 3, "b": 2, "c": 1}
    assigned = assign(servers, elected)
    for place in elected:
        zones = {servers[int(key[1:])].zone for key in assigned[place.host_id]}
        assert zones == {place.zone}, (place, zones)


@then("the failure of one of 40 hosts replaces at most one home host")
def then_failure_replaces_one(context):
    places = [HostLocation(f"h{i}", "a") for i in range(40)]
    _, before = elect(["a"] * 7, places)
    for failed in places:
        _, after = elect(["a"] * 7, [p for p in places if p != failed])
        assert len(set(after) - set(before)) == (failed in before)
