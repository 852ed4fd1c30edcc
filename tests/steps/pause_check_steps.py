"""Steps for the check after a pause."""

from behave import given, then, when

from hornbeamdeal.daemon._pause_check import PauseCheck
from hornbeamdeal.kernel import (
    Count,
    Endpoint,
    EntryHost,
    PauseDetected,
    PeerReceived,
    SendPeer,
    Version,
    View,
)
from hornbeamdeal.wire import peer_types

HOSTS = [
    EntryHost(f"aqp-{n}", n, Endpoint(f"10.0.0.{n}", 6002), "aqp") for n in range(1, 6)
]


def make_view(number):
    version = Version(number, b"d")
    return View("aqp-1", "aqp", version, hosts_by_id={h.host_id: h for h in HOSTS})


@given("a pause check with peers and version {number:d} in force")
def given_check(context, number):
    context.now = 100.0
    context.check = PauseCheck(random_state=1)
    context.check.update(make_view(number), context.now)
    context.actions = []


@when("the process was paused")
def when_paused(context):
    context.actions += context.check.handle(PauseDetected(3.0), context.now)
    assert context.check.is_open_


def answer(context, nonce, number):
    peer = HOSTS[2]
    record = peer_types.MemberRecord(
        peer.host_id, 3, "10.0.0.3", 6002, "aqp", 0, 0, number, b"d"
    )
    message = peer_types.PingReply(nonce, [record])
    event = PeerReceived(peer.host_id, 3, peer.endpoint, message)
    context.actions += context.check.handle(event, context.now)


@when("a peer answers the fresh question with version {number:d}")
def when_fresh(context, number):
    sent = [action for action in context.actions if isinstance(action, SendPeer)]
    assert len(sent) == 3
    answer(context, sent[0].message.nonce, number)


@when("an answer to an older question tells version {number:d}")
def when_old(context, number):
    answer(context, 12345, number)


@when("version {number:d} comes into force after the pause")
def when_in_force(context, number):
    context.check.update(make_view(number), context.now)


@when("no peer answers for {seconds:g} seconds")
def when_silent(context, seconds):
    steps = round(seconds / 0.05)
    for _ in range(steps):
        context.now += seconds / steps
        context.actions += context.check.tick(context.now)


@then("the pause check goes on")
def then_open(context):
    assert context.check.is_open_


@then("the pause check is over")
def then_over(context):
    assert not context.check.is_open_


@then("the unconfirmed pause is counted")
def then_counted(context):
    assert Count("pauses_unconfirmed") in context.actions
