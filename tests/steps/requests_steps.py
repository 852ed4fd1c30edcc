"""Steps for the request dispatcher."""

from dataclasses import replace
from pathlib import Path

from behave import given, then, when
from fakes.requests_fleet import answer, replies, send
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test
from minicheck import check_safety
from requests_machine import OTHER_HOSTS, DispatcherMachine, HomeHostMachine

from hornbeamdeal.admission._base import StartDecision, Ticket
from hornbeamdeal.kernel import (
    AcknowledgeRequest,
    CancelDispatchedRequest,
    DispatchOutcome,
    Endpoint,
    HostState,
    IncrementCounter,
    ParameterError,
    RelayRequest,
    RequestReceived,
    Version,
)
from hornbeamdeal.requests import (
    Limits,
    RequestDispatcher,
    RunToken,
    RunTokenCodec,
    _specification_answers as answers,
)
from hornbeamdeal.requests._fake_fleet import (
    ADDRESS,
    CALLER,
    SERVICE,
    TOKEN_KEY,
    HostFleet,
    make_request,
)
from hornbeamdeal.requests._home_hosts import HomeHosts
from hornbeamdeal.requests._routing import Route
from hornbeamdeal.requests._specification import MAXIMUM_STATES, AtMostOnce
from hornbeamdeal.requests._trace import read_trace, replay_trace

TRACES = Path(__file__).resolve().parents[1] / "requests" / "traces"
TOKEN = RunToken(7, Endpoint("10.0.0.1", 7000), 2**47 + 5, 3600)
SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=1000,
    stateful_step_count=50,
    suppress_health_check=list(HealthCheck),
)


@given("two request hosts a and b")
def given_hosts(context):
    context.fleet = HostFleet({"a": 11, "b": 22}, plugin="run_token")


@given("two request hosts a and b with the plug-in own_memory")
def given_baseline(context):
    context.fleet = HostFleet({"a": 11, "b": 22}, plugin="own_memory")


@when("a booking is delivered twice to host a and once to host b")
def when_delivered(context):
    for host in ("a", "a", "b"):
        send(context.fleet, host, "r1", 0.0)


@then("{number:d} request dispatches were made")
def then_dispatches_made(context, number):
    assert len(context.fleet.dispatches) == number


def count(fleet, name):
    return sum(
        a.amount
        for a in fleet.actions
        if isinstance(a, IncrementCounter) and a.name == name
    )


@when('the request model "{name}" is explored')
def when_explored(context, name):
    if name in ("answer_matching", *answers.VARIANTS):
        variant = "" if name == "answer_matching" else name
        protocol = answers.AnswerMatching(variant).protocol()
    else:
        protocol = AtMostOnce("" if name == "run_token" else name).protocol()
    context.result = check_safety(protocol, max_states=MAXIMUM_STATES)


@then("it is explored exhaustively and holds")
def then_holds(context):
    assert context.result["exhaustive"]
    for name, result in context.result["properties"].items():
        assert result["holds"] is True, name


@then('it has a counterexample to "{name}"')
def then_counterexample(context, name):
    result = context.result["properties"][name]
    assert result["holds"] is False
    assert result["counterexample"]


@when("the request state machine runs with a fixed seed")
def when_machine(context):
    run_machine(context, DispatcherMachine, SETTINGS)


@when("the request state machine with home hosts runs with a fixed seed")
def when_home_machine(context):
    run_machine(context, HomeHostMachine, settings(SETTINGS, max_examples=300))


def run_machine(context, machine, machine_settings):
    context.failure = None
    try:
        run_state_machine_as_test(machine, settings=machine_settings)
    except AssertionError as failure:
        context.failure = failure


@then("the request state machine finds no violation")
def then_no_violation(context):
    assert context.failure is None, context.failure


@when("all request traces are replayed")
def when_replayed(context):
    paths = sorted(TRACES.glob("*.jsonl"))
    context.differences_by_name = {
        path.stem: replay_trace(read_trace(path.read_text()).unwrap()) for path in paths
    }


@then("each request trace has its expected outcomes")
def then_expected_outcomes(context):
    assert context.differences_by_name
    for name, differences in context.differences_by_name.items():
        assert not differences, f"{name}: {differences}"


@when("a request trace with a wrong outcome is replayed")
def when_wrong_trace(context):
    text = (TRACES / "own_memory.jsonl").read_text()
    wrong = read_trace(text.replace('"times": 1', '"times": 2')).unwrap()
    context.differences = replay_trace(wrong)


@then("the request replay names the difference")
def then_difference(context):
    assert "expected" in context.differences[0]


@when("a request trace with a malformed line 2 is read")
def when_malformed(context):
    text = (TRACES / "own_memory.jsonl").read_text()
    header = text.splitlines()[0]
    context.errors = [read_trace(f"{header}\n{line}").err_value for line in ("{", "{}")]


@then("the request trace error names line 2")
def then_line(context):
    assert all("line 2" in str(error) for error in context.errors)


@when("a run token is issued")
def when_issued(context):
    context.codec = RunTokenCodec(key=TOKEN_KEY)
    context.encoded = context.codec.encode(TOKEN, SERVICE, CALLER)


@then("the run token has 40 bytes and is valid only for its service and caller")
def then_bound(context):
    codec, encoded = context.codec, context.encoded
    assert len(encoded) == 40
    assert codec.decode(encoded, SERVICE, CALLER) == TOKEN
    assert codec.decode(encoded, "devoluciones", CALLER) is None
    assert codec.decode(encoded, SERVICE, CALLER._replace(port=1)) is None


@then("the run token is invalid if any of its bytes is changed")
def then_no_change(context):
    for position in range(len(context.encoded)):
        changed = bytearray(context.encoded)
        changed[position] ^= 0x01
        assert context.codec.decode(bytes(changed), SERVICE, CALLER) is None


@then("a run token is valid under the previous key and not under an unrelated key")
def then_rotated(context):
    encoded = RunTokenCodec(key=TOKEN_KEY).encode(TOKEN, SERVICE, CALLER)
    rotated = RunTokenCodec(key=b"new key of sixteen", previous_key=TOKEN_KEY)
    assert rotated.decode(encoded, SERVICE, CALLER) == TOKEN
    unrelated = RunTokenCodec(key=b"new key of sixteen")
    assert unrelated.decode(encoded, SERVICE, CALLER) is None


@when("a GET is sent to host a twice")
def when_get_twice(context):
    for now in (0.0, 0.1):
        send(context.fleet, "a", "m1", now, method="GET", path="/map")


@then("{dispatches:d} request dispatch was made and {acks:d} acknowledgements sent")
def then_dispatches(context, dispatches, acks):
    sent = [a for a in context.fleet.actions if isinstance(a, AcknowledgeRequest)]
    assert (len(context.fleet.dispatches), len(sent)) == (dispatches, acks)


@when("the server answers the GET")
def when_get_answered(context):
    answer(context.fleet, context.fleet.dispatches[0][1], 0.2)


@then("{number:d} request reply was sent")
def then_replies(context, number):
    assert len(context.fleet.replies) == number


@when("a GET is sent to host a and its answer is overdue")
def when_overdue(context):
    send(context.fleet, "a", "m1", 0.0, method="GET", path="/map")
    context.fleet.tick("a", 0.81)
    assert len(context.fleet.dispatches) == 1
    context.fleet.tick("a", 0.86)


@then("the first attempt is cancelled and the second goes to another server")
def then_second_try(context):
    (_, first), (_, second) = context.fleet.dispatches
    assert (
        CancelDispatchedRequest(first.server, first.exchange_id)
        in context.fleet.actions
    )
    assert first.server != second.server
    assert first.exchange_id != second.exchange_id
    assert first.deadline == second.deadline


@when("{number:d} GETs are sent to host a and all their answers are lost")
def when_all_lost(context, number):
    for position in range(number):
        send(context.fleet, "a", f"l{position}", 1.0, method="GET", path="/map")
        dispatch = context.fleet.dispatches[-1][1]
        answer(context.fleet, dispatch, 1.0, DispatchOutcome.TIMED_OUT)


@when("{successes:d} GETs succeed at host a and {losses:d} more lose their answers")
def when_successes(context, successes, losses):
    for position in range(successes):
        send(context.fleet, "a", f"s{position}", 1.0, method="GET", path="/map")
        answer(context.fleet, context.fleet.dispatches[-1][1], 1.0)
    when_all_lost(context, losses)


@then("{number:d} request retries were counted")
def then_retries(context, number):
    assert count(context.fleet, "requests_retried") == number


@then("request paths have these work classes")
def then_work_classes(context):
    router = context.fleet.dispatchers_by_id["a"].router_
    for row in context.table:
        route = router.find(make_request("r", path=row["path"]), 0.0)
        name = route.work_class.name if isinstance(route, Route) else "none"
        assert name == row["work class"], row["path"]


@when("the request address moves to another service")
def when_moved(context):
    dispatcher = context.fleet.dispatchers_by_id["a"]
    view = context.fleet.view("a")
    address = replace(view.addresses_by_endpoint[ADDRESS], service="devoluciones")
    service = replace(view.services_by_name[SERVICE], name="devoluciones")
    moved = replace(
        view,
        services_by_name={"devoluciones": service},
        addresses_by_endpoint={ADDRESS: address},
    )
    dispatcher.update(moved, 10.0)


@then('a request in the next 5 s is refused as "{reason}" and later ones are not')
def then_held(context, reason):
    send(context.fleet, "a", "early", 14.9)
    send(context.fleet, "a", "late", 15.1)
    assert replies(context.fleet)["early"].reason == reason
    assert replies(context.fleet)["late"].run_token is not None


@when("admission starts a request ticket that has ended")
def when_stale_start(context):
    dispatcher = context.fleet.dispatchers_by_id["a"]
    ticket = Ticket(1, SERVICE, "map", False, CALLER, 5.0)
    dispatcher.admission.started[1] = "reservas-1"
    start = StartDecision(ticket, dispatcher.admission.servers[0])
    context.stale_actions = dispatcher.attempts_.apply([start], 0.0)


@then("admission has no started request ticket")
def then_no_started(context):
    assert context.stale_actions == []
    assert not context.fleet.dispatchers_by_id["a"].admission.started


@when("10 bookings of 1000 bytes are answered with a store of 4000 bytes")
def when_answers_stored(context):
    limits = Limits(maximum_stored_bytes=4000)
    context.fleet = HostFleet({"a": 11}, plugin="run_token", limits=limits)
    context.tokens = []
    for position in range(10):
        send(context.fleet, "a", f"f{position}", 0.0)
        token = context.fleet.replies[-1][1].run_token
        send(context.fleet, "a", f"r{position}", 0.0, run_token=token)
        answer(context.fleet, context.fleet.dispatches[-1][1], 0.1, payload=b"x" * 1000)
        context.tokens.append(token)


@then('the 4 latest bookings have their answers and the others get "outcome unknown"')
def then_latest_answered(context):
    for position, token in enumerate(context.tokens):
        send(context.fleet, "a", f"d{position}", 0.2, run_token=token)
    statuses = [replies(context.fleet)[f"d{n}"].status.value for n in range(10)]
    assert statuses == ["outcome_unknown"] * 6 + ["ok"] * 4


@when("host b relays a request to an issuer missing from its view")
def when_unknown_issuer(context):
    fleet = context.fleet
    send(fleet, "a", "r1", 0.0)
    token = replies(fleet)["r1"].run_token
    fleet.kill("a")
    fleet.incarnations_by_id["a"] = 99
    fleet.update("b", 0.0)
    send(fleet, "b", "r2", 0.1, run_token=token)
    fleet.tick("b", 1.0)
    assert "r2" not in replies(fleet)


@then('its caller gets the reason "{reason}" after 1 s')
def then_grace(context, reason):
    context.fleet.tick("b", 1.3)
    assert replies(context.fleet)["r2"].reason == reason


def relay_from_b(context):
    fleet = context.fleet
    send(fleet, "a", "r1", 0.0)
    token = replies(fleet)["r1"].run_token
    send(fleet, "b", "r2", 0.1, run_token=token)


@when("host b relays a request whose issuer is dead in its view at 6 s")
def when_issuer_dead_late(context):
    relay_from_b(context)
    fleet = context.fleet
    for moment in (1.0, 2.5, 4.0):
        fleet.tick("b", moment)
    assert "r2" not in replies(fleet), replies(fleet)
    fleet.states_by_id["a"] = HostState.DEAD
    fleet.update("b", 6.0)


@when("host b relays a request whose issuer becomes suspect")
def when_issuer_suspect(context):
    relay_from_b(context)
    fleet = context.fleet
    fleet.states_by_id["a"] = HostState.SUSPECT
    fleet.update("b", 0.5)
    fleet.tick("b", 1.0)
    assert "r2" not in replies(fleet), replies(fleet)
    fleet.tick("b", 2.5)


@then('its caller gets the reason "{reason}" from host b')
@then('its caller gets the reason "{reason}" from host b by 2.5 s')
def then_reason_from_b(context, reason):
    assert replies(context.fleet)["r2"].reason == reason


@when("host a restarts between two relays from host b")
def when_restart_between(context):
    fleet = context.fleet
    send(fleet, "a", "r1", 0.0)
    token = replies(fleet)["r1"].run_token
    send(fleet, "b", "r2", 0.1, run_token=token)
    fleet.start("a", 12, 0.2)
    send(fleet, "b", "r3", 0.3, run_token=token)
    fleet.states_by_id["a"] = HostState.DEAD
    fleet.update("b", 0.4)


@then('both requests get the reason "{reason}" once')
def then_reason_once(context, reason):
    received = [(r.token, a.reason) for r, a in context.fleet.replies[1:]]
    assert sorted(received) == [(b"r2", reason), (b"r3", reason)]


@when("a request dispatcher gets a token key of 3 bytes")
def when_bad_key(context):
    dispatcher = RequestDispatcher(
        admission=None, host_id="a", incarnation=1, endpoint=None, token_key=b"abc"
    )
    try:
        dispatcher.tick(0.0)
    except ParameterError as error:
        context.error = error


@then('the request parameter error names "{name}"')
def then_named(context, name):
    assert context.error.parameter == name


@given("eight request hosts of which a and b are home hosts")
def given_eight_hosts(context):
    hosts = {name: n for n, name in enumerate(["a", "b", *OTHER_HOSTS], 1)}
    context.fleet = HostFleet(hosts, plugin="run_token")


def relays(fleet):
    return [a for a in fleet.actions if isinstance(a, RelayRequest)]


def home_host_of(fleet, host, request):
    home_hosts = fleet.dispatchers_by_id[host].home_hosts_
    home = home_hosts.find(request, SERVICE)
    return home.host_id if home else host


def request_for(fleet, host, home, **fields):
    """Return a request for which a host chooses the given home host."""
    numbers = (make_request(f"q{n}", **fields) for n in range(100))
    return next(r for r in numbers if home_host_of(fleet, host, r) == home)


@when("a {method} for home host a reaches two other hosts")
def when_other_hosts_receive(context, method):
    path = "/map" if method == "GET" else "/bookings"
    request = request_for(context.fleet, OTHER_HOSTS[0], "a", method=method, path=path)
    for host in OTHER_HOSTS[:2]:
        context.fleet.handle(host, RequestReceived(request), 0.0)


@then("each copy is relayed once and the run token names host a")
def then_home_token(context):
    assert len(relays(context.fleet)) == 2
    manager = context.fleet.dispatchers_by_id[OTHER_HOSTS[0]].token_manager_
    for request, issued in context.fleet.replies:
        token = manager.read_token(
            replace(request, run_token=issued.run_token), SERVICE
        )
        assert token.endpoint == context.fleet.endpoint("a")


@then("host a dispatches it once and acknowledges only the second copy")
def then_joined(context):
    assert [host for host, _ in context.fleet.dispatches] == ["a"]
    sent = [a for a in context.fleet.actions if isinstance(a, AcknowledgeRequest)]
    assert len(sent) == 1


@when("home host a dies with a relayed GET in its queue")
def when_home_dies(context):
    fleet = context.fleet
    fleet.dispatchers_by_id["a"].admission.is_queueing = True
    context.request = request_for(fleet, OTHER_HOSTS[0], "a", method="GET", path="/map")
    fleet.handle(OTHER_HOSTS[0], RequestReceived(context.request), 0.0)
    assert not fleet.dispatches
    fleet.kill("a")


@then("its retransmission is served as soon as host a is suspect in a view")
def then_served(context):
    fleet = context.fleet
    assert not [a for a in fleet.actions if isinstance(a, AcknowledgeRequest)]
    fleet.states_by_id["a"] = HostState.SUSPECT
    fleet.update(OTHER_HOSTS[1], 2.0)
    fleet.handle(OTHER_HOSTS[1], RequestReceived(context.request), 2.5)
    assert len(fleet.dispatches) == 1


@then("a booking for host a is relayed once if views disagree about a")
def then_no_loop(context):
    fleet = context.fleet
    request = request_for(fleet, OTHER_HOSTS[0], "a")
    fleet.states_by_id["a"] = HostState.SUSPECT
    fleet.update("a", 0.0)
    fleet.handle(OTHER_HOSTS[0], RequestReceived(request), 0.0)
    assert len(relays(fleet)) == 1
    assert len(fleet.replies) == 1


@then("no home host without a document gets a request")
def then_only_ready_home_hosts(context):
    view = context.fleet.view("a")
    versions = {h: Version(1, b"v") for h in view.hosts_by_id if h != "a"}
    hosts = {
        h: replace(e, version=versions.get(h)) for h, e in view.hosts_by_id.items()
    }
    home_hosts = HomeHosts()
    own = replace(view, own_id="b", version=Version(1, b"v"), hosts_by_id=hosts)
    home_hosts.update(own)
    found = [home_hosts.find(make_request(f"q{n}"), SERVICE) for n in range(100)]
    assert {home.host_id for home in found if home} == {OTHER_HOSTS[-1]}


@then("no request to the two hosts is relayed")
def then_not_relayed(context):
    for number in range(20):
        send(context.fleet, "ab"[number % 2], f"n{number}", 0.0)
    assert not relays(context.fleet)
    assert len(context.fleet.replies) == 20
