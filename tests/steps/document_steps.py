"""Steps for configuration documents."""

import random

from behave import given, then, when
from hypothesis import given as hypothesis_given, settings, strategies as st
from specs.address_move import check as check_address_move

from hornbeamdeal.document import (
    AddressHoldDown,
    DocumentParser,
    accept,
    build_manifest,
    build_view,
    diff_documents,
    join_segments,
    moved_share,
    parse_document,
    parse_host_list,
    sha256_digest,
    split_document,
)
from hornbeamdeal.kernel import (
    AddressKind,
    ClusterView,
    Endpoint,
    ServiceAddress,
    Version,
)

EXAMPLE = b"""version: 12
services:
  reservas:
    addresses:
      reservas-requests: {kind: requests}
      reservas-map: {kind: flows, codec: coap}
    work:
      bookings: {path: /bookings, deadline: 2s, idempotent: false}
      photos: {path: /photos, deadline: 60s, idempotent: false, long: true}
    targets:
      reservas-1: {weight: 1, slots: 3, connections: 2000}
      reservas-2: {weight: 2, state: draining}
  devoluciones:
    addresses:
      devoluciones-map: {kind: flows}
    targets:
      devoluciones-1: {}
"""
HOST_LIST = b"""{"revision": 7, "entry_hosts": {
"aqp-1": {"ip": "127.0.0.1", "port": 7001, "zone": "aqp", "state": "live"}}, "targets": {
"reservas-1": {"ip": "127.0.0.2", "port": 7101, "zone": "aqp", "state": "live"},
"reservas-2": {"ip": "127.0.0.2", "port": 7102, "zone": "aqp", "state": "live"}}, "addresses": {
"reservas-requests": {"ip": "127.0.0.1", "port": 7201},
"reservas-map": {"ip": "127.0.0.1", "port": 7202}}}
"""
ADDRESS_ENDPOINT = Endpoint("127.0.0.1", 7202)
DETERMINISTIC = settings(derandomize=True, database=None, deadline=None)


def large_document(services, changed=None):
    """Build a document, with another target weight in service `changed`."""
    blocks = [
        f"  service-{i}:\n    addresses:\n      address-{i}: {{kind: flows}}\n"
        f"    targets:\n      target-{i}: {{weight: {2 if i == changed else 1}}}\n"
        for i in range(services)
    ]
    return ("version: 1\nservices:\n" + "".join(blocks)).encode()


def replace(content, old, new):
    """Replace the first occurrence of `old`, which must exist."""
    old, new = (text.replace("\\n", "\n").encode() for text in (old, new))
    assert old in content, old
    return content.replace(old, new.replace(b"\\xff", b"\xff"), 1)


def assert_fault(result, kind, line):
    found = [(fault.kind.value, fault.line) for fault in result.err_value]
    assert (kind, int(line)) in found, found
    assert all(fault.message and fault.remedy for fault in result.err_value)


@given("the example document")
def given_example(context):
    context.document = EXAMPLE


@given("a document with {count:d} services")
def given_large_document(context, count):
    context.document = large_document(count)


@when('the document has "{old}" replaced by "{new}"')
def when_replaced(context, old, new):
    context.document = replace(context.document, old, new)


@when("the document has a comment of {size:d} bytes in its last line")
def when_large_service(context, size):
    context.document = context.document[:-1] + b" #" + b"x" * size + b"\n"


@when("the document ends in {count:d} opening brackets")
def when_nested(context, count):
    context.document += b"      t: " + b"[" * count


@then('the document has a fault "{kind}" on line {line:d}')
def then_fault(context, kind, line):
    assert_fault(parse_document(context.document), kind, line)


@then("the document has faults on lines {lines}")
def then_fault_lines(context, lines):
    found = [fault.line for fault in parse_document(context.document).err_value]
    assert found == [int(line) for line in lines.split(", ")], found


@then("document segments of arbitrary bytes join to the same bytes")
def then_bytes_preserved(context):
    line = st.sampled_from(EXAMPLE.splitlines(keepends=True)) | st.binary(max_size=9)

    @DETERMINISTIC
    @hypothesis_given(st.lists(line).map(b"".join))
    def check(content):
        segments = split_document(content)
        contents = {segment.digest: segment.content for segment in segments}
        manifest = build_manifest(Version(1, sha256_digest(content)), segments)
        assert type(manifest).decode(manifest.encode()).ok_value == manifest
        assert join_segments(manifest, contents).ok_value == content

    check()


@then("changing any one document service changes and parses one segment")
def then_one_segment(context):
    before = {segment.digest for segment in split_document(context.document)}
    assert len(before) > 4
    # The document of the scenario has 60 services.
    for changed in range(60):
        parser = DocumentParser()
        assert parser.parse(context.document).is_ok()
        parsed_before = parser.parsed_segment_count_
        content = large_document(60, changed)
        assert parser.parse(content) == parse_document(content)
        assert parser.parsed_segment_count_ - parsed_before == 1
        assert (
            len({segment.digest for segment in split_document(content)} - before) == 1
        )


@when("one document segment is altered in transfer")
def when_altered(context):
    context.segments = split_document(context.document)
    context.contents = {s.digest: s.content for s in context.segments}
    context.contents[context.segments[2].digest] += b" "


@then('joining the document fails with "{kind}"')
def then_join_fails(context, kind):
    version = Version(1, sha256_digest(context.document))
    assert_fault(
        join_segments(build_manifest(version, context.segments), context.contents),
        kind,
        1,
    )


@given("the example host list")
def given_host_list(context):
    context.host_list = HOST_LIST


@when('the host list has "{old}" replaced by "{new}"')
def when_host_list_replaced(context, old, new):
    context.host_list = replace(context.host_list, old, new)


@then('the host list has a fault "{kind}" on line {line:d}')
def then_host_list_fault(context, kind, line):
    assert_fault(parse_host_list(context.host_list), kind, line)


@when("a document view is built")
def when_view(context):
    host_list = parse_host_list(context.host_list).ok_value
    document = parse_document(context.document).ok_value
    last = getattr(context, "view", None)
    context.view = build_view(document, host_list, [], "aqp-1", "aqp", last)


@then('document target reservas-1 is "active" and reservas-2 is "draining"')
def then_states(context):
    states = {s.server_id: s.state.value for s in context.view.servers_by_id.values()}
    assert states == {"reservas-1": "active", "reservas-2": "draining"}
    assert context.view.addresses_by_endpoint[ADDRESS_ENDPOINT].name == "reservas-map"


@then("document target reservas-2 is at port {port:d}")
def then_port(context, port):
    assert context.view.servers_by_id["reservas-2"].endpoint.port == port


@then("document target reservas-2 is gone")
def then_removed(context):
    assert list(context.view.servers_by_id) == ["reservas-1"]


@then("document versions in any order end with the greatest")
def then_greatest(context):
    version = st.builds(Version, st.integers(1, 4), st.binary(min_size=1, max_size=2))

    @DETERMINISTIC
    @hypothesis_given(st.lists(version, min_size=1), st.randoms(use_true_random=False))
    def check(versions, shuffler):
        shuffler.shuffle(versions)
        current = None
        for candidate in versions:
            current = candidate if accept(current, candidate) else current
        assert current == max(versions)

    check()


@given(
    "an address hold-down that starts at second {now:g} and whose address belongs to "
    '"{service}"'
)
def given_starting(context, now, service):
    context.hold_down = AddressHoldDown()
    assert context.hold_down.is_in_start_hold(now)
    when_moved(context, service, now)
    assert context.hold_down.is_in_start_hold(now + 4.9)
    assert not context.hold_down.is_in_start_hold(now + 5)


@given('an address hold-down whose address belongs to "{service}"')
def given_hold_down(context, service):
    given_starting(context, 0, service)


@when('the address moves to "{service}" at second {now:g}')
def when_moved(context, service, now):
    address = ServiceAddress("map", service, ADDRESS_ENDPOINT, AddressKind.FLOWS)
    context.hold_down.update(
        ClusterView("a", "z", addresses_by_endpoint={ADDRESS_ENDPOINT: address}), now
    )


@when("the address is removed at second {now:g}")
def when_removed(context, now):
    context.hold_down.update(ClusterView("a", "z"), now)


@when("the host of the held address was paused for {seconds:g} s")
def when_paused(context, seconds):
    context.hold_down.extend_after_pause(seconds)


@when("the host of the held address has confirmed its version")
def when_confirmed(context):
    context.hold_down.end_pause_hold()


@then("the address is held at second {first:g} and {last:g} and free at second {end:g}")
def then_held(context, first, last, end):
    assert context.hold_down.is_held(ADDRESS_ENDPOINT, first)
    assert context.hold_down.is_held(ADDRESS_ENDPOINT, last)
    assert not context.hold_down.is_held(ADDRESS_ENDPOINT, end)


@then("the address is held at second {first:g} and still at second {last:g}")
def then_still_held(context, first, last):
    assert all(
        context.hold_down.is_held(ADDRESS_ENDPOINT, now) for now in (first, last)
    )


@then("the address move model holds with all mechanisms")
def then_model_holds(context):
    assert check_address_move()["holds"] is True


@then("the address move model fails without {mechanism}")
def then_model_fails(context, mechanism):
    result = check_address_move(**{mechanism: False})
    assert result["holds"] is False
    assert result["counterexample"]


@then('the document diff warns of "{kind}"')
def then_warns(context, kind):
    old = parse_document(EXAMPLE).ok_value
    new = parse_document(context.document)
    kinds = [
        warning.kind.value for warning in diff_documents(old, new.ok_value).warnings
    ]
    assert kind in kinds, kinds


@then(
    "the estimated share of keys that move to another target "
    "is within 0.01 of that of {keys:d} simulated keys"
)
def then_moved_share(context, keys):
    random_source = random.Random(7)
    for before, after in ((1, 3), (3, 1), (2, 0)):
        old, new = [before, 1, 2, 4], [after, 1, 2, 4]
        moved = 0
        for _ in range(keys):
            scores = [-random_source.expovariate(1) for _ in old]
            moved += choose_target(scores, old) != choose_target(scores, new)
        expected = moved_share(sum(old), before, after)
        assert abs(moved / keys - expected) < 0.01, (moved / keys, expected)


def choose_target(scores, weights):
    """Return the index of the target that weighted rendezvous hashing chooses.

    The logarithm method: the score is a negated exponential variate, divided by the
    weight.
    """
    active_indexes = [index for index, weight in enumerate(weights) if weight]
    return max(active_indexes, key=lambda index: scores[index] / weights[index])
