"""Steps for the duty to read the store."""

from behave import given, then, when

from hornbeamdeal.dsr import ReadingDuty

STAND_INS = 6
NOW = 100.0


@given("the reading duty of the host at position {position:d}")
def given_duty(context, position):
    context.duty = ReadingDuty(random_state=1)
    context.duty.position = position
    context.duty.is_stand_in = position < STAND_INS


@given("the reading duty of the host at position 0 where news have {seconds:d} s")
def given_duty_with_time(context, seconds):
    context.duty = ReadingDuty(freshness=float(seconds), random_state=1)
    context.duty.position = 0
    context.duty.is_stand_in = True


@when("a read begins")
def when_begins(context):
    context.duty.note_start()


@when("the read is answered")
def when_answered(context):
    context.duty.note_answer(changed=False, now=NOW)


@when("{age} news of the host at position {position:d} arrive")
def when_news(context, age, position):
    seconds = {"fresh": 0.01, "old": 1.2}[age]
    context.duty.note_news(position, seconds, NOW)


@when("{count:d} reads fail one after the other")
def when_fail(context, count):
    for _ in range(count):
        context.duty.note_start()
        context.duty.note_failure(NOW, "lost")


@then("the host does not read on")
def then_stops(context):
    assert not context.duty.is_reading


@then("the host reads on")
def then_goes_on(context):
    assert context.duty.is_reading


@then("its next read is due at an age of {least:g} s to {most:g} s")
def then_due(context, least, most):
    delay = context.duty.delay(confirmed_at=NOW, now=NOW)
    assert least <= delay <= most, delay


@then("the next read is due in {least:g} s to {most:g} s")
def then_backs_off(context, least, most):
    delay = context.duty.delay(confirmed_at=NOW - 60, now=NOW)
    assert least <= delay <= most, delay


@then("the next read is of everything")
def then_reload(context):
    assert context.duty.is_reload_due(NOW)
