"""Steps for the codec of messages between entry hosts."""

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


@when("it encodes a ping and decodes the result")
def when_round_trip(context):
    context.decoded = context.codec.decode(context.codec.encode(PING))


@when("a sender with another key encodes a ping")
def when_other_key(context):
    sender = make_codec({1: b"another key of sixteen"}, 1)
    context.decoded = context.codec.decode(sender.encode(PING))


@when("a sender with key 1 encodes a ping")
def when_old_key(context):
    sender = make_codec({1: KEYS_BY_ID[1]}, 1)
    context.decoded = context.codec.decode(sender.encode(PING))


@when("each byte of an encoded ping is changed in turn")
def when_changed_bytes(context):
    encoded = context.codec.encode(PING)
    context.results = []
    for position in range(len(encoded)):
        changed = bytearray(encoded)
        changed[position] ^= 0x01
        context.results.append(context.codec.decode(bytes(changed)))


@then("the decoded message is the ping")
def then_ping(context):
    assert context.decoded.ok_value.message == PING


@then('decoding fails with "{reason}"')
def then_fails(context, reason):
    assert context.decoded.err_value.reason == reason


@then("no changed message is decoded")
def then_none_decoded(context):
    assert all(result.is_err() for result in context.results)
