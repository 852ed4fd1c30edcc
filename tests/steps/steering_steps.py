"""Steps for steering: a cluster simulation, and one host with its peers' messages."""

import sys
from collections import Counter
from dataclasses import replace
from math import sqrt
from pathlib import Path

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st
from minicheck import check_safety

from hornbeamdeal.kernel import (
    AddressKind,
    BackendServer,
    ClusterView,
    DropPacket,
    Endpoint,
    EntryHost,
    FlowPacket,
    ForwardPacket,
    PacketReceived,
    PauseDetected,
    PeerMessageReceived,
    RelayPacket,
    SendPeerMessage,
    ServerState,
    ServiceAddress,
    StopRequested,
    Version,
    create_plugin,
)
from hornbeamdeal.steering import (
    FlowTable,
    HandleCodec,
    ServerSet,
    flow_key,
    server_digest,
)
from hornbeamdeal.wire import peer_types

# The benchmarks and the models are not part of the installed package.
TESTS = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(TESTS.parent), str(TESTS)]

from specs import flow_steering  # noqa: E402

from benchmarks import flows  # noqa: E402
from benchmarks.flow_cluster import Cluster  # noqa: E402

KEYS = (b"current key of the region", b"earlier key of the region")
COAP, OPAQUE = Endpoint("10.0.0.1", 1), Endpoint("10.0.0.1", 2)
TOKEN = b"tok"


def make_server(server_id, service="map", weight=1.0):
    return BackendServer(server_id, service, Endpoint("10.1.0.1", 1), "z", weight)


def make_view(own_id, host_ids, servers, version=1, coap_service="map"):
    hosts = {
        name: EntryHost(name, 1, Endpoint("10.2.0.1", i), "z")
        for i, name in enumerate(sorted(host_ids))
    }
    addresses = [
        ServiceAddress("coap", coap_service, COAP, AddressKind.FLOWS, "coap"),
        ServiceAddress("opaque", "map", OPAQUE, AddressKind.FLOWS, "opaque"),
    ]
    return ClusterView(
        own_id=own_id,
        own_zone="z",
        version=Version(version, bytes(32)),
        servers_by_id={s.server_id: s for s in servers},
        addresses_by_endpoint={a.endpoint: a for a in addresses},
        hosts_by_id=hosts,
    )


def make_steering(plugin="tracked"):
    parameters = {"handle_keys": KEYS} if plugin == "tracked" else {}
    return create_plugin("steering", plugin, random_state=1, **parameters)


def make_packet(number, address=OPAQUE, **parameters):
    opens_flow = None if address is OPAQUE else True
    return FlowPacket(
        Endpoint("10.9.0.1", number), address, b"", opens_flow, TOKEN, **parameters
    )


def receive(context, packet):
    context.actions = context.steering.handle(PacketReceived(packet), context.now)
    return context.actions[-1] if context.actions else None


def update(context, servers, **parameters):
    context.servers = servers
    view = make_view("h0", context.host_ids, servers, **parameters)
    context.steering.update(view, context.now)


def pass_time(context, seconds):
    actions = []
    for _ in range(round(seconds / 0.05)):
        context.now += 0.05
        actions += context.steering.tick(context.now)
    return actions


@given("a steering cluster of 7 hosts with {number:d} {codec} flows and seed {seed:d}")
def given_cluster(context, number, codec, seed):
    make_cluster(context, "tracked", codec, number, seed)


@given(
    "a steering cluster of 7 hosts with {number:d} {codec} flows and seed {seed:d} "
    "by {plugin}"
)
def given_baseline(context, number, codec, seed, plugin):
    make_cluster(context, plugin, codec, number, seed)


def make_cluster(context, plugin, codec, number, seed):
    context.cluster = Cluster(plugin, codec, flows.EVEN_WEIGHTS, seed)
    context.cluster.callers.open_flows(number, 20.0)
    context.cluster.run(flows.SETTLE_SECONDS)
    context.cluster.callers.open_flows(number // 5, 60.0)


@when("the steering event {name} happens and a minute passes")
def when_event(context, name):
    getattr(flows, name)(context.cluster)
    context.cluster.run(flows.SETTLE_SECONDS)


@then("no steering flow is broken")
def then_none_broken(context):
    assert context.cluster.callers.count_broken() == 0, (
        context.cluster.callers.count_broken()
    )
    # Only a flow of several packets can break.
    assert context.cluster.callers.packets > 4 * len(context.cluster.callers.flows)


@then("no new flow has reached a leaving server after the time limit")
def then_none_late(context):
    assert context.cluster.callers.late_new_flows == 0, (
        context.cluster.callers.late_new_flows
    )


@then("at least {number:d} steering flows are broken")
def then_broken(context, number):
    assert context.cluster.callers.count_broken() >= number, (
        context.cluster.callers.count_broken()
    )


@when(
    "{number:d} coap flows open at 7 hosts over servers of weights {weights} "
    "with seed {seed:d}"
)
def when_balance(context, number, weights, seed):
    context.weights = [float(weight) for weight in weights.split(",")]
    context.cluster = Cluster("tracked", "coap", context.weights, seed)
    context.cluster.callers.open_flows(number, 9.0)
    context.cluster.run(10.0)


@then("the greatest steering load is at most {ratio:f} times the mean")
def then_balanced(context, ratio):
    loads = Counter(flow.server_id for flow in context.cluster.callers.flows)
    mean = sum(loads.values()) / sum(context.weights)
    greatest = max(loads[f"r{i}"] / w for i, w in enumerate(context.weights))
    assert greatest <= ratio * mean, (greatest, mean)


@given("a steering host h0 among {host_ids}")
def given_host(context, host_ids):
    context.host_ids = host_ids.split(",")
    context.steering, context.now = make_steering(), 100.0
    update(context, [make_server(f"r{i}") for i in range(4)])
    pass_time(context, 12.0)


@when("it receives a coap packet with a {fault} handle")
def when_handle(context, fault):
    digest = server_digest("map", "r0")
    handle = HandleCodec(KEYS[:1]).make(digest, "map", TOKEN)
    changed = {
        "valid": handle,
        "forged": handle[:-1] + bytes([handle[-1] ^ 1]),
        "truncated": handle[:-1],
        "empty": b"",
        "other service": HandleCodec(KEYS).make(digest, "draw", TOKEN),
        "other token": HandleCodec(KEYS).make(digest, "map", b"other"),
        "other region": HandleCodec((b"key of another region",)).make(
            digest, "map", TOKEN
        ),
        "gone server": HandleCodec(KEYS).make(1, "map", TOKEN),
        "previous key": HandleCodec(KEYS[1:]).make(digest, "map", TOKEN),
    }[fault]
    packet = replace(make_packet(1, COAP), opens_flow=False, handle=changed)
    context.action = receive(context, packet)


@then("the steering packet is dropped as {reason}")
def then_dropped(context, reason):
    assert isinstance(context.action, DropPacket), context.action
    assert context.action.reason == reason, context.action.reason


@then("the steering packet is forwarded to {server_id}")
def then_forwarded(context, server_id):
    assert isinstance(context.action, ForwardPacket), context.action
    assert context.action.server.server_id == server_id


@when("r0 starts draining for steering")
def when_drains(context):
    drained = replace(context.servers[0], state=ServerState.DRAINING)
    update(context, [drained, *context.servers[1:]], version=2)


@when("r0 gets weight 0 for steering")
def when_weight_is_0(context):
    update(context, [replace(context.servers[0], weight=0.0), *context.servers[1:]])


@then("{number:d} new {codec} flows never go to r0")
def then_never(context, number, codec):
    pass_time(context, 3.0)
    address = COAP if codec == "coap" else OPAQUE
    for caller in range(number):
        action = receive(context, make_packet(caller, address))
        assert action.server.server_id != "r0"


@when("an opening packet arrives twice within 15 s and 100 others between")
def when_twice(context):
    context.first = receive(context, make_packet(1, COAP))
    for caller in range(2, 102):
        receive(context, make_packet(caller, COAP))
    pass_time(context, 14.0)
    context.second = receive(context, make_packet(1, COAP))


@then("both opening packets went to the same server")
def then_same(context):
    assert context.first.server == context.second.server


@when("an opaque flow has opened and its server is removed")
def when_removed(context):
    gone = receive(context, make_packet(1)).server
    update(context, [s for s in context.servers if s != gone], version=2)


@then("the next packet of the opaque flow goes to the current choice")
def then_current(context):
    key = flow_key(make_packet(1))
    action = receive(context, make_packet(1))
    assert action.server == ServerSet(context.servers).choose(key)


@when("the coap address moves to another service")
def when_moves(context):
    servers = [*context.servers, make_server("d0", "draw")]
    update(context, servers, version=2, coap_service="draw")


@then("an opening packet is dropped as hold_down for 5 s")
def then_held_down(context):
    for _ in range(49):
        pass_time(context, 0.1)
        assert receive(context, make_packet(1, COAP)).reason == "hold_down"
    pass_time(context, 0.2)
    assert receive(context, make_packet(1, COAP)).server.server_id == "d0"


HOSTS = st.sets(st.sampled_from(["h0", "h1", "h2", "h3"]))
SERVERS = st.lists(st.sampled_from([0.0, 0.5, 1.0, 3.0]), min_size=1, max_size=5)


@then(
    "hosts with any views that run {plugin} forward or drop a packet after at most one relay"
)
def then_no_loop(context, plugin):
    @settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @for_all(st.lists(HOSTS, min_size=4, max_size=4), st.integers(0, 1 << 16), SERVERS)
    def check(host_sets, caller, weights):
        steerings = {}
        for i, known in enumerate(host_sets):
            steering = steerings[f"h{i}"] = make_steering(plugin)
            # Hosts also differ in servers: every second host lacks the first one.
            servers = [make_server(f"r{j}", weight=w) for j, w in enumerate(weights)]
            servers = servers[i % 2 :]
            steering.update(make_view(f"h{i}", known | {f"h{i}"}, servers), 1.0)
        for address in (COAP, OPAQUE):
            host_id, packet = "h0", make_packet(caller, address)
            for hop in range(2):
                event = PacketReceived(packet)
                action = steerings[host_id].handle(event, 20.0)[-1]
                if not isinstance(action, RelayPacket):
                    break
                assert hop == 0, "a relayed packet was relayed again"
                host_id, packet = action.host_id, action.packet
            assert isinstance(action, ForwardPacket | DropPacket)

    check()


@then("all hosts choose the same servers for any servers and flows")
def then_same_choice(context):
    @settings(max_examples=100, derandomize=True, deadline=None, database=None)
    @for_all(SERVERS, st.lists(st.integers(0, 1 << 16), min_size=1, max_size=20))
    def check(weights, callers):
        servers = [make_server(f"r{i}", weight=w) for i, w in enumerate(weights)]
        for plugin in ("tracked", "rendezvous", "modulo"):
            chosen = []
            for host_id in ("h0", "h1"):
                steering = make_steering(plugin)
                steering.update(make_view(host_id, [host_id], servers), 1.0)
                events = [PacketReceived(make_packet(c)) for c in callers]
                actions = [steering.handle(event, 1.0)[-1] for event in events]
                chosen.append([getattr(a, "server", None) for a in actions])
            assert chosen[0] == chosen[1]
            assert all(s is None or s.weight > 0 for s in chosen[0])

    check()


@then("shares of rendezvous choices lie within 5 standard deviations of weights")
def then_shares(context):
    weights = [0.5, 1.0, 1.0, 2.0, 4.0, 0.0]
    servers = [make_server(f"r{i}", weight=w) for i, w in enumerate(weights)]
    number = 20_000
    keys = [flow_key(make_packet(caller)) for caller in range(number)]
    loads = Counter(ServerSet(servers).choose_id(key) for key in keys)
    for server in servers:
        share = server.weight / sum(weights)
        allowed = 5 * sqrt(number * share * (1 - share))
        assert abs(loads[server.server_id] - number * share) <= allowed


@when("it resumes after a pause and an opaque packet arrives")
def when_resumes(context):
    context.steering.handle(PauseDetected(30.0), context.now)
    context.action = receive(context, make_packet(1))


@then("the steering packet is held")
def then_held(context):
    assert context.action is None


@when("peer h1 reports version {number:d}")
def when_reports(context, number):
    record = peer_types.MemberRecord(host_id="h1", version_number=number)
    event = PeerMessageReceived("h1", 1, Endpoint("a", 1), peer_types.Ping(1, [record]))
    context.actions = context.steering.handle(event, context.now)


@when("{seconds:f} s pass at the host")
def when_time_passes(context, seconds):
    context.actions = pass_time(context, seconds)


@then("the held steering packet is forwarded or relayed")
def then_steered(context):
    kinds = [type(action) for action in context.actions]
    assert ForwardPacket in kinds or RelayPacket in kinds, kinds


@when("{number:d} opaque flows have been seen and the host stops")
def when_stops(context, number):
    context.keys = set()
    for caller in range(number):
        assert isinstance(receive(context, make_packet(caller)), ForwardPacket)
        context.keys.add(flow_key(make_packet(caller)))
    context.actions = context.steering.handle(StopRequested(), context.now)


@then("its steering records for all {number:d} flows are sent to h1 and h2")
def then_records_sent(context, number):
    assert all(isinstance(action, SendPeerMessage) for action in context.actions)
    assert {action.endpoint.port for action in context.actions} == {1, 2}
    records = [r for a in context.actions for r in a.message.records]
    assert {r.key % (1 << 64) for r in records} == context.keys
    assert len(context.keys) == number


@then(
    "relayed flows without a record go to r0 only before 2 s, "
    "then wait up to 1.5 s for records"
)
def then_settle_bound(context):
    pass_time(context, 1.9)
    early = [receive(context, make_packet(c, hops=1)) for c in range(100)]
    assert any(action.server.server_id == "r0" for action in early)
    pass_time(context, 0.15)
    late = []
    for caller in range(100, 200):
        receive(context, make_packet(caller, hops=1))
        late += context.actions
    assert 0 < len(late) < 100, "flows of other servers need not wait"
    late += [a for a in pass_time(context, 1.5) if isinstance(a, ForwardPacket)]
    assert len(late) == 100, len(late)
    assert not any(action.server.server_id == "r0" for action in late)


@then("a flow table of {slots:d} slots keeps at most {kept:d} of {number:d} flows")
def then_bounded(context, slots, kept, number):
    context.flow_table = FlowTable(slots)
    # Multiplying by 2**64 over the golden ratio spreads successive keys in the table.
    for key in range(number):
        spread = key * 0x9E3779B97F4A7C15 % (1 << 64) or 1
        context.flow_table.put(spread, 7, key / 100, tracked=key < 100)
    assert len(context.flow_table) == slots
    assert 0.9 * kept < context.flow_table.used <= kept


@then("it evicts other flows before tracked ones")
def then_tracked_kept(context):
    # The first 100 keys of the step before, which are tracked.
    keys = [key * 0x9E3779B97F4A7C15 % (1 << 64) or 1 for key in range(100)]
    assert all(context.flow_table.find(key) >= 0 for key in keys)


@when("peer h1 has version {number:d} in the view")
def when_peer_has_version(context, number):
    view = make_view("h0", context.host_ids, context.servers)
    newer = replace(view.hosts_by_id["h1"], version=Version(number, bytes(32)))
    hosts_by_id = {**view.hosts_by_id, "h1": newer}
    context.steering.update(replace(view, hosts_by_id=hosts_by_id), context.now)


@then("opaque flows without a record are relayed to their owner")
def then_relayed(context):
    actions = [receive(context, make_packet(caller)) for caller in range(100)]
    relays = [a for a in actions if isinstance(a, RelayPacket)]
    assert {action.host_id for action in relays} == {"h1"}
    assert all(action.packet.hops == 1 for action in relays)
    assert len(relays) > 20


@when("h1 relays 10 opaque packets to it")
def when_relays(context):
    context.forwarded = {}
    for caller in range(10):
        packet = make_packet(caller, hops=1, relayed_by_host_id="h1")
        key = flow_key(packet)
        context.forwarded[key] = receive(context, packet).server.server_id
    context.actions = pass_time(context, 0.1)


@then("it sends h1 a record of each of the 10 flows")
def then_records_of_flows_sent(context):
    sent = [a for a in context.actions if isinstance(a, SendPeerMessage)]
    records = [r for a in sent if a.endpoint.port == 1 for r in a.message.records]
    digests_by_key = {r.key % (1 << 64): r.server_digest % (1 << 64) for r in records}
    expected = context.forwarded.items()
    assert digests_by_key == {key: server_digest("map", name) for key, name in expected}


@when("peer h1 sends it a record of opaque caller 1 with server r3")
def when_record_received(context):
    key, digest = flow_key(make_packet(1)), server_digest("map", "r3")
    record = peer_types.FlowRecord(to_signed(key), to_signed(digest))
    message = peer_types.FlowRecords(1, b"", [record])
    event = PeerMessageReceived("h1", 1, Endpoint("a", 1), message)
    context.steering.handle(event, context.now)
    context.action = receive(context, make_packet(1))


def to_signed(value):
    return value - (1 << 64) if value >> 63 else value


@when("peer h1 sends flow records with missing fields")
def when_malformed(context):
    records = [peer_types.FlowRecord(), peer_types.FlowRecord(5, None)]
    records += [peer_types.FlowRecord(None, 5), peer_types.FlowRecord(-4, -9)]
    for message in (peer_types.FlowRecords(), peer_types.FlowRecords(1, b"", records)):
        event = PeerMessageReceived("h1", 1, Endpoint("a", 1), message)
        context.steering.handle(event, context.now)


@then("opaque packets are still forwarded or relayed")
def then_still_steered(context):
    for caller in range(100):
        action = receive(context, make_packet(caller))
        assert isinstance(action, ForwardPacket | RelayPacket), action


@then("the steering model {name} holds in all states")
def then_model_holds(context, name):
    result = check_safety(getattr(flow_steering, name)())
    assert result["exhaustive"]
    assert all(p["holds"] is True for p in result["properties"].values())


@then("the steering model {name} without {part} has a counterexample")
def then_counterexample(context, name, part):
    result = check_safety(getattr(flow_steering, name)(**{part: False}))
    assert any(p["holds"] is False for p in result["properties"].values())
