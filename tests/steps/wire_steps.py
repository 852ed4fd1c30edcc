"""Steps for the codecs."""

from behave import given, then, when

from hornbeamdeal.wire import PeerCodec, peer_types

KEYS_BY_ID = {1: b"first key of sixteen", 2: b"second key of sixteen"}
PING = peer_types.Ping(7, [])


def make_codec(keys_by_id, sending_key_id):
    return PeerCodec(
        host_id="aqp-1",
        incarnation=5,
        keys_by_id=keys_by_id,
        sending_key_id=sending_key_id,
    )


@given("a peer codec with key 1")
def given_codec(context):
    context.codec = make_codec({1: KEYS_BY_ID[1]}, 1)


@given("a peer codec with keys 1 and 2 that sends with 2")
def given_rotating_codec(context):
    context.codec = make_codec(KEYS_BY_ID, 2)


@when("it seals a ping and opens the result")
def when_round_trip(context):
    context.opened = context.codec.decode(context.codec.encode(PING))


@when("a sender with another key seals a ping")
def when_stranger(context):
    stranger = make_codec({1: b"another key of sixteen"}, 1)
    context.opened = context.codec.decode(stranger.encode(PING))


@when("a sender with key 1 seals a ping")
def when_old_key(context):
    sender = make_codec({1: KEYS_BY_ID[1]}, 1)
    context.opened = context.codec.decode(sender.encode(PING))


@when("each byte of a sealed ping is changed in turn")
def when_changed_bytes(context):
    sealed = context.codec.encode(PING)
    context.results = []
    for position in range(len(sealed)):
        changed = bytearray(sealed)
        changed[position] ^= 0x01
        context.results.append(context.codec.decode(bytes(changed)))


@then("the wire result is the ping")
def then_ping(context):
    assert context.opened.ok_value.message == PING


@then('opening it fails with "{reason}"')
def then_fails(context, reason):
    assert context.opened.err_value.reason == reason


@then("no changed message opens")
def then_none_opens(context):
    assert all(result.is_err() for result in context.results)
