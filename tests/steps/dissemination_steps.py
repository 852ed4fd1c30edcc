"""Steps for dissemination."""

import json
import sys
from pathlib import Path

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st
from minicheck import check_safety

from hornbeamdeal.dissemination import Dissemination
from hornbeamdeal.document import sha256_digest
from hornbeamdeal.kernel import (
    ClusterView,
    Endpoint,
    EntryHost,
    IncrementCounter,
    PeerMessageReceived,
    PlatformReadCompleted,
    PutInForce,
    ReadPlatform,
    SendPeerMessage,
)
from hornbeamdeal.wire import peer_types

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from specs import configuration  # noqa: E402

from benchmarks.fleet_harness import Fleet, Link  # noqa: E402
from benchmarks.fleet_platform import change_segment, make_segments  # noqa: E402

PEER = Endpoint("10.0.0.2", 7000)
CONTENT = b"document of a lone component"
HOST_LIST = b'{"revision": 1, "entry_hosts": {}}'


def make_host_list(count, changed=-1, revision=1):
    targets = {
        f"reservas-{i}": {"ip": "10.1.0.1", "port": 1 if i == changed else 2, "n": i}
        for i in range(count)
    }
    return json.dumps({"revision": revision, "targets": targets}).encode()


def start_fleet(size, random_state=1, segments=20, segment_bytes=1000):
    fleet = Fleet(size, random_state=random_state)
    fleet.segments = make_segments(segments, segment_bytes)
    fleet.platform.put("hosts", make_host_list(2000))
    fleet.version = fleet.platform.publish(1, fleet.segments)
    fleet.start_all()
    return fleet


def all_ready(fleet):
    return all(host.dissemination.ready_ for host in fleet.live_hosts)


def all_use(fleet, version):
    return all(host.version == version for host in fleet.live_hosts)


def publish(fleet, number, text=b"changed"):
    fleet.version = fleet.platform.publish(
        number, change_segment(fleet.segments, 3, text)
    )


def sum_counters(fleet, name):
    return sum(host.counters[name] for host in fleet.live_hosts)


@given("a settled dissemination fleet of {size:d} hosts")
def given_settled(context, size):
    given_large(context, size, 20, 1000)


@given(
    "a settled dissemination fleet of {size:d} hosts "
    "with {segments:d} segments of {length:d} bytes"
)
def given_large(context, size, segments, length):
    context.fleet = start_fleet(size, segments=segments, segment_bytes=length)
    assert context.fleet.run(20, lambda: all_ready(context.fleet))
    context.fleet.run(30)
    for host in context.fleet.live_hosts:
        host.counters.clear()


@when("operators publish document {number:d} with one changed segment")
def when_published(context, number):
    publish(context.fleet, number)


@when("operators publish two different documents {number:d} at the same time")
def when_same_number_published(context, number):
    platform = context.fleet.platform
    variants = [change_segment(context.fleet.segments, 3, t) for t in (b"a", b"b")]
    variants.sort(key=lambda segments: sha256_digest(b"".join(segments)))
    # The greater document comes first, so readers see the lesser one afterwards.
    context.fleet.version = platform.publish(number, variants[1])
    context.fleet.run(0.2)
    platform.publish(number, variants[0])


@when("operators publish a faulty document {number:d}")
def when_faulty(context, number):
    context.fleet.platform.publish(number, [*context.fleet.segments, b"faulty"])


@when('all dissemination hosts reject documents that contain "{text}"')
def when_checked(context, text):
    def check(content):
        return "contains a fault" if text.encode() in content else ""

    for host in context.fleet.live_hosts:
        topics = host.dissemination._updater.topics_by_name
        topics["document"].check = check


@when("dissemination hosts {first:d} to {last:d} are replaced at once")
def when_replaced(context, first, last):
    for index in range(first, last + 1):
        context.fleet.start(index)


@when("the platform reverts to document {number:d}")
def when_platform_back(context, number):
    context.fleet.platform.publish(number, context.fleet.segments)


@when("the platform is down")
def when_down(context):
    context.fleet.platform.is_down = True


@when("dissemination zone {zone} is cut off from others and the platform")
def when_cut(context, zone):
    context.fleet.link.is_partitioned = lambda a, b: (
        (a.zone == zone) != (b.zone == zone)
    )
    context.fleet.platform.is_unreachable = lambda host: host.zone == zone


@when("the dissemination links work again after {seconds:d} s")
def when_healed(context, seconds):
    context.fleet.run(seconds)
    context.fleet.link = Link()
    context.fleet.platform.is_unreachable = None


@when("all dissemination readers are killed")
def when_readers_killed(context):
    for host in [h for h in context.fleet.live_hosts if h.dissemination.is_reader_]:
        context.fleet.kill(host)


@when("{seconds:d} s pass in the dissemination fleet")
def when_time(context, seconds):
    context.fleet.run(seconds)


@when("the platform's host list of 2000 targets changes one entry")
def when_host_list(context):
    put_host_list(context, 2)


def put_host_list(context, revision):
    content = make_host_list(2000, changed=700 + revision, revision=revision)
    context.fleet.platform.put("hosts", content)


@when("the platform's host lists {first:d} and {last:d} are written and used")
def when_host_lists_used(context, first, last):
    context.copy = context.fleet.platform.copy()
    for revision in (first, last):
        put_host_list(context, revision)
        assert context.fleet.run(3, lambda r=revision: uses_host_list(context, r))


@when("the platform is restored from the copy before them")
def when_restored(context):
    context.fleet.platform.restore(context.copy)


@when("{seconds:d} s later host list {revision:d} is written")
def when_later_host_list(context, seconds, revision):
    context.fleet.run(seconds)
    put_host_list(context, revision)


@then("each dissemination host uses host list {revision:d} within {seconds:d} s")
def then_uses_host_list(context, revision, seconds):
    assert context.fleet.run(seconds, lambda: uses_host_list(context, revision))


@then("each dissemination host uses host list {revision:d} for {seconds:d} s")
def then_keeps_host_list(context, revision, seconds):
    for _ in range(10 * seconds):
        context.fleet.run(0.1)
        assert uses_host_list(context, revision)


def uses_host_list(context, revision):
    content = make_host_list(2000, changed=700 + revision, revision=revision)
    digest = sha256_digest(content)
    versions = [h.dissemination.host_list_version_ for h in context.fleet.live_hosts]
    return all(version.digest == digest for version in versions)


@then("within {seconds:d} s document {number:d} is in force on all hosts")
@then("within {seconds:d} s the greater document {number:d} is in force on all hosts")
def then_in_force(context, seconds, number):
    fleet = context.fleet
    assert fleet.version.number == number
    assert fleet.run(seconds, lambda: all_use(fleet, fleet.version))
    assert not fleet.version_regressions


@then("document {number:d} is in force on all hosts for {seconds:d} s")
@then("document {number:d} stays in force on all hosts for {seconds:d} s")
def then_stays(context, number, seconds):
    fleet = context.fleet
    fleet.run(seconds)
    assert {host.version.number for host in fleet.live_hosts} == {number}
    assert not fleet.version_regressions


@then("within {seconds:d} s document {number:d} is in force outside {zone} only")
def then_outside(context, seconds, number, zone):
    fleet = context.fleet
    outside = [h for h in fleet.live_hosts if h.record.zone != zone]
    fleet.run(seconds)
    assert all(host.version.number == number for host in outside)
    inside = [h for h in fleet.live_hosts if h.record.zone == zone]
    assert all(host.version.number < number for host in inside)


@then("within {seconds:d} s all dissemination hosts are ready")
def then_ready(context, seconds):
    assert context.fleet.run(seconds, lambda: all_ready(context.fleet))


@then("no dissemination host is ready")
def then_not_ready(context):
    assert not any(h.dissemination.ready_ for h in context.fleet.live_hosts)


@then("each dissemination host received less than {limit:d} bytes for it")
def then_bytes(context, limit):
    received = [h.counters["received_bytes"] for h in context.fleet.live_hosts]
    assert max(received) < limit, max(received)


@then("two dissemination hosts per zone watch the platform")
def then_readers(context):
    zones = [
        h.record.zone for h in context.fleet.live_hosts if h.dissemination.is_reader_
    ]
    assert sorted(zones) == [f"zone-{i // 2}" for i in range(6)]


@then("a dissemination version conflict was counted")
def then_conflict(context):
    assert sum_counters(context.fleet, "dissemination_version_conflicts") > 0


@then(
    "no dissemination datagram exceeded {datagram:d} bytes, "
    "no other message {bulk:d} bytes"
)
def then_bounded(context, datagram, bulk):
    for host in context.fleet.live_hosts:
        assert host.counters["largest_datagram"] <= datagram
        assert host.counters["largest_bulk"] <= bulk


@then(
    "each dissemination host uses it within {seconds:d} s "
    "and received less than {limit:d} bytes"
)
def then_host_list(context, seconds, limit):
    def use_it():
        versions = [
            h.dissemination.host_list_version_ for h in context.fleet.live_hosts
        ]
        return all(version.number == 2 for version in versions)

    assert context.fleet.run(seconds, use_it)
    then_bytes(context, limit)


@then("{many:d} settled dissemination hosts make as many platform calls as {few:d}")
def then_calls(context, many, few):
    calls, watches = [], []
    for size in (few, many):
        given_settled(context, size)
        platform = context.fleet.platform
        platform.calls.clear()
        context.fleet.run(120)
        calls.append(sum(platform.calls.values()))
        watches.append(len(platform._watches))
    assert watches[0] == watches[1], watches
    # A watch renewed at the end may fall just outside the measured time.
    assert abs(calls[0] - calls[1]) <= 1, calls


def first_reads(count, offered_at=None):
    """Return the times at which new components first read the manifest key."""
    offer = peer_types.VersionOffer("document", 1, b"d" * 32)
    reads = []
    for seed in range(count):
        lone = Dissemination(own_id="lone", zone="z", random_state=seed)
        for step in range(60):
            now = step * 0.05
            if offered_at is not None and abs(now - offered_at) < 0.01:
                lone.handle(PeerMessageReceived("peer", 1, PEER, offer), now)
            calls = [a for a in lone.tick(now) if isinstance(a, ReadPlatform)]
            reads += [now for call in calls if call.key == "document/manifest"]
    return reads


@then("{count:d} new dissemination components read the platform over {seconds:g} s")
def then_spread(context, count, seconds):
    reads = first_reads(count)
    assert len(reads) == count
    assert seconds - 0.1 <= max(reads) <= seconds + 0.05, max(reads)
    busiest = max(sum(t <= r < t + 0.5 for r in reads) for t in reads)
    assert busiest <= 1.5 * count * 0.5 / seconds, busiest


@then(
    "{count:d} components that are offered a version after 0.1 s "
    "read the platform at the same times as without the offer"
)
def then_no_earlier(context, count):
    assert first_reads(count, offered_at=0.1) == first_reads(count)


@then(
    "{count:d} components that are offered a version after 1 s "
    "read the platform at the same times as without the offer"
)
def then_no_earlier_later_offer(context, count):
    assert first_reads(count, offered_at=1.0) == first_reads(count)


def lone_component(context):
    context.lone = Dissemination(own_id="lone", zone="z", random_state=1)
    context.actions = context.lone.tick(0.0)
    context.digest = sha256_digest(CONTENT)


def receive(context, message, now=0.1):
    event = PeerMessageReceived("peer", 1, PEER, message)
    context.actions += context.lone.handle(event, now)


def receive_whole(context, topic, content):
    digest = sha256_digest(content)
    receive(context, peer_types.Manifest(topic, 1, digest, [digest]))
    receive(context, peer_types.Segments([peer_types.Segment(digest, content)]))


def platform_call(context, now):
    """Return the component's call for the host list, if one is due."""
    calls = [a for a in context.lone.tick(now) if isinstance(a, ReadPlatform)]
    return next((call for call in calls if call.key == "hosts"), None)


@given("a lone dissemination component that watches the platform")
def given_watching(context):
    context.lone = Dissemination(own_id="lone", zone="z", random_state=1)
    context.now = 5.0
    own = EntryHost("lone", 1, PEER, "z")
    context.lone.update(ClusterView("lone", "z", hosts_by_id={"lone": own}), 0.0)
    assert platform_call(context, context.now).after_revision is None
    event = PlatformReadCompleted("hosts", HOST_LIST, revision=5, epoch=1)
    context.lone.handle(event, context.now)
    assert platform_call(context, context.now + 0.05).after_revision == 5


def end_watch(context, epoch):
    context.now += 30.0
    event = PlatformReadCompleted("hosts", None, 5, "unchanged", epoch)
    context.actions = context.lone.handle(event, context.now)
    context.call = platform_call(context, context.now + 0.1)


@when("its watch ends without a change {count:d} times")
def when_unchanged(context, count):
    context.counters, context.calls = [], []
    for _ in range(count):
        end_watch(context, epoch=1)
        context.counters += [
            a.name for a in context.actions if isinstance(a, IncrementCounter)
        ]
        context.calls.append(context.call)


@when("its watch ends without a change after the platform was restored")
def when_unchanged_restored(context):
    end_watch(context, epoch=2)


@then("it has renewed the watch within 0.1 s each time")
def then_renewed(context):
    assert all(c is not None and c.after_revision == 5 for c in context.calls)


@then("it counted no platform errors")
def then_no_errors(context):
    assert "platform_errors" not in context.counters


@then("it reads the platform instead of watching")
def then_reads(context):
    assert context.call is not None and context.call.after_revision is None


@given("a lone dissemination component with a document and host list from a peer")
def given_lone(context):
    lone_component(context)
    receive_whole(context, "document", CONTENT)
    receive_whole(context, "hosts", HOST_LIST)
    assert context.lone.version_.digest == context.digest


@given("a lone dissemination component that lacks a segment")
def given_lone_lacking_segment(context):
    lone_component(context)
    manifest = peer_types.Manifest("document", 1, context.digest, [context.digest])
    receive(context, manifest)


@given("a lone dissemination component that knows {count:d} peers")
def given_lone_with_peers(context, count):
    lone_component(context)
    hosts = [
        EntryHost(f"h{i}", 1, Endpoint("10.0.0.3", i), "z") for i in range(1, count + 1)
    ]
    view = ClusterView("lone", "z", hosts_by_id={host.host_id: host for host in hosts})
    context.lone.update(view, 0.0)


@when("a peer sends the dissemination component a document")
def when_given_document(context):
    context.actions = []
    receive_whole(context, "document", CONTENT)


@then("it offers the document to {count:d} dissemination peers without a tick")
def then_offered(context, count):
    sent = [a for a in context.actions if isinstance(a, SendPeerMessage)]
    offers = [a for a in sent if isinstance(a.message, peer_types.VersionOffer)]
    assert len({a.endpoint for a in offers}) == count
    assert all(a.message.digest == context.digest for a in offers)


@when("the platform returns a newer manifest whose segments cannot be read")
def when_newer_named(context):
    digest = sha256_digest(b"another").hex()
    fields = {"version": 2, "digest": digest, "segments": [digest]}
    value = json.dumps(fields).encode()
    event = PlatformReadCompleted("document/manifest", value, 1)
    context.lone.handle(event, 0.2)


@when("a peer sends it a dissemination segment with wrong bytes")
def when_wrong_bytes(context):
    segment = peer_types.Segment(context.digest, CONTENT + b"!")
    receive(context, peer_types.Segments([segment]))


@when(
    "a peer sends it a manifest that lists another document's segment, and that segment"
)
def when_wrong_manifest(context):
    lone_component(context)
    other = sha256_digest(b"other")
    receive(context, peer_types.Manifest("document", 1, context.digest, [other]))
    receive(context, peer_types.Segments([peer_types.Segment(other, b"other")]))


@then("it is not ready after {seconds:f} s of dissemination")
def then_lone_not_ready(context, seconds):
    context.lone.tick(seconds)
    assert not context.lone.ready_


@then("it is ready after {seconds:f} s of dissemination")
def then_lone_ready(context, seconds):
    context.lone.tick(seconds)
    assert context.lone.ready_


@then("it puts no document in force and counts a bad segment")
def then_bad_segment(context):
    then_rejected(context, "dissemination_bad_segments")


@then("it puts no document in force and counts bad content")
def then_bad_content(context):
    then_rejected(context, "dissemination_bad_content")


def then_rejected(context, counter):
    assert context.lone.version_ is None
    assert not [a for a in context.actions if isinstance(a, PutInForce)]
    counted = [a.name for a in context.actions if isinstance(a, IncrementCounter)]
    assert counter in counted, counted


def cut_host(fleet, host):
    fleet.link.is_partitioned = lambda a, b: (a is host.record) != (b is host.record)


def cut_zone(fleet, host):
    zone = host.record.zone
    fleet.link.is_partitioned = lambda a, b: (a.zone == zone) != (b.zone == zone)
    fleet.platform.is_unreachable = lambda record: record.zone == zone


def publish_next(fleet, host):
    number = fleet.version.number + 1
    publish(fleet, number, f"{number} {fleet.now}".encode())


def publish_same_number(fleet, host):
    number = fleet.version.number
    publish(fleet, number, f"{number} {fleet.now}".encode())


FAULTS = {
    "cut host": cut_host,
    "cut zone": cut_zone,
    "freeze platform": lambda fleet, host: fleet.platform.freeze(),
    "pause": lambda fleet, host: fleet.pause(host, 3.0),
    "publish": publish_next,
    "publish same number": publish_same_number,
    "replace": lambda fleet, host: fleet.start(int(host.record.host_id[5:])),
    "thaw platform": lambda fleet, host: fleet.platform.thaw(),
}


def run_faults(seed, faults):
    fleet = start_fleet(8, random_state=seed)
    fleet.run(10)
    fleet.link = Link(loss=0.1, duplication=0.1, jitter=0.2)
    for name, index, wait in faults:
        FAULTS[name](fleet, list(fleet.hosts.values())[index])
        fleet.run(wait)
    fleet.link = Link()
    fleet.platform.is_unreachable = None
    fleet.platform.thaw()
    for host in fleet.live_hosts:
        host.paused_until = 0.0
    agreed = fleet.run(3, lambda: agree_on_newest(fleet))
    assert agreed, (
        str(fleet.version),
        [str(host.version) for host in fleet.live_hosts],
    )
    assert not fleet.version_regressions, fleet.version_regressions


def agree_on_newest(fleet):
    """Return whether all hosts agree on a version not below the last published one.

    Agreement alone also holds for the old version before the new one arrives.
    """
    versions = {host.version for host in fleet.live_hosts}
    return (
        len(versions) == 1 and None not in versions and max(versions) >= fleet.version
    )


@then("dissemination fleets agree within 3 s after random faults")
def then_agree(context):
    fault = st.tuples(
        st.sampled_from(sorted(FAULTS)), st.integers(0, 7), st.sampled_from((0.1, 1, 4))
    )

    @settings(max_examples=60, derandomize=True, deadline=None)
    @for_all(st.integers(1, 10**6), st.lists(fault, min_size=1, max_size=8))
    def check(seed, faults):
        run_faults(seed, faults)

    check()


def check_configuration(model):
    result = check_safety(model, max_states=1_000_000)
    assert result["exhaustive"]
    return result["properties"]


@then("the configuration model holds in all states")
def then_model_holds(context):
    properties = check_configuration(configuration.build())
    assert all(p["holds"] is True for p in properties.values()), properties


@then("without the order rule a dissemination host reverts")
def then_reverts(context):
    properties = check_configuration(configuration.WITHOUT_ORDER_RULE)
    assert properties["never_reverts"]["counterexample"]


@then(
    "without the tie break hosts may keep two different documents "
    "with one number in force"
)
def then_rest_without_agreement(context):
    properties = check_configuration(configuration.WITHOUT_TIE_BREAK)
    assert properties["rest_means_agreement"]["counterexample"]
