"""Steps for the schedule of reads of the store."""

from behave import given, then, when

from hornbeamdeal.dsr import ReadScheduler

ELECTED_READERS = 6
NOW = 100.0


@given("the read scheduler of the host at position {position:d}")
def given_scheduler(context, position):
    context.read_scheduler = ReadScheduler(random_state=1)
    context.read_scheduler.position = position
    context.read_scheduler.is_elected_reader = position < ELECTED_READERS


@given("the read scheduler of the host at position 0 with a freshness of {seconds:d} s")
def given_scheduler_with_freshness(context, seconds):
    context.read_scheduler = ReadScheduler(freshness=float(seconds), random_state=1)
    context.read_scheduler.position = 0
    context.read_scheduler.is_elected_reader = True


@when("a read begins")
def when_read_begins(context):
    context.read_scheduler.record_read_start()


@when("the read is answered")
def when_answered(context):
    context.read_scheduler.record_answer(changed=False, now=NOW)


@when("a {age} update of the host at position {position:d} arrives")
def when_update_arrives(context, age, position):
    seconds = {"fresh": 0.01, "stale": 1.2}[age]
    context.read_scheduler.record_peer_update(position, seconds, NOW)


@when("{count:d} reads fail in a row")
def when_fail(context, count):
    for _ in range(count):
        context.read_scheduler.record_read_start()
        context.read_scheduler.record_failure(NOW, "lost")


@when("a watch fails as {reason}")
def when_watch_fails(context, reason):
    context.read_scheduler.record_read_start()
    context.read_scheduler.record_failure(NOW, reason)


@when("a full read is answered")
def when_full_read(context):
    context.read_scheduler.record_read_start()
    context.read_scheduler.record_reload(NOW)
    context.read_scheduler.record_answer(changed=False, now=NOW)


@when("a watch is answered")
def when_watch_answered(context):
    context.read_scheduler.record_read_start()
    context.read_scheduler.record_watch()
    context.read_scheduler.record_answer(changed=False, now=NOW)


@then("the host stops reading")
def then_stops(context):
    assert not context.read_scheduler.is_reading


@then("the host keeps reading")
def then_keeps_reading(context):
    assert context.read_scheduler.is_reading


@then("its next read is due at a catalog age of {least:g} s to {most:g} s")
def then_due(context, least, most):
    delay = context.read_scheduler.next_read_delay(confirmed_at=NOW, now=NOW)
    assert least <= delay <= most, delay


@then("the next read is due in {least:g} s to {most:g} s")
def then_backs_off(context, least, most):
    delay = context.read_scheduler.next_read_delay(confirmed_at=NOW - 60, now=NOW)
    assert least <= delay <= most, delay


@then("the next read is a full one")
def then_reload(context):
    assert context.read_scheduler.is_reload_due(NOW)
