"""Steps for logs and metrics."""

import logging

from behave import then, when

from hornbeamdeal.kernel import Count
from hornbeamdeal.observability import KeyValueFormatter, LogLimiter, Metrics


@when('the log event "{event}" has a detail with quotes and a line break')
def when_logged(context, event):
    formatter = KeyValueFormatter("{message}", style="{")
    record = logging.LogRecord("x", logging.INFO, "", 0, event, None, None)
    record.detail = 'a "quoted"\nvalue'
    context.line = formatter.format(record)


@then("the log line is one line with the detail escaped")
def then_one_line(context):
    assert "\n" not in context.line
    assert context.line == (
        'message=document_in_force detail="a \\"quoted\\"\\nvalue"'
    ), context.line


@when("refusals are counted for two reasons")
def when_counted(context):
    context.metrics = Metrics()
    context.metrics.count(Count("refusals", "queue_full", "reservas"))
    context.metrics.count(Count("refusals", "no_server", "reservas", amount=2))


@then("the rendered metrics hold both reasons")
def then_rendered(context):
    text = context.metrics.render().decode()
    line = 'hornbeamdeal_refusals_total{reason="%s",service="reservas"} %s'
    assert line % ("queue_full", "1.0") in text, text
    assert line % ("no_server", "2.0") in text, text


@when("1000 lines of one event are logged within a second")
def when_flood(context):
    context.limiter = LogLimiter()
    times = [number / 1000 for number in range(1000)]
    context.passed = sum(context.limiter.allows("malformed", now) for now in times)


@then("at most 25 lines of that event pass")
def then_few(context):
    assert 20 <= context.passed <= 25, context.passed


@then("the log lines of another event pass")
def then_others(context):
    assert context.limiter.allows("document_in_force", 1.0)


@then("the next line names how many log lines were suppressed")
def then_suppressed(context):
    assert context.limiter.allows("malformed", 3.0)
    assert context.limiter.take_suppressed("malformed") == 1000 - context.passed
