"""Steps for the passive health checks of servers."""

from behave import given, then, when
from fakes.dsr_host import (
    FLAG_ACK,
    SERVER_SEQUENCE,
    handle_in,
    make_packet,
    make_server,
)
from fakes.dsr_lossy_simulation import LossySimulation

from hornbeamdeal.dsr import CatalogReader, ServerHealth, UnansweredPacket

SERVER = make_server(1)
SENT_BEFORE_SECONDS = 0.2
RUNS = 20


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


@when("the server is seen alive")
def when_progress(context):
    context.server_health.record_progress(SERVER.server_id, context.now)


@when("a flow at this host shows the server alive")
def when_local_progress(context):
    context.server_health.record_local_progress(SERVER.server_id, context.now)


@then("its recovery is to be reported to peers")
def then_recovery_reported(context):
    assert context.server_health.pop_recovered() == [SERVER.server_id]


@when("peers report unanswered opening packets of 3 callers for the flow's server")
def when_peers_report(context):
    now = context.host.clock.monotonic()
    for caller in range(3):
        packet = UnansweredPacket(
            now - SENT_BEFORE_SECONDS, caller, 0, f"peer {caller % 2}"
        )
        context.host.server_health.record_unanswered(
            context.server.server_id, packet, now
        )


@when("the caller sends an acknowledgement without data")
def when_acknowledgement(context):
    packet = make_packet(
        context.caller, FLAG_ACK, sequence=1, ack=SERVER_SEQUENCE, echo=context.handle
    )
    context.sent = context.host.receive(packet)


@when(
    "peers report unanswered opening packets of 3 callers for the opened flow's server"
)
def when_peers_report_opened(context):
    [(data, _)] = context.sent
    servers = context.host.catalog.servers_by_id.values()
    handle = handle_in(data)
    context.server = next(server for server in servers if server.handle == handle)
    when_peers_report(context)


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
