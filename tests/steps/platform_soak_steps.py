"""Steps for the soak of real nodes."""

import trio
from behave import given, then, when
from fakes.platform_world import NodeProcess, PlatformWorld
from soak import play
from trio.testing import MockClock

HARM_SECONDS = 5.0


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


@given("a soak world whose store and node are harmed for 5 s")
def given_harmed(context):
    context.world = PlatformWorld(nodes=1, callers=0)
    context.add_cleanup(context.world.temporary.cleanup)


def calm_after(world, seconds):
    """Return whether node and store count as left alone after a harm began."""

    async def main():
        node = NodeProcess(world, 0)
        node.disturb(HARM_SECONDS)
        world.disturb_store(HARM_SECONDS)
        await trio.sleep(seconds)
        return node.is_calm(), world.is_store_calm()

    world.store_calm_since = 0.0
    return trio.run(main, clock=MockClock(autojump_threshold=0))


@then("neither counts as left alone after {seconds:g} s")
def then_not_calm(context, seconds):
    assert calm_after(context.world, seconds) == (False, False)


@then("both count as left alone after {seconds:g} s")
def then_calm(context, seconds):
    assert calm_after(context.world, seconds) == (True, True)
