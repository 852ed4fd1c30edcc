"""Steps for membership."""

import sys
from dataclasses import replace
from itertools import permutations
from pathlib import Path

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st
from minicheck import check_safety

from hornbeamdeal.kernel import (
    Endpoint,
    EntryHost,
    HostState,
    PeerMessageReceived,
    StopRequested,
    Version,
    VersionInForce,
)
from hornbeamdeal.membership import (
    Membership,
    elect_readers,
    merge_records,
    record_from_wire,
    record_to_wire,
)
from hornbeamdeal.membership._updates import transmission_limit
from hornbeamdeal.membership._versions import holders_from_wire, holders_to_wire
from hornbeamdeal.membership._zone_preference import crossing_gossip_share
from hornbeamdeal.wire import peer_types

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from specs import paused_member  # noqa: E402

from benchmarks.fleet_harness import Fleet, Link  # noqa: E402


def host_at(context, index):
    return list(context.fleet.hosts.values())[index]


def all_know(fleet, count):
    return all(len(host.live_peers) == count for host in fleet.live_hosts)


@given("a membership fleet of {size:d} hosts that starts")
def given_starting(context, size):
    context.fleet = Fleet(size)
    context.fleet.start_all()


@given("a settled membership fleet of {size:d} hosts")
def given_settled(context, size):
    given_starting(context, size)
    assert context.fleet.run(30, lambda: all_know(context.fleet, size))
    context.fleet.run(5)


@given("{count:d} membership hosts in {zones:d} zones")
def given_hosts(context, count, zones):
    context.hosts = [
        EntryHost(f"h{i}", 1, Endpoint("10.0.0.1", i), f"zone-{i % zones}")
        for i in range(count)
    ]


@given("a membership accuser that missed the refutations of {count:d} members")
def given_outdated_accuser(context, count):
    fleet = context.fleet
    accusations = [
        replace(host_at(context, i).record, state=HostState.SUSPECT)
        for i in range(1, count + 1)
    ]
    for accusation in accusations:
        send_claims(context, fleet.hosts[accusation.host_id], [accusation])
    fleet.run(20)
    table = host_at(context, 0).membership._table
    for accusation in accusations:
        table.update_state(accusation, fleet.now)


@then("within {seconds:d} s no membership death is declared")
def then_no_death(context, seconds):
    context.fleet.run(seconds)
    deaths = [h.counters["membership_deaths"] for h in context.fleet.live_hosts]
    assert not any(deaths), deaths


@when("membership host {index:d} is killed")
def when_killed(context, index):
    context.fleet.kill(host_at(context, index))


@when("membership hosts {first:d} to {last:d} are killed")
def when_rack_killed(context, first, last):
    reset_counters(context)
    for index in range(first, last + 1):
        context.fleet.kill(host_at(context, index))


@then("within {seconds:d} s no member regards hosts {first:d} to {last:d} as usable")
def then_rack_unusable(context, seconds, first, last):
    dead = {host_at(context, i).record.host_id for i in range(first, last + 1)}
    live = context.fleet.live_hosts
    assert context.fleet.run(
        seconds, lambda: not any(dead & h.live_peers for h in live)
    ), [len(dead & h.live_peers) for h in live]


@then("no membership host sent more than {limit:d} bytes per second in that time")
def then_bounded_traffic(context, limit):
    seconds = context.fleet.now - context.counters_reset_at
    maximum = max(h.counters["sent_bytes"] for h in context.fleet.live_hosts)
    assert maximum <= limit * seconds, maximum / seconds


def reset_counters(context):
    context.counters_reset_at = context.fleet.now
    for host in context.fleet.live_hosts:
        host.counters.clear()


@when("all membership hosts put version {number:d} in force")
def when_version(context, number):
    reset_counters(context)
    for host in context.fleet.live_hosts:
        context.fleet.handle_event(host, VersionInForce(Version(number, b"d" * 32)))


@then(
    "within {seconds:d} s {percent:d} % of the membership records "
    "carry version {number:d}"
)
def then_version_known(context, seconds, percent, number):
    version = Version(number, b"d" * 32)
    context.fleet.run(seconds)
    records = [
        m for h in context.fleet.live_hosts for m in h.membership.members_.values()
    ]
    known = sum(record.version == version for record in records)
    assert 100 * known >= percent * len(records), known / len(records)


@then("a membership version report of an older incarnation is ignored")
def then_older_ignored(context):
    old = EntryHost("h", 1, Endpoint("10.0.0.1", 1), "z")
    new = replace(old, incarnation=2)
    version = Version(2, b"d")
    message = holders_to_wire(version, [old])
    assert holders_from_wire(message, {"h": new}) == []
    assert holders_from_wire(message, {"h": old}) == [replace(old, version=version)]


@then("only membership hosts {first:d} to {last:d} were declared dead")
def then_true_deaths(context, first, last):
    live = context.fleet.live_hosts
    deaths = [h.counters["membership_deaths"] for h in live]
    assert deaths == [last - first + 1] * len(live), deaths
    assert all_know(context.fleet, len(live))


@when("membership hosts {first:d} to {last:d} are cut off from all others")
def when_group_cut(context, first, last):
    group = {host_at(context, i).record.host_id for i in range(first, last + 1)}
    context.fleet.link.is_partitioned = lambda a, b: (
        (a.host_id in group) != (b.host_id in group)
    )


@when(
    "membership host {index:d} receives death claims about all others "
    "that three hosts confirm"
)
def when_confirmed_deaths(context, index):
    host = host_at(context, index)
    accused = [m for m in host.membership.members_.values() if m != host.record]
    deaths = [
        peer_types.Accusation(m.host_id, m.incarnation, m.sequence, 3, [1, 2, 3])
        for m in accused
    ]
    send_message(context, host, peer_types.PingReply(0, [], deaths))


@when("membership host {index:d} is told to stop")
def when_stopped(context, index):
    context.fleet.handle_event(host_at(context, index), StopRequested())


@when("membership host {index:d} suspects all others and is paused for {seconds:d} s")
def when_paused(context, index, seconds):
    host = host_at(context, index)
    others = [m for m in host.membership.members_.values() if m != host.record]
    send_claims(context, host, [replace(m, state=HostState.SUSPECT) for m in others])
    context.fleet.pause(host, seconds)


@when("the membership link between hosts {a:d} and {b:d} is cut for {seconds:d} s")
def when_link_cut(context, a, b, seconds):
    ends = {host_at(context, index).record.host_id for index in (a, b)}
    context.fleet.link.is_partitioned = lambda x, y: {x.host_id, y.host_id} == ends
    context.fleet.run(seconds)


@when("a peer tells membership host {index:d} that it suspects it")
def when_suspected(context, index):
    host = host_at(context, index)
    send_claims(context, host, [replace(host.record, state=HostState.SUSPECT)])


@when("membership host {index:d} receives claims that all members are dead")
def when_claims(context, index):
    host = host_at(context, index)
    members = host.membership.members_.values()
    send_claims(context, host, [replace(m, state=HostState.DEAD) for m in members])


def send_claims(context, host, claims):
    send_message(
        context, host, peer_types.JoinReply([record_to_wire(claim) for claim in claims])
    )


def send_message(context, host, message):
    sender = host_at(context, 0).record
    event = PeerMessageReceived(
        sender.host_id, sender.incarnation, sender.endpoint, message
    )
    context.fleet.handle_event(host, event)


@when("membership host {index:d} is cut off from all others")
def when_isolated(context, index):
    isolated = host_at(context, index).record.host_id
    context.fleet.link.is_partitioned = lambda a, b: isolated in (a.host_id, b.host_id)


@when("all membership links work again")
def when_healed(context):
    context.fleet.link = Link()


@when("membership zone {zone} is cut off for {seconds:d} s")
def when_zone_cut(context, zone, seconds):
    fleet = context.fleet
    fleet.link.is_partitioned = lambda a, b: (a.zone == zone) != (b.zone == zone)
    fleet.run(seconds)
    context.usable_during_cut = [(h.record, h.live_peers) for h in fleet.live_hosts]
    reset_counters(context)
    fleet.link = Link()


@when("membership host {index:d} is replaced")
def when_replaced(context, index):
    context.old = host_at(context, index)
    context.new = context.fleet.start(index)


@when("a tenth of the membership datagrams is lost for {seconds:d} s")
def when_lossy(context, seconds):
    context.fleet.link.loss = 0.1
    context.fleet.run(seconds)


@when("membership hosts {first:d} to {last:d} are replaced at once")
def when_mass_replaced(context, first, last):
    for index in range(first, last + 1):
        context.fleet.start(index)


@then("within {seconds:d} s each member knows {count:d} usable members")
def then_all_know(context, seconds, count):
    assert context.fleet.run(seconds, lambda: all_know(context.fleet, count)), [
        len(host.live_peers) for host in context.fleet.live_hosts
    ]


@then("within {seconds:d} s no member regards host {index:d} as usable")
def then_unusable(context, seconds, index):
    host_id = host_at(context, index).record.host_id
    others = [h for h in context.fleet.live_hosts if h.record.host_id != host_id]
    assert context.fleet.run(
        seconds, lambda: all(host_id not in h.live_peers for h in others)
    )


@then("for {seconds:d} s member {index:d} regards at least {count:d} others as usable")
def then_keeps_usable(context, seconds, index, count):
    host = host_at(context, index)
    lost = context.fleet.run(seconds, lambda: len(host.live_peers) - 1 < count)
    assert not lost, host.live_peers


@then("a membership pause is announced")
def then_announced(context):
    assert context.fleet.announced_pause_count == 1


@then("at the end of the cut no membership host was usable across the border of {zone}")
def then_partitioned(context, zone):
    for record, usable in context.usable_during_cut:
        zones = {context.fleet.hosts[host_id].record.zone for host_id in usable}
        assert (zones == {zone}) if record.zone == zone else zone not in zones


@then("within {seconds:d} s each member knows the new incarnation of host {index:d}")
def then_incarnation(context, seconds, index):
    record = context.new.record
    known = [h.membership for h in context.fleet.live_hosts]
    assert context.fleet.run(
        seconds,
        lambda: all(
            m.members_[record.host_id].incarnation == record.incarnation for m in known
        ),
    )


@then("the old incarnation of membership host {index:d} is told that it is superseded")
def then_superseded(context, index):
    # The update queues are empty by then, so only a direct reply can notify it.
    context.fleet.run(30)
    peer = host_at(context, 0)
    old = context.old
    event = PeerMessageReceived(
        old.record.host_id,
        old.record.incarnation,
        old.record.endpoint,
        peer_types.Ping(1, [record_to_wire(old.record)]),
    )
    (answer,) = peer.membership.handle(event, context.fleet.now)
    sender = peer.record
    event_for_old = PeerMessageReceived(
        sender.host_id, sender.incarnation, sender.endpoint, answer.message
    )
    old.membership.handle(event_for_old, context.fleet.now)
    assert old.membership.superseded_
    current = peer.membership.members_[old.record.host_id].incarnation
    assert current == context.new.record.incarnation


@then("at most {count:d} membership deaths were declared")
def then_few_deaths(context, count):
    deaths = sum(h.counters["membership_deaths"] for h in context.fleet.live_hosts)
    assert deaths <= count, deaths


@then("at most {count:d} membership suspicions were raised")
def then_few_suspicions(context, count):
    raised = sum(h.counters["membership_suspicions"] for h in context.fleet.live_hosts)
    assert raised <= count, raised


@then("no membership datagram exceeded {size:d} bytes")
def then_bounded_datagrams(context, size):
    largest = max(h.counters["largest_datagram"] for h in context.fleet.live_hosts)
    assert largest <= size, largest


claims = st.builds(
    EntryHost,
    host_id=st.just("h"),
    incarnation=st.integers(1, 2),
    endpoint=st.just(Endpoint("10.0.0.1", 1)),
    zone=st.just("z"),
    state=st.sampled_from(HostState),
    version=st.one_of(st.none(), st.builds(Version, st.integers(1, 2), st.just(b"d"))),
    sequence=st.integers(0, 2),
)


@then("any three membership claims merge to the same record in any order")
def then_merge(context):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @for_all(st.tuples(claims, claims, claims))
    def check(drawn):
        merged = {
            merge_records(merge_records(a, b), c) for a, b, c in permutations(drawn)
        }
        assert len(merged) == 1, merged

    check()


@then("membership records with missing or wrong fields are rejected")
def then_refused(context):
    host = EntryHost("h", 1, Endpoint("10.0.0.1", 1), "z")
    assert record_from_wire(record_to_wire(host)) == host
    for name in ("host_id", "incarnation", "ip", "port", "state", "sequence"):
        record = record_to_wire(host)
        setattr(record, name, None)
        assert record_from_wire(record) is None, name
    record = record_to_wire(host)
    record.state = 4
    assert record_from_wire(record) is None
    member = Membership(own=host, random_state=1)
    message = peer_types.Ping(1, [peer_types.MemberRecord()])
    member.handle(PeerMessageReceived("x", 1, Endpoint("10.0.0.1", 2), message), 0.0)
    assert set(member.members_) == {"h"}


@then("each membership zone elects two readers in any order of the hosts")
def then_elected(context):
    hosts = context.hosts
    for zone in {host.zone for host in hosts}:
        readers = elect_readers(hosts, zone)
        assert len(readers) == 2
        assert readers == elect_readers(reversed(hosts), zone)
        assert {host.zone for host in readers} == {zone}


@then("the loss of a membership reader elects one more host and keeps the other")
def then_takeover(context):
    first, second = elect_readers(context.hosts, "zone-0")
    dead = replace(first, state=HostState.DEAD)
    hosts = [dead if host is first else host for host in context.hosts]
    readers = elect_readers(hosts, "zone-0")
    assert readers[0] == second
    assert readers[1] not in (first, dead)


@then("the paused member model holds in all states")
def then_model_holds(context):
    result = check_safety(paused_member.build())
    assert result["exhaustive"]
    assert result["properties"]["reachable_member_stays"]["holds"] is True


@then("without the restart of suspicions it has a counterexample")
def then_counterexample(context):
    result = check_safety(paused_member.WITHOUT_RESTART)
    trace = result["properties"]["reachable_member_stays"]["counterexample"]
    assert trace[-1]["label"] == "expire"


START_SECONDS = 20.0


def start_fleet(size, zones):
    fleet = Fleet(size, zones=zones)
    fleet.start_all()
    fleet.run(START_SECONDS)
    return fleet


def crossing_bytes(fleet):
    sent = sum(h.counters["sent_bytes_between_zones"] for h in fleet.live_hosts)
    return sent / fleet.size


@then(
    "{many:d} hosts in {zones:d} zones that start send at most {times:d} times the"
    " bytes of {few:d} between zones, each host"
)
def then_crossing_bytes(context, many, zones, times, few):
    context.fleet = start_fleet(many, zones)
    sent, reference = (
        crossing_bytes(context.fleet),
        crossing_bytes(start_fleet(few, zones)),
    )
    assert sent <= times * reference, (sent, reference)


@then("within {seconds:d} s of that start each member knows all others")
def then_all_joined(context, seconds):
    assert seconds >= START_SECONDS
    assert all_know(context.fleet, context.fleet.size)


@then("in a zone of {hosts:d} hosts of {total:d} the gossip share is {share:g}")
def then_gossip_share(context, hosts, total, share):
    copies = transmission_limit(total)
    computed = crossing_gossip_share(hosts - 1, total - hosts, copies)
    assert round(computed, 2) == share, computed
