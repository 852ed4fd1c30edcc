"""Steps for logs and metrics."""

import logging

from behave import then, when

from hornbeamdeal.kernel import IncrementCounter, ManualClock
from hornbeamdeal.observability import (
    BufferedJournal,
    KeyValueFormatter,
    LogLimiter,
    Metrics,
)


@when('the log event "{event}" has a detail with quotes and a line break')
def when_event_logged(context, event):
    formatter = KeyValueFormatter("{message}", style="{")
    record = logging.LogRecord("x", logging.INFO, "", 0, event, None, None)
    record.detail = 'a "quoted"\nvalue'
    context.line = formatter.format(record)


@when('the log event "{event}" has a detail of {count:d} characters')
def when_long_event_logged(context, event, count):
    formatter = KeyValueFormatter("{message}", style="{")
    record = logging.LogRecord("x", logging.INFO, "", 0, event, None, None)
    record.detail = "first " + "=" * count + " last"
    context.line = formatter.format(record)


@then("the log line has at most {count:d} characters")
def then_line_short(context, count):
    assert len(context.line) <= count, len(context.line)


@then("the log line has the start and the end of the detail")
def then_start_and_end(context):
    assert 'detail="first =' in context.line
    assert context.line.endswith('= last"')


@then("the log line is one line with the detail escaped")
def then_one_escaped_line(context):
    assert "\n" not in context.line
    assert context.line == (
        'message=document_in_force detail="a \\"quoted\\"\\nvalue"'
    ), context.line


@when("refusals are counted for two reasons")
def when_refusals_counted(context):
    context.metrics = Metrics()
    context.metrics.count(IncrementCounter("refusals", "queue_full", "reservas"))
    context.metrics.count(
        IncrementCounter("refusals", "no_server", "reservas", amount=2)
    )


@then("the rendered metrics contain both reasons")
def then_reasons_rendered(context):
    text = context.metrics.render().decode()
    line = 'hornbeamdeal_refusals_total{reason="%s",service="reservas"} %s'
    assert line % ("queue_full", "1.0") in text, text
    assert line % ("no_server", "2.0") in text, text


@when("1000 lines of one event are logged within a second")
def when_lines_logged(context):
    context.limiter = LogLimiter()
    times = [number / 1000 for number in range(1000)]
    context.allowed_count = sum(
        context.limiter.take_token("malformed", now) for now in times
    )


@then("at most 25 lines of that event are allowed")
def then_rate_limited(context):
    assert 20 <= context.allowed_count <= 25, context.allowed_count


@then("a line of another event is allowed")
def then_other_event_allowed(context):
    assert context.limiter.take_token("document_in_force", 1.0)


@then("the limiter reports the suppressed lines with the next line")
def then_suppressed_reported(context):
    assert context.limiter.take_token("malformed", 3.0)
    assert (
        context.limiter.pop_suppressed_count("malformed")
        == 1000 - context.allowed_count
    )


@when("the metrics of a node are rendered")
def when_node_metrics_rendered(context):
    journal = BufferedJournal(host_id="a", clock=ManualClock(0.0))
    context.node_metrics = journal.render({}).decode()


@then("they contain the resident memory of the process")
def then_resident_memory(context):
    lines = context.node_metrics.splitlines()
    [line] = [t for t in lines if t.startswith("process_resident_memory_bytes ")]
    assert float(line.split()[1]) > 1_000_000, line
