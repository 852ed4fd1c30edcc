"""Steps for the forwarding of callers' packets."""

from collections import Counter
from unittest.mock import Mock

from behave import given, then, when
from fakes.dsr_host import (
    FLAG_ACK,
    FLAG_SYN,
    HEADER_BYTES,
    SERVER_SEQUENCE,
    SERVICE,
    SERVICE_IP,
    SERVICE_PORT,
    Host,
    QueuedPackets,
    handle_in,
    is_reset,
    make_packet,
    make_routes,
    make_server,
    number_in,
)

from hornbeamdeal.dsr import ZoneState, explain_opening, forward_pending
from hornbeamdeal.platform._packets import encode_address

HANDLE_BYTES = slice(12, 16)


def numbers(text):
    return [int(part) for part in text.split(",")]


@given("a dsr host that knows servers {names}")
def given_host(context, names):
    context.servers = [make_server(number) for number in numbers(names)]
    context.host = Host()
    context.host.apply_update(context.servers, make_routes())
    context.revision = 1
    context.sent = []


@given("a dsr host that knows no servers")
def given_host_without_servers(context):
    context.host = Host()
    context.host.apply_update([], make_routes())
    context.sent = []


@given("a dsr host without a catalog")
def given_host_without_catalog(context):
    context.host = Host()
    context.sent = []


@given("another dsr host with the same catalog")
def given_other_host(context):
    context.other = Host(context.host.clock, random_state=2)
    context.other.apply_update(context.servers, make_routes())


@given("a dsr host in zone z1 that knows servers 1,2 of z1 and 3 of z2")
def given_two_zones(context):
    servers = [make_server(1), make_server(2), make_server(3, zone="z2")]
    context.host = Host()
    context.host.apply_update(servers, make_routes())


@when("caller {caller} opens a flow")
def when_open(context, caller):
    context.caller = caller
    context.packet = make_packet(caller, FLAG_SYN, sequence=5)
    context.sent += context.host.receive(context.packet)


@when("caller {caller} opens a flow again")
def when_open_again(context, caller):
    context.sent += context.host.receive(context.packet)


@when("caller {caller} opens a flow with another sequence number")
def when_open_anew(context, caller):
    packet = make_packet(caller, FLAG_SYN, sequence=77)
    context.sent += context.host.receive(packet)


@when("the second copy arrives of a flow that it opens with another sequence number")
def when_second_copy(context):
    packet = make_packet(context.caller, FLAG_SYN, sequence=77, ack=1)
    context.sent += context.host.receive(packet)


@when("the server of the opening packet {event}")
def when_server_changes(context, event):
    [(data, _)] = context.sent
    number, host = number_in(data), context.host
    server = make_server(number, draining=event == "drains", revision=2)
    match event:
        case "drains":
            host.apply_update([server], revision=2, base=1)
        case "is removed":
            host.apply_update(revision=2, base=1, removed={server.server_id: 2})
        case "is in an evacuated zone":
            # The other servers move to another zone, so that they take flows.
            others = [
                make_server(other, zone="z2", revision=2)
                for other in (1, 2, 3)
                if other != number
            ]
            zones = [ZoneState(server.zone, True, 2)]
            host.apply_update(others, revision=2, base=1, zones=zones)


@then("only the first opening packet was sent")
def then_first_only(context):
    assert len(context.sent) == 1, context.sent
    assert context.host.journal.counts["openings_dropped", "duplicate"] == 1


@then("a copy sent {milliseconds:d} ms later goes to another server")
def then_copy_elsewhere(context, milliseconds):
    context.host.clock.advance(milliseconds / 1000)
    when_opening_repeated(context)
    then_servers(context, "two")


@when("a flow to port {port:d} is opened by caller {caller}")
def when_open_port(context, port, caller):
    context.sent += context.host.open_flow(caller, port=port)


@when("a server answers the flow that caller {caller} opens")
def when_establish(context, caller):
    context.caller = caller
    context.handle = context.host.establish(caller)
    context.server = next(s for s in context.servers if s.handle == context.handle)
    context.sent = []


@when("the caller repeats its opening packet")
def when_opening_repeated(context):
    packet = make_packet(context.caller, FLAG_SYN, sequence=5, ack=1)
    context.sent += context.host.receive(packet)


@when("{milliseconds:d} ms pass")
def when_time_passes(context, milliseconds):
    context.host.clock.advance(milliseconds / 1000)


@when("the caller sends data")
def when_data(context):
    context.sent = context.host.send_data(context.caller, context.handle)


@when("the caller sends data through the other host")
def when_data_elsewhere(context):
    context.packet = make_packet(
        context.caller, FLAG_ACK, sequence=1, ack=9, echo=context.handle, data=b"abc"
    )
    context.sent = context.other.receive(context.packet)


@when("the caller {caller} sends data with handle {handle:d}")
def when_data_with_handle(context, caller, handle):
    context.sent = context.host.send_data(caller, handle)


@when("the flow's server is draining")
def when_draining(context):
    number = int.from_bytes(context.server.number, "big")
    server = make_server(number, draining=True, revision=2)
    context.host.apply_update([server], revision=2, base=1)


@when("the flow's server is removed")
def when_removed(context):
    context.host.apply_update(revision=2, base=1, removed={context.server.server_id: 2})


@when("the store is read again")
def when_store_read(context):
    context.host.catalog.confirm(context.host.clock.monotonic())


@when("a packet that is {fault} arrives")
def when_malformed(context, fault):
    whole = make_packet("100.64.0.1:1000", FLAG_SYN)
    packets = {"empty": b"", "short": whole[:20], "of more data": whole + b"x"}
    context.sent = context.host.receive(packets[fault])


@when("a packet that raises an exception is queued before an opening packet")
def when_exception(context):
    host = context.host
    receive = host.forwarder.codec.decode
    host.forwarder.codec = Mock(wraps=host.forwarder.codec)
    host.forwarder.codec.decode.side_effect = [
        ZeroDivisionError("fault"),
        receive(make_packet("100.64.0.1:1000", FLAG_SYN)),
    ]
    packets = QueuedPackets([b"first", b"second"])
    forward_pending(packets, host.forwarder, host.clock.monotonic())


@then("the opening packet is forwarded")
def then_forwarded(context):
    assert len(context.host.sent) == 1


@then("the exception is logged")
def then_exception_logged(context):
    [fields] = [f for n, f in context.host.journal.events if n == "unexpected_error"]
    assert "ZeroDivisionError" in fields["detail"]


@then("the datagram goes to the server that its handle and number identify")
def then_named(context):
    [(data, address)] = context.sent
    [server] = [s for s in context.servers if s.handle == handle_in(data)]
    assert server.address == address
    assert data[:8] == server.number


@then("the packet differs from the caller's only in the handle")
def then_unchanged(context):
    [(data, _)] = context.sent
    carried = bytearray(data[8:])
    carried[HANDLE_BYTES] = context.packet[HANDLE_BYTES]
    assert bytes(carried) == context.packet


@then("the other host sends it to the flow's server unchanged")
def then_same_server(context):
    expected = context.server.number + context.packet
    assert context.sent == [(expected, context.server.address)]


@then("the two datagrams went to {count} server")
@then("the two datagrams went to {count} servers")
def then_servers(context, count):
    assert len(context.sent) == 2
    found = len({number_in(data) for data, _ in context.sent})
    assert found == {"one": 1, "two": 2}[count]


@then("one unanswered opening packet is recorded")
def then_noted(context):
    assert len(context.host.server_health.pop_unsent()) == 1


@then("no unanswered opening packet is recorded")
def then_not_noted(context):
    assert context.host.server_health.pop_unsent() == []


@then("the caller gets a reset")
def then_reset(context):
    [(data, (ip, port))] = context.sent
    assert is_reset(data)
    assert (ip, port) == ("100.64.0.1", 8172)


@then("the caller gets a reset near its last acknowledgement")
def then_reset_on_open_flow(context):
    [(data, _)] = context.sent
    assert is_reset(data)
    assert int.from_bytes(data[:4], "little") == SERVER_SEQUENCE
    assert len(data) == HEADER_BYTES


@then("nothing is sent")
def then_nothing(context):
    assert context.sent == []


@then("the data goes to the flow's server")
def then_data_arrives(context):
    [(data, address)] = context.sent
    assert (data[:8], address) == (context.server.number, context.server.address)


@then("none of {count:d} new flows goes to that server")
def then_no_new_flows(context, count):
    assert context.server.address not in placed(context.host, count)


@then("it is counted as malformed")
def then_malformed(context):
    assert context.host.journal.counts["packets_dropped", "malformed"] == 1


@then("{count:d} new flows all go to servers of zone z1")
def then_local(context, count):
    assert ("10.1.0.3", 8000) not in placed(context.host, count)


@then("some of {count:d} new flows go to zone z2")
def then_some_remote(context, count):
    assert ("10.1.0.3", 8000) in placed(context.host, count)


@then("{count:d} new flows within a second differ by at most one between servers")
def then_even(context, count):
    found = placed(context.host, count, seconds=1.0 / count)
    assert len(found) == 3
    assert max(found.values()) - min(found.values()) <= 1


def placed(host, count, seconds=0.0):
    """Open flows and count them by the server's address."""
    found = Counter()
    for index in range(count):
        host.clock.advance(seconds)
        [(_, address)] = host.open_flow(f"100.64.1.{index % 250}:{2000 + index}")
        found[address] += 1
    return found


@when("{count:d} flows are each placed on a new server within {seconds:d} s")
def when_new_servers(context, count, seconds):
    context.host = Host()
    placement = context.host.forwarder.placement
    for index in range(count):
        placement.record_placement(make_server(index), index * seconds / count)


@then("the host keeps placement counts of at most {count:d} servers")
def then_few_counts(context, count):
    assert len(context.host.forwarder.placement.counts_) <= count


@given(
    "a dsr host whose route is split 90 to 10 and whose second service has no server"
)
def given_split_route(context):
    routes = make_routes()
    [route] = routes.routes_by_key.values()
    route.weights_by_service = {SERVICE: 90.0, "canary": 10.0}
    context.host = Host()
    context.host.apply_update([make_server(1)], routes)


@given("a dsr host whose route has two services of weight 0")
def given_route_without_weight(context):
    routes = make_routes()
    [route] = routes.routes_by_key.values()
    route.weights_by_service = {SERVICE: 0.0, "canary": 0.0}
    context.host = Host()
    context.host.apply_update([make_server(1)], routes)
    context.sent = []


@given("a dsr host that knows one draining server")
def given_draining(context):
    context.host = Host()
    context.host.apply_update([make_server(1, draining=True)], make_routes())
    context.sent = []


@then("all of {count:d} new flows go to the first service")
def then_first_service(context, count):
    for port in range(count):
        [(data, _)] = context.host.open_flow(f"100.64.0.9:{2000 + port}")
        assert number_in(data) == 1


def explain(host):
    address_key = encode_address(SERVICE_IP, SERVICE_PORT)
    now = host.clock.monotonic()
    return explain_opening(host.forwarder, address_key, now)["verdict"]


@then("explain says that {usable:d} of {count:d} servers takes new flows")
def then_explained(context, usable, count):
    verdict = explain(context.host)
    assert verdict.endswith(f"{usable} of {count} servers"), verdict


@then("explain says that the opening packet is {outcome}")
def then_explained_outcome(context, outcome):
    assert explain(context.host).startswith(outcome), explain(context.host)


@given("a host of a zone with 2 hosts and a cold server besides a warm one")
def given_cold_server(context):
    context.host = Host(cold_overage=1.5, cold_slack=5.0)
    cold, warm = make_server("1"), make_server("2")
    cold.cold_seconds = 60.0
    context.host.apply_update([cold, warm], make_routes())
    context.host.slow_start.set_zone_hosts({"h1", "h2"}, 0.0)


@when("{count:d} flows are opened within 1 second")
def when_many_opened(context, count):
    context.numbers = []
    for port in range(count):
        [(data, _)] = context.host.open_flow(f"100.64.0.9:{2000 + port}")
        context.numbers.append(number_in(data))
        context.host.clock.advance(1 / count)


@then("the cold server gets at most 1 opening and the warm server the others")
def then_cold_limited(context):
    counts = Counter(context.numbers)
    assert counts[1] == 1, counts
    assert counts[2] == len(context.numbers) - 1, counts


def caller_of(number):
    return f"100.64.{number >> 14}.{1 + (number >> 8 & 63)}:{1000 + (number & 255)}"


@when(
    "{openings:d} callers open flows and {others:d} others send data on flows"
    " opened elsewhere"
)
def when_many_flows(context, openings, others):
    host = context.host
    context.first_handle = host.establish(caller_of(0))
    for number in range(1, openings):
        host.open_flow(caller_of(number))
        host.sent.clear()
    for number in range(openings, openings + others):
        host.send_data(caller_of(number), context.first_handle)
        host.sent.clear()


@then("the host has {count:d} records of flows and counts no more as outstanding")
def then_flow_count(context, count):
    forwarder = context.host.forwarder
    assert len(forwarder.flows.flows_by_key) == count
    assert len(forwarder.outstanding.waiting_flows_) <= count


@then("the first caller's flow is still forwarded to its server")
def then_first_forwarded(context):
    [(datagram, _)] = context.host.send_data(caller_of(0), context.first_handle)
    assert handle_in(datagram) == context.first_handle
