"""Steps for the soak of real nodes."""

from behave import then, when
from soak import play


@when("the soak plays seed {seed:d}")
def when_soak(context, seed):
    context.failures = play(seed)[0].failures


@when("the soak plays seed {seed:d} with nodes without {mechanism}")
def when_weakened_soak(context, seed, mechanism):
    context.failures = play(seed, weakened=mechanism)[0].failures


@then("the soak finds nothing")
def then_nothing(context):
    assert context.failures == []


@then('the soak finds "{text}"')
def then_finds(context, text):
    assert any(text in failure for failure in context.failures), context.failures[:5]
