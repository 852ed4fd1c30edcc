"""Steps for the check of the version in force after a pause."""

import logging
from types import SimpleNamespace

from behave import given, then, when
from result import Ok

from hornbeamdeal.daemon._active_configuration import ActiveConfiguration
from hornbeamdeal.daemon._components import Components
from hornbeamdeal.daemon._driver import TICK_SECONDS, EntryDriver
from hornbeamdeal.daemon._pause_check import PauseCheck
from hornbeamdeal.kernel import (
    AddressKind,
    ClusterView,
    Endpoint,
    EntryHost,
    IncrementCounter,
    ManualClock,
    PauseDetected,
    PeerMessageReceived,
    ReadPlatform,
    RequestReceived,
    SendPeerMessage,
    ServiceAddress,
    StopRequested,
    Version,
)
from hornbeamdeal.observability import Metrics
from hornbeamdeal.settings import load_entry_settings
from hornbeamdeal.wire import (
    HttpResponse,
    encode_caller_request,
    encode_proxied,
    peer_types,
)

SETTINGS = {
    "host_id": "aqp-1",
    "zone": "aqp",
    "fabric": "127.0.0.2:6000",
    "fabric_listen": "127.0.0.10:6000",
    "server_listen": "127.0.0.10:6001",
    "peer_listen": "127.0.0.10:6002",
    "admin_listen": "127.0.0.10:6003",
    "platform": "127.0.0.3:6003",
    "peer_keys": "1:" + "ab" * 16,
}

HOSTS = [
    EntryHost(f"aqp-{n}", n, Endpoint(f"10.0.0.{n}", 6002), "aqp") for n in range(1, 6)
]


def make_view(number):
    version = Version(number, b"d")
    return ClusterView(
        "aqp-1", "aqp", version, hosts_by_id={h.host_id: h for h in HOSTS}
    )


@given("a pause check with peers and version {number:d} in force")
def given_pause_check(context, number):
    context.now = 100.0
    context.check = PauseCheck(random_state=1)
    context.check.update(make_view(number), context.now)
    context.actions = []


@when("the process was paused")
def when_paused(context):
    context.actions += context.check.handle(PauseDetected(3.0), context.now)
    assert context.check.is_running_


def deliver_reply(context, nonce, number):
    peer = HOSTS[2]
    record = peer_types.MemberRecord(
        peer.host_id, 3, "10.0.0.3", 6002, "aqp", 0, 0, number, b"d"
    )
    message = peer_types.PingReply(nonce, [record])
    event = PeerMessageReceived(peer.host_id, 3, peer.endpoint, message)
    context.actions += context.check.handle(event, context.now)


@when("a peer answers a query of this check with version {number:d}")
def when_current_reply(context, number):
    sent = [action for action in context.actions if isinstance(action, SendPeerMessage)]
    assert len(sent) == 3
    deliver_reply(context, sent[0].message.nonce, number)


@when("a reply to an older query reports version {number:d}")
def when_old_reply(context, number):
    deliver_reply(context, 12345, number)


@when("version {number:d} comes into force after the pause")
def when_in_force(context, number):
    context.check.update(make_view(number), context.now)


@when("no peer answers for {seconds:g} seconds")
def when_no_reply(context, seconds):
    steps = round(seconds / 0.05)
    for _ in range(steps):
        context.now += seconds / steps
        context.actions += context.check.tick(context.now)


@then("the pause check goes on")
def then_running(context):
    assert context.check.is_running_


@then("the pause check is over")
def then_over(context):
    assert not context.check.is_running_


@then("the unconfirmed pause is counted")
def then_counted(context):
    assert IncrementCounter("pauses_unconfirmed") in context.actions


class RecordingComponent:
    """Component that records the events it gets and returns no actions."""

    members_ = {}
    is_running_ = True

    def __init__(self):
        self.events = []

    def update(self, view, now):
        return []

    superseded_ = False

    def handle(self, event, now):
        self.events.append(event)
        return []

    def tick(self, now):
        return []


def make_recording_driver():
    component = RecordingComponent()
    driver = EntryDriver(
        settings=load_entry_settings(SETTINGS, {}).unwrap(),
        clock=ManualClock(100.0),
        components=Components(
            membership=component,
            dissemination=RecordingComponent(),
            pause_check=component,
            steering=RecordingComponent(),
            dispatcher=RecordingComponent(),
        ),
        configuration=ActiveConfiguration(own_id="aqp-1", own_zone="aqp"),
        codec=None,
        metrics=Metrics(),
        logger=logging.getLogger("hornbeamdeal.test"),
    )
    driver.fabric_port_ = SimpleNamespace(send=lambda data, endpoint: None)
    return driver


@given("a daemon driver that serves an address for requests")
def given_driver(context):
    driver = context.driver = make_recording_driver()
    endpoint = Endpoint("10.0.1.1", 5683)
    address = ServiceAddress("a", "reservas", endpoint, AddressKind.REQUESTS)
    view = ClusterView("aqp-1", "aqp", addresses_by_endpoint={endpoint: address})
    driver.configuration.view_ = view
    driver.configuration.is_update_due_ = False
    driver.configuration.hold_down_.update(view, 100.0)
    # Ends the hold of a start in steps below the gap that counts as a pause.
    for _ in range(20):
        driver.clock.advance(0.5)
        driver.handle_event(StopRequested(), ())


def receive_requests(driver, count):
    payload = encode_caller_request("GET", "/rides", b"t", 7, b"")
    data = encode_proxied(Endpoint("10.9.9.9", 9), Endpoint("10.0.1.1", 5683), payload)
    receive = driver.contain_errors(driver.receiver_.receive_fabric)
    for _ in range(count):
        receive(data, Endpoint("10.0.0.2", 6000))


def take_requests(driver):
    """Return the requests that reached the dispatcher since the last call."""
    events = driver.components.dispatcher.events
    requests = [event for event in events if isinstance(event, RequestReceived)]
    events.clear()
    return requests


@then("a request from the fabric reaches the dispatcher as not held")
def then_reaches(context):
    receive_requests(context.driver, 1)
    then_waited(context, "not held")


@when("the driver is paused for {seconds:d} seconds")
def when_driver_paused(context, seconds):
    context.driver.clock.advance(seconds)


@then("a request from the fabric does not reach the dispatcher yet")
def then_waits(context):
    receive_requests(context.driver, 1)
    assert not take_requests(context.driver)


@when("the driver runs for {seconds:g} seconds")
def when_driver_runs(context, seconds):
    for _ in range(round(seconds / TICK_SECONDS)):
        context.driver.clock.advance(TICK_SECONDS)
        context.driver.tick()


@when("the pause check ends and the driver runs for {seconds:g} seconds")
def when_check_ends(context, seconds):
    context.driver.components.pause_check.is_running_ = False
    when_driver_runs(context, seconds)


@then("the request that waited reaches the dispatcher as {how}")
def then_waited(context, how):
    (event,) = take_requests(context.driver)
    assert event.is_address_held is (how == "held")


@when("{count:d} requests arrive from the fabric")
def when_many(context, count):
    receive_requests(context.driver, count)


@then("{count:d} of them reaches the dispatcher as held")
def then_rest_held(context, count):
    events = take_requests(context.driver)
    assert [event.is_address_held for event in events] == [True] * count, len(events)


class FailingComponent(RecordingComponent):
    """Component that raises an error that no check foresaw."""

    def handle(self, event, now):
        raise ZeroDivisionError("unforeseen")

    def tick(self, now):
        raise ZeroDivisionError("unforeseen")


@given("a daemon driver whose dissemination raises an unexpected error")
def given_failing_driver(context):
    given_driver(context)
    context.driver.components.dissemination = FailingComponent()


@when("the error occurs in a tick")
def when_error_in_tick(context):
    context.driver.tick()


@when("the error occurs in a platform result")
def when_error_in_result(context):
    action = ReadPlatform("hosts")
    answer = Ok(HttpResponse(200, b"value", {"x-revision": "1"}))
    context.driver.executor_.handle_platform_answer(action, answer)


@then("the driver goes on and counts {count:d} unexpected error")
def then_goes_on(context, count):
    assert context.driver.metrics.value("unexpected_errors") == count
