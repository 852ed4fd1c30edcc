"""Steps for the passive health checks of servers."""

from behave import given, then, when
from fakes.dsr_host import (
    FLAG_ACK,
    SERVER_SEQUENCE,
    Host,
    QueuedPackets,
    handle_in,
    make_packet,
    make_routes,
    make_server,
)
from fakes.dsr_lossy_simulation import LossySimulation

from hornbeamdeal.dsr import (
    CatalogReader,
    ServerHealth,
    UnansweredPacket,
    forward_pending,
)

SERVER = make_server(1)
SENT_BEFORE_SECONDS = 0.2
UPLOAD_PACKET_BYTES = 1200
LOOP_SECONDS = 0.1
# More than full servers hold, with pauses in which no flow shows a server alive.
CALLERS_OF_FULL_SERVERS = 24
FULL_SERVER_PAUSE_SECONDS = 3.0


@given("a server that was last seen alive {seconds:g} s ago")
def given_server(context, seconds):
    context.server_health = ServerHealth()
    context.now = 100.0
    context.server_health.record_progress(SERVER.server_id, context.now - seconds)


def record_unanswered(context, callers, sent_at, repetitions=0, host=""):
    for caller in callers.split(","):
        packet = UnansweredPacket(sent_at, ord(caller), repetitions, host)
        context.server_health.record_unanswered(SERVER.server_id, packet, context.now)


@when("opening packets of callers {callers} go unanswered")
def when_openings(context, callers):
    record_unanswered(context, callers, context.now - SENT_BEFORE_SECONDS)


@when(
    "opening packets that callers {callers} sent {seconds:g} s ago are reported"
    " unanswered"
)
def when_old_openings(context, callers, seconds):
    record_unanswered(context, callers, context.now - seconds)


@when("a peer reports that data of caller {callers} is retransmitted {count:d} time")
@when("a peer reports that data of caller {callers} is retransmitted {count:d} times")
def when_data_at_peer(context, callers, count):
    record_unanswered(
        context, callers, context.now - SENT_BEFORE_SECONDS, count, "peer"
    )


@when("data of callers {callers} is retransmitted {count:d} time")
@when("data of callers {callers} is retransmitted {count:d} times")
def when_data_retransmitted(context, callers, count):
    record_unanswered(context, callers, context.now - SENT_BEFORE_SECONDS, count)


@when("a peer reports that opening packets of callers {callers} went unanswered")
def when_openings_at_peer(context, callers):
    sent_at = context.now - SENT_BEFORE_SECONDS
    record_unanswered(context, callers, sent_at, host="peer")


@when("the server is seen alive")
def when_progress(context):
    context.server_health.record_progress(SERVER.server_id, context.now)


@when("a flow at this host shows the server alive")
def when_local_progress(context):
    context.server_health.record_local_progress(SERVER.server_id, context.now)


@then("its recovery is to be reported to peers")
def then_recovery_reported(context):
    assert context.server_health.pop_recovered() == [SERVER.server_id]


def report_from_peers(context, callers, retransmissions):
    now = context.host.clock.monotonic()
    for caller in callers:
        packet = UnansweredPacket(
            now - SENT_BEFORE_SECONDS, caller, retransmissions, f"peer {caller % 2}"
        )
        context.host.server_health.record_unanswered(
            context.server.server_id, packet, now
        )


@when("peers report unanswered opening packets of 3 callers for the flow's server")
def when_peers_report_openings(context):
    report_from_peers(context, range(3), 0)


@when("peers report that flows of 2 callers stall at the flow's server")
def when_peers_report_stalls(context):
    report_from_peers(context, range(3), 0)
    report_from_peers(context, range(3, 5), 2)


@when("the caller sends an acknowledgement without data")
def when_acknowledgement(context):
    packet = make_packet(
        context.caller, FLAG_ACK, sequence=1, ack=SERVER_SEQUENCE, echo=context.handle
    )
    context.sent = context.host.receive(packet)


@when("peers report that flows of 2 callers stall at the opened flow's server")
def when_peers_report_stalls_at_opened(context):
    [(data, _)] = context.sent
    servers = context.host.catalog.servers_by_id.values()
    handle = handle_in(data)
    context.server = next(server for server in servers if server.handle == handle)
    when_peers_report_stalls(context)


@when("the server answers the caller's request")
def when_answered(context):
    packet = make_packet(
        context.caller,
        FLAG_ACK,
        sequence=11,
        ack=SERVER_SEQUENCE + 2000,
        echo=context.handle,
    )
    context.host.receive(packet)


@when("a peer reports that the flow's server is alive")
def when_reported_alive(context):
    now = context.host.clock.monotonic()
    context.host.server_health.record_progress(context.server.server_id, now)


@when("the flow's server is removed from the store")
def when_removed(context):
    context.revision += 1
    removed = {context.server.server_id: context.revision}
    changes = context.host.apply_update(
        revision=context.revision, base=0, removed=removed
    )
    host = context.host
    reader = CatalogReader(
        clock=host.clock,
        catalog=host.catalog,
        read_scheduler=None,
        server_health=host.server_health,
        journal=host.journal,
        source=None,
    )
    reader.handle_server_changes(changes)


@when("the host's periodic tick runs")
def when_tick(context):
    before = len(context.host.sent)
    context.host.forwarder.tick(context.host.clock.monotonic())
    context.sent = context.host.sent[before:]


@then("the server is out of rotation")
def then_out(context):
    assert context.server_health.is_out(SERVER.server_id)


@then("the server is not out of rotation")
def then_not_out(context):
    assert not context.server_health.is_out(SERVER.server_id)


@then("the server is dead after {seconds:g} s")
def then_dead(context, seconds):
    at = context.now - SENT_BEFORE_SECONDS + seconds
    assert context.server_health.is_dead(SERVER.server_id, at)


@then("the server is not dead after {seconds:g} s")
def then_not_dead(context, seconds):
    at = context.now - SENT_BEFORE_SECONDS + seconds
    assert not context.server_health.is_dead(SERVER.server_id, at)


@then("one flow every 2 s is sent to the server as a trial")
def then_trials(context):
    tried = [
        context.server_health.pick_trial_server([SERVER], context.now + tenths / 10)
        for tenths in range(1, 61)
    ]
    assert sum(server is SERVER for server in tried) == 3


@then(
    "in {runs:d} runs with {hosts:d} hosts and a packet loss of {loss:g} no flow is"
    " reset"
)
def then_never_reset(context, runs, hosts, loss):
    for seed in range(runs):
        simulation = LossySimulation(hosts=hosts, loss=loss, random_state=seed)
        simulation.run(seconds=30.0)
        assert simulation.answered > 500, simulation.answered
        assert simulation.resets == 0, f"seed {seed}: {simulation.resets} resets"


@then(
    "in {runs:d} runs with {hosts:d} hosts, a packet loss of {loss:g} and servers for"
    " {capacity:d} flows no flow is reset"
)
def then_never_reset_when_full(context, runs, hosts, loss, capacity):
    for seed in range(runs):
        simulation = LossySimulation(
            hosts=hosts,
            loss=loss,
            random_state=seed,
            callers=CALLERS_OF_FULL_SERVERS,
            capacity=capacity,
            pause_seconds=FULL_SERVER_PAUSE_SECONDS,
        )
        simulation.run(seconds=30.0)
        assert simulation.ignored_openings > 100, simulation.ignored_openings
        assert simulation.resets == 0, f"seed {seed}: {simulation.resets} resets"


def check_lost_requests_reset(runs, hosts, callers, milliseconds, capacity=None):
    for seed in range(runs):
        simulation = LossySimulation(
            hosts=hosts, loss=0.0, random_state=seed, callers=callers, capacity=capacity
        )
        simulation.schedule(2.0, lambda s=simulation: s.fail_server(SERVER.handle))
        simulation.run(seconds=5.0)
        assert simulation.reset_delays, f"seed {seed}: no reset"
        assert simulation.given_up == 0, f"seed {seed}: {simulation.given_up} gave up"
        assert simulation.untrue_resets == 0, f"seed {seed}: untrue resets"
        assert capacity is None or simulation.ignored_openings > 100
        longest = max(simulation.reset_delays)
        assert longest <= milliseconds / 1000, f"seed {seed}: {longest:.2f} s"


@then(
    "in {runs:d} runs with {hosts:d} hosts and {callers:d} callers each request lost at"
    " a dead server is reset within {milliseconds:d} ms"
)
def then_lost_requests_reset(context, runs, hosts, callers, milliseconds):
    check_lost_requests_reset(runs, hosts, callers, milliseconds)


@then(
    "in {runs:d} runs with {hosts:d} hosts and {callers:d} callers at servers for"
    " {capacity:d} flows each request lost at a dead server is reset within"
    " {milliseconds:d} ms"
)
def then_lost_requests_reset_when_full(
    context, runs, hosts, callers, capacity, milliseconds
):
    check_lost_requests_reset(runs, hosts, callers, milliseconds, capacity)


@then(
    "in {runs:d} runs with {hosts:d} hosts at {mbps:g} Mbit/s and {uploaders:d}"
    " uploading callers no flow is reset"
)
def then_never_reset_over_links(context, runs, hosts, mbps, uploaders):
    for seed in range(runs):
        simulation = LossySimulation(
            hosts=hosts,
            loss=0.001,
            random_state=seed,
            link_mbps=mbps,
            uploaders=uploaders,
        )
        simulation.run(seconds=30.0)
        assert simulation.uploaded > 30, simulation.uploaded
        assert simulation.resets == 0, f"seed {seed}: {simulation.resets} resets"


@given("a dsr host at {mbps:g} Mbit/s that knows servers 1,2,3")
def given_host_with_link(context, mbps):
    context.servers = [make_server(number) for number in (1, 2, 3)]
    context.host = Host(link_mbps=mbps)
    context.host.apply_update(context.servers, make_routes())
    context.sent = []


@when("the caller sends packets {first:d} to {last:d} of an upload")
def when_upload(context, first, last):
    for number in range(first, last + 1):
        context.host.send_data(
            context.caller,
            context.handle,
            sequence=1 + (number - 1) * UPLOAD_PACKET_BYTES,
            length=UPLOAD_PACKET_BYTES,
        )


@then("the server was seen alive {milliseconds:d} ms ago")
def then_seen_alive(context, milliseconds):
    seen_at = context.host.server_health.local_progress_at(context.server.server_id)
    age = context.host.clock.monotonic() - seen_at
    assert round(1000 * age) == milliseconds, age


@when("{count:d} bytes are sent to peers")
def when_sent_to_peers(context, count):
    context.host.forwarder.link_queue.add(count, context.host.clock.monotonic())


@then("no opening packet counts as unanswered")
def then_no_opening_unanswered(context):
    assert context.host.journal.counts.get(("opening_unanswered", ""), 0) == 0


def run_loop(host, packets=None):
    """Run one turn of the host's event loop, its periodic tick first."""
    now = host.clock.monotonic()
    host.forwarder.arrivals.start_turn(now)
    host.forwarder.tick(now)
    forward_pending(packets or QueuedPackets(), host.forwarder, now)


@when("the host runs its loop")
def when_loop(context):
    before = len(context.host.sent)
    run_loop(context.host)
    context.sent = context.host.sent[before:]


@when("the host runs its loop for {milliseconds:d} ms")
def when_loop_for(context, milliseconds):
    before = len(context.host.sent)
    for _ in range(round(milliseconds / 1000 / LOOP_SECONDS)):
        context.host.clock.advance(LOOP_SECONDS)
        run_loop(context.host)
    context.sent = context.host.sent[before:]


@when("the host reads {count:d} packets and a repetition, {milliseconds:d} ms a batch")
def when_backlog(context, count, milliseconds):
    fields = {"ack": SERVER_SEQUENCE, "echo": context.handle, "data": b"d" * 10}
    packet = make_packet(context.caller, FLAG_ACK, sequence=1, **fields)
    others = [
        make_packet(f"100.64.1.{i}:1000", FLAG_ACK, sequence=1, **fields)
        for i in range(count)
    ]
    queued = QueuedPackets([packet, *others, packet])
    run_loop(context.host, queued)
    context.host.clock.advance(milliseconds / 1000)
    run_loop(context.host, queued)
    assert not queued.packets


@then("no data counts as repeated")
def then_no_data_repeated(context):
    assert context.host.journal.counts.get(("data_repeated", ""), 0) == 0


@then(
    "in {runs:d} runs with {hosts:d} hosts that stand still now and then no flow is"
    " reset"
)
def then_never_reset_after_pauses(context, runs, hosts):
    for seed in range(runs):
        simulation = LossySimulation(
            hosts=hosts, loss=0.01, random_state=seed, uploaders=2, pauses=True
        )
        simulation.run(seconds=40.0)
        assert simulation.answered > 200, simulation.answered
        assert simulation.resets == 0, f"seed {seed}: {simulation.resets} resets"
